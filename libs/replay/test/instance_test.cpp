#include <boost/test/unit_test.hpp>

#include <heathergate/replay/fleet.h>

using namespace std::chrono_literals;
using heathergate::Code;
using heathergate::replay::Fleet;

namespace {

const std::vector<std::string> kDisks{"a1", "b1", "c1"};
const std::vector<std::string> kEntries{"x1", "x2"};

/// A fleet with two engines, two services and one customer.
struct RunningFleet
{
    explicit RunningFleet(std::uint64_t seed)
        : fleet(seed, kDisks, kEntries)
    {
        fleet.addEngine("quill-1");
        fleet.addEngine("quill-2");
        fleet.addService("registrar-1");
        fleet.addService("registrar-2");
        BOOST_REQUIRE(fleet.start());
        key = fleet.addCustomer("pines", 100, 50);
        BOOST_REQUIRE(!key.empty());
        startProgram("p");
    }

    auto startProgram(const std::string &name) -> void
    {
        const auto started =
            fleet.call("x1", Fleet::callerRequest(key, "POST", "/v1/programs", {{"id", name}}));
        BOOST_REQUIRE(started.status == 201);
    }

    auto program(const std::string &name) -> nlohmann::json
    {
        return fleet.call("x2", Fleet::callerRequest(key, "GET", "/v1/programs/" + name)).json();
    }

    auto runsOfAllServices() -> int
    {
        return fleet.target("registrar-1").calls + fleet.target("registrar-2").calls;
    }

    Fleet fleet;
    std::string key;
};

auto codeOf(Code code) -> int
{
    return static_cast<int>(code);
}

} // namespace

BOOST_AUTO_TEST_SUITE(InstanceStory)

BOOST_AUTO_TEST_SUITE(WhenNothingFails)

BOOST_AUTO_TEST_CASE(turnsOfAProgramRunInOrderAcrossInstances)
{
    RunningFleet all(1);
    BOOST_TEST(all.fleet.call("x1", Fleet::modelCall(all.key, "p", "one", "t1")).status == 200);
    BOOST_TEST(all.fleet.call("x2", Fleet::modelCall(all.key, "p", "two", "t2")).status == 200);
    const auto program = all.program("p");
    BOOST_TEST(program["turns"] == 2);
    BOOST_REQUIRE(program["history"].size() == 4U);
    BOOST_TEST(program["history"][0]["content"] == "one");
    BOOST_TEST(program["history"][2]["content"] == "two");
}

BOOST_AUTO_TEST_CASE(turnsSentAtTheSameTimeThroughTwoInstancesDoNotMix)
{
    RunningFleet all(2);
    const auto first = all.fleet.send("x1", Fleet::modelCall(all.key, "p", "one", "t1"));
    const auto second = all.fleet.send("x2", Fleet::modelCall(all.key, "p", "two", "t2"));
    BOOST_REQUIRE(all.fleet.runUntil(
        [&] { return all.fleet.received(first).ended && all.fleet.received(second).ended; }, 20s));
    const auto history = all.program("p")["history"];
    BOOST_REQUIRE(history.size() == 4U);
    for (std::size_t i = 0; i < 4; i += 2) {
        BOOST_TEST(history[i]["role"] == "user");
        BOOST_TEST(history[i + 1]["role"] == "assistant");
    }
}

BOOST_AUTO_TEST_CASE(aTurnThatComesTooEarlyOrTooLateIsNotRun)
{
    RunningFleet all(3);
    auto late = Fleet::modelCall(all.key, "p", "second", "t2");
    late.headers["x-turn"] = "2";
    const auto early = all.fleet.call("x1", late);
    BOOST_TEST(early.code() == codeOf(Code::OutOfOrder));
    BOOST_TEST(early.ran() == "no");
    all.fleet.call("x1", Fleet::modelCall(all.key, "p", "first", "t1"));
    BOOST_TEST(all.fleet.call("x1", late).status == 200);
}

