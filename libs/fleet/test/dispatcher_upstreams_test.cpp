#include "dispatcher_fixture.h"

#include <deque>

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(DispatcherUpstreamsTest, DispatcherFixture)

BOOST_AUTO_TEST_SUITE(WhenAnUpstreamStatesARate)

/// Callers press at many times the rate, so that each free token is used.
BOOST_AUTO_TEST_CASE(isSentNoMoreThanThatInAnySpanOfFourSeconds)
{
    constexpr double kRate = 7.4;
    add("u", kTools, 50);
    std::deque<TimePoint> window;
    std::size_t most = 0;
    for (int i = 0; i < 3000; ++i, now += 10ms) {
        if (i % 20 == 0)
            dispatcher.limit(now, UpstreamId("u"), std::chrono::milliseconds(1), kRate);
        submit(work(kTools));
        dispatcher.tick(now);
        for (const auto id : placedIds()) {
            window.push_back(now);
            dispatcher.finish(now, id, {AttemptOutcome::Answered, 10ms, 10ms});
        }
        while (!window.empty() && now - window.front() > 4s)
            window.pop_front();
        most = std::max(most, window.size());
        static_cast<void>(dispatcher.takeRejections());
    }
    BOOST_TEST(most <= 1.5 * kRate * 4 + 5);
    BOOST_TEST(most >= 0.9 * kRate * 4);
}

BOOST_AUTO_TEST_CASE(sendsTheRestToTheOthers)
{
    add("u", kTools, 50);
    add("v", kTools, 50);
    dispatcher.limit(now, UpstreamId("u"), std::chrono::milliseconds(1), 1);
    for (int i = 0; i < 20; ++i)
        submit(work(kTools));
    const auto names = placedAt();
    BOOST_TEST(names.size() == 20U);
    BOOST_TEST(std::count(names.begin(), names.end(), "v") >= 19);
}

BOOST_AUTO_TEST_CASE(refusesImmediatelyWhatTheRateCannotServeInTime)
{
    add("u", kTools, 50);
    dispatcher.limit(now, UpstreamId("u"), std::chrono::milliseconds(1), 1);
    for (int i = 0; i < 20; ++i)
        submit(work(kTools));
    BOOST_TEST(dispatcher.takeRejections().size() >= 15U);
}

BOOST_AUTO_TEST_CASE(isNotLimitedAnyMoreOnceALaterRequestIsAnsweredWithoutARate)
{
    add("u", kTools, 50);
    const auto before = submit(work(kTools));
    now += 10ms;
    dispatcher.limit(now, UpstreamId("u"), std::chrono::milliseconds(1), 2);
    BOOST_TEST(!dispatcher.lift(now, before));
    now += 1s;
    const auto after = submit(work(kTools));
    BOOST_TEST(dispatcher.lift(now, after));
    placedIds();
    for (int i = 0; i < 20; ++i)
        submit(work(kTools));
    BOOST_TEST(placedIds().size() == 20U);
}

BOOST_AUTO_TEST_CASE(isNotLimitedByWhatAFormerIncarnationStated)
{
    add("u", kTools, 50);
    BOOST_TEST(!dispatcher.limit(now, UpstreamId("u"), std::chrono::milliseconds(0), 1));
    dispatcher.limit(now, UpstreamId("u"), std::chrono::milliseconds(1), 1);
    records[UpstreamId("u")].startedAt = std::chrono::milliseconds(2);
    dispatcher.setUpstreams(now, records, configuration);
    for (int i = 0; i < 20; ++i)
        submit(work(kTools));
    BOOST_TEST(placedIds().size() == 20U);
}

