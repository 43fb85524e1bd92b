#include "control_fleet.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ControlNodeTest)

BOOST_AUTO_TEST_SUITE(WhenACustomerHasALimit)

BOOST_AUTO_TEST_CASE(countsWhatAFormerLeaderAdmitted)
{
    Fleet fleet;
    auto leader = fleet.waitForLeader();
    Configuration configuration;
    configuration.version = 2;
    configuration.customers.push_back({CustomerId("c"), {"key"}, 0, 10, 10});
    fleet.node(leader).putConfiguration(fleet.now(), fleet.nextToken(), configuration, "two");
    fleet.heartbeat(leader, upstream("u", 1, 1));
    fleet.run(50ms);
    RequestId last = 0;
    // Sends requests that complete immediately until the limit refuses one.
    const auto askUntilRefused = [&] {
        int granted = 0;
        while (true) {
            fb::AdmissionT admission;
            admission.request = ++last;
            admission.customer = "c";
            admission.service = "tools";
            admission.budget = admission.finishIn = -1;
            admission.timeLeft = admission.patience = 1'000'000;
            fleet.node(leader).receive(fleet.now(), InstanceId("g"), PeerFrame(Message(admission)));
            fleet.run(10ms);
            const auto answers = fleet.sentTo("g");
            if (answers.empty() || std::holds_alternative<fb::RefusalT>(answers.front()))
                return granted;
            ++granted;
            fb::CompletionT completion;
            completion.request = last;
            completion.final = true;
            fleet.node(leader).receive(fleet.now(), InstanceId("g"),
                                       PeerFrame(Message(completion)));
        }
    };
    // The window of five seconds holds ten requests per second and a burst of ten.
    BOOST_TEST(askUntilRefused() == 60);
    fleet.run(200ms);
    fleet.kill(leader);
    leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 2));
    fleet.run(50ms);
    BOOST_TEST(askUntilRefused() <= 1);
    fleet.run(5s);
    fleet.heartbeat(leader, upstream("u", 1, 3));
    BOOST_TEST(askUntilRefused() >= 50);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenARequestBreaksItsUpstreams)

// Guards against a request that is retried after each change of the leader.
BOOST_AUTO_TEST_CASE(isNotPlacedAgainUnderTheNextLeader)
{
    Fleet fleet;
    auto leader = fleet.waitForLeader();
    std::uint64_t sequence = 0;
    RequestId last = 0;
    const auto ask = [&] {
        fleet.heartbeat(leader, upstream("u", 1, ++sequence));
        fleet.run(50ms);
        fleet.sentTo("g");
        fb::AdmissionT admission;
        admission.request = ++last;
        admission.service = "tools";
        admission.fingerprint = 77;
        admission.budget = admission.finishIn = -1;
        admission.timeLeft = admission.patience = 1'000'000;
        fleet.node(leader).receive(fleet.now(), InstanceId("g"), PeerFrame(Message(admission)));
        fleet.run(20ms);
        const auto answers = fleet.sentTo("g");
        BOOST_TEST_REQUIRE(!answers.empty());
        return std::holds_alternative<fb::GrantT>(answers.front());
    };
    const auto end = [&](AttemptOutcome outcome) {
        fb::CompletionT completion;
        completion.request = last;
        completion.ending = static_cast<std::uint8_t>(outcome);
        completion.final = true;
        fleet.node(leader).receive(fleet.now(), InstanceId("g"), PeerFrame(Message(completion)));
        fleet.run(50ms);
    };
    const auto killLeader = [&] {
        fleet.kill(leader);
        leader = fleet.waitForLeader();
    };
    BOOST_TEST(ask());
    end(AttemptOutcome::Broken);
    BOOST_TEST(ask());
    end(AttemptOutcome::Answered);
    for (int failure = 0; failure < 2; ++failure) {
        BOOST_TEST(ask());
        end(AttemptOutcome::Broken);
    }
    killLeader();
    BOOST_TEST(ask(), "two failures after a complete response are not enough");
    end(AttemptOutcome::Broken);
    BOOST_TEST(!ask());
    fleet.restart("10.0.0.1");
    fleet.restart("10.0.0.2");
    fleet.restart("10.0.0.3");
    leader = fleet.waitForLeader();
    BOOST_TEST(!ask(), "the count outlives all processes");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheLeadersLeaseHasLapsed)

