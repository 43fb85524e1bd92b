#include "gateway_fixture.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;

BOOST_AUTO_TEST_SUITE(GatewayTest)

BOOST_FIXTURE_TEST_SUITE(BeforeAnyConfigurationIsKnown, GatewayFixture)

BOOST_AUTO_TEST_CASE(refusesWithoutReportingAnUnknownRouteOrKey)
{
    request("/safe/x");
    const auto refused = take<RefuseCaller>();
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].error.code == Code::StaleConfiguration));
    BOOST_TEST((refused[0].error.ran == Ran::No));
    BOOST_TEST(!m_gateway.isReady(m_now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WithAConfiguration, ConnectedFixture)

BOOST_AUTO_TEST_CASE(refusesUnknownRoutesAndKeys)
{
    request("/nothing/x");
    request("/safe/x", "other");
    request("/safe/x", std::nullopt);
    const auto refused = take<RefuseCaller>();
    BOOST_TEST_REQUIRE(refused.size() == 3U);
    BOOST_TEST((refused[0].error.code == Code::UnknownRoute));
    BOOST_TEST((refused[1].error.code == Code::UnknownKey));
    BOOST_TEST((refused[2].error.code == Code::MissingKey));
}

// Guards against a request that breaks its upstreams and runs again under each key of its customer
// (review case 10).
BOOST_AUTO_TEST_CASE(identifiesARequestByItsCustomerAndNotByTheKey)
{
    request("/unsafe/x", "key");
    request("/unsafe/x", "second key");
    request("/unsafe/x", "key of d");
    const auto admissions = take<fb::AdmissionT>();
    BOOST_TEST_REQUIRE(admissions.size() == 3U);
    BOOST_TEST(admissions[0].fingerprint == admissions[1].fingerprint);
    BOOST_TEST(admissions[0].fingerprint != admissions[2].fingerprint);
}

BOOST_AUTO_TEST_CASE(neverRevertsToAnOlderVersion)
{
    feed(kLeader, 1, 9);
    feed(kLeader, 1, 3);
    BOOST_TEST(m_gateway.configuration().version() == 9U);
}

BOOST_AUTO_TEST_CASE(ignoresFeedsFromAReplacedLeader)
{
    feed(InstanceId("10.0.0.2"), 5, 9);
    feed(kLeader, 1, 12);
    BOOST_TEST(m_gateway.configuration().version() == 9U);
}

BOOST_AUTO_TEST_CASE(forwardsACompleteResponse)
{
    request("/safe/x");
    const auto attempt = grant("u").attempt;
    head(attempt);
    m_gateway.attemptData(m_now, attempt, "body");
    BOOST_TEST(take<ForwardResponse>().empty());
    m_gateway.attemptEnd(m_now, attempt, {true, true, true});
    const auto passed = take<ForwardResponse>();
    BOOST_TEST_REQUIRE(passed.size() == 1U);
    BOOST_TEST(passed[0].body == "body");
    BOOST_TEST(take<fb::CompletionT>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(cancelsTheAttemptOfADisconnectedCaller)
{
    const auto token = request("/safe/x");
    const auto attempt = grant("u").attempt;
    m_gateway.callerDisconnected(m_now, token);
    const auto cancelled = take<CancelAttempt>();
    BOOST_TEST_REQUIRE(cancelled.size() == 1U);
    BOOST_TEST(cancelled[0].attempt == attempt);
    BOOST_TEST(m_gateway.openCalls() == 0U);
}

BOOST_AUTO_TEST_CASE(reportsACallerThatDisconnectedWhileQueued)
{
    const auto token = request("/safe/x");
    m_gateway.callerDisconnected(m_now, token);
    const auto completions = take<fb::CompletionT>();
    BOOST_TEST_REQUIRE(completions.size() == 1U);
    BOOST_TEST(completions[0].final);
}

BOOST_AUTO_TEST_CASE(answersAtTheTimeoutOfTheRoute)
{
    request("/unsafe/x");
    static_cast<void>(grant("u"));
    advance(3s);
    const auto refused = take<RefuseCaller>();
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].error.code == Code::Timeout));
    BOOST_TEST((refused[0].error.ran == Ran::Unknown));
    BOOST_TEST(take<CancelAttempt>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(reportsNotRunWhenNoSlotWasGranted)
{
    request("/unsafe/x");
    advance(3s);
    const auto refused = take<RefuseCaller>();
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].error.ran == Ran::No));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenAnUpstreamFails, ConnectedFixture)