BOOST_AUTO_TEST_CASE(isSentAnOccasionalRequestEvenIfItStatesZero)
{
    add("u", kTools, 50);
    dispatcher.limit(now, UpstreamId("u"), std::chrono::milliseconds(1), 0);
    now += 3s;
    submit(work(kTools));
    BOOST_TEST(placedIds().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnUpstreamLeavesToWhichARequestIsBound)

// Guards against a stream that is sent again to an upstream that has been draining for long.
BOOST_AUTO_TEST_CASE(sendsItThereOnlyForAShortTime)
{
    for (const auto states : {false, true}) {
        DispatcherFixture fixture;
        fixture.add("u", kTools, 5);
        fixture.add("v", kTools, 5);
        const auto bound = [&] {
            auto item = fixture.work(kTools);
            item.pinnedUpstream = UpstreamId("u");
            fixture.submit(std::move(item));
            return fixture.placedIds().size();
        };
        if (states)
            fixture.dispatcher.retire(fixture.now, UpstreamId("u"), std::chrono::milliseconds(1));
        else
            fixture.setPhase("u", UpstreamPhase::Draining);
        fixture.now += 500ms;
        BOOST_TEST(bound() == 1U);
        fixture.now += 1s;
        BOOST_TEST(bound() == 0U);
        const auto rejected = fixture.dispatcher.takeRejections();
        BOOST_TEST_REQUIRE(rejected.size() == 1U);
        BOOST_TEST((rejected[0].reason == RejectReason::NoUpstream));
    }
}

BOOST_AUTO_TEST_CASE(doesNotSendItThereUnderTheNextLeader)
{
    add("u", kTools, 5);
    setPhase("u", UpstreamPhase::Draining);
    dispatcher = Dispatcher();
    dispatcher.setUpstreams(now, records, configuration);
    auto item = work(kTools);
    item.pinnedUpstream = UpstreamId("u");
    submit(std::move(item));
    BOOST_TEST(placedIds().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnUpstreamStatesThatItIsAboutToEnd)

BOOST_AUTO_TEST_CASE(placesNothingThereAnyMore)
{
    add("u", kTools, 50);
    add("v", kTools, 50);
    BOOST_TEST(dispatcher.retire(now, UpstreamId("u"), std::chrono::milliseconds(1)));
    BOOST_TEST(!dispatcher.retire(now, UpstreamId("u"), std::chrono::milliseconds(1)));
    for (int i = 0; i < 20; ++i)
        submit(work(kTools));
    const auto names = placedAt();
    BOOST_TEST(std::count(names.begin(), names.end(), "v") == 20);
}

BOOST_AUTO_TEST_CASE(rejectsWhatIsQueuedIfItWasTheLastOne)
{
    add("u", kTools, 1);
    submit(work(kTools));
    submit(work(kTools));
    BOOST_TEST(placedIds().size() == 1U);
    dispatcher.retire(now, UpstreamId("u"), std::chrono::milliseconds(1));
    const auto queued = dispatcher.takeRejections();
    BOOST_TEST_REQUIRE(queued.size() == 1U);
    BOOST_TEST((queued.front().reason == RejectReason::NoUpstream));
    submit(work(kTools));
    BOOST_TEST(dispatcher.takeRejections().size() == 1U);
}

BOOST_AUTO_TEST_CASE(usesTheNextIncarnationAgain)
{
    add("u", kTools, 1);
    BOOST_TEST(!dispatcher.retire(now, UpstreamId("u"), std::chrono::milliseconds(0)));
    dispatcher.retire(now, UpstreamId("u"), std::chrono::milliseconds(1));
    records[UpstreamId("u")].startedAt = std::chrono::milliseconds(2);
    dispatcher.setUpstreams(now, records, configuration);
    submit(work(kTools));
    BOOST_TEST(placedIds().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenMostUpstreamsFailPartOfTheirRequests, DispatcherFixture)

namespace {

auto failRequests(DispatcherFixture &fixture, AttemptOutcome outcome, int count) -> void
{
    for (int i = 0; i < count; ++i) {
        const auto id = fixture.submit(fixture.work(kTools));
        if (!fixture.placedIds().empty())
            fixture.dispatcher.finish(fixture.now, id, {outcome, 10ms, 5ms});
        fixture.dispatcher.takeRejections();
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(goesOnUsingThem)
{
    for (const auto *name : {"a", "b", "c"})
        add(name, kTools, 6);
    failRequests(*this, AttemptOutcome::Broken, 30);
    submit(work(kTools));
    BOOST_TEST(placedIds().size() == 1U);
    BOOST_TEST(dispatcher.takeRejections().empty());
}

BOOST_AUTO_TEST_CASE(leavesOutThoseThatStaySilent)
{
    for (const auto *name : {"a", "b", "c"})
        add(name, kTools, 6);
    failRequests(*this, AttemptOutcome::TimedOut, 30);
    submit(work(kTools));
    BOOST_TEST(placedIds().empty());
}

BOOST_AUTO_TEST_CASE(leavesOutTheOneThatFailsWhileMostDoNot)
{
    for (const auto *name : {"a", "b", "c"})
        add(name, kTools, 6);
    const auto failOn = [&](const std::string &name) {
        auto item = work(kTools);
        for (const auto *other : {"a", "b", "c"}) {
            if (other != name)
                item.avoid.emplace_back(other);
        }
        const auto id = submit(std::move(item));
        placedIds();
        dispatcher.finish(now, id, {AttemptOutcome::Broken, 10ms, 5ms});
    };
    for (int i = 0; i < 3; ++i)
        failOn("a");
    for (int i = 0; i < 12; ++i)
        submit(work(kTools));
    const auto placed = placedAt();
    BOOST_TEST(placed.size() == 12U);
    BOOST_TEST(std::count(placed.begin(), placed.end(), "a") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