// Guards against slots that stay taken after a short pause of the leader (review case 1).
BOOST_AUTO_TEST_CASE(freesTheSlotsOfRequestsThatEndMeanwhile)
{
    constexpr RequestId kSlots = 6;
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 1));
    fleet.run(50ms);
    auto &node = fleet.node(leader);
    const auto ask = [&](RequestId request) {
        fb::AdmissionT admission;
        admission.request = request;
        admission.service = "tools";
        admission.budget = admission.finishIn = -1;
        admission.timeLeft = admission.patience = 30'000'000;
        node.receive(fleet.now(), InstanceId("g"), PeerFrame(Message(admission)));
    };
    const auto grants = [&] {
        fleet.run(20ms);
        std::size_t count = 0;
        for (const auto &message : fleet.sentTo("g"))
            count += std::holds_alternative<fb::GrantT>(message) ? 1 : 0;
        return count;
    };
    for (RequestId request = 1; request <= kSlots; ++request)
        ask(request);
    BOOST_TEST(grants() == kSlots);
    const auto term = node.replica().term();
    fleet.suspend(leader);
    while (node.isLeader(fleet.now()))
        fleet.run(5ms);
    fleet.resume(leader);
    BOOST_TEST((node.replica().role() == consensus::Role::Leader));
    for (RequestId request = 1; request <= kSlots; ++request) {
        fb::CompletionT completion;
        completion.request = request;
        completion.final = true;
        node.receive(fleet.now(), InstanceId("g"), PeerFrame(Message(completion)));
    }
    fleet.run(200ms);
    BOOST_TEST_REQUIRE(node.isLeader(fleet.now()));
    BOOST_TEST_REQUIRE(node.replica().term() == term);
    for (RequestId request = 1; request <= kSlots; ++request)
        ask(100 + request);
    BOOST_TEST(grants() == kSlots);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAProgramSpendsItsBudget)

BOOST_AUTO_TEST_CASE(refusesTheNextTurnEvenAfterAllInstancesWereKilled)
{
    Fleet fleet;
    auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 1));
    fleet.run(50ms);
    const auto ask = [&](RequestId request) {
        fb::AdmissionT admission;
        admission.request = request;
        admission.service = "tools";
        admission.program = "c/p";
        admission.budget = 1000;
        admission.mostTokens = 600;
        admission.timeLeft = admission.patience = 1'000'000;
        admission.finishIn = -1;
        fleet.node(leader).receive(fleet.now(), InstanceId("g"), PeerFrame(Message(admission)));
        fleet.run(60ms);
        return fleet.sentTo("g");
    };
    BOOST_TEST(std::holds_alternative<fb::GrantT>(ask(1).front()));
    for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        fleet.kill(name);
    for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        fleet.restart(name);
    leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 2));
    fleet.run(50ms);
    const auto answers = ask(2);
    BOOST_TEST_REQUIRE(std::holds_alternative<fb::RefusalT>(answers.front()));
    BOOST_TEST(std::get<fb::RefusalT>(answers.front()).code
               == static_cast<int>(Code::BudgetExhausted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnUpstreamStatesThatItIsAboutToEnd)

namespace {

auto ask(Fleet &fleet, const std::string &leader, RequestId request) -> Message
{
    fb::AdmissionT admission;
    admission.request = request;
    admission.service = "tools";
    admission.budget = admission.finishIn = -1;
    admission.timeLeft = admission.patience = 1'000'000;
    fleet.node(leader).receive(fleet.now(), InstanceId("g"), PeerFrame(Message(admission)));
    fleet.run(20ms);
    const auto answers = fleet.sentTo("g");
    BOOST_TEST_REQUIRE(!answers.empty());
    return answers.front();
}

auto stateLeaving(Fleet &fleet, const std::string &leader, std::int64_t born) -> void
{
    fb::UpstreamStatementT statement;
    statement.upstream = "u";
    statement.born = born;
    statement.leaving = true;
    fleet.node(leader).receive(fleet.now(), InstanceId("g"), PeerFrame(Message(statement)));
}

} // namespace

BOOST_AUTO_TEST_CASE(grantsItToNobodyEvenUnderTheNextLeader)
{
    Fleet fleet;
    auto leader = fleet.waitForLeader();
    const auto record = upstream("u", 1, 1);
    fleet.heartbeat(leader, record);
    fleet.run(50ms);
    BOOST_TEST(std::holds_alternative<fb::GrantT>(ask(fleet, leader, 1)));
    stateLeaving(fleet, leader, record.startedAt.count());
    BOOST_TEST(std::holds_alternative<fb::RefusalT>(ask(fleet, leader, 2)));
    fleet.heartbeat(leader, upstream("u", 1, 2));
    fleet.run(50ms);
    BOOST_TEST(std::holds_alternative<fb::RefusalT>(ask(fleet, leader, 3)));
    fleet.kill(leader);
    leader = fleet.waitForLeader();
    fleet.run(50ms);
    BOOST_TEST(std::holds_alternative<fb::RefusalT>(ask(fleet, leader, 4)));
}

BOOST_AUTO_TEST_CASE(grantsTheNextIncarnationDespiteALateStatementOfTheFormer)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 2, 1));
    fleet.run(50ms);
    stateLeaving(fleet, leader, upstream("u", 1, 1).startedAt.count());
    BOOST_TEST(std::holds_alternative<fb::GrantT>(ask(fleet, leader, 1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
