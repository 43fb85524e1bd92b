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

BOOST_AUTO_TEST_SUITE(InstanceTest)

BOOST_AUTO_TEST_SUITE(WhenNothingFails)

BOOST_AUTO_TEST_CASE(turnsOfAProgramRunInOrderAcrossInstances)
{
    RunningFleet fixture(1);
    BOOST_TEST(fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "p", "one", "t1")).status
               == 200);
    BOOST_TEST(fixture.fleet.call("x2", Fleet::modelCall(fixture.key, "p", "two", "t2")).status
               == 200);
    const auto program = fixture.program("p");
    BOOST_TEST(program["turns"] == 2);
    BOOST_REQUIRE(program["history"].size() == 4U);
    BOOST_TEST(program["history"][0]["content"] == "one");
    BOOST_TEST(program["history"][2]["content"] == "two");
}

BOOST_AUTO_TEST_CASE(turnsSentAtTheSameTimeThroughTwoInstancesDoNotMix)
{
    RunningFleet fixture(2);
    const auto first = fixture.fleet.send("x1", Fleet::modelCall(fixture.key, "p", "one", "t1"));
    const auto second = fixture.fleet.send("x2", Fleet::modelCall(fixture.key, "p", "two", "t2"));
    BOOST_REQUIRE(fixture.fleet.runUntil(
        [&] { return fixture.fleet.received(first).ended && fixture.fleet.received(second).ended; },
        20s));
    const auto history = fixture.program("p")["history"];
    BOOST_REQUIRE(history.size() == 4U);
    for (std::size_t i = 0; i < 4; i += 2) {
        BOOST_TEST(history[i]["role"] == "user");
        BOOST_TEST(history[i + 1]["role"] == "assistant");
    }
}

BOOST_AUTO_TEST_CASE(refusesATurnBeforeThePreviousOneHasRun)
{
    RunningFleet fixture(3);
    auto late = Fleet::modelCall(fixture.key, "p", "second", "t2");
    late.headers["x-turn"] = "2";
    const auto early = fixture.fleet.call("x1", late);
    BOOST_TEST(early.code() == codeOf(Code::OutOfOrder));
    BOOST_TEST(early.ran() == "no");
    fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "p", "first", "t1"));
    BOOST_TEST(fixture.fleet.call("x1", late).status == 200);
}

BOOST_AUTO_TEST_CASE(equalProgramNamesOfTwoCustomersAreTwoPrograms)
{
    RunningFleet fixture(4);
    const auto other = fixture.fleet.addCustomer("gilders", 100, 50);
    fixture.fleet.call("x1", Fleet::callerRequest(other, "POST", "/v1/programs", {{"id", "p"}}));
    fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "p", "ours", "t1"));
    fixture.fleet.call("x1", Fleet::modelCall(other, "p", "theirs", "t1"));
    const auto theirs =
        fixture.fleet.call("x1", Fleet::callerRequest(other, "GET", "/v1/programs/p")).json();
    BOOST_REQUIRE(theirs["history"].size() == 2U);
    BOOST_TEST(theirs["history"][0]["content"] == "theirs");
}

BOOST_AUTO_TEST_CASE(forwardsNoCallerKeyToUpstreams)
{
    RunningFleet fixture(5);
    fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "p", "hello", "t1"));
    fixture.fleet.call("x1", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    auto leaking = Fleet::serviceCall(fixture.key, "p", "my key is " + fixture.key, "s2");
    BOOST_TEST(fixture.fleet.call("x1", leaking).code() == codeOf(Code::BadRequest));
    leaking = Fleet::serviceCall(fixture.key, "p", "pay", "s3");
    leaking.query["token"] = fixture.key;
    BOOST_TEST(fixture.fleet.call("x1", leaking).code() == codeOf(Code::BadRequest));
    leaking = Fleet::serviceCall(fixture.key, "p", "pay", "s4");
    leaking.headers["x-api-key"] = fixture.key;
    BOOST_TEST(fixture.fleet.call("x1", leaking).code() == codeOf(Code::BadRequest));
    for (const auto *id : {"quill-1", "quill-2", "registrar-1", "registrar-2"})
        BOOST_TEST(fixture.fleet.target(id).recordedRequests.find(fixture.key) == std::string::npos,
                   id << " received the key");
}