BOOST_AUTO_TEST_CASE(neverRetriesARequestThatMayHaveRun)
{
    request("/unsafe/x");
    const auto attempt = grant("u").attempt;
    m_gateway.attemptEnd(m_now, attempt, {false, true, true});
    const auto refused = take<RefuseCaller>();
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].error.code == Code::UpstreamFailed));
    BOOST_TEST(codeInfo(refused[0].error.code).httpStatus == 502);
    BOOST_TEST(take<fb::AdmissionT>().empty());
}

BOOST_AUTO_TEST_CASE(retriesARequestOfWhichNoByteWasSent)
{
    request("/unsafe/x");
    const auto attempt = grant("u").attempt;
    m_gateway.attemptEnd(m_now, attempt, {false, false, false});
    const auto again = take<fb::AdmissionT>();
    BOOST_TEST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].again);
    BOOST_TEST(again[0].avoid == std::vector<std::string>{"u"});
}

BOOST_AUTO_TEST_CASE(retriesARequestThatTheUpstreamDeclined)
{
    request("/unsafe/x");
    const auto attempt = grant("u").attempt;
    m_gateway.attemptHead(m_now, attempt, {503, true, false});
    m_gateway.attemptEnd(m_now, attempt, {true, true, true});
    BOOST_TEST(take<fb::AdmissionT>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(pinsASafeRequestToTheLastUpstreamItMayUse)
{
    request("/safe/x");
    m_gateway.attemptEnd(m_now, grant("u").attempt, {false, true, true});
    BOOST_TEST(grant("v").upstream.value == "v");
    m_gateway.attemptEnd(m_now, 2, {false, true, true});
    // The request has been sent to as many upstreams as its route allows, so that it is pinned to
    // the last one.
    const auto again = take<fb::AdmissionT>();
    BOOST_TEST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].stayAt == "v");
}

