#include <heathergate/fleet/gateway.h>

/// Attempts at upstreams: responses, failures and retries.
namespace heathergate::fleet {

namespace {

using telemetry::LogImportance;

/// Maximum number of attempts of one request, regardless of why the earlier ones failed.
constexpr int kMaxTotalAttempts = 4;
/// Maximum time without a byte of a resumable stream before its attempt times out.
constexpr Duration kStreamIdleTimeout = std::chrono::milliseconds(700);
/// Idle timeout of an idempotent request, in multiples of its target latency.
constexpr int kIdleTimeoutLatencies = 6;
/// Lower bound of the idle timeout of an idempotent request.
constexpr Duration kMinIdleTimeout = std::chrono::milliseconds(500);
/// Maximum size of a body that is buffered until it is complete; a longer one is forwarded while it
/// is received.
constexpr std::size_t kMaxBufferedBodyBytes = 256 * 1024;
/// Maximum size of a body that is received and not forwarded, because it is no valid response.
constexpr std::size_t kMaxIgnoredBytes = 256 * 1024;
constexpr int kOk = 200;
/// Retry delay for a caller whose request no upstream accepted.
constexpr Duration kNoUpstreamRetryAfter = std::chrono::milliseconds(300);

} // namespace

auto Gateway::startAttempt(TimePoint now, Call &call, const Endpoint &address) -> void
{
    call.phase = Phase::Running;
    call.attempt = ++m_lastAttempt;
    call.admittedBefore = true;
    call.sentAt = now;
    call.heldTime = Duration::zero();
    call.lastByteAt = now;
    call.firstByteAt.reset();
    call.head = {};
    call.headReceived = false;
    call.body.clear();
    call.ignoredBytes = 0;
    call.events.reset();
    call.position.beginAttempt();
    ++call.tries;
    m_byAttempt[call.attempt] = call.request.token;
    const auto lastEvent = call.position.lastEvent();
    m_log.add(now, LogImportance::Routine, "calls", "sent",
              {{"request", call.request.name},
               {"admission", call.admission},
               {"program", call.request.program},
               {"customer", call.customer.value},
               {"route", call.route},
               {"upstream", call.upstream.value},
               {"try", call.tries},
               {"waited_ms", now - call.arrivedAt},
               {"left_ms", call.deadline - now},
               {"after_event", lastEvent ? std::to_string(*lastEvent) : "none"},
               {"version", m_configuration.version()},
               {"term", m_link.term()}});
    StartAttempt start;
    start.token = call.request.token;
    start.attempt = call.attempt;
    start.upstream = call.upstream;
    start.address = address;
    start.customer = call.customer;
    start.timeLeft = call.deadline - now;
    start.resumeAfter = lastEvent;
    start.history = call.history;
    start.runsOnce =
        call.kind == RouteKind::Unsafe || (call.kind == RouteKind::Stream && !call.isResumable);
    start.isRepeated = call.mayHaveRunAt.contains(call.upstream);
    m_effects.emplace_back(std::move(start));
}

auto Gateway::attemptHead(TimePoint now, AttemptId attempt, const AttemptHead &head) -> void
{
    auto *call = byAttempt(attempt);
    if (call == nullptr)
        return;
    call->head = head;
    call->headReceived = true;
    call->lastByteAt = now;
    if (!head.unreadableStatement.empty())
        m_log.add(now, LogImportance::Important, "upstreams", "statement_unreadable",
                  {{"upstream", call->upstream.value},
                   {"request", call->request.name},
                   {"statement", head.unreadableStatement}});
    reportRate(now, *call);
    if (head.isLeaving)
        reportLeaving(now, *call);
}

auto Gateway::reportRate(TimePoint now, const Call &call) -> void
{
    // Only the upstream itself can tell that its limit has ended.
    const auto isOwnResponse = call.head.isAuthentic && !call.head.declined;
    if (!call.head.statedRate && !(isOwnResponse && call.head.unreadableStatement.empty()))
        return;
    const UpstreamIncarnation upstream{call.upstream, call.upstreamStartedAt};
    const auto isKnown = m_statements.rateOf(upstream).has_value();
    auto report = m_statements.note(now, upstream, call.sentAt, call.head.statedRate);
    // The leader may know the rate from another gateway.
    if (!call.head.statedRate && call.isUpstreamLimited)
        report = StatementReport::Lifted;
    if (call.head.statedRate && !isKnown)
        m_log.add(now, LogImportance::Important, "upstreams", "limit_seen",
                  {{"upstream", call.upstream.value},
                   {"rate", std::to_string(*call.head.statedRate)},
                   {"request", call.request.name},
                   {"leader_known", m_link.leader() ? 1 : 0}});
    if (report == StatementReport::None)
        return;
    fb::UpstreamStatementT statement;
    if (call.head.statedRate)
        statement.rate = *call.head.statedRate;
    sendStatement(call, std::move(statement));
}

auto Gateway::sendStatement(const Call &call, fb::UpstreamStatementT statement) -> void
{
    statement.upstream = call.upstream.value;
    statement.born = call.upstreamStartedAt.count();
    statement.request = call.admission;
    sendToLeader(Message(std::move(statement)));
}

auto Gateway::reportLeaving(TimePoint now, const Call &call) -> void
{
    const UpstreamIncarnation upstream{call.upstream, call.upstreamStartedAt};
    const auto isKnown = m_statements.isLeaving(upstream);
    if (!m_statements.noteLeaving(now, upstream))
        return;
    if (!isKnown)
        m_log.add(now, LogImportance::Important, "upstreams", "leaving_seen",
                  {{"upstream", call.upstream.value},
                   {"request", call.request.name},
                   {"status", call.head.status},
                   {"leader_known", m_link.leader() ? 1 : 0}});
    fb::UpstreamStatementT statement;
    statement.leaving = true;
    sendStatement(call, std::move(statement));
}

auto Gateway::connectionsLost(TimePoint now, const Endpoint &address) -> void
{
    m_log.add(now, LogImportance::Routine, "upstreams", "connections_lost",
              {{"address", address.text()}, {"leader_known", m_link.leader() ? 1 : 0}});
    fb::ConnectionsLostT message;
    message.address = address.text();
    sendToLeader(Message(std::move(message)));
}

auto Gateway::returnGrant(TimePoint now, Call &call) -> void
{
    m_metrics.count("heathergate_grants_returned_total", {});
    m_log.add(now, LogImportance::Important, "calls", "grant_returned",
              {{"request", call.request.name},
               {"upstream", call.upstream.value},
               {"why", "leaving"},
               {"term", m_link.term()}});
    reportOutcome(now, call, AttemptOutcome::Declined, false);
    call.admittedBefore = true;
    call.avoid.push_back(call.upstream);
    submit(now, call);
}

auto Gateway::isEventStream(const Call &call) -> bool
{
    return call.kind == RouteKind::Stream && call.head.status == kOk && !call.head.isOtherMediaType;
}

auto Gateway::mayForward(const Call &call) -> bool
{
    if (call.head.declined || !call.head.isAuthentic)
        return false;
    return call.delivered != Delivery::Events || isEventStream(call);
}

auto Gateway::canBeContinued(const Call &call) -> bool
{
    switch (call.delivered) {
    case Delivery::Nothing:
        return true;
    case Delivery::Events:
        return call.position.isResumable();
    case Delivery::Body:
        return false;
    }
    return false;
}

auto Gateway::attemptData(TimePoint now, AttemptId attempt, std::string_view bytes) -> void
{
    auto *call = byAttempt(attempt);
    if (call == nullptr)
        return;
    call->lastByteAt = now;
    if (call->seeksReplacement)
        keepAttempt(now, *call, "answered");
    if (!call->firstByteAt)
        call->firstByteAt = now;
    if (!mayForward(*call)) {
        call->ignoredBytes += bytes.size();
        if (call->ignoredBytes > kMaxIgnoredBytes)
            breakOff(now, *call, !call->head.declined);
        return;
    }
    if (isEventStream(*call))
        return streamData(now, *call, bytes);
    call->body.append(bytes);
    if (call->body.size() < kMaxBufferedBodyBytes)
        return;
    // The body is too long to buffer. A later failure truncates the response to the caller.
    if (std::exchange(call->delivered, Delivery::Body) == Delivery::Nothing)
        m_effects.emplace_back(ForwardHead{call->request.token, attempt});
    m_effects.emplace_back(ForwardData{call->request.token, std::exchange(call->body, {})});
}

auto Gateway::streamData(TimePoint now, Call &call, std::string_view bytes) -> void
{
    std::string ready;
    auto isInOrder = true;
    for (auto &event : call.events.feed(bytes)) {
        isInOrder = acceptEvent(call, event);
        if (!isInOrder) {
            m_log.add(now, LogImportance::Important, "calls", "event_out_of_order",
                      {{"request", call.request.name},
                       {"upstream", call.upstream.value},
                       {"number", event.id ? std::to_string(*event.id) : "none"},
                       {"last", call.position.lastEvent().value_or(0)}});
            break;
        }
        ready += event.bytes;
    }
    // The position includes these events, so that they are forwarded even if the attempt fails.
    forwardEvents(now, call, std::move(ready));
    if (!isInOrder || call.events.isTooLong())
        breakOff(now, call, true);
}

auto Gateway::forwardEvents(TimePoint now, Call &call, std::string events) -> void
{
    if (events.empty())
        return;
    if (std::exchange(call.delivered, Delivery::Events) == Delivery::Nothing) {
        m_effects.emplace_back(ForwardHead{call.request.token, call.attempt});
        m_metrics.observe("heathergate_first_event_seconds", {{"route", call.route}},
                          now - call.arrivedAt);
    }
    m_effects.emplace_back(ForwardData{call.request.token, std::move(events)});
}

/// Ends an attempt whose response is not valid. It may have run unless the upstream declined it.
auto Gateway::breakOff(TimePoint now, Call &call, bool mayHaveRun) -> void
{
    m_effects.emplace_back(CancelAttempt{call.attempt});
    attemptFailed(now, call, AttemptOutcome::Broken, mayHaveRun);
}

auto Gateway::acceptEvent(Call &call, const StreamEvent &event) -> bool
{
    if (!call.position.accept(event))
        return false;
    call.tokens += call.tokensPerEvent;
    if (call.keepsHistory)
        call.output += eventData(event.bytes) + '\n';
    return true;
}

auto Gateway::attemptHeld(TimePoint now, AttemptId attempt) -> void
{
    auto *call = byAttempt(attempt);
    if (call == nullptr)
        return;
    call->heldTime += now - call->lastByteAt;
    call->lastByteAt = now;
}

auto Gateway::attemptEnd(TimePoint now, AttemptId attempt, const AttemptEnd &end) -> void
{
    auto *call = byAttempt(attempt);
    if (call == nullptr)
        return;
    if (!end.connected)
        return attemptFailed(now, *call, AttemptOutcome::Unreachable, end.sent);
    if (!end.complete || !call->headReceived)
        return attemptFailed(now, *call, AttemptOutcome::Broken, end.sent);
    if (call->head.declined)
        return attemptFailed(now, *call, AttemptOutcome::Declined, false);
    if (!call->head.isAuthentic)
        return attemptFailed(now, *call, AttemptOutcome::Broken, true);
    if (!mayForward(*call))
        return attemptFailed(now, *call, AttemptOutcome::Failed, true);
    // A connection that was closed before any event does not show that the stream was complete.
    const auto isEmpty = call->head.endsWithConnection && !call->firstByteAt;
    if (isEventStream(*call) && (!call->events.isAtBoundary() || isEmpty))
        return attemptFailed(now, *call, AttemptOutcome::Broken, true);
    attemptSucceeded(now, *call);
}

auto Gateway::attemptSucceeded(TimePoint now, Call &call) -> void
{
    constexpr int kFirstServerError = 500;
    const auto token = call.request.token;
    const auto failed = call.head.status >= kFirstServerError;
    if (call.keepsHistory && isEventStream(call))
        return storeTurn(now, call);
    if (call.delivered == Delivery::Nothing) {
        m_effects.emplace_back(ForwardResponse{token, call.attempt, std::move(call.body)});
    } else {
        if (!call.body.empty())
            m_effects.emplace_back(ForwardData{token, std::move(call.body)});
        m_effects.emplace_back(EndResponse{token, true});
    }
    finish(now, call, failed ? AttemptOutcome::Failed : AttemptOutcome::Answered,
           failed ? "upstream_failure" : "answered");
}

auto Gateway::attemptFailed(TimePoint now, Call &call, AttemptOutcome outcome, bool sent) -> void
{
    m_byAttempt.erase(call.attempt);
    call.seeksReplacement = false;
    logFailure(now, call, outcome, sent);
    if (sent)
        call.mayHaveRunAt.insert(call.upstream);
    if (retry(now, call, outcome, sent))
        return;
    const auto ran = call.mayHaveRunAt.empty() ? Ran::No : Ran::Unknown;
    refuse(now, call, outcome,
           Error{ran == Ran::No ? Code::NoUpstream : Code::UpstreamFailed,
                 "the upstream did not answer as it should", ran, kNoUpstreamRetryAfter});
}

auto Gateway::logFailure(TimePoint now, const Call &call, AttemptOutcome outcome, bool sent) -> void
{
    m_log.add(now, LogImportance::Important, "calls", "attempt_failed",
              {{"request", call.request.name},
               {"upstream", call.upstream.value},
               {"ending", static_cast<int>(outcome)},
               {"sent", sent ? 1 : 0},
               {"status", call.headReceived ? call.head.status : 0},
               {"try", call.tries},
               {"after_ms", now - call.sentAt},
               {"silent_ms", now - call.lastByteAt},
               {"left_ms", call.deadline - now}});
    m_metrics.count("heathergate_attempt_failures_total",
                    {{"ending", std::to_string(static_cast<int>(outcome))}});
}

/// Requests another slot if the kind of the request allows a retry. When no other upstream may run
/// the request, it is retried at the same upstream.
auto Gateway::retry(TimePoint now, Call &call, AttemptOutcome outcome, bool sent) -> bool
{
    if (!mayRetry(now, call, sent))
        return false;
    reportOutcome(now, call, outcome, false);
    chooseNextUpstreams(call, outcome);
    call.startBy = std::max(call.startBy, std::min(call.deadline, now + kMinIdleTimeout));
    submit(now, call);
    return true;
}

auto Gateway::mayRetry(TimePoint now, const Call &call, bool sent) -> bool
{
    const auto isRetryable =
        call.kind == RouteKind::Safe || (call.kind == RouteKind::Stream && call.isResumable);
    return (!sent || isRetryable) && canBeContinued(call) && call.tries < kMaxTotalAttempts
           && now < call.deadline;
}

auto Gateway::chooseNextUpstreams(Call &call, AttemptOutcome outcome) -> void
{
    call.pinnedUpstream.reset();
    const auto mayChangeUpstream =
        outcome == AttemptOutcome::Unreachable || outcome == AttemptOutcome::Declined
        || call.mayHaveRunAt.size() < static_cast<std::size_t>(call.maxAttempts);
    if (mayChangeUpstream)
        call.avoid.push_back(call.upstream);
    else
        call.pinnedUpstream = call.upstream;
    if (outcome == AttemptOutcome::Unreachable)
        call.mayHaveRunAt.erase(call.upstream); // It has terminated, and the request with it.
}

auto Gateway::idleTimeoutOf(const Call &call) const -> Duration
{
    if (call.kind == RouteKind::Stream && call.isResumable)
        return kStreamIdleTimeout;
    if (call.kind == RouteKind::Safe && call.maxAttempts > 1)
        return std::max(kMinIdleTimeout, kIdleTimeoutLatencies * call.targetLatency);
    return std::chrono::hours(1); // No retry is possible, so that only the deadline applies.
}

auto Gateway::silentAt(const Call &call) const -> TimePoint
{
    return std::max(call.lastByteAt + idleTimeoutOf(call), call.nextReplacementAt);
}

auto Gateway::checkIdleTimeout(TimePoint now, Call &call) -> void
{
    if (call.seeksReplacement || now < silentAt(call))
        return;
    if (!mayRetry(now, call, true)) {
        // Only this upstream can still answer.
        call.nextReplacementAt = call.deadline;
        return;
    }
    m_log.add(now, LogImportance::Important, "calls", "upstream_silent",
              {{"request", call.request.name},
               {"upstream", call.upstream.value},
               {"try", call.tries},
               {"silent_ms", now - call.lastByteAt},
               {"left_ms", call.deadline - now}});
    m_metrics.count("heathergate_silent_attempts_total", {{"route", call.route}});
    reportOutcome(now, call, AttemptOutcome::TimedOut, false);
    call.mayHaveRunAt.insert(call.upstream);
    chooseNextUpstreams(call, AttemptOutcome::TimedOut);
    call.startBy = std::max(call.startBy, std::min(call.deadline, now + kMinIdleTimeout));
    call.seeksReplacement = true;
    submit(now, call);
}

auto Gateway::keepAttempt(TimePoint now, Call &call, std::string_view why) -> void
{
    m_log.add(now, LogImportance::Important, "calls", "attempt_kept",
              {{"request", call.request.name},
               {"upstream", call.upstream.value},
               {"why", why},
               {"silent_ms", now - call.lastByteAt}});
    // Takes back the request for a place, and tells the leader where the attempt still runs.
    reportOutcome(now, call, AttemptOutcome::Cancelled, false);
    call.seeksReplacement = false;
    call.nextReplacementAt = std::max(call.nextReplacementAt, now + kMinIdleTimeout);
    std::erase(call.avoid, call.upstream);
    call.pinnedUpstream.reset();
    sendToLeader(Message(admissionOf(now, call)));
}

auto Gateway::giveUpSilentAttempt(TimePoint now, Call &call) -> void
{
    call.seeksReplacement = false;
    m_effects.emplace_back(CancelAttempt{call.attempt});
    m_byAttempt.erase(call.attempt);
    logFailure(now, call, AttemptOutcome::TimedOut, true);
}

} // namespace heathergate::fleet
