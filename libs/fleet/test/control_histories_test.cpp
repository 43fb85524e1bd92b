#include "control_fleet.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;
using consensus::ReplicaId;

namespace {

auto otherThan(const std::string &leader) -> std::string
{
    return leader == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
}

auto announcedTo(const std::vector<Message> &messages) -> std::optional<std::uint64_t>
{
    std::optional<std::uint64_t> version;
    for (const auto &message : messages) {
        const auto *feed = std::get_if<fb::FeedT>(&message);
        if (feed != nullptr && feed->histories)
            version = feed->histories->version;
    }
    return version;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlHistories)

BOOST_AUTO_TEST_CASE(theReplicaSetConsistsOfTheVoters)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.run(2s);
    const auto &set = fleet.node(leader).historyReplicas();
    BOOST_TEST(set.members.size() == 3U);
    BOOST_TEST(set.copies == 2U);
    for (std::size_t i = 0; i < 3; ++i)
        BOOST_TEST(fleet.node(Fleet::nameOf(i)).historyReplicas().version == set.version);
}

BOOST_AUTO_TEST_CASE(aNewLeaderKeepsAnUnchangedSetAndItsVersion)
{
    Fleet fleet;
    const auto first = fleet.waitForLeader();
    fleet.run(2s);
    const auto version = fleet.node(first).historyReplicas().version;
    fleet.suspend(first);
    const auto second = fleet.waitForLeader();
    fleet.run(1s);
    BOOST_TEST(second != first);
    BOOST_TEST(fleet.node(second).historyReplicas().version == version);
}

BOOST_AUTO_TEST_CASE(aGatewayGetsTheSetUntilItReportsItsVersion)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.run(2s);
    fb::PresenceT presence;
    presence.boot = 1;
    presence.role = static_cast<std::uint8_t>(Role::Gateway);
    presence.address = "10.1.0.1:8000";
    const auto report = [&] {
        fleet.node(leader).receive(fleet.now(), InstanceId("10.1.0.1"),
                                   PeerFrame(Message(fb::PresenceT(presence))));
        fleet.run(20ms);
        return announcedTo(fleet.sentTo("10.1.0.1"));
    };
    const auto version = report();
    BOOST_TEST_REQUIRE(version.has_value());
    BOOST_TEST(report().has_value());
    presence.historyVersion = *version;
    BOOST_TEST(!report().has_value());
}

BOOST_AUTO_TEST_CASE(aLostVoterIsRemovedOnlyWhenItsSuccessorHasCopiedTheTurns)
{
    Fleet fleet;
    const auto lost = otherThan(fleet.waitForLeader());
    fleet.run(1s);
    fleet.setCopying(lost, true);
    fleet.restartWiped(lost);
    fleet.run(6s);
    const auto isMember = [&](const std::string &replica) {
        const auto &set = fleet.node(fleet.leader()).historyReplicas();
        return set.find(history::ReplicaId(replica)) != nullptr;
    };
    BOOST_TEST(isMember(lost));
    BOOST_TEST(isMember(lost + "~1"));
    fleet.setCopying(lost, false);
    fleet.run(3s);
    BOOST_TEST(!isMember(lost));
    BOOST_TEST(isMember(lost + "~1"));
}

BOOST_AUTO_TEST_CASE(anInstanceIsRetiredOnlyWhenTheOthersHaveCopiedItsTurns)
{
    Fleet fleet;
    fleet.start("10.0.0.7", "10.0.0.7~x", {});
    const auto leader = fleet.waitForLeader();
    fleet.run(2s);
    const auto target = otherThan(leader);
    fleet.setCopying("10.0.0.3", true);
    fleet.node(leader).startRetiring(fleet.now(), fleet.nextToken(), "node-" + target);
    fleet.run(6s);
    const auto state = [&] {
        const auto token = fleet.nextToken();
        fleet.node(fleet.leader()).readRetiring(fleet.now(), token, "node-" + target);
        fleet.run(10ms);
        return fleet.answer(token)->retire;
    };
    BOOST_TEST((state() == RetireState::Running));
    const auto *member =
        fleet.node(fleet.leader()).historyReplicas().find(history::ReplicaId(target));
    BOOST_TEST_REQUIRE(member != nullptr);
    BOOST_TEST(!member->isWritable);
    fleet.setCopying("10.0.0.3", false);
    fleet.run(3s);
    BOOST_TEST((state() == RetireState::Succeeded));
}

BOOST_AUTO_TEST_CASE(aLeaderThatReplaysOldChangesOfTheGroupAnnouncesOnlyTheLast)
{
    Fleet fleet;
    const auto lost = otherThan(fleet.waitForLeader());
    fleet.run(1s);
    fleet.restartWiped(lost);
    fleet.run(6s);
    for (std::size_t i = 0; i < 3; ++i)
        fleet.kill(Fleet::nameOf(i));
    for (std::size_t i = 0; i < 3; ++i)
        fleet.restart(Fleet::nameOf(i));
    fleet.waitForLeader();
    fleet.run(2s);
    const auto &set = fleet.node(fleet.leader()).historyReplicas();
    BOOST_TEST(set.members.size() == 3U);
    BOOST_TEST(set.find(history::ReplicaId(lost)) == nullptr);
    // The low bits count the sets that this leader has announced before.
    BOOST_TEST((set.version & 0xFFFFFU) <= 1U);
}

BOOST_AUTO_TEST_SUITE_END()
