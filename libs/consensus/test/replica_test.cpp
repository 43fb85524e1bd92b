#include <boost/test/unit_test.hpp>

#include <heathergate/testing/consensus_group.h>

using namespace std::chrono_literals;
using heathergate::Random;
using namespace heathergate::consensus;
using heathergate::testing::ConsensusGroup;
using heathergate::testing::LinkFaults;

namespace {

const std::vector<std::string> kThreeVoters{"a", "b", "c"};

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

/// Makes a replica the leader of a group of two whose other voter, `peer`, grants every vote and
/// has the same log. Returns the time of the election.
auto elect(Replica &replica, const ReplicaId &self, const ReplicaId &peer) -> heathergate::TimePoint
{
    const auto now = replica.nextDeadline();
    replica.tick(now);
    for (int step = 0; step < 8; ++step) {
        if (replica.role() == Role::Leader)
            replica.tick(now);
        auto effects = replica.takeEffects(now);
        for (const auto &write : effects.writes)
            replica.synced(now, write.number);
        const auto more = replica.takeEffects(now).messages;
        effects.messages.insert(effects.messages.end(), more.begin(), more.end());
        for (const auto &[from, to, message] : effects.messages) {
            if (const auto *vote = std::get_if<VoteRequest>(&message))
                replica.receive(now, {peer, self, VoteReply{vote->term, true, vote->preVote}});
            if (const auto *append = std::get_if<AppendRequest>(&message))
                replica.receive(now, {peer, self,
                                      AppendReply{append->term, true,
                                                  append->previousIndex + append->entries.size(),
                                                  append->round}});
        }
    }
    return now;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaTest)

BOOST_AUTO_TEST_SUITE(WhenAGroupStarts)

BOOST_AUTO_TEST_CASE(aSingleVoterBecomesLeaderAndCommits)
{
    ConsensusGroup group(1, {"a"});
    BOOST_TEST(group.runUntilLeader(3s) == "a");
    const auto index = group.propose("first");
    BOOST_TEST(group.runUntilApplied(index, 1s));
    BOOST_TEST(contains(group.applied("a"), "first"));
}

BOOST_AUTO_TEST_CASE(threeVotersElectOneLeaderAndReplicateTheEntry)
{
    ConsensusGroup group(2, kThreeVoters);
    BOOST_TEST(!group.runUntilLeader(5s).empty());
    const auto index = group.propose("first");
    BOOST_TEST(group.runUntilApplied(index, 1s));
    for (const auto &name : kThreeVoters)
        BOOST_TEST(contains(group.applied(name), "first"), name << " has not applied the entry");
    BOOST_TEST(group.violation() == "");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a read that is answered before the entries of earlier terms are applied (review
// case 6).
BOOST_AUTO_TEST_CASE(aLeaderServesNoReadsBeforeItsCommittedEntriesAreTaken)
{
    const ReplicaId self("a");
    Configuration genesis;
    genesis.voters = {self};
    Replica replica(self, {}, genesis, {}, Random(1), heathergate::TimePoint{});
    const auto now = replica.nextDeadline();
    replica.tick(now);
    BOOST_TEST_REQUIRE((replica.role() == Role::Leader));
    for (const auto &write : replica.takeEffects(now).writes)
        replica.synced(now, write.number);
    BOOST_TEST(replica.commitIndex() > 0U);
    BOOST_TEST(!replica.canServeReads(now));
    BOOST_TEST(!replica.takeEffects(now).committed.empty());
    BOOST_TEST(replica.canServeReads(now));
}

BOOST_AUTO_TEST_SUITE(WhenAllReplicasRestart)

BOOST_AUTO_TEST_CASE(aLeaderIsElectedSoonAfterTheFormerLeaseExpires)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ConsensusGroup group(seed, kThreeVoters);
        group.runUntilLeader(5s);
        for (const auto &name : kThreeVoters)
            group.crash(name);
        for (const auto &name : kThreeVoters)
            group.restart(name);
        // The former lease expires after 700 ms, and the first pre-vote starts at most 350 ms
        // later.
        BOOST_TEST(!group.runUntilLeader(1200ms).empty());
    }
}

BOOST_AUTO_TEST_CASE(theTimeSinceProcessStartCountsTowardsTheLease)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ConsensusGroup group(seed, kThreeVoters);
        group.runUntilLeader(5s);
        for (const auto &name : kThreeVoters)
            group.crash(name);
        group.run(600ms);
        for (const auto &name : kThreeVoters)
            group.restart(name, 500ms);
        // The former lease expires 200 ms after the restart, and the first pre-vote starts at most
        // 350 ms later. Counted from the restart, it would start after 875 ms at the earliest.
        BOOST_TEST(!group.runUntilLeader(700ms).empty());
        BOOST_TEST(group.violation() == "");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenADiskSyncTakesLongerThanTheElectionTimeout)

