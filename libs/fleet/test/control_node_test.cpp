#include "control_fleet.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ControlNodeTest)

BOOST_AUTO_TEST_SUITE(WhenTheFleetStarts)

BOOST_AUTO_TEST_CASE(electsExactlyOneLeader)
{
    Fleet fleet;
    BOOST_TEST(!fleet.waitForLeader().empty());
    BOOST_TEST(fleet.leaders() == 1U);
}

BOOST_AUTO_TEST_CASE(addsNoInstanceWithAnEmptyDiskToACompleteGroup)
{
    Fleet fleet;
    fleet.start("10.0.0.9", "10.0.0.9~x", {});
    fleet.waitForLeader();
    fleet.run(3s);
    BOOST_TEST(fleet.node(fleet.leader()).replica().configuration().voters.size() == 3U);
    BOOST_TEST(!fleet.node("10.0.0.9").isLeader(fleet.now()));
}

BOOST_AUTO_TEST_CASE(growsToTheVotersThatTheFaultToleranceRequires)
{
    Fleet fleet(2);
    fleet.start("10.0.0.9", "10.0.0.9~x", {});
    fleet.waitForLeader();
    fleet.run(4s);
    BOOST_TEST(fleet.node(fleet.leader()).replica().configuration().voters.size() == 3U);
}

BOOST_AUTO_TEST_CASE(neverFormsASecondGroupFromAnEmptyDisk)
{
    Fleet fleet;
    fleet.waitForLeader();
    for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        fleet.restartWiped(name);
    fleet.run(10s);
    BOOST_TEST(fleet.leader().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAConfigurationIsStored)

BOOST_AUTO_TEST_CASE(acknowledgesItOnlyOnceAMajorityHasIt)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
        if (name != leader)
            fleet.kill(name);
    }
    const auto token = fleet.put(leader, 5, "five");
    fleet.run(3s);
    const auto answer = fleet.answer(token);
    BOOST_TEST((!answer || answer->status != CallStatus::Done));
}

BOOST_AUTO_TEST_CASE(keepsItWhenTheLeaderIsLostRightAfterTheAcknowledgement)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    const auto token = fleet.put(leader, 5, "five");
    while (!fleet.answer(token))
        fleet.run(5ms);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Done));
    fleet.restartWiped(leader);
    const auto next = fleet.waitForLeader();
    BOOST_TEST(fleet.read(next).document == "five");
}

BOOST_AUTO_TEST_CASE(keepsItWhenAllInstancesAreKilledAtOnce)
{
    Fleet fleet;
    const auto token = fleet.put(fleet.waitForLeader(), 5, "five");
    fleet.run(100ms);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Done));
    for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        fleet.kill(name);
    for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        fleet.restart(name);
    BOOST_TEST(fleet.read(fleet.waitForLeader()).document == "five");
}

BOOST_AUTO_TEST_CASE(acknowledgesALowerVersionWithoutEffect)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.put(leader, 5, "five");
    fleet.run(100ms);
    const auto token = fleet.put(leader, 4, "four");
    fleet.run(100ms);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Done));
    BOOST_TEST(fleet.read(leader).document == "five");
}

BOOST_AUTO_TEST_CASE(keepsItAcrossHundredsOfChangesAndSnapshots)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    for (std::uint64_t version = 1; version <= 300; ++version) {
        fleet.put(leader, version, "v" + std::to_string(version));
        fleet.run(15ms);
    }
    fleet.run(100ms);
    const auto other = leader == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    fleet.restartWiped(other);
    fleet.run(6s);
    fleet.kill(leader);
    BOOST_TEST(fleet.read(fleet.waitForLeader()).document == "v300");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenALeaderIsIsolated)

BOOST_AUTO_TEST_CASE(refusesReadsOnceItsLeaseHasExpired)
{
    Fleet fleet;
    const auto old = fleet.waitForLeader();
    fleet.isolate(old);
    fleet.run(3s);
    BOOST_TEST((fleet.read(old).status != CallStatus::Done));
    BOOST_TEST(!fleet.waitForLeader().empty());
}

BOOST_AUTO_TEST_CASE(neverHasTwoServingLeaders)
{
    Fleet fleet;
    const auto old = fleet.waitForLeader();
    fleet.isolate(old);
    for (int i = 0; i < 800; ++i) {
        fleet.run(5ms);
        BOOST_TEST(fleet.leaders() <= 1U);
    }
}