BOOST_AUTO_TEST_CASE(doesNotForwardAnUnauthenticatedResponse)
{
    request("/unsafe/x");
    const auto attempt = grant("u").attempt;
    m_gateway.attemptHead(m_now, attempt, {200, false, false});
    m_gateway.attemptData(m_now, attempt, "garbage");
    m_gateway.attemptEnd(m_now, attempt, {true, true, true});
    BOOST_TEST(take<ForwardResponse>().empty());
    BOOST_TEST(take<RefuseCaller>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenAStreamIsInterrupted, ConnectedFixture)

BOOST_AUTO_TEST_CASE(resumesAfterTheLastCompleteEventInTheSameResponse)
{
    request("/stream/x");
    const auto first = grant("u").attempt;
    head(first);
    m_gateway.attemptData(m_now, first, "id: 1\ndata: a\n\nid: 2\nda");
    BOOST_TEST(text() == "id: 1\ndata: a\n\n");
    BOOST_TEST(take<ForwardHead>().size() == 1U);
    m_gateway.attemptEnd(m_now, first, {false, true, true});
    const auto second = grant("u");
    BOOST_TEST(second.resumeAfter.value() == 1U);
    head(second.attempt);
    m_gateway.attemptData(m_now, second.attempt, "id: 2\ndata: b\n\n");
    m_gateway.attemptEnd(m_now, second.attempt, {true, true, true});
    BOOST_TEST(text() == "id: 2\ndata: b\n\n");
    BOOST_TEST(take<ForwardHead>().empty());
    const auto ended = take<EndResponse>();
    BOOST_TEST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(ended[0].complete);
}

BOOST_AUTO_TEST_CASE(neverForwardsAnEventTwiceOrOutOfOrder)
{
    request("/stream/x");
    const auto first = grant("u").attempt;
    head(first);
    m_gateway.attemptData(m_now, first, "id: 1\ndata: a\n\nid: 3\ndata: c\n\n");
    BOOST_TEST(text() == "id: 1\ndata: a\n\n");
    BOOST_TEST(take<CancelAttempt>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(endsIncompleteWhenTheRouteIsNotResumable)
{
    request("/once/x");
    const auto first = grant("u").attempt;
    head(first);
    m_gateway.attemptData(m_now, first, "id: 1\ndata: a\n\n");
    m_gateway.attemptEnd(m_now, first, {false, true, true});
    const auto ended = take<EndResponse>();
    BOOST_TEST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(!ended[0].complete);
}

BOOST_AUTO_TEST_CASE(resumesAfterTheIdleTimeoutOfAnUpstream)
{
    request("/stream/x");
    const auto first = grant("u").attempt;
    head(first);
    m_gateway.attemptData(m_now, first, "id: 1\ndata: a\n\n");
    advance(600ms);
    feed(kLeader, 1, 1);
    advance(600ms);
    BOOST_TEST(take<CancelAttempt>().empty());
    BOOST_TEST(grant("u").resumeAfter.value() == 1U);
    const auto cancelled = take<CancelAttempt>();
    BOOST_TEST_REQUIRE(cancelled.size() == 1U);
    BOOST_TEST(cancelled[0].attempt == first);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A caller that has received the first event of a stream whose upstream is silent.
struct SilentFixture : ConnectedFixture
{
    SilentFixture()
    {
        request("/stream/x");
        attempt = grant("u").attempt;
        head(attempt);
        m_gateway.attemptData(m_now, attempt, "id: 1\ndata: a\n\n");
        take<ForwardData>();
        silence(800ms);
        admission = take<fb::AdmissionT>();
        BOOST_TEST_REQUIRE(admission.size() == 1U);
        BOOST_TEST(admission[0].runningAt == "");
        BOOST_TEST(take<fb::CompletionT>().size() == 1U);
    }

    /// Advances the time while the leader stays in touch.
    auto silence(Duration length) -> void
    {
        for (const auto end = m_now + length; m_now < end;) {
            feed(kLeader, 1, 0);
            advance(100ms);
        }
    }

    auto refuseReplacement() -> void
    {
        fb::RefusalT message;
        message.request = admission[0].request;
        message.code = static_cast<int>(Code::NoUpstream);
        message.retryAfter = Duration(400ms).count();
        m_gateway.receive(m_now, kLeader, PeerFrame(Message(message)));
    }

    AttemptId attempt = 0;
    std::vector<fb::AdmissionT> admission;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WhenAnUpstreamIsSilentBeforeTheFirstEvent, ConnectedFixture)

// Guards against a stream that is recorded with the software version of a replacement, and then
// goes on at that version although the silent upstream has spoken first (review case 7).
BOOST_AUTO_TEST_CASE(asksForAReplacementOnlyAtTheVersionThatRuns)
{
    request("/stream/x");
    grant("u");
    for (int i = 0; i < 8; ++i) {
        feed(kLeader, 1, 0);
        advance(100ms);
    }
    const auto replacement = take<fb::AdmissionT>();
    BOOST_TEST_REQUIRE(replacement.size() == 1U);
    BOOST_TEST(replacement[0].runningAt == "");
    BOOST_TEST(replacement[0].resumes);
}

BOOST_AUTO_TEST_CASE(mayChangeTheVersionOnceTheAttemptHasFailed)
{
    request("/stream/x");
    const auto attempt = grant("u").attempt;
    m_gateway.attemptEnd(m_now, attempt, {false, true, true});
    const auto next = take<fb::AdmissionT>();
    BOOST_TEST_REQUIRE(next.size() == 1U);
    BOOST_TEST(!next[0].resumes);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenAnUpstreamIsSilentInTheMiddleOfAStream, SilentFixture)

// Guards against a stream that is cut because a sound upstream was silent for a second.
BOOST_AUTO_TEST_CASE(staysWithItIfNoOtherCanTakeTheRequest)
{
    refuseReplacement();
    BOOST_TEST(take<EndResponse>().empty());
    BOOST_TEST(take<CancelAttempt>().empty());
    const auto kept = take<fb::AdmissionT>();
    BOOST_TEST_REQUIRE(kept.size() == 1U);
    BOOST_TEST(kept[0].runningAt == "u");
    m_gateway.attemptData(m_now, attempt, "id: 2\ndata: b\n\n");
    m_gateway.attemptEnd(m_now, attempt, {true, true, true});
    BOOST_TEST(text() == "id: 2\ndata: b\n\n");
    const auto ended = take<EndResponse>();
    BOOST_TEST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(ended[0].complete);
}

BOOST_AUTO_TEST_CASE(asksForAReplacementAgainLater)
{
    refuseReplacement();
    take<fb::AdmissionT>();
    silence(300ms);
    BOOST_TEST(take<fb::AdmissionT>().empty());
    silence(400ms);
    const auto again = take<fb::AdmissionT>();
    BOOST_TEST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].runningAt == "");
    grantRequest(again[0].request, "v", 1);
    const auto started = take<StartAttempt>();
    BOOST_TEST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started[0].resumeAfter.value() == 1U);
}

BOOST_AUTO_TEST_CASE(staysWithItIfItAnswersFirst)
{
    m_gateway.attemptData(m_now, attempt, "id: 2\ndata: b\n\n");
    const auto kept = take<fb::AdmissionT>();
    BOOST_TEST_REQUIRE(kept.size() == 1U);
    BOOST_TEST(kept[0].runningAt == "u");
    grantRequest(kept[0].request, "v", 1);
    BOOST_TEST(take<StartAttempt>().empty(), "the grant was on its way");
    m_gateway.attemptEnd(m_now, attempt, {true, true, true});
    BOOST_TEST(take<EndResponse>().size() == 1U);
}

// Guards against an answer to a place that was taken back, which is taken for one to the next ask.
BOOST_AUTO_TEST_CASE(ignoresAnAnswerThatItsWithdrawalHasCrossed)
{
    const auto request = admission[0].request;
    m_gateway.attemptData(m_now, attempt, "id: 2\ndata: b\n\n");
    m_gateway.attemptEnd(m_now, attempt, {false, true, true});
    const auto asked = take<fb::AdmissionT>();
    BOOST_TEST(asked.back().ask == admission[0].ask + 1);
    grantRequest(request, "v", 1, false, admission[0].ask);
    fb::RefusalT refusal;
    refusal.request = request;
    refusal.code = static_cast<int>(Code::NoUpstream);
    refusal.ask = admission[0].ask;
    m_gateway.receive(m_now, kLeader, PeerFrame(Message(refusal)));
    BOOST_TEST(take<StartAttempt>().empty());
    BOOST_TEST(take<EndResponse>().empty());
    grantRequest(request, "w", 1, false, asked.back().ask);
    const auto started = take<StartAttempt>();
    BOOST_TEST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started[0].upstream.value == "w");
}

