#include "control_fleet.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ControlNodeTest)

BOOST_AUTO_TEST_SUITE(WhenUpstreamsReport)

BOOST_AUTO_TEST_CASE(keepsThemDespiteAnEntryAtTheirAddressThatCannotBeTrue)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    const auto answerTo = [&](const UpstreamRecord &record) {
        const auto token = fleet.heartbeat(leader, record);
        fleet.run(50ms);
        return fleet.answer(token)->status;
    };
    BOOST_TEST((answerTo(upstream("u", 1, 1)) == CallStatus::Done));
    const auto farFuture = std::numeric_limits<std::int64_t>::max() / 1'000'000;
    BOOST_TEST((answerTo(upstream("stranger", farFuture, 1)) == CallStatus::Invalid));
    BOOST_TEST((answerTo(upstream("stranger", -1, 1)) == CallStatus::Invalid));
    const auto lastNumber = std::numeric_limits<std::uint64_t>::max();
    BOOST_TEST((answerTo(upstream("u", 1, lastNumber)) == CallStatus::Invalid));
    BOOST_TEST((answerTo(upstream("u", farFuture, 1)) == CallStatus::Invalid));
    BOOST_TEST((answerTo(upstream("u", 1, 2)) == CallStatus::Done));
    const auto &known = fleet.node(leader).state().upstreams();
    BOOST_TEST((known.at(UpstreamId("u")).phase == UpstreamPhase::Ready));
    BOOST_TEST(known.size() == 1U);
}

BOOST_AUTO_TEST_CASE(keepsTheirRegistrationAcrossAChangeOfLeader)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    const auto token = fleet.heartbeat(leader, upstream("u", 1, 1));
    fleet.run(100ms);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Done));
    fleet.kill(leader);
    const auto next = fleet.waitForLeader();
    BOOST_TEST(fleet.node(next).state().upstreams().contains(UpstreamId("u")));
}

BOOST_AUTO_TEST_CASE(ignoresALateHeartbeatAfterTheUpstreamLeft)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 1));
    fleet.run(50ms);
    fleet.node(leader).upstreamLeft(fleet.now(), fleet.nextToken(), UpstreamId("u"));
    fleet.run(50ms);
    fleet.heartbeat(leader, upstream("u", 1, 2));
    fleet.run(50ms);
    const auto &record = fleet.node(leader).state().upstreams().at(UpstreamId("u"));
    BOOST_TEST((record.phase == UpstreamPhase::Removed));
}

BOOST_AUTO_TEST_CASE(registersANewIncarnationUnderTheSameName)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 9));
    fleet.run(50ms);
    fleet.node(leader).upstreamLeft(fleet.now(), fleet.nextToken(), UpstreamId("u"));
    fleet.run(50ms);
    fleet.heartbeat(leader, upstream("u", 2, 1));
    fleet.run(50ms);
    const auto &record = fleet.node(leader).state().upstreams().at(UpstreamId("u"));
    BOOST_TEST((record.phase == UpstreamPhase::Ready));
}

BOOST_AUTO_TEST_CASE(keepsOnlyTheLatestUpstreamAtAnAddress)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("old", 1, 1));
    fleet.run(50ms);
    fleet.heartbeat(leader, upstream("new", 5, 1));
    fleet.run(50ms);
    // A heartbeat that a network partition has delayed arrives after its sender has terminated.
    fleet.heartbeat(leader, upstream("old", 1, 2));
    fleet.run(50ms);
    const auto &records = fleet.node(leader).state().upstreams();
    BOOST_TEST((records.at(UpstreamId("old")).phase == UpstreamPhase::Removed));
    BOOST_TEST((records.at(UpstreamId("new")).phase == UpstreamPhase::Ready));
}

// Guards against a leave that is acknowledged at once while a registration is on its way to the
// log.
BOOST_AUTO_TEST_CASE(removesAnUpstreamThatLeavesBeforeItsRegistrationIsRecorded)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 1));
    const auto token = fleet.nextToken();
    fleet.node(leader).upstreamLeft(fleet.now(), token, UpstreamId("u"));
    while (!fleet.answer(token))
        fleet.run(5ms);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Done));
    fleet.run(100ms);
    const auto &record = fleet.node(leader).state().upstreams().at(UpstreamId("u"));
    BOOST_TEST((record.phase == UpstreamPhase::Removed));
}

