#include "dispatcher_fixture.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;

namespace {

struct VersionsFixture : DispatcherFixture
{
    VersionsFixture()
    {
        add("old", kEngines, 1);
        add("new", kEngines, 1);
        setVersion("old", "v1");
        setVersion("new", "v2");
    }

    auto rejectedFor() -> std::vector<RejectReason>
    {
        std::vector<RejectReason> reasons;
        for (const auto &rejection : dispatcher.takeRejections()) {
            BOOST_TEST((rejection.retryAfter == Duration::zero()));
            reasons.push_back(rejection.reason);
        }
        return reasons;
    }

    auto doubt(const std::string &name) -> std::vector<UpstreamId>
    {
        return dispatcher.connectionsLost(now, records[UpstreamId(name)].address);
    }

    auto newStream() -> Work
    {
        auto result = work(kEngines);
        result.needsKnownVersion = true;
        return result;
    }

    auto finish(RequestId request) -> void
    {
        dispatcher.finish(now, request, {AttemptOutcome::Answered, 100ms, 10ms});
    }
};

const std::vector<RejectReason> kVersionGone{RejectReason::StreamVersionGone};

} // namespace

BOOST_AUTO_TEST_SUITE(DispatcherStreamsTest)

BOOST_FIXTURE_TEST_SUITE(WhenAStreamResumes, VersionsFixture)

BOOST_AUTO_TEST_CASE(neverGoesOnAtAnotherSoftwareVersion)
{
    submit(resumedWork("v1"));
    const auto second = submit(resumedWork("v1"));
    BOOST_TEST(placedAt() == std::vector<std::string>{"old"});
    now += 50ms;
    dispatcher.tick(now);
    BOOST_TEST(placedIds().empty());
    finish(1);
    BOOST_TEST(placedIds() == std::vector<RequestId>{second});
}

BOOST_AUTO_TEST_CASE(isRefusedAtOnceIfItsVersionIsGoneOrUnknown)
{
    submit(resumedWork("v0"));
    BOOST_TEST((rejectedFor() == kVersionGone));
    auto unknown = work(kEngines);
    unknown.origin.kind = StreamOrigin::Kind::Unknown;
    submit(std::move(unknown));
    BOOST_TEST((rejectedFor() == kVersionGone));
    setPhase("old", UpstreamPhase::Draining);
    submit(resumedWork("v1"));
    BOOST_TEST((rejectedFor() == kVersionGone));
    BOOST_TEST(placedIds().empty());
}

BOOST_AUTO_TEST_CASE(isRefusedInTheQueueOnceItsVersionIsGone)
{
    submit(resumedWork("v1"));
    submit(resumedWork("v1"));
    setPhase("old", UpstreamPhase::Removed);
    BOOST_TEST((rejectedFor() == kVersionGone));
}

BOOST_AUTO_TEST_CASE(isRefusedIfItsUpstreamRestartedWithAnotherVersion)
{
    auto pinned = resumedWork("v1");
    pinned.pinnedUpstream = UpstreamId("old");
    records[UpstreamId("old")].startedAt = std::chrono::milliseconds(2);
    setVersion("old", "v2");
    submit(std::move(pinned));
    BOOST_TEST((rejectedFor() == kVersionGone));
    BOOST_TEST(placedIds().empty());
}

BOOST_AUTO_TEST_CASE(goesOnAtItsUpstreamWhileThatDrains)
{
    auto pinned = resumedWork("v1");
    pinned.pinnedUpstream = UpstreamId("old");
    setPhase("old", UpstreamPhase::Draining);
    submit(std::move(pinned));
    BOOST_TEST(placedAt() == std::vector<std::string>{"old"});
}

BOOST_AUTO_TEST_CASE(goesOnAtTheUpstreamThatBrokeItOffIfNoOtherHasItsVersion)
{
    auto resumed = resumedWork("v1");
    resumed.avoid = {UpstreamId("old")};
    submit(std::move(resumed));
    BOOST_TEST(placedAt() == std::vector<std::string>{"old"});
}

BOOST_AUTO_TEST_CASE(isNotPlacedAgainAtAnUpstreamThatRestartedWithAnotherVersion)
{
    const auto resumed = resumedWork("v1");
    submit(resumed);
    BOOST_TEST(placedAt() == std::vector<std::string>{"old"});
    records[UpstreamId("old")].startedAt = std::chrono::milliseconds(2);
    setVersion("old", "v2");
    submit(resumed);
    BOOST_TEST(placedIds().empty());
    BOOST_TEST((rejectedFor() == kVersionGone));
}

