#include <heathergate/fleet/gateway.h>

/// The requests to upstreams: their answers, how they fail, and what is tried again.
namespace heathergate::fleet {

namespace {

using telemetry::LogImportance;

/// Upstreams that one request is sent to at most, whatever went wrong there.
constexpr int kMaxTries = 4;
constexpr int kMaxDeclines = 3;
/// Longest time without a byte of a stream before its upstream counts as silent.
constexpr Duration kStreamSilence = std::chrono::milliseconds(700);
/// The same for an idempotent request, in multiples of its target latency, and at least.
constexpr int kSilentLatencies = 6;
constexpr Duration kLeastSilence = std::chrono::milliseconds(500);
/// Longest body that is kept until it is whole; a longer one is passed on as it comes.
constexpr std::size_t kMaxHeldBody = 256 * 1024;
/// Advice to a caller whose request no upstream took.
constexpr Duration kNoUpstreamRetryAfter = std::chrono::milliseconds(300);

} // namespace

auto Gateway::startAttempt(TimePoint now, Call &call, const UpstreamId &upstream,
                           const Endpoint &address) -> void
{
    call.phase = Phase::Running;
    call.attempt = ++m_lastAttempt;
    call.upstream = upstream;
    call.admittedBefore = true;
    call.sentAt = now;
    call.lastByteAt = now;
    call.firstByteAt.reset();
    call.headSeen = false;
    call.body.clear();
    call.events.reset();
    ++call.tries;
    m_byAttempt[call.attempt] = call.request.token;
    m_log.add(now, LogImportance::Routine, "calls", "sent",
              {{"request", call.request.name},
               {"admission", call.admission},
               {"program", call.request.program},
               {"customer", call.customer.value},
               {"route", call.route},
               {"upstream", upstream.value},
               {"try", call.tries},
               {"waited_ms", now - call.arrivedAt},
               {"left_ms", call.deadline - now},
               {"after_event", call.lastEvent ? std::to_string(*call.lastEvent) : "none"},
               {"version", m_configuration.version()},
               {"term", m_link.term()}});
    StartAttempt start;
    start.token = call.request.token;
    start.attempt = call.attempt;
    start.upstream = upstream;
    start.address = address;
    start.customer = call.customer;
    start.timeLeft = call.deadline - now;
    start.resumeAfter = call.lastEvent;
    start.runsOnce =
        call.kind == RouteKind::Unsafe || (call.kind == RouteKind::Stream && !call.isResumable);
    m_effects.emplace_back(std::move(start));
}

auto Gateway::attemptHead(TimePoint now, AttemptId attempt, const AttemptHead &head) -> void
{
    auto *call = byAttempt(attempt);
    if (call == nullptr)
        return;
    call->head = head;
    call->headSeen = true;
    call->lastByteAt = now;
}

auto Gateway::attemptData(TimePoint now, AttemptId attempt, std::string_view bytes) -> void
{
    auto *call = byAttempt(attempt);
    if (call == nullptr)
        return;
    call->lastByteAt = now;
    if (!call->firstByteAt)
        call->firstByteAt = now;
    if (call->head.declined || !call->head.isAuthentic)
        return;
    constexpr int kOk = 200;
    if (call->kind == RouteKind::Stream && call->head.status == kOk)
        return streamData(now, *call, bytes);
    call->body.append(bytes);
    if (call->body.size() < kMaxHeldBody)
        return;
    // Too long to keep; from here on a failure shows as an answer that breaks off.
    if (!std::exchange(call->headPassed, true))
        m_effects.emplace_back(ForwardHead{call->request.token, attempt});
    m_effects.emplace_back(ForwardData{call->request.token, std::exchange(call->body, {})});
}

auto Gateway::streamData(TimePoint now, Call &call, std::string_view bytes) -> void
{
    std::string ready;
    for (auto &event : call.events.feed(bytes)) {
        if (!acceptEvent(call, event)) {
            m_log.add(now, LogImportance::Important, "calls", "event_out_of_order",
                      {{"request", call.request.name},
                       {"upstream", call.upstream.value},
                       {"event", event.id.value_or(0)},
                       {"last", call.lastEvent.value_or(0)}});
            if (!ready.empty())
                m_effects.emplace_back(ForwardData{call.request.token, std::move(ready)});
            m_effects.emplace_back(CancelAttempt{call.attempt});
            return attemptFailed(now, call, Ending::Broken, true);
        }
        ready += event.bytes;
    }
    if (ready.empty())
        return;
    if (!std::exchange(call.headPassed, true)) {
        m_effects.emplace_back(ForwardHead{call.request.token, call.attempt});
        m_metrics.observe("heathergate_first_event_seconds", {{"route", call.route}},
                          now - call.arrivedAt);
    }
    m_effects.emplace_back(ForwardData{call.request.token, std::move(ready)});
}

auto Gateway::acceptEvent(Call &call, const StreamEvent &event) -> bool
{
    if (event.id && call.lastEvent && *event.id != *call.lastEvent + 1)
        return false;
    if (event.id)
        call.lastEvent = event.id;
    call.tokens += call.tokensPerEvent;
    return true;
}

auto Gateway::attemptEnd(TimePoint now, AttemptId attempt, const AttemptEnd &end) -> void
{
    auto *call = byAttempt(attempt);
    if (call == nullptr)
        return;
    if (!end.connected)
        return attemptFailed(now, *call, Ending::Unreachable, end.sent);
    if (!end.complete || !call->headSeen)
        return attemptFailed(now, *call, Ending::Broken, end.sent);
    if (call->head.declined)
        return attemptFailed(now, *call, Ending::Declined, false);
    if (!call->head.isAuthentic || !call->events.isAtBoundary())
        return attemptFailed(now, *call, Ending::Broken, true);
    attemptSucceeded(now, *call);
}

auto Gateway::attemptSucceeded(TimePoint now, Call &call) -> void
{
    constexpr int kFirstServerError = 500;
    const auto token = call.request.token;
    const auto failed = call.head.status >= kFirstServerError;
    if (call.headPassed) {
        if (!call.body.empty())
            m_effects.emplace_back(ForwardData{token, std::move(call.body)});
        m_effects.emplace_back(EndResponse{token, !failed});
    } else {
        m_effects.emplace_back(ForwardResponse{token, call.attempt, std::move(call.body)});
    }
    finish(now, call, failed ? Ending::Failed : Ending::Answered,
           failed ? "upstream_failure" : "answered");
}

auto Gateway::attemptFailed(TimePoint now, Call &call, Ending ending, bool sent) -> void
{
    m_byAttempt.erase(call.attempt);
    m_log.add(now, LogImportance::Important, "calls", "attempt_failed",
              {{"request", call.request.name},
               {"upstream", call.upstream.value},
               {"ending", static_cast<int>(ending)},
               {"sent", sent ? 1 : 0},
               {"status", call.headSeen ? call.head.status : 0},
               {"try", call.tries},
               {"after_ms", now - call.sentAt},
               {"silent_ms", now - call.lastByteAt},
               {"left_ms", call.deadline - now}});
    m_metrics.count("heathergate_attempt_failures_total",
                    {{"ending", std::to_string(static_cast<int>(ending))}});
    if (sent)
        call.ranAt.insert(call.upstream);
    if (tryAgain(now, call, ending, sent))
        return;
    const auto ran = call.ranAt.empty() ? Ran::No : Ran::Unknown;
    refuse(now, call, ending,
           Error{ran == Ran::No ? Code::NoUpstream : Code::UpstreamFailed,
                 "the upstream did not answer as it should", ran, kNoUpstreamRetryAfter});
}

/// Asks for another place if the kind of the request allows it. An answer that broke off goes on
/// at the same upstream when no other one may run the request.
auto Gateway::tryAgain(TimePoint now, Call &call, Ending ending, bool sent) -> bool
{
    const auto repeatable =
        call.kind == RouteKind::Safe || (call.kind == RouteKind::Stream && call.isResumable);
    const auto held = !call.headPassed || call.kind == RouteKind::Stream;
    if ((sent && !repeatable) || !held || call.tries >= kMaxTries || now >= call.deadline)
        return false;
    if (ending == Ending::Declined && ++call.declines > kMaxDeclines)
        return false;
    reportEnding(now, call, ending, false);
    call.stayAt.reset();
    const auto mayMove = ending == Ending::Unreachable || ending == Ending::Declined
                         || call.ranAt.size() < static_cast<std::size_t>(call.maxAttempts);
    if (mayMove)
        call.avoid.push_back(call.upstream);
    else
        call.stayAt = call.upstream;
    if (ending == Ending::Unreachable)
        call.ranAt.erase(call.upstream); // It has ended, and its work with it.
    call.startBy = std::max(call.startBy, std::min(call.deadline, now + kLeastSilence));
    submit(now, call);
    return true;
}

auto Gateway::silenceLimit(const Call &call) const -> Duration
{
    if (call.kind == RouteKind::Stream && call.isResumable)
        return kStreamSilence;
    if (call.kind == RouteKind::Safe && call.maxAttempts > 1)
        return std::max(kLeastSilence, kSilentLatencies * call.targetLatency);
    return std::chrono::hours(1); // Nothing could be done but wait for the deadline.
}

auto Gateway::checkSilence(TimePoint now, Call &call) -> void
{
    if (now - call.lastByteAt < silenceLimit(call))
        return;
    m_effects.emplace_back(CancelAttempt{call.attempt});
    attemptFailed(now, call, Ending::Silent, true);
}

} // namespace heathergate::fleet