BOOST_AUTO_TEST_CASE(aBudgetIsNeverExceededByParallelSubAgents)
{
    RunningFleet fixture(6);
    fixture.fleet.call("x1", Fleet::callerRequest(fixture.key, "POST", "/v1/programs",
                                                  {{"id", "root"}, {"budget", 30}}));
    std::vector<heathergate::http::Token> tokens;
    for (int i = 0; i < 6; ++i) {
        const auto name = "root.child-" + std::to_string(i);
        fixture.fleet.call(
            "x1", Fleet::callerRequest(fixture.key, "POST", "/v1/programs", {{"id", name}}));
        tokens.push_back(fixture.fleet.send(i % 2 == 0 ? "x1" : "x2",
                                            Fleet::modelCall(fixture.key, name, "go", "t")));
    }
    fixture.fleet.run(10s);
    const auto root = fixture.program("root");
    BOOST_TEST(root["budget"]["spent"].get<int>() <= 30);
    BOOST_TEST(root["budget"]["reserved"] == 0);
    int refused = 0;
    for (const auto token : tokens)
        refused += fixture.fleet.received(token).code() == codeOf(Code::BudgetExhausted) ? 1 : 0;
    BOOST_TEST(refused >= 3);
}

BOOST_AUTO_TEST_CASE(forwardsEachChunkOfAStreamAndCompletesIt)
{
    RunningFleet fixture(7);
    auto request = Fleet::modelCall(fixture.key, "p", "stream", "t1");
    auto body = nlohmann::json::parse(request.body);
    body["stream"] = true;
    request.body = body.dump();
    const auto received = fixture.fleet.call("x1", request);
    BOOST_TEST(received.complete);
    const auto history = fixture.program("p")["history"];
    BOOST_TEST(received.text == history[1]["content"].get<std::string>());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenRequestsAreResent)

