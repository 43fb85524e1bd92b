#include <boost/test/unit_test.hpp>

#include <heathergate/programs/programs.h>

#include <rapidcheck/boost_test.h>

using namespace heathergate;
using namespace heathergate::programs;
using namespace std::chrono_literals;

namespace {

const ProgramKey kProgram{CustomerId("pines"), ProgramId("p")};

auto codeOf(const ProgramOutcome &outcome) -> Code
{
    return outcome.error ? outcome.error->code : Code::Ok;
}

auto start(ProgramLedger &ledger, ProgramLimits limits = {100, 0, 0s, 0s}) -> ProgramOutcome
{
    return ledger.apply(0s, StartProgram{kProgram, limits, "start"});
}

auto beginOf(const std::string &call, CallKind kind = CallKind::Model) -> BeginCall
{
    BeginCall begin;
    begin.key = kProgram;
    begin.call = CallId(call);
    begin.kind = kind;
    begin.idempotent = kind == CallKind::Model;
    begin.digest = "digest of " + call;
    begin.reserve = kind == CallKind::Model ? 10 : 0;
    begin.placement = {InstanceId("x"), 1, 1, UpstreamId("quill"), 1};
    return begin;
}

auto finishOf(const std::string &call, int attempt, std::int64_t used = 5) -> FinishCall
{
    FinishCall finish;
    finish.key = kProgram;
    finish.call = CallId(call);
    finish.attempt = attempt;
    finish.status = 200;
    finish.answer = "answer to " + call;
    finish.used = used;
    finish.messages = "[{\"content\":\"" + call + "\"}]";
    return finish;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProgramLedgerTest)

BOOST_AUTO_TEST_SUITE(WhenCallsAreMade)

BOOST_AUTO_TEST_CASE(runsOneCallOfAProgramAtATime)
{
    ProgramLedger ledger;
    start(ledger);
    BOOST_TEST(ledger.apply(0s, beginOf("a")).attempt == 1);
    BOOST_TEST((codeOf(ledger.apply(0s, beginOf("b"))) == Code::CallInProgress));
    ledger.apply(0s, finishOf("a", 1));
    BOOST_TEST(ledger.apply(0s, beginOf("b")).attempt == 1);
}

BOOST_AUTO_TEST_CASE(beginsOneAttemptWhenTheIntentArrivesTwice)
{
    ProgramLedger ledger;
    start(ledger);
    BOOST_TEST(ledger.apply(0s, beginOf("a")).attempt == 1);
    BOOST_TEST(ledger.apply(0s, beginOf("a")).attempt == 1);
    auto otherRequest = beginOf("a");
    otherRequest.placement.request = 2;
    BOOST_TEST((codeOf(ledger.apply(0s, otherRequest)) == Code::CallInProgress));
}

BOOST_AUTO_TEST_CASE(dropsTheAnswerOfAnOldAttempt)
{
    ProgramLedger ledger;
    start(ledger);
    ledger.apply(0s, beginOf("a"));
    auto retry = beginOf("a");
    retry.retryOf = 1;
    BOOST_TEST(ledger.apply(0s, retry).attempt == 2);
    BOOST_TEST((codeOf(ledger.apply(0s, finishOf("a", 1))) == Code::OutOfOrder));
    BOOST_TEST((codeOf(ledger.apply(0s, finishOf("a", 2))) == Code::Ok));
    BOOST_TEST(ProgramLedger::historyOf(*ledger.find(kProgram)) == "[{\"content\":\"a\"}]");
}

BOOST_AUTO_TEST_CASE(recordsARepeatedAnswerOnceInTheHistory)
{
    ProgramLedger ledger;
    start(ledger);
    ledger.apply(0s, beginOf("a"));
    ledger.apply(0s, finishOf("a", 1));
    BOOST_TEST(ledger.apply(0s, finishOf("a", 1)).answer == "answer to a");
    BOOST_TEST(ledger.find(kProgram)->history.size() == 1U);
    BOOST_TEST(ledger.find(kProgram)->spent == 5);
}

BOOST_AUTO_TEST_CASE(allowsACallThatWasNotRunToBeMadeAgain)
{
    ProgramLedger ledger;
    start(ledger);
    ledger.apply(0s, beginOf("a"));
    auto notRun = finishOf("a", 1);
    notRun.result = CallResult::NotRun;
    ledger.apply(0s, notRun);
    BOOST_TEST(ledger.find(kProgram)->reserved == 0);
    BOOST_TEST(ledger.find(kProgram)->turns == 0);
    BOOST_TEST(ledger.apply(0s, beginOf("a")).attempt == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheSenderHasFailed)

BOOST_AUTO_TEST_CASE(keepsTheOutcomeOfANonIdempotentCallUnknown)
{
    ProgramLedger ledger;
    start(ledger);
    ledger.apply(0s, beginOf("pay", CallKind::Service));
    ledger.apply(0s, InstanceRemoved{InstanceId("x"), 1});
    const auto again = ledger.apply(0s, beginOf("pay", CallKind::Service));
    BOOST_TEST((codeOf(again) == Code::OutcomeUnknown));
    BOOST_TEST((again.error->ran == Ran::Unknown));
    // The late answer of a sender that was slow but had not failed still settles the call.
    ledger.apply(0s, finishOf("pay", 1, 0));
    BOOST_TEST(ledger.apply(0s, beginOf("pay", CallKind::Service)).answer == "answer to pay");
}

BOOST_AUTO_TEST_CASE(doesNotBlockTheProgramOnAnInterruptedTurn)
{
    ProgramLedger ledger;
    start(ledger);
    ledger.apply(0s, beginOf("a"));
    ledger.apply(0s, InstanceRemoved{InstanceId("x"), 1});
    BOOST_TEST(ledger.apply(0s, beginOf("b")).attempt == 1);
    // The reservation of the lost attempt counts as spent, because the attempt may have used it.
    BOOST_TEST(ledger.find(kProgram)->spent == 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenLimitsAreReached)

BOOST_AUTO_TEST_CASE(refusesTurnsBeyondTheLimitAndEndsAnIdleProgram)
{
    ProgramLedger ledger;
    start(ledger, {100, 1, 10s, 3s});
    ledger.apply(0s, beginOf("a"));
    ledger.apply(0s, finishOf("a", 1));
    BOOST_TEST((codeOf(ledger.apply(0s, beginOf("b"))) == Code::TurnLimit));
    ledger.apply(1s, Sweep{});
    BOOST_TEST(!ledger.needsSweep(2s));
    BOOST_TEST(ledger.needsSweep(4s));
    ledger.apply(4s, Sweep{});
    BOOST_TEST(ledger.find(kProgram)->endReason == "idle");
}

BOOST_AUTO_TEST_CASE(endsALoopingProgram)
{
    ProgramLedger ledger;
    start(ledger, {1000, 0, 0s, 0s});
    Code last = Code::Ok;
    for (int i = 0; i <= kLoopLimit && last == Code::Ok; ++i) {
        auto begin = beginOf("call " + std::to_string(i));
        begin.digest = "the same";
        last = codeOf(ledger.apply(0s, begin));
        ledger.apply(0s, finishOf("call " + std::to_string(i), 1, 1));
    }
    BOOST_TEST((last == Code::ProgramEnded));
    BOOST_TEST(ledger.find(kProgram)->endReason == "loop");
}

BOOST_AUTO_TEST_CASE(keepsReleasesOfAnEndedProgramPendingUntilConfirmed)
{
    ProgramLedger ledger;
    start(ledger);
    ledger.apply(0s, beginOf("a"));
    ledger.apply(0s, finishOf("a", 1));
    ledger.apply(0s, EndProgram{kProgram});
    BOOST_TEST(ledger.pendingReleases().size() == 1U);
    ledger.apply(0s, MemoryReleased{kProgram, UpstreamId("quill"), 1});
    BOOST_TEST(ledger.pendingReleases().empty());
}

BOOST_AUTO_TEST_CASE(releasesMemoryAgainAfterATurnThatOutlastsItsProgram)
{
    ProgramLedger ledger;
    start(ledger);
    ledger.apply(0s, beginOf("a"));
    ledger.apply(0s, EndProgram{kProgram});
    ledger.apply(0s, MemoryReleased{kProgram, UpstreamId("quill"), 1});
    ledger.apply(0s, finishOf("a", 1));
    BOOST_TEST(ledger.pendingReleases().size() == 1U);
    ledger.apply(0s, UpstreamRemoved{UpstreamId("quill"), 1});
    BOOST_TEST(ledger.pendingReleases().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenProgramsArePastTheirRetention)

BOOST_AUTO_TEST_CASE(removesThemWithTheirSubAgentsAndRunningCalls)
{
    ProgramLedger ledger;
    start(ledger);
    const ProgramKey child{CustomerId("pines"), ProgramId("p.child")};
    ledger.apply(0s, StartProgram{child, {}, "start"});
    ledger.apply(0s, beginOf("never ends"));
    ledger.apply(1s, EndProgram{kProgram});
    ledger.apply(kRetention + 2s, Sweep{});
    BOOST_TEST(ledger.programCount() == 0U);
    BOOST_TEST(ledger.runningCalls().empty());
    ledger.apply(kRetention + 3s, InstanceRemoved{InstanceId("x"), 1});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UnderRandomCommands)

/// Commands arrive reordered, duplicated and late. The budget is never exceeded, reservations
/// never become negative, no call completes with two different answers, the index of running calls
/// matches the records, and a snapshot restores the same state.
RC_BOOST_PROP(neverExceedsTheBudgetOrChangesAnAnswer, (std::uint64_t seed))
{
    Random random(seed);
    ProgramLedger ledger;
    start(ledger, {60, 0, 0s, 0s});
    std::map<std::string, std::string> answers;
    std::vector<ProgramCommand> sent;
    for (int i = 0; i < 300; ++i) {
        const auto call = "c" + std::to_string(random.below(12));
        const auto kind = call.size() % 2 == 0 ? CallKind::Model : CallKind::Service;
        ProgramCommand command;
        switch (random.below(6)) {
        case 0:
        case 1: {
            auto begin = beginOf(call, kind);
            begin.placement.request = random.below(3);
            begin.retryOf = static_cast<int>(random.below(3));
            command = begin;
            break;
        }
        case 2:
        case 3: {
            auto finish = finishOf(call, 1 + static_cast<int>(random.below(3)),
                                   static_cast<std::int64_t>(random.below(11)));
            finish.result = static_cast<CallResult>(random.below(3));
            finish.answer = std::to_string(i);
            command = finish;
            break;
        }
        case 4:
            command = InstanceRemoved{InstanceId("x"), 1};
            break;
        default:
            if (sent.empty())
                continue;
            command = sent[random.below(sent.size())];
        }
        sent.push_back(command);
        const auto outcome = ledger.apply(GroupTime(i), command);
        if (const auto *begin = std::get_if<BeginCall>(&command);
            begin != nullptr && !outcome.error && outcome.attempt == 0) {
            const auto [known, added] = answers.emplace(begin->call.value, outcome.answer);
            RC_ASSERT(known->second == outcome.answer);
        }
        const auto *program = ledger.find(kProgram);
        RC_ASSERT(program->spent + program->reserved <= 60);
        RC_ASSERT(program->reserved >= 0);
        std::size_t running = 0;
        for (const auto &[id, record] : program->calls)
            running += record.state == CallState::Running ? 1 : 0;
        std::size_t indexed = 0;
        for (const auto &[sender, calls] : ledger.runningCalls())
            indexed += calls.size();
        RC_ASSERT(running == indexed);
    }
    const auto copy = decode<ProgramLedger>(encode(ledger));
    RC_ASSERT(copy.has_value());
    RC_ASSERT(encode(*copy) == encode(ledger));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