// Guards against a heartbeat that brings an upstream back whose leave is on its way to the log.
BOOST_AUTO_TEST_CASE(ignoresAHeartbeatWhileTheLeaveIsOnItsWayToTheLog)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 1));
    fleet.run(50ms);
    fleet.node(leader).upstreamLeft(fleet.now(), fleet.nextToken(), UpstreamId("u"));
    auto draining = upstream("u", 1, 2);
    draining.phase = UpstreamPhase::Draining;
    fleet.heartbeat(leader, draining);
    fleet.run(100ms);
    const auto &record = fleet.node(leader).state().upstreams().at(UpstreamId("u"));
    BOOST_TEST((record.phase == UpstreamPhase::Removed));
}

// Guards against two upstreams at one address, of which neither was applied when the other came.
BOOST_AUTO_TEST_CASE(keepsOnlyTheLatestOfTwoThatRegisterAtOnce)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("old", 1, 1));
    fleet.heartbeat(leader, upstream("new", 5, 1));
    fleet.run(100ms);
    const auto &records = fleet.node(leader).state().upstreams();
    BOOST_TEST((records.at(UpstreamId("old")).phase == UpstreamPhase::Removed));
    BOOST_TEST((records.at(UpstreamId("new")).phase == UpstreamPhase::Ready));
}

// Guards against a record that is replaced by what a former incarnation stated.
BOOST_AUTO_TEST_CASE(keepsANewIncarnationThatIsOnItsWayToTheLogWhenTheFormerOneIsLeaving)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 1));
    fleet.run(50ms);
    fleet.heartbeat(leader, upstream("u", 2, 1));
    fb::UpstreamStatementT statement;
    statement.upstream = "u";
    statement.born = 1;
    statement.leaving = true;
    fleet.node(leader).receive(fleet.now(), InstanceId("g"), PeerFrame(Message(statement)));
    fleet.run(100ms);
    const auto &record = fleet.node(leader).state().upstreams().at(UpstreamId("u"));
    BOOST_TEST(record.startedAt.count() == 2);
    BOOST_TEST((record.phase == UpstreamPhase::Ready));
}

BOOST_AUTO_TEST_CASE(placesNothingAtADrainingUpstreamOnceItIsAcknowledged)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 1));
    fleet.run(50ms);
    auto draining = upstream("u", 1, 2);
    draining.phase = UpstreamPhase::Draining;
    const auto token = fleet.heartbeat(leader, draining);
    while (!fleet.answer(token))
        fleet.run(5ms);
    fb::AdmissionT admission;
    admission.request = 1;
    admission.service = "tools";
    admission.timeLeft = admission.patience = 1'000'000;
    admission.finishIn = -1;
    admission.budget = -1;
    fleet.node(leader).receive(fleet.now(), InstanceId("g"), PeerFrame(Message(admission)));
    fleet.run(50ms);
    const auto messages = fleet.sentTo("g");
    BOOST_TEST_REQUIRE(messages.size() == 1U);
    BOOST_TEST(std::holds_alternative<fb::RefusalT>(messages.front()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AtAnInstanceOutsideTheGroup)

BOOST_AUTO_TEST_CASE(callsAreRedirectedToTheLeaderThatItsFeedsName)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.start("10.0.0.7", "10.0.0.7~x", {});
    fleet.run(2s);
    const auto token = fleet.heartbeat("10.0.0.7", upstream("u", 1, 1));
    fleet.run(10ms);
    const auto answer = fleet.answer(token);
    BOOST_TEST_REQUIRE(answer.has_value());
    BOOST_TEST((answer->status == CallStatus::Redirect));
    BOOST_TEST(answer->leaderAddress == leader);
}

BOOST_AUTO_TEST_CASE(callsAreRedirectedBeforeTheirContentIsDecoded)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    const std::string follower = leader == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    fleet.run(500ms);
    const auto token = fleet.nextToken();
    BOOST_TEST(!fleet.node(leader).answerIfNotLeader(fleet.now(), token, "put_configuration"));
    BOOST_TEST(fleet.node(follower).answerIfNotLeader(fleet.now(), token, "put_configuration"));
    fleet.run(10ms);
    BOOST_TEST_REQUIRE(fleet.answer(token).has_value());
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Redirect));
}

BOOST_AUTO_TEST_CASE(callsAreNotSentToALeaderThatHasFallenSilent)
{
    Fleet fleet;
    fleet.waitForLeader();
    fleet.start("10.0.0.7", "10.0.0.7~x", {});
    fleet.run(2s);
    fleet.isolate("10.0.0.7");
    fleet.run(2s);
    const auto token = fleet.heartbeat("10.0.0.7", upstream("u", 1, 1));
    fleet.run(10ms);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