// Guards against votes that wait for slow disks and are counted no more once they arrive.
BOOST_AUTO_TEST_CASE(aLeaderIsElectedAtTheStart)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ConsensusGroup group(seed, kThreeVoters);
        group.setSyncTime(1s);
        // A vote of the candidate, one of a voter and the first entry are synced one after the
        // other; a split vote may need another term.
        BOOST_TEST(!group.runUntilLeader(10s).empty(), "seed " << seed);
        BOOST_TEST(group.violation() == "");
    }
}

// Guards against the same after the loss of a leader.
BOOST_AUTO_TEST_CASE(aLeaderIsElectedAfterTheLossOfTheFormerOne)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ConsensusGroup group(seed, kThreeVoters);
        const auto former = group.runUntilLeader(5s);
        group.setSyncTime(1s);
        group.crash(former);
        BOOST_TEST(!group.runUntilLeader(10s).empty(), "seed " << seed);
        BOOST_TEST(group.violation() == "");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAllReplicasAreSuspended)

BOOST_AUTO_TEST_CASE(theLeaderKeepsItsTermAfterAShortPause)
{
    ConsensusGroup group(3, kThreeVoters);
    const auto leader = group.runUntilLeader(5s);
    const auto term = group.replica(leader).term();
    for (const auto &name : kThreeVoters)
        group.setSuspended(name, true);
    // The pause lasts between one and two election timeouts of 700 ms. Replies that arrive during
    // it are not handled until it ends, so their absence must not make the leader step down.
    group.run(1200ms);
    for (const auto &name : kThreeVoters)
        group.setSuspended(name, false);
    BOOST_TEST(group.runUntilLeader(500ms) == leader);
    BOOST_TEST(group.replica(leader).term() == term);
}

BOOST_AUTO_TEST_CASE(aNewElectionFollowsALongPause)
{
    ConsensusGroup group(3, kThreeVoters);
    const auto leader = group.runUntilLeader(5s);
    const auto term = group.replica(leader).term();
    for (const auto &name : kThreeVoters)
        group.setSuspended(name, true);
    group.run(20s);
    for (const auto &name : kThreeVoters)
        group.setSuspended(name, false);
    group.run(3s);
    const auto next = group.runUntilLeader(2s);
    BOOST_TEST_REQUIRE(!next.empty());
    BOOST_TEST(group.replica(next).term() > term);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAVoteIsRequested)

BOOST_AUTO_TEST_CASE(itIsGrantedOnlyOnceItIsDurable)
{
    using namespace heathergate::consensus;
    const heathergate::TimePoint start(1h);
    const Configuration genesis{{ReplicaId("a"), ReplicaId("b"), ReplicaId("c")}, {}};
    Replica replica(ReplicaId("a"), {}, genesis, {}, Random(1), start);
    // The replica does not vote while a lease that it may have confirmed before its start is valid
    // (700 ms).
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

BOOST_AUTO_TEST_SUITE(WhenTheLeaderCrashes)

BOOST_AUTO_TEST_CASE(anotherIsElectedWithinTwoSeconds)
{
    for (std::uint64_t seed = 10; seed < 40; ++seed) {
        ConsensusGroup group(seed, kThreeVoters);
        const auto first = group.runUntilLeader(5s);
        group.run(1s);
        group.crash(first);
        const auto crashedAt = group.clock().now();
        const auto second = group.runUntilLeader(5s);
        const auto failoverTime = group.clock().now() - crashedAt;
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(!second.empty());
            BOOST_TEST((failoverTime <= 2s), "took " << failoverTime.count() << " us");
            BOOST_TEST(group.violation() == "");
        }
    }
}

