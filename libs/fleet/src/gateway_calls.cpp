#include <heathergate/fleet/gateway.h>

/// Lifecycle of a caller's request in the gateway, from its arrival to its end.
namespace heathergate::fleet {

namespace {

using telemetry::LogImportance;

/// Exclusive upper bound of route priorities, so that the customer's priority outranks the route's.
constexpr int kRoutePriorities = 100;
/// Minimum time after which callers abandon a stream. The actual time is the maximum of this one
/// and of the following multiples of the target latency and the target gap.
constexpr Duration kMinAbandonTime = std::chrono::seconds(2);
constexpr int kAbandonLatencies = 4;
constexpr int kAbandonGaps = 8;
/// Time reserved for the attempt itself when a request waits for a slot.
constexpr Duration kStreamStartMargin = std::chrono::milliseconds(400);
constexpr Duration kCallStartMargin = std::chrono::milliseconds(30);
/// Retry delay for a caller whose request was granted no slot in time, with or without a leader.
constexpr Duration kNoSlotRetryAfter = std::chrono::milliseconds(300);
/// Retry delay for a caller of a gateway that has not received a configuration yet.
constexpr Duration kNoConfigurationRetryAfter = std::chrono::milliseconds(300);

/// Identifies a request by what it asks for and by the customer, who may hold several keys and
/// exchange them.
auto fingerprintOf(const CustomerId &customer, const CallerRequest &request) -> std::uint64_t
{
    return hash64(customer.value, request.contentHash);
}

auto callError(Code code, std::string detail, Ran ran, Duration retryAfter = {}) -> Error
{
    return Error{code, std::move(detail), ran, retryAfter};
}

} // namespace

auto Gateway::request(TimePoint now, const CallerRequest &request) -> void
{
    auto opened = openCall(now, request);
    if (!opened) {
        const auto &error = opened.error();
        m_log.add(now, LogImportance::Important, "calls", "refused",
                  {{"request", request.name},
                   {"code", static_cast<int>(error.code)},
                   {"detail", error.detail},
                   {"version", m_configuration.version()},
                   {"ran", ranText(error.ran)}});
        m_metrics.count("heathergate_calls_total",
                        {{"outcome", std::string(codeInfo(error.code).name)}});
        m_effects.emplace_back(RefuseCaller{request.token, error});
        return;
    }
    auto &call = m_calls[request.token] = std::move(*opened);
    m_byAdmission[call.admission] = request.token;
    if (call.keepsHistory && !request.previousTurn.empty())
        readHistory(now, call);
    else
        submit(now, call);
}

auto Gateway::openCall(TimePoint now, const CallerRequest &request) -> Result<Call>
{
    if (m_configuration.version() == 0)
        return fail(Code::StaleConfiguration, "no configuration is known yet", Ran::No,
                    kNoConfigurationRetryAfter);
    const auto *route = m_configuration.route(request.host, request.path);
    if (route == nullptr)
        return fail(Code::UnknownRoute, "no route for this host and path");
    Call call;
    const Customer *customer = nullptr;
    if (!m_configuration.all().customers.empty() && !route->isOpen) {
        if (!request.key)
            return fail(Code::MissingKey, "the request has no key");
        customer = m_configuration.customerOf(*request.key);
        if (customer == nullptr)
            return fail(Code::UnknownKey, "nobody holds this key");
        call.customer = customer->id;
    }
    call.request = request;
    call.admission = ++m_lastAdmission;
    call.kind = route->kind;
    call.route = route->name;
    call.service = pickService(*route);
    call.rank = (customer == nullptr ? 0 : customer->priority * kRoutePriorities)
                + std::min(route->priority, kRoutePriorities - 1);
    call.maxAttempts = std::max(route->maxAttempts, 1);
    call.isResumable = route->isResumable;
    call.keepsHistory = route->kind == RouteKind::Stream && route->keepsHistory;
    call.retention = route->retention;
    call.targetLatency = route->targetLatency;
    const auto *service = m_configuration.service(call.service);
    if (service != nullptr && service->engine)
        call.tokensPerEvent = std::max(service->engine->tokensPerEvent, 1);
    call.arrivedAt = now;
    call.deadline = now + std::min(route->timeout, request.callerTimeout.value_or(route->timeout));
    if (m_stop && !m_stop->takes(now, call.deadline))
        return fail(Code::Draining, "the instance stops before the request has to end", Ran::No);
    call.startBy = call.deadline - kCallStartMargin;
    if (route->kind == RouteKind::Stream) {
        const auto abandoned = std::max({kMinAbandonTime, kAbandonLatencies * route->targetLatency,
                                         kAbandonGaps * route->targetGap});
        call.startBy = std::min(call.deadline, now + abandoned) - kStreamStartMargin;
    }
    call.startBy = std::max(call.startBy, now);
    call.position = StreamPosition(request.lastEvent);
    return call;
}

auto Gateway::pickService(const Route &route) -> ServiceId
{
    double total = 0;
    for (const auto &target : route.targets)
        total += target.weight;
    auto remainingWeight = m_random.unit() * total;
    for (const auto &target : route.targets) {
        remainingWeight -= target.weight;
        if (remainingWeight < 0 && target.weight > 0)
            return target.service;
    }
    return route.targets.back().service;
}

auto Gateway::submit(TimePoint now, Call &call) -> void
{
    if (!call.seeksReplacement)
        call.phase = Phase::Waiting;
    ++call.asks;
    sendToLeader(Message(admissionOf(now, call)));
}

auto Gateway::isOvertaken(TimePoint now, const Call &call, std::uint32_t ask) -> bool
{
    if (ask == 0 || ask == call.asks)
        return false;
    m_log.add(now, LogImportance::Important, "calls", "answer_overtaken",
              {{"request", call.request.name}, {"ask", ask}, {"last", call.asks}});
    return true;
}

auto Gateway::admissionOf(TimePoint now, const Call &call) const -> fb::AdmissionT
{
    const auto &request = call.request;
    fb::AdmissionT admission;
    admission.request = call.admission;
    admission.customer = call.customer.value;
    admission.service = call.service.value;
    admission.domain = m_settings.domain.value;
    admission.rank = call.rank;
    admission.timeLeft = (call.deadline - now).count();
    admission.patience = (call.startBy - now).count();
    admission.finishIn = request.finishIn ? (call.arrivedAt + *request.finishIn - now).count() : -1;
    if (admission.finishIn < 0 && request.finishIn)
        admission.finishIn = 0;
    admission.budget = -1;
    if (!request.program.empty())
        admission.program = call.customer.value + "/" + request.program;
    if (request.budget && !request.program.empty()) {
        admission.budget = *request.budget;
        admission.mostTokens = request.maxTokens;
    }
    for (const auto &part : request.prompt)
        admission.prompt.emplace_back(part.id, part.tokens);
    admission.expectedTokens = static_cast<int>(request.expectedTokens);
    admission.fingerprint = fingerprintOf(call.customer, request);
    for (const auto &upstream : call.avoid)
        admission.avoid.push_back(upstream.value);
    admission.again = call.admittedBefore;
    admission.ask = call.asks;
    if (call.kind == RouteKind::Stream && call.isResumable) {
        const auto isResumedByCaller = request.lastEvent || !request.resumedAttempt.empty();
        admission.stream =
            streamIdOf(call.customer, isResumedByCaller ? request.resumedAttempt : request.name);
        // A silent attempt may speak while its replacement is placed and recorded. Whichever of the
        // two goes on, the record is right, because both run the same software version.
        admission.resumes = call.position.lastEvent() || isResumedByCaller || call.seeksReplacement;
    }
    if (call.phase == Phase::Running && !call.seeksReplacement)
        admission.runningAt = call.upstream.value;
    else if (call.pinnedUpstream)
        admission.stayAt = call.pinnedUpstream->value;
    return admission;
}

auto Gateway::byAttempt(AttemptId attempt) -> Call *
{
    const auto token = m_byAttempt.find(attempt);
    return token == m_byAttempt.end() ? nullptr : &m_calls.at(token->second);
}

auto Gateway::byAdmission(std::uint64_t admission) -> Call *
{
    const auto token = m_byAdmission.find(admission);
    return token == m_byAdmission.end() ? nullptr : &m_calls.at(token->second);
}

auto Gateway::handle(TimePoint now, const InstanceId &, fb::GrantT &message) -> void
{
    auto *call = byAdmission(message.request);
    const auto address = parseEndpoint(message.address);
    if (call != nullptr && call->phase != Phase::Waiting && !call->seeksReplacement)
        return; // It was repeated after the connection to the leader was lost, or is not needed.
    if (call != nullptr && isOvertaken(now, *call, message.ask))
        return;
    if (call == nullptr || !address) {
        fb::CompletionT completion;
        completion.request = message.request;
        completion.ending = static_cast<std::uint8_t>(AttemptOutcome::Cancelled);
        completion.final = true;
        sendToLeader(Message(std::move(completion)));
        return;
    }
    // It may have been granted while this gateway was suspended, so that the upstream has changed.
    if (call->phase == Phase::Waiting && now >= call->startBy)
        return deadlinePassed(now, *call);
    const UpstreamIncarnation granted{UpstreamId(message.upstream),
                                      std::chrono::milliseconds(message.born)};
    if (call->seeksReplacement) {
        // The silent attempt goes on until a usable place is granted.
        if (m_statements.isLeaving(granted))
            return keepAttempt(now, *call, "replacement_leaves");
        giveUpSilentAttempt(now, *call);
    }
    call->upstream = UpstreamId(message.upstream);
    call->upstreamStartedAt = std::chrono::milliseconds(message.born);
    call->isUpstreamLimited = message.limited;
    // A pinned request has run there before, and must not run anywhere else.
    if (m_statements.isLeaving({call->upstream, call->upstreamStartedAt}) && !call->pinnedUpstream)
        return returnGrant(now, *call);
    startAttempt(now, *call, *address);
}

auto Gateway::handle(TimePoint now, const InstanceId &, fb::RefusalT &message) -> void
{
    auto *call = byAdmission(message.request);
    if (call != nullptr && isOvertaken(now, *call, message.ask))
        return;
    if (call != nullptr && call->seeksReplacement) {
        call->nextReplacementAt = now + Duration(message.retryAfter);
        return keepAttempt(now, *call, "no_replacement");
    }
    if (call == nullptr || call->phase != Phase::Waiting)
        return;
    const auto code = static_cast<Code>(message.code);
    call->settledByLeader = !call->admittedBefore;
    const auto ran = call->mayHaveRunAt.empty() ? Ran::No : Ran::Unknown;
    refuse(now, *call, AttemptOutcome::Cancelled,
           callError(ran == Ran::No ? code : Code::UpstreamFailed,
                     std::string(codeInfo(code).meaning), ran, Duration(message.retryAfter)));
}

auto Gateway::reportOutcome(TimePoint now, const Call &call, AttemptOutcome outcome, bool final)
    -> void
{
    if (call.settledByLeader)
        return;
    fb::CompletionT completion;
    completion.request = call.admission;
    completion.ending = static_cast<std::uint8_t>(outcome);
    completion.tokens = std::min(call.tokens, std::max<std::int64_t>(call.request.maxTokens, 0));
    completion.final = final;
    completion.duration =
        call.phase == Phase::Running ? (now - call.sentAt - call.heldTime).count() : 0;
    completion.first = call.firstByteAt ? (*call.firstByteAt - call.sentAt).count() : 0;
    if (final && call.request.budget && !call.request.program.empty())
        completion.program = call.customer.value + "/" + call.request.program;
    if (final)
        m_recentCompletions.push_back({now, m_link.term(), completion});
    sendToLeader(Message(std::move(completion)));
}

auto Gateway::finish(TimePoint now, Call &call, AttemptOutcome outcome, std::string_view label)
    -> void
{
    reportOutcome(now, call, outcome, true);
    const auto importance =
        outcome == AttemptOutcome::Answered ? LogImportance::Routine : LogImportance::Important;
    m_log.add(now, importance, "calls", "ended",
              {{"request", call.request.name},
               {"outcome", label},
               {"upstream", call.upstream.value},
               {"status", call.headReceived ? call.head.status : 0},
               {"tokens", call.tokens},
               {"tries", call.tries},
               {"total_ms", now - call.arrivedAt}});
    m_metrics.count("heathergate_calls_total", {{"outcome", std::string(label)}});
    m_metrics.observe("heathergate_call_seconds",
                      {{"route", call.route}, {"customer", call.customer.value}},
                      now - call.arrivedAt);
    m_byAttempt.erase(call.attempt);
    m_byAdmission.erase(call.admission);
    m_history.cancel(call.request.token);
    m_calls.erase(call.request.token);
}

auto Gateway::refuse(TimePoint now, Call &call, AttemptOutcome outcome, Error error) -> void
{
    const auto token = call.request.token;
    m_log.add(now, LogImportance::Important, "calls", "refused",
              {{"request", call.request.name},
               {"admission", call.admission},
               {"program", call.request.program},
               {"customer", call.customer.value},
               {"code", static_cast<int>(error.code)},
               {"detail", error.detail},
               {"ran", ranText(error.ran)},
               {"retry_after_ms", error.retryAfter},
               {"held_ms", now - call.arrivedAt},
               {"version", m_configuration.version()}});
    const std::string label(codeInfo(error.code).name);
    if (call.delivered != Delivery::Nothing)
        m_effects.emplace_back(EndResponse{token, false});
    else
        m_effects.emplace_back(RefuseCaller{token, std::move(error)});
    finish(now, call, outcome, label);
}

auto Gateway::callerDisconnected(TimePoint now, CallerToken token) -> void
{
    const auto found = m_calls.find(token);
    if (found == m_calls.end())
        return;
    auto &call = found->second;
    if (call.phase == Phase::Running)
        m_effects.emplace_back(CancelAttempt{call.attempt});
    finish(now, call, AttemptOutcome::Cancelled, "caller_gone");
}

auto Gateway::deadlinePassed(TimePoint now, Call &call) -> void
{
    if (call.phase == Phase::Storing)
        return turnStored(now, call, false);
    giveUp(now, call,
           callError(m_link.leader() ? Code::QueueFull : Code::NoQuorum,
                     "no place was free in time", Ran::No, kNoSlotRetryAfter));
}

auto Gateway::giveUp(TimePoint now, Call &call, Error notRun) -> void
{
    if (call.phase == Phase::Running)
        m_effects.emplace_back(CancelAttempt{call.attempt});
    const auto mayHaveRun = call.phase == Phase::Running || !call.mayHaveRunAt.empty();
    if (mayHaveRun)
        refuse(now, call, AttemptOutcome::Cancelled,
               callError(Code::Timeout, "the time of the request is up", Ran::Unknown));
    else
        refuse(now, call, AttemptOutcome::Cancelled, std::move(notRun));
}

} // namespace heathergate::fleet
