#include "control_fleet.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;
using namespace std::chrono_literals;

namespace {

constexpr auto kHeartbeatInterval = 1200ms;

/// A fleet whose configuration has the service "tools", with the upstream "u" of that service.
struct RegisteredFixture
{
    RegisteredFixture()
    {
        leader = fleet.waitForLeader();
        fleet.putServices(leader, 1, {"tools"});
        BOOST_TEST((report(sound()) == CallStatus::Done));
    }

    /// Returns the next heartbeat of the sound upstream.
    auto sound() -> UpstreamRecord
    {
        return upstream("u", 10, ++sequence);
    }

    /// Returns a heartbeat of another writer, who claims to have started later.
    static auto stranger(const std::string &id, const std::string &service) -> UpstreamRecord
    {
        auto record = upstream(id, 20, 1);
        record.service = ServiceId(service);
        return record;
    }

    auto report(const UpstreamRecord &record) -> CallStatus
    {
        const auto token = fleet.heartbeat(leader, record);
        fleet.run(50ms);
        return fleet.answer(token)->status;
    }

    auto soundHeartbeats(int count) -> void
    {
        for (int i = 0; i < count; ++i) {
            fleet.run(kHeartbeatInterval);
            report(sound());
        }
    }

    auto recordOf(const std::string &id) -> UpstreamRecord
    {
        const auto &known = fleet.node(leader).state().upstreams();
        const auto found = known.find(UpstreamId(id));
        return found == known.end() ? UpstreamRecord{} : found->second;
    }

    [[nodiscard]] auto isInUse() -> bool
    {
        const auto record = recordOf("u");
        return record.phase == UpstreamPhase::Ready && record.service.value == "tools"
               && record.startedAt.count() == 10;
    }

    Fleet fleet;
    std::string leader;
    std::uint64_t sequence = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamRegistryTest)

BOOST_FIXTURE_TEST_SUITE(WhenAnotherWriterNamesAServiceThatTheConfigurationLacks, RegisteredFixture)

// Guards against a sound upstream that is removed by a heartbeat at its address (review case 9).
BOOST_AUTO_TEST_CASE(theUpstreamAtItsAddressStays)
{
    BOOST_TEST((report(stranger("x", "nosuch")) == CallStatus::Conflict));
    BOOST_TEST(isInUse());
    BOOST_TEST((report(sound()) == CallStatus::Done));
}

BOOST_AUTO_TEST_CASE(theUpstreamWithItsIdentifierStays)
{
    BOOST_TEST((report(stranger("u", "nosuch")) == CallStatus::Conflict));
    BOOST_TEST(isInUse());
    auto elsewhere = stranger("u", "nosuch");
    elsewhere.address.port = 9001;
    BOOST_TEST((report(elsewhere) == CallStatus::Conflict));
    BOOST_TEST(isInUse());
}

BOOST_AUTO_TEST_CASE(itsSequenceNumberDoesNotOutdateTheUpstream)
{
    auto record = upstream("u", 10, 100'000);
    record.service = ServiceId("nosuch");
    report(record);
    auto draining = sound();
    draining.phase = UpstreamPhase::Draining;
    report(draining);
    BOOST_TEST((recordOf("u").phase == UpstreamPhase::Draining));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenAnUpstreamStartsBeforeItsServiceIsNamed, RegisteredFixture)

BOOST_AUTO_TEST_CASE(itIsKnownOnceTheServiceIsNamed)
{
    auto early = stranger("early", "later");
    early.address.port = 9001;
    BOOST_TEST((report(early) == CallStatus::Done));
    fleet.putServices(leader, 2, {"tools", "later"});
    BOOST_TEST((recordOf("early").phase == UpstreamPhase::Ready));
}

BOOST_AUTO_TEST_CASE(aNamedOneTakesItsAddressWhoeverStartedLater)
{
    auto early = stranger("early", "later");
    early.address.port = 9001;
    report(early);
    auto named = upstream("v", 5, 1, 9001);
    BOOST_TEST((report(named) == CallStatus::Done));
    BOOST_TEST((recordOf("v").phase == UpstreamPhase::Ready));
    BOOST_TEST((recordOf("early").phase == UpstreamPhase::Removed));
}

BOOST_AUTO_TEST_CASE(itGetsTheAddressOfAnUpstreamThatHasEnded)
{
    auto next = stranger("next", "later");
    for (std::uint64_t number = 1; number <= 6; ++number) {
        next.sequence = number;
        report(next);
        fleet.run(kHeartbeatInterval);
    }
    BOOST_TEST((recordOf("next").phase == UpstreamPhase::Ready));
    BOOST_TEST((recordOf("u").phase == UpstreamPhase::Removed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenAnUpstreamIsDisplacedByMistake, RegisteredFixture)

// Guards against a sound upstream that stays out of use for as long as it runs.
BOOST_AUTO_TEST_CASE(itGetsItsAddressBackByItsHeartbeats)
{
    report(stranger("x", "tools"));
    BOOST_TEST(!isInUse());
    soundHeartbeats(5);
    BOOST_TEST(isInUse());
    BOOST_TEST((recordOf("x").phase == UpstreamPhase::Removed));
}

BOOST_AUTO_TEST_CASE(itGetsItsIdentifierBackByItsHeartbeats)
{
    report(stranger("u", "tools"));
    BOOST_TEST(!isInUse());
    soundHeartbeats(5);
    BOOST_TEST(isInUse());
}

BOOST_AUTO_TEST_CASE(itIsHeardAgainAfterAnotherWritersSequenceNumber)
{
    report(upstream("u", 10, 100'000));
    soundHeartbeats(5);
    auto draining = sound();
    draining.phase = UpstreamPhase::Draining;
    report(draining);
    BOOST_TEST((recordOf("u").phase == UpstreamPhase::Draining));
}

BOOST_AUTO_TEST_CASE(itGetsItsRecordBackFromANewLeaderToo)
{
    report(stranger("x", "tools"));
    fleet.kill(leader);
    leader = fleet.waitForLeader();
    soundHeartbeats(5);
    BOOST_TEST(isInUse());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenAnotherUpstreamHasTheAddress, RegisteredFixture)

BOOST_AUTO_TEST_CASE(heartbeatsOfTheFormerOneAreIgnoredWhileTheOtherIsHeard)
{
    auto next = stranger("next", "tools");
    for (std::uint64_t number = 1; number <= 10; ++number) {
        next.sequence = number;
        report(next);
        soundHeartbeats(1);
    }
    BOOST_TEST((recordOf("next").phase == UpstreamPhase::Ready));
    BOOST_TEST(!isInUse());
}

BOOST_AUTO_TEST_CASE(lateHeartbeatsOfTheFormerOneThatArriveTogetherAreIgnored)
{
    report(stranger("next", "tools"));
    fleet.run(10s);
    for (int i = 0; i < 8; ++i)
        report(sound());
    BOOST_TEST(!isInUse());
}

// Guards against requests to an upstream that was told that it is gone.
BOOST_AUTO_TEST_CASE(anUpstreamThatHasLeftNeverComesBack)
{
    fleet.node(leader).upstreamLeft(fleet.now(), fleet.nextToken(), UpstreamId("u"));
    soundHeartbeats(8);
    BOOST_TEST(!isInUse());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