BOOST_AUTO_TEST_CASE(equalProgramNamesOfTwoCustomersAreTwoPrograms)
{
    RunningFleet all(4);
    const auto other = all.fleet.addCustomer("gilders", 100, 50);
    all.fleet.call("x1", Fleet::callerRequest(other, "POST", "/v1/programs", {{"id", "p"}}));
    all.fleet.call("x1", Fleet::modelCall(all.key, "p", "ours", "t1"));
    all.fleet.call("x1", Fleet::modelCall(other, "p", "theirs", "t1"));
    const auto theirs =
        all.fleet.call("x1", Fleet::callerRequest(other, "GET", "/v1/programs/p")).json();
    BOOST_REQUIRE(theirs["history"].size() == 2U);
    BOOST_TEST(theirs["history"][0]["content"] == "theirs");
}

BOOST_AUTO_TEST_CASE(noUpstreamSeesACallersKey)
{
    RunningFleet all(5);
    all.fleet.call("x1", Fleet::modelCall(all.key, "p", "hello", "t1"));
    all.fleet.call("x1", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    auto sneaky = Fleet::serviceCall(all.key, "p", "my key is " + all.key, "s2");
    BOOST_TEST(all.fleet.call("x1", sneaky).code() == codeOf(Code::BadRequest));
    sneaky = Fleet::serviceCall(all.key, "p", "pay", "s3");
    sneaky.query["token"] = all.key;
    BOOST_TEST(all.fleet.call("x1", sneaky).code() == codeOf(Code::BadRequest));
    sneaky = Fleet::serviceCall(all.key, "p", "pay", "s4");
    sneaky.headers["x-api-key"] = all.key;
    BOOST_TEST(all.fleet.call("x1", sneaky).code() == codeOf(Code::BadRequest));
    for (const auto *id : {"quill-1", "quill-2", "registrar-1", "registrar-2"})
        BOOST_TEST(all.fleet.target(id).seen.find(all.key) == std::string::npos,
                   id << " has seen the key");
}

BOOST_AUTO_TEST_CASE(aBudgetIsNeverExceededByParallelSubAgents)
{
    RunningFleet all(6);
    all.fleet.call("x1", Fleet::callerRequest(all.key, "POST", "/v1/programs",
                                              {{"id", "root"}, {"budget", 30}}));
    std::vector<heathergate::http::Token> tokens;
    for (int i = 0; i < 6; ++i) {
        const auto name = "root.child-" + std::to_string(i);
        all.fleet.call("x1", Fleet::callerRequest(all.key, "POST", "/v1/programs", {{"id", name}}));
        tokens.push_back(
            all.fleet.send(i % 2 == 0 ? "x1" : "x2", Fleet::modelCall(all.key, name, "go", "t")));
    }
    all.fleet.run(10s);
    const auto root = all.program("root");
    BOOST_TEST(root["budget"]["spent"].get<int>() <= 30);
    BOOST_TEST(root["budget"]["reserved"] == 0);
    int refused = 0;
    for (const auto token : tokens)
        refused += all.fleet.received(token).code() == codeOf(Code::BudgetExhausted) ? 1 : 0;
    BOOST_TEST(refused >= 3);
}

BOOST_AUTO_TEST_CASE(streamsPassOnEachPieceAndEndComplete)
{
    RunningFleet all(7);
    auto request = Fleet::modelCall(all.key, "p", "stream", "t1");
    auto body = nlohmann::json::parse(request.body);
    body["stream"] = true;
    request.body = body.dump();
    const auto received = all.fleet.call("x1", request);
    BOOST_TEST(received.complete);
    const auto history = all.program("p")["history"];
    BOOST_TEST(received.text == history[1]["content"].get<std::string>());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenRequestsAreResent)

BOOST_AUTO_TEST_CASE(aNonIdempotentCallRunsOnceAndItsAnswerIsRepeated)
{
    RunningFleet all(10);
    const auto first = all.fleet.call("x1", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    const auto again = all.fleet.call("x2", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    BOOST_TEST(first.status == 200);
    BOOST_TEST(again.body == first.body);
    BOOST_TEST(all.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_CASE(theSameKeyWithAnotherBodyIsRefused)
{
    RunningFleet all(11);
    all.fleet.call("x1", Fleet::serviceCall(all.key, "p", "pay 10", "s1"));
    const auto other = all.fleet.call("x1", Fleet::serviceCall(all.key, "p", "pay 20", "s1"));
    BOOST_TEST(other.code() == codeOf(Code::KeyReusedWithOtherBody));
    BOOST_TEST(all.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_CASE(aResendWhileTheFirstRunsWaitsForItsAnswer)
{
    RunningFleet all(12);
    all.fleet.target("registrar-1").serviceTime = 700ms;
    all.fleet.target("registrar-2").serviceTime = 700ms;
    const auto first = all.fleet.send("x1", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    all.fleet.run(100ms);
    const auto sameInstance = all.fleet.send("x1", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    const auto other = all.fleet.call("x2", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    all.fleet.run(1s);
    BOOST_TEST(other.body == all.fleet.received(first).body);
    BOOST_TEST(all.fleet.received(sameInstance).body == all.fleet.received(first).body);
    BOOST_TEST(all.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_CASE(aCallOutsideAnyProgramRunsOnceToo)
{
    RunningFleet all(13);
    const auto first = all.fleet.call("x1", Fleet::serviceCall(all.key, "", "pay", "s1"));
    const auto again = all.fleet.call("x2", Fleet::serviceCall(all.key, "", "pay", "s1"));
    BOOST_TEST(first.status == 200);
    BOOST_TEST(again.body == first.body);
    BOOST_TEST(all.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnInstanceDies)

BOOST_AUTO_TEST_CASE(aRunningNonIdempotentCallIsUnknownAndNeverRunsAgain)
{
    RunningFleet all(20);
    all.fleet.target("registrar-1").serviceTime = 5s;
    all.fleet.target("registrar-2").serviceTime = 5s;
    all.fleet.send("x1", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    all.fleet.run(100ms);
    BOOST_REQUIRE(all.runsOfAllServices() == 1);
    all.fleet.crash("x1");
    const auto resent = all.fleet.call("x2", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    BOOST_TEST(resent.code() == codeOf(Code::OutcomeUnknown));
    BOOST_TEST(resent.ran() == "unknown");
    BOOST_TEST(all.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_CASE(aRunningModelCallIsMadeAgainByTheResend)
{
    RunningFleet all(21);
    all.fleet.send("x1", Fleet::modelCall(all.key, "p", "hello", "t1"));
    all.fleet.run(30ms);
    all.fleet.crash("x1");
    const auto resent = all.fleet.call("x2", Fleet::modelCall(all.key, "p", "hello", "t1"));
    BOOST_TEST(resent.status == 200);
    const auto program = all.program("p");
    BOOST_TEST(program["turns"] == 1);
    BOOST_TEST(program["history"].size() == 2U);
    BOOST_TEST(program["budget"]["reserved"] == 0);
}

BOOST_AUTO_TEST_CASE(anOperatorSettlesAnUnknownOutcome)
{
    RunningFleet all(22);
    all.fleet.target("registrar-1").serviceTime = 5s;
    all.fleet.target("registrar-2").serviceTime = 5s;
    all.fleet.send("x1", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    all.fleet.run(100ms);
    all.fleet.crash("x1");
    all.fleet.call("x2", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    const auto settled =
        all.fleet.call("x2", Fleet::operatorRequest("POST", "/operator/v1/settlements",
                                                    {{"customer", "pines"},
                                                     {"program", "p"},
                                                     {"call", "k-s1"},
                                                     {"ran", true},
                                                     {"answer", "{\"receipt\":\"by hand\"}"}}));
    BOOST_TEST(settled.status == 204);
    const auto resent = all.fleet.call("x2", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    BOOST_TEST(resent.status == 200);
    BOOST_TEST(resent.body == "{\"receipt\":\"by hand\"}");
    BOOST_TEST(all.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_CASE(anIntentThatTimedOutDoesNotBlockItsProgram)
{
    // The quorum is lost at each moment of a service call's way to its recorded intent.
    for (int delay = 1; delay <= 8; ++delay) {
        RunningFleet all(24);
        all.fleet.call("x1", Fleet::modelCall(all.key, "p", "warm up", "t0"));
        const auto lost = all.fleet.send("x1", Fleet::serviceCall(all.key, "p", "pay", "s1"));
        all.fleet.run(std::chrono::milliseconds(delay));
        for (const auto &disk : kDisks)
            all.fleet.setFrozen(disk, true);
        all.fleet.run(20s);
        for (const auto &disk : kDisks)
            all.fleet.setFrozen(disk, false);
        all.fleet.run(10s);
        BOOST_TEST_CONTEXT("lost after " << delay << " ms")
        {
            BOOST_TEST(all.fleet.received(lost).ended);
            const auto again = all.fleet.call("x2", Fleet::serviceCall(all.key, "p", "pay", "s1"));
            const auto known = again.status == 200 || again.code() == codeOf(Code::OutcomeUnknown);
            BOOST_TEST(known, "status " << again.status << ", code " << again.code());
            const auto next = all.fleet.call("x2", Fleet::modelCall(all.key, "p", "on", "t1"));
            BOOST_TEST(next.status == 200, "status " << next.status << ", code " << next.code());
            BOOST_TEST(all.runsOfAllServices() <= 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(anAnswerIsRecordedHoweverLongTheQuorumIsAway)
{
    RunningFleet all(25);
    all.fleet.target("registrar-1").serviceTime = 200ms;
    all.fleet.target("registrar-2").serviceTime = 200ms;
    const auto first = all.fleet.send("x1", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    all.fleet.run(100ms);
    BOOST_REQUIRE(all.runsOfAllServices() == 1);
    all.fleet.crash("a1");
    all.fleet.crash("b1");
    all.fleet.run(60s);
    BOOST_TEST(all.fleet.received(first).ended);
    all.fleet.restart("a1");
    all.fleet.restart("b1");
    all.fleet.run(10s);
    const auto again = all.fleet.call("x2", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    BOOST_TEST(again.status == 200);
    BOOST_TEST(all.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_CASE(theLeadersDeathLosesNoHistory)
{
    RunningFleet all(23);
    for (int i = 0; i < 6; ++i) {
        const auto call = "t" + std::to_string(i);
        BOOST_REQUIRE(all.fleet.call("x1", Fleet::modelCall(all.key, "p", call, call)).status
                      == 200);
        if (i == 2) {
            const auto leader = all.fleet.leaderOf(1);
            all.fleet.crash(leader);
            all.fleet.run(3s);
            all.fleet.restart(leader);
            all.fleet.run(1s);
            all.fleet.crash(all.fleet.leaderOf(2));
        }
    }
    const auto program = all.program("p");
    BOOST_TEST(program["turns"] == 6);
    BOOST_REQUIRE(program["history"].size() == 12U);
    for (int i = 0; i < 6; ++i)
        BOOST_TEST(program["history"][2 * i]["content"] == "t" + std::to_string(i));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenUpstreamsFail)

BOOST_AUTO_TEST_CASE(aServiceCallWhoseConnectionIsCutIsUnknownAndNotRepeated)
{
    RunningFleet all(30);
    all.fleet.target("registrar-1").cutOn = "pay";
    all.fleet.target("registrar-2").cutOn = "pay";
    const auto cut = all.fleet.call("x1", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    BOOST_TEST(cut.code() == codeOf(Code::OutcomeUnknown));
    const auto resent = all.fleet.call("x2", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    BOOST_TEST(resent.code() == codeOf(Code::OutcomeUnknown));
    BOOST_TEST(all.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_CASE(aServiceThatCannotBeReachedIsReplacedByAnother)
{
    RunningFleet all(31);
    all.fleet.target("registrar-1").dead = true;
    for (int i = 0; i < 4; ++i) {
        const auto call = "s" + std::to_string(i);
        BOOST_TEST(all.fleet.call("x1", Fleet::serviceCall(all.key, "p", call, call)).status
                   == 200);
    }
    BOOST_TEST(all.runsOfAllServices() == 4);
}

BOOST_AUTO_TEST_CASE(notRunIsSaidOnlyIfNoServiceCouldBeReached)
{
    RunningFleet all(32);
    all.fleet.target("registrar-1").dead = true;
    all.fleet.target("registrar-2").dead = true;
    const auto refused = all.fleet.call("x1", Fleet::serviceCall(all.key, "p", "pay", "s1"));
    BOOST_TEST(refused.ran() == "no");
    BOOST_TEST(all.runsOfAllServices() == 0);
    all.fleet.target("registrar-1").dead = false;
    all.fleet.run(12s);
    BOOST_TEST(all.fleet.call("x1", Fleet::serviceCall(all.key, "p", "pay", "s1")).status == 200);
}

BOOST_AUTO_TEST_CASE(aSilentEngineIsLeftForAnother)
{
    RunningFleet all(33);
    all.fleet.target("quill-1").silent = true;
    for (int i = 0; i < 8; ++i) {
        const auto name = "p" + std::to_string(i);
        all.startProgram(name);
        // Equal prompts would all go to the engine that has the first in its cache.
        const auto answered = all.fleet.call("x1", Fleet::modelCall(all.key, name, name, "t1"));
        BOOST_TEST(answered.status == 200);
        BOOST_TEST(all.program(name)["history"].size() == 2U);
    }
    BOOST_TEST(!all.fleet.target("quill-1").seen.empty(), "the silent engine was never tried");
}

BOOST_AUTO_TEST_CASE(aRequestThatKillsEnginesIsStoppedAfterTwo)
{
    RunningFleet all(34);
    all.fleet.addEngine("quill-3");
    all.fleet.addEngine("quill-4");
    all.fleet.run(5s); // Engines announce themselves every two seconds.
    for (const auto *id : {"quill-1", "quill-2", "quill-3", "quill-4"})
        all.fleet.target(id).dieOn = "poison";
    const auto first = all.fleet.call("x1", Fleet::modelCall(all.key, "p", "poison", "t1"));
    BOOST_TEST(first.code() == codeOf(Code::PoisonRequest));
    auto resent = Fleet::modelCall(all.key, "", "poison", "other-key");
    resent.headers["user-agent"] = "another";
    const auto second = all.fleet.call("x2", resent);
    BOOST_TEST(second.code() == codeOf(Code::PoisonRequest));
    BOOST_TEST(second.ran() == "no");
    int dead = 0;
    for (const auto *id : {"quill-1", "quill-2", "quill-3", "quill-4"})
        dead += all.fleet.target(id).dead ? 1 : 0;
    BOOST_TEST(dead == 2);
    BOOST_TEST(all.fleet.call("x1", Fleet::modelCall(all.key, "", "harmless", "t9")).status == 200);
}

BOOST_AUTO_TEST_CASE(theEnginesThatAPoisonRequestLeftServeTheNextOne)
{
    for (std::uint64_t seed = 30; seed < 45; ++seed) {
        RunningFleet all(seed);
        all.fleet.addEngine("quill-3");
        all.fleet.addEngine("quill-4");
        all.fleet.run(5s);
        for (const auto *id : {"quill-1", "quill-2", "quill-3", "quill-4"})
            all.fleet.target(id).dieOn = "poison";
        all.fleet.call("x1", Fleet::modelCall(all.key, "p", "poison", "t1"));
        const auto next = all.fleet.call("x1", Fleet::modelCall(all.key, "", "harmless", "t9"));
        BOOST_TEST(next.status == 200, "seed " << seed << ": " << next.status << ' ' << next.body);
    }
}

BOOST_AUTO_TEST_CASE(anEngineThatRunsPastItsReservationIsCut)
{
    RunningFleet all(36);
    all.fleet.target("quill-1").overrunTokens = 1000;
    all.fleet.target("quill-2").overrunTokens = 1000;
    for (int i = 0; i < 5; ++i) {
        const auto call = "t" + std::to_string(i);
        const auto answered = all.fleet.call("x1", Fleet::modelCall(all.key, "p", call, call));
        BOOST_TEST(answered.status == 200);
        BOOST_TEST(answered.json()["usage"]["completion_tokens"].get<int>() <= 12);
    }
    BOOST_TEST(all.program("p")["budget"]["spent"].get<int>() <= 60);
}

BOOST_AUTO_TEST_CASE(memoryOfAnEndedProgramIsReleased)
{
    RunningFleet all(35);
    all.fleet.call("x1", Fleet::modelCall(all.key, "p", "hello", "t1"));
    const auto held = [&] {
        return all.fleet.target("quill-1").engine->programs().size()
               + all.fleet.target("quill-2").engine->programs().size();
    };
    BOOST_TEST(held() == 1U);
    all.fleet.call("x1", Fleet::callerRequest(all.key, "DELETE", "/v1/programs/p"));
    BOOST_TEST(all.fleet.runUntil([&] { return held() == 0; }, 5s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenOperatorsEditTheTable)

BOOST_AUTO_TEST_CASE(ofTwoRacingEditsOneWinsAndBothAreToldTheTruth)
{
    RunningFleet all(40);
    const auto revision = all.fleet.call("x1", Fleet::operatorRequest("GET", "/operator/v1/table"))
                              .json()["rows"][0]["revision"];
    const auto edit = [&](int rate) {
        return Fleet::operatorRequest("PUT", "/operator/v1/table/pines",
                                      {{"revision", revision}, {"rate", rate}});
    };
    const auto first = all.fleet.send("x1", edit(11));
    const auto second = all.fleet.send("x2", edit(22));
    all.fleet.run(2s);
    const auto &one = all.fleet.received(first);
    const auto &two = all.fleet.received(second);
    BOOST_TEST((one.status == 200) != (two.status == 200));
    const auto &winner = one.status == 200 ? one : two;
    const auto &loser = one.status == 200 ? two : one;
    BOOST_TEST(loser.code() == codeOf(Code::RevisionConflict));
    BOOST_TEST(loser.json()["row"]["rate"] == winner.json()["row"]["rate"]);
}

BOOST_AUTO_TEST_CASE(aResentEditGetsItsFirstAnswerEvenFromANewLeader)
{
    RunningFleet all(41);
    auto edit =
        Fleet::operatorRequest("PUT", "/operator/v1/table/gilders", {{"revision", 0}, {"rate", 5}});
    edit.headers["x-edit-id"] = "edit-1";
    const auto first = all.fleet.call("x1", edit);
    BOOST_REQUIRE(first.status == 200);
    all.fleet.crash(all.fleet.leaderOf(0));
    const auto again = all.fleet.call("x2", edit);
    BOOST_TEST(again.json()["revision"] == first.json()["revision"]);
}

BOOST_AUTO_TEST_CASE(aWithdrawnKeyIsDeadEverywhereWithinFiveSeconds)
{
    RunningFleet all(42);
    const auto keys =
        all.fleet.call("x1", Fleet::operatorRequest("GET", "/operator/v1/keys")).json()["keys"];
    // One instance is cut off from the fleet and cannot learn of it.
    all.fleet.setIsolated("x2", true);
    auto streaming = Fleet::modelCall(all.key, "", "long", "");
    auto body = nlohmann::json::parse(streaming.body);
    body["stream"] = true;
    body["max_tokens"] = 30'000;
    streaming.body = body.dump();
    all.fleet.send("x1", Fleet::operatorRequest("DELETE", "/operator/v1/keys/"
                                                              + keys[0]["id"].get<std::string>()));
    all.fleet.run(5s);
    BOOST_TEST(all.fleet.call("x1", Fleet::modelCall(all.key, "p", "a", "t1")).code()
               == codeOf(Code::UnknownKey));
    const auto cutOff = all.fleet.call("x2", Fleet::modelCall(all.key, "p", "b", "t2"));
    BOOST_TEST(cutOff.code() == codeOf(Code::StaleConfiguration));
    BOOST_TEST(cutOff.ran() == "no");
}

BOOST_AUTO_TEST_CASE(aRunningStreamEndsWhenItsKeyIsWithdrawn)
{
    RunningFleet all(43);
    all.fleet.target("quill-1").silent = true;
    all.fleet.target("quill-2").silent = true;
    const auto keys =
        all.fleet.call("x1", Fleet::operatorRequest("GET", "/operator/v1/keys")).json()["keys"];
    const auto running = all.fleet.send("x1", Fleet::modelCall(all.key, "", "long", ""));
    all.fleet.run(200ms);
    BOOST_TEST(!all.fleet.received(running).ended);
    all.fleet.send("x2", Fleet::operatorRequest("DELETE", "/operator/v1/keys/"
                                                              + keys[0]["id"].get<std::string>()));
    all.fleet.run(1s);
    BOOST_TEST(all.fleet.received(running).ended);
    BOOST_TEST(all.fleet.received(running).code() == codeOf(Code::UnknownKey));
}

BOOST_AUTO_TEST_CASE(aRestartedInstanceCatchesUpOverThousandsOfChanges)
{
    RunningFleet all(44);
    all.fleet.crash("x2");
    for (int i = 0; i < 10'000; ++i) {
        all.fleet.send("x1", Fleet::operatorRequest("PUT",
                                                    "/operator/v1/table/c" + std::to_string(i % 50),
                                                    {{"revision", i}, {"rate", i}}));
        if (i % 50 == 0)
            all.fleet.run(20ms);
    }
    all.fleet.run(2s);
    all.fleet.restart("x2");
    const auto current = all.fleet.instance("x1").entry().revision();
    BOOST_TEST(all.fleet.runUntil(
        [&] { return all.fleet.instance("x2").entry().revision() >= current; }, 3s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenInstancesLeave)

BOOST_AUTO_TEST_CASE(aDrainingInstanceLeavesTheDirectoryAndCutsNothing)
{
    RunningFleet all(50);
    const auto running = all.fleet.send("x1", Fleet::modelCall(all.key, "p", "hello", "t1"));
    all.fleet.run(10ms);
    all.fleet.drain("x1");
    all.fleet.run(500ms);
    const auto directory = all.fleet.call("x2", Fleet::callerRequest("", "GET", "/v1/directory"));
    BOOST_TEST(directory.body.find("\"x1\"") == std::string::npos);
    // A caller that still keeps the address is served.
    BOOST_TEST(all.fleet.call("x1", Fleet::modelCall(all.key, "p", "more", "t2")).status == 200);
    BOOST_TEST(all.fleet.received(running).status == 200);
    all.fleet.run(7s);
    BOOST_TEST(all.fleet.instance("x1").isDrained(all.fleet.clock().now()));
}

BOOST_AUTO_TEST_CASE(aLeavingUpstreamGetsNoNewWorkAfterThreeSeconds)
{
    RunningFleet all(51);
    auto &leaving = all.fleet.target("quill-1");
    leaving.announced = false;
    auto leave = Fleet::callerRequest("upstream-token-for-tests", "POST", "/upstream/v1/leave",
                                      {{"id", "quill-1"}, {"incarnation", leaving.incarnation}});
    BOOST_TEST(all.fleet.call("x2", leave).status == 204);
    all.fleet.run(3s);
    leaving.seen.clear();
    for (int i = 0; i < 10; ++i)
        all.fleet.call("x1", Fleet::modelCall(all.key, "", "w" + std::to_string(i), ""));
    BOOST_TEST(leaving.seen == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenACustomerSendsTooMuch)

BOOST_AUTO_TEST_CASE(theFleetAdmitsNoMoreThanBurstAndRate)
{
    RunningFleet all(60);
    const auto key = all.fleet.addCustomer("loud", 10, 5);
    const auto startedAt = all.fleet.clock().now();
    std::vector<heathergate::http::Token> tokens;
    for (int i = 0; i < 320; ++i) {
        tokens.push_back(all.fleet.send(i % 2 == 0 ? "x1" : "x2",
                                        Fleet::modelCall(key, "", "m" + std::to_string(i), "")));
        all.fleet.run(12ms);
    }
    const auto window = all.fleet.clock().now() - startedAt;
    all.fleet.run(3s);
    int admitted = 0;
    for (const auto token : tokens)
        admitted += all.fleet.received(token).status == 200 ? 1 : 0;
    const auto bound = 5 + 10 * std::chrono::duration<double>(window + 3s).count();
    BOOST_TEST(admitted <= bound);
    BOOST_TEST(admitted >= 35);
}

BOOST_AUTO_TEST_CASE(aCustomerInsideItsRateIsNeverRefused)
{
    RunningFleet all(61);
    const auto quiet = all.fleet.addCustomer("quiet", 20, 3);
    const auto loud = all.fleet.addCustomer("loud", 10, 5);
    std::vector<heathergate::http::Token> tokens;
    for (int i = 0; i < 200; ++i) {
        tokens.push_back(all.fleet.send(i % 3 == 0 ? "x1" : "x2",
                                        Fleet::modelCall(quiet, "", "q" + std::to_string(i), "")));
        for (int j = 0; j < 4; ++j)
            all.fleet.send("x1", Fleet::modelCall(loud, "", "l" + std::to_string(4 * i + j), ""));
        all.fleet.run(51ms);
    }
    all.fleet.run(3s);
    int refused = 0;
    for (const auto token : tokens)
        refused += all.fleet.received(token).status == 429 ? 1 : 0;
    BOOST_TEST(refused == 0);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
