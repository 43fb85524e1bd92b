#include <boost/test/unit_test.hpp>
#include <heathergate/fleet/upstream_pace.h>

using namespace heathergate;
using namespace heathergate::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kPerSecond = 23;
constexpr std::size_t kSlots = 6;

struct PaceFixture
{
    TimePoint now{1h};
    UpstreamPace pace;

    /// Places a request each 5 ms, if it is permitted, and returns the times of the placements.
    auto press(Duration length) -> std::vector<TimePoint>
    {
        std::vector<TimePoint> placed;
        for (const auto end = now + length; now < end; now += 5ms) {
            if (!pace.allows(now))
                continue;
            pace.take(now);
            placed.push_back(now);
        }
        return placed;
    }

    static auto mostInASecond(const std::vector<TimePoint> &times) -> std::size_t
    {
        std::size_t most = 0;
        for (std::size_t first = 0; first < times.size(); ++first) {
            std::size_t count = 0;
            while (first + count < times.size() && times[first + count] - times[first] < 1s)
                ++count;
            most = std::max(most, count);
        }
        return most;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamPaceTest, PaceFixture)

BOOST_AUTO_TEST_SUITE(WhenAnUpstreamIsCold)

// Guards against a cold upstream that fails because it receives more than it tolerates.
BOOST_AUTO_TEST_CASE(permitsNoMoreThanTheLimitInAnySecond)
{
    pace.configure(now, {kPerSecond}, false);
    pace.reported(now, 3s);
    const auto placed = press(3s);
    BOOST_TEST(mostInASecond(placed) == kPerSecond);
    BOOST_TEST(placed.size() >= 3 * kPerSecond - 1);
}

BOOST_AUTO_TEST_CASE(countsRequestsThatWerePlacedJustBeforeItBecameCold)
{
    pace.configure(now, {kPerSecond}, false);
    pace.reported(now, Duration::zero());
    auto placed = press(500ms);
    pace.reported(now, 3s);
    const auto further = press(400ms);
    BOOST_TEST(further.empty());
}

BOOST_AUTO_TEST_CASE(permitsEverythingOnceItReportsThatItIsWarm)
{
    pace.configure(now, {kPerSecond}, false);
    pace.reported(now, 1s);
    now += 1200ms;
    BOOST_TEST((pace.warmth(now) == Warmth::MayBeCold));
    pace.reported(now, Duration::zero());
    BOOST_TEST((pace.warmth(now) == Warmth::Warm));
    BOOST_TEST(press(1s).size() == 200U);
}

BOOST_AUTO_TEST_CASE(hasNoLimitForAServiceWithoutOne)
{
    pace.configure(now, {}, true);
    pace.reported(now, 3s);
    BOOST_TEST(press(1s).size() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItIsNotKnownWhetherAnUpstreamIsCold)

BOOST_AUTO_TEST_CASE(limitsItUntilItsFirstReport)
{
    pace.configure(now, {kPerSecond}, false);
    BOOST_TEST((pace.warmth(now) == Warmth::MayBeCold));
    BOOST_TEST(mostInASecond(press(2s)) == kPerSecond);
    pace.reported(now, Duration::zero());
    BOOST_TEST((pace.warmth(now) == Warmth::Warm));
}

// Guards against a report that was sent before the upstream may have become cold, and arrives
// afterwards.
BOOST_AUTO_TEST_CASE(doesNotTrustAReportJustAfterItMayHaveBecomeCold)
{
    pace.configure(now, {kPerSecond}, false);
    pace.reported(now, Duration::zero());
    pace.suspectCold(now);
    now += 300ms;
    pace.reported(now, Duration::zero());
    BOOST_TEST((pace.warmth(now) == Warmth::MayBeCold));
    now += 1200ms;
    pace.reported(now, Duration::zero());
    BOOST_TEST((pace.warmth(now) == Warmth::Warm));
}

// Guards against two leaders that each use the limit of the same second.
BOOST_AUTO_TEST_CASE(keepsTheLimitAcrossAChangeOfTheLeader)
{
    pace.configure(now, {kPerSecond}, false);
    pace.reported(now, 5s);
    // All that the limit permits, just before the change.
    auto placed = press(200ms);
    BOOST_TEST(placed.size() == kPerSecond);
    UpstreamPace next;
    next.configure(now, {kPerSecond}, true);
    std::swap(pace, next);
    const auto further = press(1500ms);
    placed.insert(placed.end(), further.begin(), further.end());
    // The limit of the rule leaves room for half as many again and five more.
    BOOST_TEST(mostInASecond(placed) <= kPerSecond + kPerSecond / 2 + 5);
    BOOST_TEST(further.size() >= kPerSecond - 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnUpstreamStarts)

BOOST_AUTO_TEST_CASE(doublesTheWindowWithEachRoundOfWarmResponses)
{
    pace.begin(now);
    BOOST_TEST(*pace.window() == 2U);
    pace.answered(now, 1.0, kSlots);
    pace.answered(now, 1.1, kSlots);
    BOOST_TEST(*pace.window() == 4U);
    pace.answered(now, 1.0, kSlots);
    pace.answered(now, 0.9, kSlots);
    BOOST_TEST(!pace.window().has_value());
}

BOOST_AUTO_TEST_CASE(shrinksTheWindowOnSlowResponses)
{
    pace.begin(now);
    pace.answered(now, 1.0, kSlots);
    pace.answered(now, 1.0, kSlots);
    for (int i = 0; i < 3; ++i)
        pace.answered(now, 6.0, kSlots);
    BOOST_TEST(*pace.window() <= 2U);
}

// Guards against an upstream that is given up because a single response was slow.
BOOST_AUTO_TEST_CASE(toleratesASingleSlowResponse)
{
    pace.begin(now);
    pace.answered(now, 1.0, kSlots);
    pace.answered(now, 2.5, kSlots);
    pace.answered(now, 1.0, kSlots);
    BOOST_TEST(*pace.window() >= 3U);
}

BOOST_AUTO_TEST_CASE(neverShrinksBelowOneRequestAndRecovers)
{
    pace.begin(now);
    for (int i = 0; i < 20; ++i)
        pace.declined();
    BOOST_TEST(*pace.window() == 1U);
    int rounds = 0;
    while (pace.window() && rounds < 100) {
        pace.answered(now, 1.0, kSlots);
        ++rounds;
    }
    BOOST_TEST(!pace.window().has_value());
    BOOST_TEST(rounds < 40);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
