#include "control_fleet.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;
using namespace std::chrono_literals;
using consensus::ReplicaId;

BOOST_AUTO_TEST_SUITE(ControlNodeTest)

BOOST_AUTO_TEST_SUITE(WhenAnInstanceIsReplaced)

BOOST_AUTO_TEST_CASE(addsAWipedDiskUnderItsNewReplicaId)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.run(1s);
    const std::string other = leader == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    fleet.restartWiped(other);
    fleet.run(6s);
    const auto &group = fleet.node(fleet.leader()).replica().configuration();
    BOOST_TEST(group.voters.size() == 3U);
    BOOST_TEST(!group.isVoter(ReplicaId(other)));
    BOOST_TEST(group.isVoter(ReplicaId(other + "~1")));
}

BOOST_AUTO_TEST_CASE(replacesAFailedInstanceWithOneAtAnotherAddress)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.run(1s);
    const std::string lost = leader == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    fleet.kill(lost);
    fleet.start("10.0.0.7", "10.0.0.7~x", {});
    fleet.run(8s);
    const auto &group = fleet.node(fleet.leader()).replica().configuration();
    BOOST_TEST(group.isVoter(ReplicaId("10.0.0.7~x")));
    BOOST_TEST(!group.isVoter(ReplicaId(lost)));
}

BOOST_AUTO_TEST_CASE(survivesAnotherFailureRightAfterAReplacement)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.put(leader, 5, "five");
    fleet.run(1s);
    const std::string lost = leader == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    fleet.restartWiped(lost);
    fleet.run(6s);
    fleet.kill(fleet.leader());
    BOOST_TEST(fleet.read(fleet.waitForLeader()).document == "five");
}

BOOST_AUTO_TEST_CASE(refusesToRetireOneOfTheLastInstances)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.run(2s);
    const auto token = fleet.nextToken();
    fleet.node(leader).startRetiring(fleet.now(), token, "node-10.0.0.2");
    fleet.run(100ms);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Conflict));
}

// Guards against two retirements that are each judged by a state without the other one.
BOOST_AUTO_TEST_CASE(refusesASecondRetirementWhileTheFirstIsOnItsWayToTheLog)
{
    Fleet fleet;
    fleet.start("10.0.0.7", "10.0.0.7~x", {});
    const auto leader = fleet.waitForLeader();
    fleet.run(2s);
    const auto first = fleet.nextToken();
    const auto second = fleet.nextToken();
    fleet.node(leader).startRetiring(fleet.now(), first, "node-10.0.0.2");
    fleet.node(leader).startRetiring(fleet.now(), second, "node-10.0.0.3");
    fleet.run(100ms);
    BOOST_TEST((fleet.answer(first)->status == CallStatus::Done));
    BOOST_TEST((fleet.answer(second)->status == CallStatus::Conflict));
}

// Guards against a retirement that is called complete while its last step may still be lost.
BOOST_AUTO_TEST_CASE(aRetirementHasSucceededOnlyOnceTheRemovalIsCommitted)
{
    Fleet fleet;
    fleet.start("10.0.0.7", "10.0.0.7~x", {});
    const auto leader = fleet.waitForLeader();
    fleet.run(2s);
    const std::string target = leader == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    const ReplicaId replica(target);
    fleet.node(leader).startRetiring(fleet.now(), fleet.nextToken(), "node-" + target);
    const auto &group = fleet.node(leader).replica();
    while (group.configuration().isVoter(replica))
        fleet.run(5ms);
    const auto removal = group.lastIndex();
    BOOST_TEST_REQUIRE(group.commitIndex() < removal);
    const auto token = fleet.nextToken();
    fleet.node(leader).readRetiring(fleet.now(), token, "node-" + target);
    fleet.run(5ms);
    BOOST_TEST((fleet.answer(token)->retire == RetireState::Running));
}