BOOST_AUTO_TEST_CASE(asksANewLeaderForTheReplacement)
{
    feed(InstanceId("10.0.0.2"), 2, 0);
    const auto again = take<fb::AdmissionT>();
    BOOST_TEST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].runningAt == "");
    BOOST_TEST(again[0].again);
}

BOOST_AUTO_TEST_CASE(retriesItIfItBreaksOffMeanwhile)
{
    m_gateway.attemptEnd(m_now, attempt, {false, true, true});
    const auto again = take<fb::AdmissionT>();
    BOOST_TEST_REQUIRE(again.size() == 1U);
    grantRequest(again[0].request, "u", 1);
    const auto started = take<StartAttempt>();
    BOOST_TEST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started[0].resumeAfter.value() == 1U);
    BOOST_TEST(take<CancelAttempt>().empty());
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A gateway that stops as planned, seven seconds after the signal. Its requests take up to 3 s.
struct StoppingFixture : ConnectedFixture
{
    StoppingFixture()
        : stopsAt(m_now + 7s)
    {
        m_gateway.leave(m_now, stopsAt);
    }

    auto advanceTo(TimePoint time) -> void
    {
        while (m_now < time) {
            feed(kLeader, 1, 0);
            advance(std::min<Duration>(100ms, time - m_now));
        }
    }

    TimePoint stopsAt;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WhenTheInstanceStops, StoppingFixture)