BOOST_AUTO_TEST_CASE(aNonIdempotentCallRunsOnceAndItsAnswerIsRepeated)
{
    RunningFleet fixture(10);
    const auto first = fixture.fleet.call("x1", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    const auto again = fixture.fleet.call("x2", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    BOOST_TEST(first.status == 200);
    BOOST_TEST(again.body == first.body);
    BOOST_TEST(fixture.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_CASE(theSameKeyWithAnotherBodyIsRefused)
{
    RunningFleet fixture(11);
    fixture.fleet.call("x1", Fleet::serviceCall(fixture.key, "p", "pay 10", "s1"));
    const auto other =
        fixture.fleet.call("x1", Fleet::serviceCall(fixture.key, "p", "pay 20", "s1"));
    BOOST_TEST(other.code() == codeOf(Code::KeyReusedWithOtherBody));
    BOOST_TEST(fixture.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_CASE(aResendWhileTheFirstRunsWaitsForItsAnswer)
{
    RunningFleet fixture(12);
    fixture.fleet.target("registrar-1").serviceTime = 700ms;
    fixture.fleet.target("registrar-2").serviceTime = 700ms;
    const auto first = fixture.fleet.send("x1", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    fixture.fleet.run(100ms);
    const auto sameInstance =
        fixture.fleet.send("x1", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    const auto other = fixture.fleet.call("x2", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    fixture.fleet.run(1s);
    BOOST_TEST(other.body == fixture.fleet.received(first).body);
    BOOST_TEST(fixture.fleet.received(sameInstance).body == fixture.fleet.received(first).body);
    BOOST_TEST(fixture.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_CASE(aCallOutsideAnyProgramRunsOnceToo)
{
    RunningFleet fixture(13);
    const auto first = fixture.fleet.call("x1", Fleet::serviceCall(fixture.key, "", "pay", "s1"));
    const auto again = fixture.fleet.call("x2", Fleet::serviceCall(fixture.key, "", "pay", "s1"));
    BOOST_TEST(first.status == 200);
    BOOST_TEST(again.body == first.body);
    BOOST_TEST(fixture.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnInstanceCrashes)

BOOST_AUTO_TEST_CASE(aRunningNonIdempotentCallIsUnknownAndNeverRunsAgain)
{
    RunningFleet fixture(20);
    fixture.fleet.target("registrar-1").serviceTime = 5s;
    fixture.fleet.target("registrar-2").serviceTime = 5s;
    fixture.fleet.send("x1", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    fixture.fleet.run(100ms);
    BOOST_REQUIRE(fixture.runsOfAllServices() == 1);
    fixture.fleet.crash("x1");
    const auto resent = fixture.fleet.call("x2", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    BOOST_TEST(resent.code() == codeOf(Code::OutcomeUnknown));
    BOOST_TEST(resent.ran() == "unknown");
    BOOST_TEST(fixture.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_CASE(repeatsARunningModelCallOnResend)
{
    RunningFleet fixture(21);
    fixture.fleet.send("x1", Fleet::modelCall(fixture.key, "p", "hello", "t1"));
    fixture.fleet.run(30ms);
    fixture.fleet.crash("x1");
    const auto resent = fixture.fleet.call("x2", Fleet::modelCall(fixture.key, "p", "hello", "t1"));
    BOOST_TEST(resent.status == 200);
    const auto program = fixture.program("p");
    BOOST_TEST(program["turns"] == 1);
    BOOST_TEST(program["history"].size() == 2U);
    BOOST_TEST(program["budget"]["reserved"] == 0);
}

BOOST_AUTO_TEST_CASE(anOperatorSettlesAnUnknownOutcome)
{
    RunningFleet fixture(22);
    fixture.fleet.target("registrar-1").serviceTime = 5s;
    fixture.fleet.target("registrar-2").serviceTime = 5s;
    fixture.fleet.send("x1", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    fixture.fleet.run(100ms);
    fixture.fleet.crash("x1");
    fixture.fleet.call("x2", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    const auto settled =
        fixture.fleet.call("x2", Fleet::operatorRequest("POST", "/operator/v1/settlements",
                                                        {{"customer", "pines"},
                                                         {"program", "p"},
                                                         {"call", "k-s1"},
                                                         {"ran", true},
                                                         {"answer", "{\"receipt\":\"by hand\"}"}}));
    BOOST_TEST(settled.status == 204);
    const auto resent = fixture.fleet.call("x2", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    BOOST_TEST(resent.status == 200);
    BOOST_TEST(resent.body == "{\"receipt\":\"by hand\"}");
    BOOST_TEST(fixture.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_CASE(anIntentThatTimedOutDoesNotBlockItsProgram)
{
    // The quorum is lost at each millisecond between a service call and its recorded intent.
    for (int delay = 1; delay <= 8; ++delay) {
        RunningFleet fixture(24);
        fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "p", "warm up", "t0"));
        const auto interrupted =
            fixture.fleet.send("x1", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
        fixture.fleet.run(std::chrono::milliseconds(delay));
        for (const auto &disk : kDisks)
            fixture.fleet.setSuspended(disk, true);
        fixture.fleet.run(20s);
        for (const auto &disk : kDisks)
            fixture.fleet.setSuspended(disk, false);
        fixture.fleet.run(10s);
        BOOST_TEST_CONTEXT("lost after " << delay << " ms")
        {
            BOOST_TEST(fixture.fleet.received(interrupted).ended);
            const auto again =
                fixture.fleet.call("x2", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
            const auto known = again.status == 200 || again.code() == codeOf(Code::OutcomeUnknown);
            BOOST_TEST(known, "status " << again.status << ", code " << again.code());
            const auto next =
                fixture.fleet.call("x2", Fleet::modelCall(fixture.key, "p", "on", "t1"));
            BOOST_TEST(next.status == 200, "status " << next.status << ", code " << next.code());
            BOOST_TEST(fixture.runsOfAllServices() <= 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(recordsAnAnswerAfterALongQuorumLoss)
{
    RunningFleet fixture(25);
    fixture.fleet.target("registrar-1").serviceTime = 200ms;
    fixture.fleet.target("registrar-2").serviceTime = 200ms;
    const auto first = fixture.fleet.send("x1", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    fixture.fleet.run(100ms);
    BOOST_REQUIRE(fixture.runsOfAllServices() == 1);
    fixture.fleet.crash("a1");
    fixture.fleet.crash("b1");
    fixture.fleet.run(60s);
    BOOST_TEST(fixture.fleet.received(first).ended);
    fixture.fleet.restart("a1");
    fixture.fleet.restart("b1");
    fixture.fleet.run(10s);
    const auto again = fixture.fleet.call("x2", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    BOOST_TEST(again.status == 200);
    BOOST_TEST(fixture.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_CASE(keepsTheHistoryAcrossLeaderCrashes)
{
    RunningFleet fixture(23);
    for (int i = 0; i < 6; ++i) {
        const auto call = "t" + std::to_string(i);
        BOOST_REQUIRE(
            fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "p", call, call)).status == 200);
        if (i == 2) {
            const auto leader = fixture.fleet.leaderOf(1);
            fixture.fleet.crash(leader);
            fixture.fleet.run(3s);
            fixture.fleet.restart(leader);
            fixture.fleet.run(1s);
            fixture.fleet.crash(fixture.fleet.leaderOf(2));
        }
    }
    const auto program = fixture.program("p");
    BOOST_TEST(program["turns"] == 6);
    BOOST_REQUIRE(program["history"].size() == 12U);
    for (int i = 0; i < 6; ++i)
        BOOST_TEST(program["history"][2 * i]["content"] == "t" + std::to_string(i));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenUpstreamsFail)

BOOST_AUTO_TEST_CASE(aServiceCallWhoseConnectionIsCutIsUnknownAndNotRepeated)
{
    RunningFleet fixture(30);
    fixture.fleet.target("registrar-1").disconnectOn = "pay";
    fixture.fleet.target("registrar-2").disconnectOn = "pay";
    const auto cut = fixture.fleet.call("x1", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    BOOST_TEST(cut.code() == codeOf(Code::OutcomeUnknown));
    const auto resent = fixture.fleet.call("x2", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    BOOST_TEST(resent.code() == codeOf(Code::OutcomeUnknown));
    BOOST_TEST(fixture.runsOfAllServices() == 1);
}

BOOST_AUTO_TEST_CASE(aServiceThatCannotBeReachedIsReplacedByAnother)
{
    RunningFleet fixture(31);
    fixture.fleet.target("registrar-1").isDown = true;
    for (int i = 0; i < 4; ++i) {
        const auto call = "s" + std::to_string(i);
        BOOST_TEST(fixture.fleet.call("x1", Fleet::serviceCall(fixture.key, "p", call, call)).status
                   == 200);
    }
    BOOST_TEST(fixture.runsOfAllServices() == 4);
}

BOOST_AUTO_TEST_CASE(reportsNotRunOnlyIfNoServiceIsReachable)
{
    RunningFleet fixture(32);
    fixture.fleet.target("registrar-1").isDown = true;
    fixture.fleet.target("registrar-2").isDown = true;
    const auto refused =
        fixture.fleet.call("x1", Fleet::serviceCall(fixture.key, "p", "pay", "s1"));
    BOOST_TEST(refused.ran() == "no");
    BOOST_TEST(fixture.runsOfAllServices() == 0);
    fixture.fleet.target("registrar-1").isDown = false;
    fixture.fleet.run(12s);
    BOOST_TEST(fixture.fleet.call("x1", Fleet::serviceCall(fixture.key, "p", "pay", "s1")).status
               == 200);
}

BOOST_AUTO_TEST_CASE(retriesAtAnotherEngineIfOneIsUnresponsive)
{
    RunningFleet fixture(33);
    fixture.fleet.target("quill-1").isUnresponsive = true;
    for (int i = 0; i < 8; ++i) {
        const auto name = "p" + std::to_string(i);
        fixture.startProgram(name);
        // Equal prompts would all be placed at the engine that has the first one in its cache.
        const auto answered =
            fixture.fleet.call("x1", Fleet::modelCall(fixture.key, name, name, "t1"));
        BOOST_TEST(answered.status == 200);
        BOOST_TEST(fixture.program(name)["history"].size() == 2U);
    }
    BOOST_TEST(!fixture.fleet.target("quill-1").recordedRequests.empty(),
               "no request was sent to the unresponsive engine");
}

BOOST_AUTO_TEST_CASE(stopsARequestThatCrashesEnginesAfterTwo)
{
    RunningFleet fixture(34);
    fixture.fleet.addEngine("quill-3");
    fixture.fleet.addEngine("quill-4");
    fixture.fleet.run(5s); // Engines announce themselves every two seconds.
    for (const auto *id : {"quill-1", "quill-2", "quill-3", "quill-4"})
        fixture.fleet.target(id).crashOn = "poison";
    const auto first = fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "p", "poison", "t1"));
    BOOST_TEST(first.code() == codeOf(Code::PoisonRequest));
    auto resent = Fleet::modelCall(fixture.key, "", "poison", "other-key");
    resent.headers["user-agent"] = "another";
    const auto second = fixture.fleet.call("x2", resent);
    BOOST_TEST(second.code() == codeOf(Code::PoisonRequest));
    BOOST_TEST(second.ran() == "no");
    int crashed = 0;
    for (const auto *id : {"quill-1", "quill-2", "quill-3", "quill-4"})
        crashed += fixture.fleet.target(id).isDown ? 1 : 0;
    BOOST_TEST(crashed == 2);
    BOOST_TEST(fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "", "harmless", "t9")).status
               == 200);
}

BOOST_AUTO_TEST_CASE(servesTheNextRequestAfterAPoisonRequest)
{
    for (std::uint64_t seed = 30; seed < 45; ++seed) {
        RunningFleet fixture(seed);
        fixture.fleet.addEngine("quill-3");
        fixture.fleet.addEngine("quill-4");
        fixture.fleet.run(5s);
        for (const auto *id : {"quill-1", "quill-2", "quill-3", "quill-4"})
            fixture.fleet.target(id).crashOn = "poison";
        fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "p", "poison", "t1"));
        const auto next =
            fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "", "harmless", "t9"));
        BOOST_TEST(next.status == 200, "seed " << seed << ": " << next.status << ' ' << next.body);
    }
}

BOOST_AUTO_TEST_CASE(anEngineThatRunsPastItsReservationIsCut)
{
    RunningFleet fixture(36);
    fixture.fleet.target("quill-1").overrunTokens = 1000;
    fixture.fleet.target("quill-2").overrunTokens = 1000;
    for (int i = 0; i < 5; ++i) {
        const auto call = "t" + std::to_string(i);
        const auto answered =
            fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "p", call, call));
        BOOST_TEST(answered.status == 200);
        BOOST_TEST(answered.json()["usage"]["completion_tokens"].get<int>() <= 12);
    }
    BOOST_TEST(fixture.program("p")["budget"]["spent"].get<int>() <= 60);
}

BOOST_AUTO_TEST_CASE(memoryOfAnEndedProgramIsReleased)
{
    RunningFleet fixture(35);
    fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "p", "hello", "t1"));
    const auto held = [&] {
        return fixture.fleet.target("quill-1").engine->programs().size()
               + fixture.fleet.target("quill-2").engine->programs().size();
    };
    BOOST_TEST(held() == 1U);
    fixture.fleet.call("x1", Fleet::callerRequest(fixture.key, "DELETE", "/v1/programs/p"));
    BOOST_TEST(fixture.fleet.runUntil([&] { return held() == 0; }, 5s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenOperatorsEditTheTable)

BOOST_AUTO_TEST_CASE(acceptsOneOfTwoConcurrentEditsAndReportsAConflictToTheOther)
{
    RunningFleet fixture(40);
    const auto revision =
        fixture.fleet.call("x1", Fleet::operatorRequest("GET", "/operator/v1/table"))
            .json()["rows"][0]["revision"];
    const auto edit = [&](int rate) {
        return Fleet::operatorRequest("PUT", "/operator/v1/table/pines",
                                      {{"revision", revision}, {"rate", rate}});
    };
    const auto first = fixture.fleet.send("x1", edit(11));
    const auto second = fixture.fleet.send("x2", edit(22));
    fixture.fleet.run(2s);
    const auto &one = fixture.fleet.received(first);
    const auto &two = fixture.fleet.received(second);
    BOOST_TEST((one.status == 200) != (two.status == 200));
    const auto &winner = one.status == 200 ? one : two;
    const auto &loser = one.status == 200 ? two : one;
    BOOST_TEST(loser.code() == codeOf(Code::RevisionConflict));
    BOOST_TEST(loser.json()["row"]["rate"] == winner.json()["row"]["rate"]);
}

BOOST_AUTO_TEST_CASE(repeatsTheAnswerToAResentEditAfterALeaderChange)
{
    RunningFleet fixture(41);
    auto edit =
        Fleet::operatorRequest("PUT", "/operator/v1/table/gilders", {{"revision", 0}, {"rate", 5}});
    edit.headers["x-edit-id"] = "edit-1";
    const auto first = fixture.fleet.call("x1", edit);
    BOOST_REQUIRE(first.status == 200);
    fixture.fleet.crash(fixture.fleet.leaderOf(0));
    const auto again = fixture.fleet.call("x2", edit);
    BOOST_TEST(again.json()["revision"] == first.json()["revision"]);
}

BOOST_AUTO_TEST_CASE(rejectsAWithdrawnKeyEverywhereWithinFiveSeconds)
{
    RunningFleet fixture(42);
    const auto keys =
        fixture.fleet.call("x1", Fleet::operatorRequest("GET", "/operator/v1/keys")).json()["keys"];
    // One instance is partitioned from the fleet and cannot receive the withdrawal.
    fixture.fleet.setIsolated("x2", true);
    auto streaming = Fleet::modelCall(fixture.key, "", "long", "");
    auto body = nlohmann::json::parse(streaming.body);
    body["stream"] = true;
    body["max_tokens"] = 30'000;
    streaming.body = body.dump();
    fixture.fleet.send(
        "x1",
        Fleet::operatorRequest("DELETE", "/operator/v1/keys/" + keys[0]["id"].get<std::string>()));
    fixture.fleet.run(5s);
    BOOST_TEST(fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "p", "a", "t1")).code()
               == codeOf(Code::UnknownKey));
    const auto cutOff = fixture.fleet.call("x2", Fleet::modelCall(fixture.key, "p", "b", "t2"));
    BOOST_TEST(cutOff.code() == codeOf(Code::StaleConfiguration));
    BOOST_TEST(cutOff.ran() == "no");
}

BOOST_AUTO_TEST_CASE(aPendingCallEndsWhenItsKeyIsWithdrawn)
{
    RunningFleet fixture(43);
    fixture.fleet.target("quill-1").isUnresponsive = true;
    fixture.fleet.target("quill-2").isUnresponsive = true;
    const auto keys =
        fixture.fleet.call("x1", Fleet::operatorRequest("GET", "/operator/v1/keys")).json()["keys"];
    const auto pending = fixture.fleet.send("x1", Fleet::modelCall(fixture.key, "", "long", ""));
    fixture.fleet.run(200ms);
    BOOST_TEST(!fixture.fleet.received(pending).ended);
    fixture.fleet.send(
        "x2",
        Fleet::operatorRequest("DELETE", "/operator/v1/keys/" + keys[0]["id"].get<std::string>()));
    fixture.fleet.run(1s);
    BOOST_TEST(fixture.fleet.received(pending).ended);
    BOOST_TEST(fixture.fleet.received(pending).code() == codeOf(Code::UnknownKey));
}

BOOST_AUTO_TEST_CASE(aRestartedInstanceCatchesUpOverThousandsOfChanges)
{
    RunningFleet fixture(44);
    fixture.fleet.crash("x2");
    for (int i = 0; i < 10'000; ++i) {
        fixture.fleet.send(
            "x1", Fleet::operatorRequest("PUT", "/operator/v1/table/c" + std::to_string(i % 50),
                                         {{"revision", i}, {"rate", i}}));
        if (i % 50 == 0)
            fixture.fleet.run(20ms);
    }
    fixture.fleet.run(2s);
    fixture.fleet.restart("x2");
    const auto current = fixture.fleet.instance("x1").entry().revision();
    BOOST_TEST(fixture.fleet.runUntil(
        [&] { return fixture.fleet.instance("x2").entry().revision() >= current; }, 3s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenInstancesLeave)

BOOST_AUTO_TEST_CASE(aDrainingInstanceLeavesTheDirectoryAndCutsNothing)
{
    RunningFleet fixture(50);
    const auto pending =
        fixture.fleet.send("x1", Fleet::modelCall(fixture.key, "p", "hello", "t1"));
    fixture.fleet.run(10ms);
    fixture.fleet.drain("x1");
    fixture.fleet.run(500ms);
    const auto directory =
        fixture.fleet.call("x2", Fleet::callerRequest("", "GET", "/v1/directory"));
    BOOST_TEST(directory.body.find("\"x1\"") == std::string::npos);
    // A caller that still uses the cached address is served.
    BOOST_TEST(fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "p", "more", "t2")).status
               == 200);
    BOOST_TEST(fixture.fleet.received(pending).status == 200);
    fixture.fleet.run(7s);
    BOOST_TEST(fixture.fleet.instance("x1").isDrained(fixture.fleet.clock().now()));
}

BOOST_AUTO_TEST_CASE(aLeavingUpstreamGetsNoNewWorkAfterThreeSeconds)
{
    RunningFleet fixture(51);
    auto &leaving = fixture.fleet.target("quill-1");
    leaving.announced = false;
    auto leave = Fleet::callerRequest("upstream-token-for-tests", "POST", "/upstream/v1/leave",
                                      {{"id", "quill-1"}, {"incarnation", leaving.incarnation}});
    BOOST_TEST(fixture.fleet.call("x2", leave).status == 204);
    fixture.fleet.run(3s);
    leaving.recordedRequests.clear();
    for (int i = 0; i < 10; ++i)
        fixture.fleet.call("x1", Fleet::modelCall(fixture.key, "", "w" + std::to_string(i), ""));
    BOOST_TEST(leaving.recordedRequests == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenACustomerExceedsItsRate)

BOOST_AUTO_TEST_CASE(theFleetAdmitsNoMoreThanBurstAndRate)
{
    RunningFleet fixture(60);
    const auto key = fixture.fleet.addCustomer("loud", 10, 5);
    const auto startedAt = fixture.fleet.clock().now();
    std::vector<heathergate::http::Token> tokens;
    for (int i = 0; i < 320; ++i) {
        tokens.push_back(fixture.fleet.send(
            i % 2 == 0 ? "x1" : "x2", Fleet::modelCall(key, "", "m" + std::to_string(i), "")));
        fixture.fleet.run(12ms);
    }
    const auto window = fixture.fleet.clock().now() - startedAt;
    fixture.fleet.run(3s);
    int admitted = 0;
    for (const auto token : tokens)
        admitted += fixture.fleet.received(token).status == 200 ? 1 : 0;
    const auto bound = 5 + 10 * std::chrono::duration<double>(window + 3s).count();
    BOOST_TEST(admitted <= bound);
    BOOST_TEST(admitted >= 35);
}

BOOST_AUTO_TEST_CASE(aCustomerInsideItsRateIsNeverRefused)
{
    RunningFleet fixture(61);
    const auto withinRateKey = fixture.fleet.addCustomer("quiet", 20, 3);
    const auto overRateKey = fixture.fleet.addCustomer("loud", 10, 5);
    std::vector<heathergate::http::Token> tokens;
    for (int i = 0; i < 200; ++i) {
        tokens.push_back(
            fixture.fleet.send(i % 3 == 0 ? "x1" : "x2",
                               Fleet::modelCall(withinRateKey, "", "q" + std::to_string(i), "")));
        for (int j = 0; j < 4; ++j)
            fixture.fleet.send(
                "x1", Fleet::modelCall(overRateKey, "", "l" + std::to_string(4 * i + j), ""));
        fixture.fleet.run(51ms);
    }
    fixture.fleet.run(3s);
    int refused = 0;
    for (const auto token : tokens)
        refused += fixture.fleet.received(token).status == 429 ? 1 : 0;
    BOOST_TEST(refused == 0);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
