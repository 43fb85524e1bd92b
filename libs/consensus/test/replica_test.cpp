#include <boost/test/unit_test.hpp>

#include <heathergate/testing/consensus_group.h>

using namespace std::chrono_literals;
using heathergate::Random;
using heathergate::consensus::Index;
using heathergate::consensus::ReplicaId;
using heathergate::consensus::Role;
using heathergate::consensus::Settings;
using heathergate::testing::ConsensusGroup;
using heathergate::testing::LinkFaults;

namespace {

const std::vector<std::string> kThree{"a", "b", "c"};

auto otherThan(const std::string &name) -> std::string
{
    return name == "a" ? "b" : "a";
}

auto contains(const std::vector<heathergate::consensus::Entry> &entries, const std::string &payload)
    -> bool
{
    return std::any_of(entries.begin(), entries.end(),
                       [&](const auto &entry) { return entry.payload == payload; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaStory)

BOOST_AUTO_TEST_SUITE(WhenAGroupStarts)

BOOST_AUTO_TEST_CASE(aLoneVoterLeadsAndCommits)
{
    ConsensusGroup group(1, {"a"});
    BOOST_TEST(group.runUntilLeader(3s) == "a");
    const auto index = group.propose("first");
    BOOST_TEST(group.runUntilApplied(index, 1s));
    BOOST_TEST(contains(group.applied("a"), "first"));
}

BOOST_AUTO_TEST_CASE(threeVotersElectOneLeaderAndAgree)
{
    ConsensusGroup group(2, kThree);
    BOOST_TEST(!group.runUntilLeader(5s).empty());
    const auto index = group.propose("first");
    BOOST_TEST(group.runUntilApplied(index, 1s));
    for (const auto &name : kThree)
        BOOST_TEST(contains(group.applied(name), "first"), name << " lacks the entry");
    BOOST_TEST(group.violation() == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAllReplicasRestart)

BOOST_AUTO_TEST_CASE(oneLeadsSoonAfterTheFormerLeaseHasRunOut)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ConsensusGroup group(seed, kThree);
        group.runUntilLeader(5s);
        for (const auto &name : kThree)
            group.crash(name);
        for (const auto &name : kThree)
            group.restart(name);
        // 700 ms of silence, and 350 ms at most until the first of them asks for votes.
        BOOST_TEST(!group.runUntilLeader(1200ms).empty());
    }
}

BOOST_AUTO_TEST_CASE(theTimeThatTheirStartTookCountsAsSilence)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ConsensusGroup group(seed, kThree);
        group.runUntilLeader(5s);
        for (const auto &name : kThree)
            group.crash(name);
        group.run(600ms);
        for (const auto &name : kThree)
            group.restart(name, 500ms);
        BOOST_TEST(!group.runUntilLeader(700ms).empty());
        BOOST_TEST(group.violation() == "");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAllReplicasStandStill)

BOOST_AUTO_TEST_CASE(theLeaderHearsItsQuorumBeforeItGivesUp)
{
    ConsensusGroup group(3, kThree);
    const auto leader = group.runUntilLeader(5s);
    const auto term = group.replica(leader).term();
    for (const auto &name : kThree)
        group.setSuspended(name, true);
    group.run(1200ms);
    for (const auto &name : kThree)
        group.setSuspended(name, false);
    BOOST_TEST(group.runUntilLeader(500ms) == leader);
    BOOST_TEST(group.replica(leader).term() == term);
}

BOOST_AUTO_TEST_CASE(oneIsElectedAnewAfterALongTime)
{
    ConsensusGroup group(3, kThree);
    const auto leader = group.runUntilLeader(5s);
    const auto term = group.replica(leader).term();
    for (const auto &name : kThree)
        group.setSuspended(name, true);
    group.run(20s);
    for (const auto &name : kThree)
        group.setSuspended(name, false);
    group.run(3s);
    const auto next = group.runUntilLeader(2s);
    BOOST_TEST_REQUIRE(!next.empty());
    BOOST_TEST(group.replica(next).term() > term);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAVoteIsAsked)

BOOST_AUTO_TEST_CASE(itIsGivenOnlyOnceItIsDurable)
{
    using namespace heathergate::consensus;
    const heathergate::TimePoint start(1h);
    const Configuration genesis{{ReplicaId("a"), ReplicaId("b"), ReplicaId("c")}, {}};
    Replica replica(ReplicaId("a"), {}, genesis, {}, Random(1), start);
    const auto later = start + 1s;
    replica.receive(later, {ReplicaId("b"), ReplicaId("a"), VoteRequest{1, 0, 0, false, false}});
    auto effects = replica.takeEffects(later);
    BOOST_REQUIRE(!effects.writes.empty());
    BOOST_TEST(effects.messages.empty());
    replica.synced(later, effects.writes.back().number);
    effects = replica.takeEffects(later);
    BOOST_REQUIRE(effects.messages.size() == 1U);
    BOOST_TEST(std::get<VoteReply>(effects.messages[0].message).granted);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheLeaderDies)

BOOST_AUTO_TEST_CASE(anotherLeadsWithinTwoSeconds)
{
    for (std::uint64_t seed = 10; seed < 40; ++seed) {
        ConsensusGroup group(seed, kThree);
        const auto first = group.runUntilLeader(5s);
        group.run(1s);
        group.crash(first);
        const auto diedAt = group.clock().now();
        const auto second = group.runUntilLeader(5s);
        const auto took = group.clock().now() - diedAt;
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(!second.empty());
            BOOST_TEST((took <= 2s), "took " << took.count() << " us");
            BOOST_TEST(group.violation() == "");
        }
    }
}