// Guards against requests that come late in the grace period and are cut off at its end.
BOOST_AUTO_TEST_CASE(refusesARequestThatCouldOutliveIt)
{
    advanceTo(stopsAt - 2900ms);
    take<fb::AdmissionT>();
    request("/unsafe/x");
    BOOST_TEST(take<fb::AdmissionT>().empty());
    const auto refused = take<RefuseCaller>();
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].error.code == Code::Draining));
    BOOST_TEST((refused[0].error.ran == Ran::No));
    BOOST_TEST(codeInfo(Code::Draining).httpStatus == 503);
}

BOOST_AUTO_TEST_CASE(takesRequestsThatEndBeforeIt)
{
    advanceTo(stopsAt - 3100ms);
    take<fb::AdmissionT>();
    request("/unsafe/x");
    BOOST_TEST(take<fb::AdmissionT>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(answersEveryOpenCallAtTheEnd)
{
    request("/unsafe/x");
    const auto running = grant("u");
    request("/unsafe/y");
    request("/stream/x");
    const auto stream = grant("v");
    head(stream.attempt);
    m_gateway.attemptData(m_now, stream.attempt, "id: 1\ndata: a\n\n");
    m_gateway.endCalls(m_now);
    const auto refused = take<RefuseCaller>();
    BOOST_TEST_REQUIRE(refused.size() == 2U);
    BOOST_TEST((refused[0].error.ran == Ran::Unknown));
    BOOST_TEST(codeInfo(refused[0].error.code).httpStatus == 504);
    BOOST_TEST((refused[1].error.ran == Ran::No));
    const auto ended = take<EndResponse>();
    BOOST_TEST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(!ended[0].complete);
    BOOST_TEST(take<CancelAttempt>().size() == 2U);
    BOOST_TEST(m_gateway.openCalls() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenTheLeaderChanges, ConnectedFixture)

BOOST_AUTO_TEST_CASE(resubmitsQueuedAndRunningRequestsToTheNewLeader)
{
    request("/safe/waiting");
    request("/safe/running");
    static_cast<void>(grant("u"));
    feed(InstanceId("10.0.0.2"), 2, 0);
    const auto admissions = take<fb::AdmissionT>();
    BOOST_TEST_REQUIRE(admissions.size() == 2U);
    BOOST_TEST(admissions[0].runningAt == "");
    BOOST_TEST(admissions[1].runningAt == "u");
}

BOOST_AUTO_TEST_CASE(resendsRecentCompletionsToTheNewLeader)
{
    CallerRequest item;
    item.token = 99;
    item.host = "h";
    item.path = "/stream/x";
    item.key = "key";
    item.program = "p";
    item.budget = 100;
    item.maxTokens = 50;
    m_gateway.request(m_now, item);
    const auto attempt = grant("u").attempt;
    head(attempt);
    m_gateway.attemptData(m_now, attempt, "id: 1\ndata: a\n\n");
    m_gateway.attemptEnd(m_now, attempt, {true, true, true});
    BOOST_TEST(take<fb::CompletionT>().size() == 1U);
    m_gateway.peerLost(m_now, kLeader);
    feed(InstanceId("10.0.0.2"), 2, 0);
    const auto again = take<fb::CompletionT>();
    BOOST_TEST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].tokens == 11);
    BOOST_TEST(again[0].program == "c/p");
}

// Guards against slots that stay taken because the end of their requests was lost.
BOOST_AUTO_TEST_CASE(resendsAllRecentCompletionsToTheSameLeader)
{
    request("/safe/x");
    const auto attempt = grant("u").attempt;
    head(attempt);
    m_gateway.attemptEnd(m_now, attempt, {true, true, true});
    BOOST_TEST(take<fb::CompletionT>().size() == 1U);
    m_gateway.peerLost(m_now, kLeader);
    feed(kLeader, 1, 0);
    BOOST_TEST(take<fb::CompletionT>().size() == 1U);
    m_gateway.peerLost(m_now, kLeader);
    feed(InstanceId("10.0.0.2"), 2, 0);
    BOOST_TEST(take<fb::CompletionT>().empty(), "a new leader knows no slot of this request");
}

BOOST_AUTO_TEST_CASE(isNotReadyWithoutContactToAControlInstance)
{
    BOOST_TEST(m_gateway.isReady(m_now));
    advance(3s);
    BOOST_TEST(!m_gateway.isReady(m_now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenTheGatewayIsOutOfStep, ConnectedFixture)

namespace {

auto resumedStream() -> CallerRequest
{
    CallerRequest item;
    item.token = 500;
    item.name = "again";
    item.host = "h";
    item.path = "/stream/x";
    item.key = "key";
    item.callerTimeout = 3s;
    item.lastEvent = 4;
    item.resumedAttempt = "begun-elsewhere";
    return item;
}

} // namespace

// Guards against a stream that goes on at an upstream of another version, chosen by a gateway that
// cannot know which version began it.
BOOST_AUTO_TEST_CASE(continuesNoStreamWithoutTheLeader)
{
    request("/stream/x");
    const auto attempt = grant("u").attempt;
    head(attempt);
    m_gateway.attemptData(m_now, attempt, "id: 1\ndata: a\n\n");
    m_gateway.peerLost(m_now, kLeader);
    m_gateway.attemptEnd(m_now, attempt, {false, true, true});
    m_gateway.request(m_now, resumedStream());
    for (int i = 0; i < 40; ++i)
        advance(100ms);
    BOOST_TEST(take<StartAttempt>().empty());
    const auto ended = take<EndResponse>();
    BOOST_TEST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(!ended[0].complete);
    const auto refused = take<RefuseCaller>();
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].error.code == Code::NoQuorum));
    BOOST_TEST((refused[0].error.ran == Ran::No));
}

