#include <boost/test/unit_test.hpp>
#include <heathergate/fleet/drain_rate.h>

using namespace heathergate;
using namespace heathergate::fleet;
using namespace std::chrono_literals;

namespace {

struct DrainRateFixture
{
    /// Lets requests wait for `time`, of which one gets a slot every `interval`, so that ten are
    /// always waiting.
    auto serve(Duration time, Duration interval) -> void
    {
        for (int i = 0; i < 10; ++i)
            rate.joined(now);
        for (Duration passed{}; passed < time; passed += interval) {
            now += interval;
            rate.joined(now);
            rate.left(now, true);
        }
    }

    TimePoint now{1h};
    DrainRate rate;
};

auto milliseconds(std::optional<Duration> wait) -> std::int64_t
{
    BOOST_TEST_REQUIRE(wait.has_value());
    return std::chrono::duration_cast<std::chrono::milliseconds>(*wait).count();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(DrainRateTest, DrainRateFixture)

BOOST_AUTO_TEST_SUITE(WhileRequestsWait)

BOOST_AUTO_TEST_CASE(predictsTheWaitFromTheRequestsThatGetSlots)
{
    serve(2s, 50ms);
    const auto wait = milliseconds(rate.waitBehind(now, 9));
    BOOST_TEST(wait >= 450);
    BOOST_TEST(wait <= 500);
}

BOOST_AUTO_TEST_CASE(predictsALongWaitIfNoneGetsASlot)
{
    rate.joined(now);
    now += 2s;
    BOOST_TEST(milliseconds(rate.waitBehind(now, 0)) >= 2000);
}

BOOST_AUTO_TEST_CASE(forgetsWhatIsOlderThanTheWindow)
{
    serve(2s, 10ms);
    now += 1s + 1ms;
    BOOST_TEST(milliseconds(rate.waitBehind(now, 0)) >= 2000);
}

BOOST_AUTO_TEST_CASE(doesNotCountRequestsThatLeaveWithoutASlot)
{
    serve(2s, 50ms);
    for (int i = 0; i < 100; ++i) {
        rate.joined(now);
        rate.left(now, false);
    }
    BOOST_TEST(milliseconds(rate.waitBehind(now, 9)) >= 450);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithoutEvidence)

BOOST_AUTO_TEST_CASE(predictsNothingBeforeRequestsHaveWaitedForAWhile)
{
    BOOST_TEST(!rate.waitBehind(now, 5).has_value());
    rate.joined(now);
    now += 200ms;
    BOOST_TEST(!rate.waitBehind(now, 5).has_value());
}

BOOST_AUTO_TEST_CASE(predictsNothingOnceTheQueueWasEmpty)
{
    rate.joined(now);
    now += 2s;
    rate.left(now, false);
    rate.joined(now);
    BOOST_TEST(!rate.waitBehind(now, 5).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