BOOST_AUTO_TEST_CASE(whatWasCommittedStaysAndWhatWasNotMayGo)
{
    ConsensusGroup group(50, kThree);
    const auto first = group.runUntilLeader(5s);
    const auto index = group.propose("kept");
    BOOST_REQUIRE(group.runUntilApplied(index, 1s));
    group.setIsolated(first, true);
    group.propose("lost");
    group.run(5ms);
    group.crash(first);
    BOOST_REQUIRE(!group.runUntilLeader(5s).empty());
    const auto next = group.propose("after");
    BOOST_REQUIRE(group.runUntilApplied(next, 1s));
    group.setIsolated(first, false);
    group.restart(first);
    BOOST_REQUIRE(group.runUntilApplied(next, 5s));
    BOOST_TEST(contains(group.applied(first), "kept"));
    BOOST_TEST(contains(group.applied(first), "after"));
    BOOST_TEST(!contains(group.applied(first), "lost"));
    BOOST_TEST(group.violation() == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheLeaderIsCutOff)

BOOST_AUTO_TEST_CASE(itStepsDownByItselfAndServesNothingForAnHour)
{
    ConsensusGroup group(60, kThree);
    const auto first = group.runUntilLeader(5s);
    group.setIsolated(first, true);
    group.run(1500ms);
    BOOST_TEST(!group.replica(first).canServeReads(group.localTime(first)));
    BOOST_TEST((group.replica(first).role() != Role::Leader));
    const auto second = group.runUntilLeader(5s);
    BOOST_TEST(second != first);
    const auto index = group.propose("while it was away");
    group.run(60s);
    group.clock().advance(1h);
    const auto term = group.replica(second).term();
    group.setIsolated(first, false);
    BOOST_REQUIRE(group.runUntilApplied(index, 10s));
    BOOST_TEST(contains(group.applied(first), "while it was away"));
    BOOST_TEST(group.violation() == "");
    BOOST_TEST(term >= 1U);
}

BOOST_AUTO_TEST_CASE(aFrozenLeaderThatThawsServesNoOldState)
{
    ConsensusGroup group(61, kThree);
    const auto first = group.runUntilLeader(5s);
    group.run(1s);
    group.setSuspended(first, true);
    BOOST_REQUIRE(!group.runUntilLeader(5s).empty());
    group.propose("new");
    group.run(500ms);
    group.setSuspended(first, false);
    BOOST_TEST(!group.replica(first).canServeReads(group.localTime(first)));
    group.run(2s);
    BOOST_TEST(contains(group.applied(first), "new"));
    BOOST_TEST(group.violation() == "");
}

BOOST_AUTO_TEST_CASE(aReturningFollowerDoesNotDisturbTheLeader)
{
    ConsensusGroup group(62, kThree);
    const auto leader = group.runUntilLeader(5s);
    const auto follower = otherThan(leader);
    group.setIsolated(follower, true);
    group.run(30s);
    const auto term = group.replica(leader).term();
    group.setIsolated(follower, false);
    group.run(3s);
    BOOST_TEST(group.replica(leader).term() == term);
    BOOST_TEST((group.replica(leader).role() == Role::Leader));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenMembersChange)

BOOST_AUTO_TEST_CASE(aNewReplicaVotesOnlyOnceItHasCaughtUp)
{
    ConsensusGroup group(70, kThree);
    const auto leader = group.runUntilLeader(5s);
    for (int i = 0; i < 50; ++i)
        group.propose("entry " + std::to_string(i));
    group.run(1s);
    group.addEmptyReplica("d~1");
    auto &replica = group.replica(leader);
    group.setIsolated("d~1", true);
    BOOST_REQUIRE(replica.addLearner(group.localTime(leader), ReplicaId("d~1")));
    group.run(500ms);
    const auto early = replica.promote(group.localTime(leader), ReplicaId("d~1"));
    BOOST_REQUIRE(!early.has_value());
    BOOST_TEST(early.error().detail == "d~1 has not caught up");
    group.setIsolated("d~1", false);
    group.run(1s);
    BOOST_REQUIRE(replica.promote(group.localTime(leader), ReplicaId("d~1")));
    group.run(1s);
    BOOST_TEST(replica.configuration().voters.size() == 4U);
    BOOST_TEST(contains(group.applied("d~1"), "entry 49"));
    BOOST_TEST(group.violation() == "");
}

BOOST_AUTO_TEST_CASE(aSecondReplicaLostRightAfterARepairLosesNothing)
{
    ConsensusGroup group(71, kThree);
    auto leader = group.runUntilLeader(5s);
    group.propose("accepted");
    group.run(500ms);
    const auto lost = otherThan(leader);
    group.crash(lost);
    group.addEmptyReplica("d~1");
    BOOST_REQUIRE(group.replica(leader).addLearner(group.localTime(leader), ReplicaId("d~1")));
    group.run(500ms);
    BOOST_REQUIRE(group.replica(leader).promote(group.localTime(leader), ReplicaId("d~1")));
    group.run(500ms);
    BOOST_REQUIRE(group.replica(leader).removeMember(group.localTime(leader), ReplicaId(lost)));
    group.run(500ms);
    group.crash(leader);
    const auto next = group.runUntilLeader(10s);
    BOOST_REQUIRE(!next.empty());
    BOOST_TEST(contains(group.applied("d~1"), "accepted"));
    const auto index = group.propose("goes on");
    BOOST_TEST(group.runUntilApplied(index, 5s));
    BOOST_TEST(group.violation() == "");
}

BOOST_AUTO_TEST_CASE(aWipedDiskDoesNotVoteAsItsFormerSelf)
{
    ConsensusGroup group(72, kThree);
    const auto leader = group.runUntilLeader(5s);
    group.run(500ms);
    const auto wiped = otherThan(leader);
    group.crash(wiped);
    group.addEmptyReplica(wiped + "~new");
    group.crash(leader);
    // One voter of three is left; the wiped disk must not make up a majority with it.
    BOOST_TEST(group.runUntilLeader(20s).empty());
    group.restart(leader);
    BOOST_TEST(!group.runUntilLeader(10s).empty());
}

BOOST_AUTO_TEST_CASE(leadershipIsHandedOverWithoutTwoLeases)
{
    ConsensusGroup group(73, kThree);
    const auto first = group.runUntilLeader(5s);
    group.run(1s);
    group.replica(first).transferLeadership(group.localTime(first));
    group.run(500ms);
    const auto second = group.runUntilLeader(2s);
    BOOST_TEST(!second.empty());
    BOOST_TEST(second != first);
    BOOST_TEST(group.violation() == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAFollowerLagsBehindTheSnapshot)

BOOST_AUTO_TEST_CASE(itGetsTheSnapshotInPiecesAcrossALossyLink)
{
    Settings settings;
    settings.snapshotPieceBytes = 2;
    settings.retainedEntries = 5;
    ConsensusGroup group(80, kThree, settings);
    const auto leader = group.runUntilLeader(5s);
    const auto late = otherThan(leader);
    group.crash(late);
    for (int i = 0; i < 300; ++i)
        group.propose("entry " + std::to_string(i));
    group.run(1s);
    group.compact(leader);
    group.link().setFaults({0.2, 0.1, 1ms, 5ms});
    group.restart(late);
    const auto index = group.propose("after the snapshot");
    BOOST_TEST(group.runUntilApplied(index, 60s));
    BOOST_TEST(contains(group.applied(late), "after the snapshot"));
    BOOST_TEST(group.violation() == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UnderRandomFailures)

/// Crashes, cuts, freezes and slow disks in random order, with clocks at the edge of the stated
/// error; proposals all the while. Whatever was applied somewhere must be applied everywhere.
BOOST_AUTO_TEST_CASE(replicasAgreeAndNeverTwoHoldTheLease)
{
    for (std::uint64_t seed = 1000; seed < 1150; ++seed) {
        ConsensusGroup group(seed, kThree);
        Random random(seed);
        group.setClockError("a", heathergate::kClockErrorPpm);
        group.setClockError("b", -heathergate::kClockErrorPpm);
        group.link().setFaults({0.05, 0.05, 1ms, 20ms});
        for (int round = 0; round < 25; ++round) {
            const auto &name = kThree[random.below(3)];
            switch (random.below(8)) {
            case 0:
                group.crash(name);
                break;
            case 1:
                group.setIsolated(name, true);
                break;
            case 2:
                group.setSuspended(name, true);
                break;
            case 3:
                group.setDiskStalled(name, true);
                break;
            case 4:
                group.link().setPartitioned(name, kThree[random.below(3)], true);
                break;
            default:
                for (const auto &each : kThree) {
                    group.restart(each);
                    group.setSuspended(each, false);
                    group.setDiskStalled(each, false);
                }
                group.link().healPartitions();
            }
            for (int i = 0; i < 5; ++i) {
                group.propose(std::to_string(round) + "/" + std::to_string(i));
                group.run(heathergate::Duration(20'000 + random.below(200'000)));
            }
        }
        for (const auto &each : kThree) {
            group.restart(each);
            group.setSuspended(each, false);
            group.setDiskStalled(each, false);
        }
        group.link().healPartitions();
        group.link().setFaults({});
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_REQUIRE(!group.runUntilLeader(20s).empty());
            const auto index = group.propose("last");
            BOOST_TEST(group.runUntilApplied(index, 20s));
            BOOST_TEST(group.violation() == "");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