BOOST_AUTO_TEST_CASE(committedEntriesSurviveAndUncommittedOnesMayBeDiscarded)
{
    ConsensusGroup group(50, kThreeVoters);
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

BOOST_AUTO_TEST_SUITE(WhenTheLeaderIsIsolated)

BOOST_AUTO_TEST_CASE(itStepsDownAndServesNoReadsAndCatchesUpAfterAnHour)
{
    ConsensusGroup group(60, kThreeVoters);
    const auto first = group.runUntilLeader(5s);
    group.setIsolated(first, true);
    group.run(1500ms);
    BOOST_TEST(!group.replica(first).canServeReads(group.localTime(first)));
    BOOST_TEST((group.replica(first).role() != Role::Leader));
    const auto second = group.runUntilLeader(5s);
    BOOST_TEST(second != first);
    const auto index = group.propose("during the isolation");
    group.run(60s);
    group.clock().advance(1h);
    const auto term = group.replica(second).term();
    group.setIsolated(first, false);
    BOOST_REQUIRE(group.runUntilApplied(index, 10s));
    BOOST_TEST(contains(group.applied(first), "during the isolation"));
    BOOST_TEST(group.violation() == "");
    BOOST_TEST(term >= 1U);
}

BOOST_AUTO_TEST_CASE(aResumedLeaderServesNoStaleState)
{
    ConsensusGroup group(61, kThreeVoters);
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

BOOST_AUTO_TEST_CASE(aRejoiningFollowerDoesNotDisruptTheLeader)
{
    ConsensusGroup group(62, kThreeVoters);
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

BOOST_AUTO_TEST_SUITE(WhenMembershipChanges)

BOOST_AUTO_TEST_CASE(aLearnerIsPromotedOnlyOnceItHasCaughtUp)
{
    ConsensusGroup group(70, kThreeVoters);
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

BOOST_AUTO_TEST_CASE(aSecondFailureRightAfterAReplacementLosesNoEntry)
{
    ConsensusGroup group(71, kThreeVoters);
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

BOOST_AUTO_TEST_CASE(aWipedReplicaDoesNotVoteUnderItsFormerIdentifier)
{
    ConsensusGroup group(72, kThreeVoters);
    const auto leader = group.runUntilLeader(5s);
    group.run(500ms);
    const auto wiped = otherThan(leader);
    group.crash(wiped);
    group.addEmptyReplica(wiped + "~new");
    group.crash(leader);
    // One voter of three is left. The wiped replica must not form a majority with it.
    BOOST_TEST(group.runUntilLeader(20s).empty());
    group.restart(leader);
    BOOST_TEST(!group.runUntilLeader(10s).empty());
}

BOOST_AUTO_TEST_CASE(leadershipIsTransferredWithoutOverlappingLeases)
{
    ConsensusGroup group(73, kThreeVoters);
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

BOOST_AUTO_TEST_CASE(itReceivesTheSnapshotInPiecesOverALossyLink)
{
    Settings settings;
    settings.snapshotPieceBytes = 2;
    settings.retainedEntries = 5;
    ConsensusGroup group(80, kThreeVoters, settings);
    const auto leader = group.runUntilLeader(5s);
    const auto laggingFollower = otherThan(leader);
    group.crash(laggingFollower);
    for (int i = 0; i < 300; ++i)
        group.propose("entry " + std::to_string(i));
    group.run(1s);
    group.compact(leader);
    group.link().setFaults({0.2, 0.1, 1ms, 5ms});
    group.restart(laggingFollower);
    const auto index = group.propose("after the snapshot");
    BOOST_TEST(group.runUntilApplied(index, 60s));
    BOOST_TEST(contains(group.applied(laggingFollower), "after the snapshot"));
    BOOST_TEST(group.violation() == "");
}

BOOST_AUTO_TEST_CASE(theLeaderRetainsEntriesUpToALimitOfBytes)
{
    Settings settings;
    settings.retainedBytes = 10'000;
    ConsensusGroup group(81, kThreeVoters, settings);
    const auto leader = group.runUntilLeader(5s);
    for (int i = 0; i < 50; ++i)
        group.propose(std::string(1'000, 'x'));
    group.run(1s);
    group.compact(leader);
    BOOST_TEST(group.replica(leader).logBytes() <= 10'000U);
    BOOST_TEST(group.replica(leader).logBytes() >= 9'000U);
    BOOST_TEST(group.violation() == "");
}

BOOST_AUTO_TEST_CASE(theLeaderPausesAtALimitOfUnacknowledgedBytes)
{
    Settings settings;
    settings.maxAppendBytes = 2'000;
    settings.maxBytesInFlight = 10'000;
    const ReplicaId self("a");
    const ReplicaId peer("b");
    Replica leader(self, settings, Configuration{{self, peer}, {}}, {}, Random(1),
                   heathergate::TimePoint(1h));
    const auto now = elect(leader, self, peer);
    BOOST_TEST_REQUIRE((leader.role() == Role::Leader));
    for (int i = 0; i < 100; ++i)
        BOOST_TEST_REQUIRE(leader.propose(now, std::string(1'000, 'x')).has_value());
    std::size_t sent = 0;
    for (const auto &envelope : leader.takeEffects(now).messages) {
        if (const auto *request = std::get_if<AppendRequest>(&envelope.message)) {
            for (const auto &entry : request->entries)
                sent += entry.payload.size();
        }
    }
    BOOST_TEST(sent >= 10'000U);
    BOOST_TEST(sent <= 12'000U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UnderRandomFaults)

/// Injects crashes, cut links, process suspensions and stalled disks in random order, with clocks
/// at the limits of the tolerated error, while commands are proposed. Every replica must apply the
/// same entries.
BOOST_AUTO_TEST_CASE(replicasAgreeAndAtMostOneHoldsTheLease)
{
    for (std::uint64_t seed = 1000; seed < 1150; ++seed) {
        ConsensusGroup group(seed, kThreeVoters);
        Random random(seed);
        group.setClockError("a", heathergate::kClockErrorPpm);
        group.setClockError("b", -heathergate::kClockErrorPpm);
        group.link().setFaults({0.05, 0.05, 1ms, 20ms});
        for (int round = 0; round < 25; ++round) {
            const auto &name = kThreeVoters[random.below(3)];
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
                group.link().setPartitioned(name, kThreeVoters[random.below(3)], true);
                break;
            default:
                for (const auto &each : kThreeVoters) {
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
        for (const auto &each : kThreeVoters) {
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