// Guards against a grant from before a suspension, whose upstream may have been replaced since.
BOOST_AUTO_TEST_CASE(startsNothingOnAGrantThatComesTooLate)
{
    m_gateway.request(m_now, resumedStream());
    const auto admissions = take<fb::AdmissionT>();
    BOOST_TEST_REQUIRE(admissions.size() == 1U);
    BOOST_TEST(admissions[0].resumes);
    m_now += 3200ms;
    grantRequest(admissions[0].request, "u", 1);
    BOOST_TEST(take<StartAttempt>().empty());
    const auto refused = take<RefuseCaller>();
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].error.ran == Ran::No));
    const auto completions = take<fb::CompletionT>();
    BOOST_TEST_REQUIRE(completions.size() == 1U);
    BOOST_TEST(completions[0].final);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenAnUpstreamSendsBytesWithoutEnd, ConnectedFixture)

BOOST_AUTO_TEST_CASE(anEventThatNeverEndsBreaksTheAttemptOff)
{
    request("/stream/x");
    const auto attempt = grant("e1").attempt;
    head(attempt);
    const std::string bytes(64 * 1024, 'x');
    std::size_t sent = 0;
    while (sent < 200U * 1024 * 1024 && take<CancelAttempt>().empty()) {
        m_gateway.attemptData(m_now, attempt, bytes);
        sent += bytes.size();
    }
    BOOST_TEST(sent < 2U * 1024 * 1024);
    // Another attempt is made, because the stream can be resumed.
    BOOST_TEST(take<fb::CompletionT>().size() == 1U);
    BOOST_TEST(take<fb::AdmissionT>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(aBodyWithoutSignatureIsReadOnlyUpToALimit)
{
    for (const auto declined : {false, true}) {
        request("/unsafe/x");
        const auto attempt = grant("t1").attempt;
        m_gateway.attemptHead(m_now, attempt, {200, declined, false});
        const std::string bytes(64 * 1024, 'x');
        std::size_t sent = 0;
        while (sent < 200U * 1024 * 1024 && take<CancelAttempt>().empty()) {
            m_gateway.attemptData(m_now, attempt, bytes);
            sent += bytes.size();
        }
        BOOST_TEST(sent < 1024U * 1024);
        const auto refused = take<RefuseCaller>();
        BOOST_TEST(refused.empty() == declined);
        if (!declined)
            BOOST_TEST((refused[0].error.ran == Ran::Unknown));
        BOOST_TEST(take<ForwardData>().empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