// Guards against a stream that goes on at an upstream which has restarted with another version and
// was not heard of since (review case 8).
BOOST_AUTO_TEST_CASE(waitsForAHeartbeatOfAnUpstreamThatMayHaveRestarted)
{
    BOOST_TEST(doubt("old") == std::vector<UpstreamId>{UpstreamId("old")});
    BOOST_TEST(doubt("old").empty(), "it is in doubt already");
    now += 50ms;
    const auto resumed = submit(resumedWork("v1"));
    auto atItsUpstream = resumedWork("v1");
    atItsUpstream.pinnedUpstream = UpstreamId("old");
    const auto pinned = submit(std::move(atItsUpstream));
    now += 50ms;
    dispatcher.tick(now);
    BOOST_TEST(placedIds().empty());
    BOOST_TEST(rejectedFor().empty());
    dispatcher.heartbeat(now, UpstreamId("old"), 0ms);
    dispatcher.tick(now);
    BOOST_TEST(placedIds() == (std::vector<RequestId>{resumed, pinned}));
}

// Guards against a stream that stays at an upstream which has just ended, in place of finding out.
BOOST_AUTO_TEST_CASE(isSentAtOnceToAnUpstreamThatCannotHaveRestartedYet)
{
    static_cast<void>(doubt("old"));
    submit(resumedWork("v1"));
    BOOST_TEST(placedAt() == std::vector<std::string>{"old"});
}

BOOST_AUTO_TEST_CASE(doesNotWaitWhileItsServiceHasOneVersion)
{
    static_cast<void>(doubt("old"));
    now += 50ms;
    auto only = resumedWork("v1");
    only.origin.isOnlyVersion = true;
    submit(std::move(only));
    BOOST_TEST(placedAt() == std::vector<std::string>{"old"});
}

BOOST_AUTO_TEST_CASE(isRefusedOnceItsUpstreamIsKnownToHaveRestartedWithAnotherVersion)
{
    static_cast<void>(doubt("old"));
    now += 50ms;
    submit(resumedWork("v1"));
    records[UpstreamId("old")].startedAt = std::chrono::milliseconds(2);
    setVersion("old", "v2");
    BOOST_TEST((rejectedFor() == kVersionGone));
    BOOST_TEST(placedIds().empty());
}

// Guards against a new stream that counts as one of the version that its upstream had before.
BOOST_AUTO_TEST_CASE(beginsWhereTheIncarnationIsKnownIfItCan)
{
    static_cast<void>(doubt("old"));
    submit(newStream());
    submit(newStream());
    const auto placements = dispatcher.takePlacements();
    BOOST_TEST_REQUIRE(placements.size() == 2U);
    BOOST_TEST(placements[0].upstream.value == "new");
    BOOST_TEST(placements[1].upstream.value == "old");
    BOOST_TEST((placements[1].certainty == IncarnationCertainty::Doubtful));
}

// Guards against the same at an upstream whose restart no connection could show.
BOOST_AUTO_TEST_CASE(beginsAtAKnownIncarnationOnlyIfAConnectionIsOlderThanAHeartbeat)
{
    const auto certaintyOfNext = [&] {
        auto item = newStream();
        item.avoid = {UpstreamId("new")};
        const auto id = submit(std::move(item));
        const auto placements = dispatcher.takePlacements();
        BOOST_TEST_REQUIRE(placements.size() == 1U);
        return std::pair(id, placements[0].certainty);
    };
    const auto [first, atFirst] = certaintyOfNext();
    BOOST_TEST((atFirst == IncarnationCertainty::Unconfirmed));
    finish(first);
    const auto [second, atSecond] = certaintyOfNext();
    BOOST_TEST((atSecond == IncarnationCertainty::Unconfirmed), "no heartbeat came since");
    dispatcher.heartbeat(now, UpstreamId("old"), 0ms);
    finish(second);
    const auto [third, atThird] = certaintyOfNext();
    BOOST_TEST((atThird == IncarnationCertainty::Known));
    finish(third);
    now += 5s;
    const auto [fourth, atFourth] = certaintyOfNext();
    BOOST_TEST((atFourth == IncarnationCertainty::Unconfirmed), "no connection is left");
    finish(fourth);
    static_cast<void>(doubt("old"));
    dispatcher.heartbeat(now, UpstreamId("old"), 0ms);
    const auto [fifth, atFifth] = certaintyOfNext();
    BOOST_TEST((atFifth == IncarnationCertainty::Unconfirmed), "none is open again");
    finish(fifth);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenManyResumedStreamsWait, VersionsFixture)

BOOST_AUTO_TEST_CASE(fillsTheSlotsOfTheOtherVersions)
{
    submit(resumedWork("v1"));
    submit(work(kEngines));
    placedIds();
    add("old2", kEngines, 1);
    setVersion("old2", "v1");
    submit(resumedWork("v1"));
    placedIds();
    for (int i = 0; i < 12; ++i) {
        auto waiting = resumedWork("v1");
        waiting.avoid = {UpstreamId("old2")};
        submit(std::move(waiting));
    }
    const auto unbound = submit(work(kEngines));
    finish(2);
    BOOST_TEST(placedIds() == std::vector<RequestId>{unbound});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