BOOST_AUTO_TEST_CASE(ignoresALeaseFromBeforeASuspension)
{
    Fleet fleet;
    const auto old = fleet.waitForLeader();
    fleet.suspend(old);
    fleet.run(4s);
    // It resumes and has not yet received a message.
    BOOST_TEST(!fleet.node(old).isLeader(fleet.now()));
    fleet.resume(old);
    fleet.run(1s);
    BOOST_TEST(fleet.leaders() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenDisksAreFullOneAfterAnother)

// Guards against changes that are refused long after the last disk has room again.
BOOST_AUTO_TEST_CASE(acknowledgesChangesMeanwhileAndLongAfter)
{
    Fleet fleet;
    fleet.waitForLeader();
    std::uint64_t version = 0;
    const auto change = [&](Duration length) {
        for (const auto end = fleet.now() + length; fleet.now() < end;) {
            ++version;
            const auto token = fleet.put(fleet.waitForLeader(), version, std::to_string(version));
            fleet.run(100ms);
            BOOST_TEST_REQUIRE(fleet.answer(token).has_value());
            BOOST_TEST((fleet.answer(token)->status == CallStatus::Done));
        }
    };
    for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.2", "10.0.0.1"}) {
        fleet.setDiskFull(name, true);
        change(3s);
        fleet.setDiskFull(name, false);
        fleet.run(500ms);
    }
    change(10s);
    for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
        fleet.kill(name);
        fleet.restart(name);
    }
    fleet.run(5s);
    BOOST_TEST(fleet.read(fleet.waitForLeader()).document == std::to_string(version));
}

// Guards against a term that only a full disk keeps from being recorded.
BOOST_AUTO_TEST_CASE(electsALeaderWhileTheDiskOfAFollowerIsFull)
{
    Fleet fleet;
    const auto first = fleet.waitForLeader();
    const std::string full = first == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    fleet.setDiskFull(full, true);
    fleet.run(1s);
    fleet.kill(first);
    fleet.run(3s);
    // With one instance down and one that can store no vote there is no majority.
    BOOST_TEST(fleet.leader().empty());
    fleet.setDiskFull(full, false);
    BOOST_TEST(!fleet.waitForLeader().empty());
    fleet.restart(first);
    fleet.run(2s);
    const auto token = fleet.put(fleet.waitForLeader(), 1, "one");
    fleet.run(200ms);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Done));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAllInstancesRestart)

namespace {

/// Version of the configuration, after the last snapshot, with which an upstream registers.
constexpr std::uint64_t kRegisteredAt = 60;
constexpr std::uint64_t kLastVersion = 90;

/// A fleet whose snapshots are older than its newest configuration and upstream, and which was
/// killed and has started again.
struct RestartedFleet
{
    RestartedFleet()
    {
        auto leader = fleet.waitForLeader();
        for (std::uint64_t version = 1; version <= kLastVersion; ++version) {
            if (version == kRegisteredAt)
                fleet.heartbeat(leader, upstream("u", 1, 1));
            fleet.put(leader, version, std::to_string(version));
            fleet.run(20ms);
        }
        fleet.run(100ms);
        const std::vector<std::string> names{"10.0.0.1", "10.0.0.2", "10.0.0.3"};
        for (const auto &name : names)
            fleet.kill(name);
        for (const auto &name : names)
            fleet.restart(name);
    }

    /// Makes a call to every instance in each round until the first is answered as by a leader.
    template <typename Call>
    auto answerInEachRound(Call call) -> CallAnswer
    {
        std::vector<CallToken> tokens;
        fleet.onRound([&](const std::string &, ControlNode &node) {
            tokens.push_back(fleet.nextToken());
            call(node, tokens.back());
        });
        for (int i = 0; i < 1000; ++i) {
            fleet.run(5ms);
            for (const auto token : tokens) {
                const auto answer = fleet.answer(token);
                if (answer && answer->status == CallStatus::Done)
                    return *answer;
            }
        }
        return {};
    }

    Fleet fleet;
};

} // namespace

// Guards against a read that a new leader answers before it has applied what was committed.
BOOST_FIXTURE_TEST_CASE(theFirstReadInAnyRoundShowsTheNewestConfiguration, RestartedFleet)
{
    const auto answer = answerInEachRound(
        [&](ControlNode &node, CallToken token) { node.readConfiguration(fleet.now(), token); });
    BOOST_TEST(answer.document == std::to_string(kLastVersion));
}

// Guards against a leave that a new leader acknowledges because its old state lacks the upstream.
BOOST_FIXTURE_TEST_CASE(theFirstLeaveInAnyRoundRemovesTheUpstream, RestartedFleet)
{
    answerInEachRound([&](ControlNode &node, CallToken token) {
        node.upstreamLeft(fleet.now(), token, UpstreamId("u"));
    });
    const auto &known = fleet.node(fleet.leader()).state().upstreams();
    BOOST_TEST((known.at(UpstreamId("u")).phase == UpstreamPhase::Removed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