BOOST_AUTO_TEST_CASE(retiresAnInstanceThatAnotherCanReplace)
{
    Fleet fleet;
    fleet.start("10.0.0.7", "10.0.0.7~x", {});
    const auto leader = fleet.waitForLeader();
    fleet.run(2s);
    const std::string target = leader == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    auto token = fleet.nextToken();
    fleet.node(leader).startRetiring(fleet.now(), token, "node-" + target);
    fleet.run(6s);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Done));
    token = fleet.nextToken();
    fleet.node(fleet.leader()).readRetiring(fleet.now(), token, "node-" + target);
    fleet.run(10ms);
    BOOST_TEST((fleet.answer(token)->retire == RetireState::Succeeded));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheGroupIsTooSmall)

namespace {

auto hasMetric(Fleet &fleet, const std::string &line) -> bool
{
    return fleet.node(fleet.leader()).metrics().render().find(line + "\n") != std::string::npos;
}

} // namespace

// Guards against an even group, of which a partition into halves leaves no majority, that nobody
// notices: four instances ran where a tolerance of two disks needs five voters.
BOOST_AUTO_TEST_CASE(reportsThatVotersAreMissingAndAddsTheNextInstance)
{
    Fleet fleet(4);
    fleet.waitForLeader();
    fleet.run(4s);
    BOOST_TEST(hasMetric(fleet, "heathergate_group_voters_required 5"));
    BOOST_TEST(hasMetric(fleet, "heathergate_group_voters 4"));
    fleet.startSpare("10.0.0.7");
    fleet.run(6s);
    BOOST_TEST(hasMetric(fleet, "heathergate_group_voters 5"));
    BOOST_TEST(hasMetric(fleet, "heathergate_group_voters_serving 5"));
}

// Guards against voters that are crowded in some failure domains: the loss of one could then stop
// the group, and gateways in the others would read every turn of a history from afar.
BOOST_AUTO_TEST_CASE(addsTheInstanceWhoseFailureDomainHasTheFewestVoters)
{
    Fleet fleet(4); // In a failure domain without a name.
    fleet.waitForLeader();
    fleet.setDomain("10.0.0.9", "b");
    fleet.startSpare("10.0.0.5");
    fleet.startSpare("10.0.0.9");
    fleet.run(6s);
    const auto &group = fleet.node(fleet.leader()).replica().configuration();
    BOOST_TEST_REQUIRE(group.voters.size() == 5U);
    const auto isVoter =
        std::any_of(group.voters.begin(), group.voters.end(),
                    [](const auto &voter) { return instanceOf(voter).value == "10.0.0.9"; });
    BOOST_TEST(isVoter);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAGatewayIsLost)

namespace {

auto gatewayPresence(std::uint64_t boot) -> PeerFrame
{
    fb::PresenceT presence;
    presence.boot = boot;
    presence.role = static_cast<std::uint8_t>(Role::Gateway);
    presence.address = "10.1.0.1:8000";
    presence.ready = true;
    return PeerFrame(Message(std::move(presence)));
}

} // namespace

BOOST_AUTO_TEST_CASE(excludesItFromTheDirectoryUntilItReconnects)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    auto &node = fleet.node(leader);
    node.receive(fleet.now(), InstanceId("10.1.0.1"), gatewayPresence(1));
    BOOST_TEST(node.directory(fleet.now()).size() == 1U);
    node.peerLost(fleet.now(), InstanceId("10.1.0.1"));
    BOOST_TEST(node.directory(fleet.now()).empty());
    node.receive(fleet.now(), InstanceId("10.1.0.1"), gatewayPresence(1));
    BOOST_TEST(node.directory(fleet.now()).size() == 1U);
}

BOOST_AUTO_TEST_CASE(excludesItFromTheDirectoryAfterASecondWithoutPresence)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.node(leader).receive(fleet.now(), InstanceId("10.1.0.1"), gatewayPresence(1));
    fleet.run(500ms);
    BOOST_TEST(fleet.node(leader).directory(fleet.now()).size() == 1U);
    fleet.run(500ms);
    BOOST_TEST(fleet.node(leader).directory(fleet.now()).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
