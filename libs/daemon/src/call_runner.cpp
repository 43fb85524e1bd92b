#include <heathergate/core/json_text.h>
#include <heathergate/daemon/internal/call_runner.h>

/// Lifecycle of a call: start, admission and completion. The queue and the attempts are in separate
/// files.
namespace heathergate::daemon::internal {

namespace {

/// Maximum time for a reply to an allowance request.
constexpr Duration kAllowanceDeadline = std::chrono::milliseconds(900);
constexpr Duration kAllowanceCheckInterval = std::chrono::milliseconds(5);
/// Allowance held by another instance is returned within its time to live.
constexpr Duration kAllowanceReturnTimeout = std::chrono::milliseconds(1200);
/// Programs whose routing state is retained; beyond this number all states are discarded.
constexpr std::size_t kMaxRoutingStates = 50'000;

} // namespace

CallRunner::CallRunner(EntryContext &context)
    : m_context(context)
    , m_allowance(context.settings.id, 0)
    , m_router(context.settings.domain)
{
}

auto CallRunner::start(TimePoint now, CallRequest request) -> void
{
    if (m_context.view.state().isPoison(request.fingerprint)) {
        m_context.refuse(request.token, Error{Code::PoisonRequest,
                                              "upstreams died each time while this request ran",
                                              Ran::No,
                                              {}});
        return;
    }
    const auto id = m_context.nextNumber();
    auto &call = m_calls[id];
    call.id = id;
    call.arrivedAt = now;
    call.request = std::move(request);
    m_byToken[call.request.token] = id;
    m_context.timers.add(call.request.deadline,
                         [this, id](TimePoint at) { deadlinePassed(at, id); });
    m_admissionQueues[call.request.customer].push_back(id);
    admitWaiting(now, CustomerId(call.request.customer));
}

auto CallRunner::callerDisconnected(TimePoint now, http::Token token) -> void
{
    const auto found = m_byToken.find(token);
    if (found == m_byToken.end())
        return;
    auto *call = find(found->second);
    m_byToken.erase(found);
    if (call == nullptr)
        return;
    call->request.token = 0;
    const auto waiting = call->phase == CallPhase::Admitting
                         || call->phase == CallPhase::WaitingForProgram
                         || call->phase == CallPhase::Queued;
    if (waiting && call->attempt == 0) {
        remove(now, call->id);
    } else if (!call->request.program && call->phase == CallPhase::Running) {
        abandonAttempt(now, *call, routing::AttemptOutcome::Neutral);
        remove(now, call->id);
    }
}

auto CallRunner::tick(TimePoint now) -> void
{
    requestAllowance(now);
    std::vector<std::uint64_t> expired;
    for (auto &[lane, queue] : m_lanes) {
        for (const auto &item : queue.takeExpired(now))
            expired.push_back(item.request);
    }
    for (const auto id : expired) {
        if (auto *call = find(id)) {
            const auto served = m_router.serves(call->request.lane);
            failCall(now, *call,
                     Error{served ? Code::DeadlinePassed : Code::NoUpstream,
                           "no upstream for " + call->request.lane + " was free in time",
                           call->maybeSent ? Ran::Unknown : call->otherAttemptRan,
                           std::chrono::seconds(1)});
        }
    }
}

auto CallRunner::nextDeadline() const -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto &[lane, queue] : m_lanes)
        next = std::min(next, queue.nextDeadline());
    return std::min(next, std::max(m_allowance.nextReport(), m_nextAllowanceCheck));
}

auto CallRunner::admitWaiting(TimePoint now, const CustomerId &customer) -> void
{
    const auto *row = m_context.view.state().row(customer);
    auto &queue = m_admissionQueues[customer];
    while (!queue.empty()) {
        auto *call = find(queue.front());
        if (call == nullptr || call->phase != CallPhase::Admitting) {
            queue.pop_front();
            continue;
        }
        if (row == nullptr) {
            refuse(now, *call,
                   Error{Code::UnknownCustomer, "the customer has no row", Ran::No, {}});
            continue;
        }
        if (!m_allowance.tryAdmit(now, customer))
            break;
        queue.pop_front();
        admitted(now, *call);
    }
    if (row != nullptr)
        m_allowance.setWaiting(customer, row->limit(), queue.size());
}

auto CallRunner::requestAllowance(TimePoint now) -> void
{
    if (m_allowanceIncarnation != m_context.incarnation) {
        m_allowanceIncarnation = m_context.incarnation;
        m_allowance = limits::AllowanceClient(m_context.settings.id, m_context.incarnation);
        for (const auto &[customer, queue] : m_admissionQueues) {
            if (const auto *row = m_context.view.state().row(customer))
                m_allowance.setWaiting(customer, row->limit(), queue.size());
        }
    }
    if (now < m_allowance.nextReport() || m_context.incarnation == 0)
        return;
    // A report that is due may have to wait for the reply to the previous one.
    m_nextAllowanceCheck = now + kAllowanceCheckInterval;
    for (GroupId shard = 1; shard <= m_context.settings.shards; ++shard) {
        if (m_allowanceInFlight.contains(shard))
            continue;
        const auto request = m_allowance.makeRequest(now, [&](const CustomerId &customer) {
            return m_context.shardOf(customer.value) == shard;
        });
        if (!request)
            continue;
        for (const auto &item : request->items) {
            for (const auto id : m_admissionQueues[item.customer]) {
                if (auto *call = find(id))
                    call->allowanceRequested = true;
            }
        }
        m_allowanceInFlight.insert(shard);
        m_context.applyProgram(
            now, shard, *request, now + kAllowanceDeadline,
            [this, shard](TimePoint at, const Result<programs::ProgramOutcome> &outcome) {
                m_allowanceInFlight.erase(shard);
                if (outcome && outcome->allowance)
                    allowanceReceived(at, *outcome->allowance);
                m_context.timers.add(at + kAllowanceCheckInterval,
                                     [this](TimePoint later) { requestAllowance(later); });
            });
    }
}

auto CallRunner::allowanceReceived(TimePoint now, const limits::AllowanceReply &reply) -> void
{
    for (const auto &customer : m_allowance.receive(now, reply)) {
        admitWaiting(now, customer);
        const auto *grant = m_allowance.lastGrant(customer);
        const auto queue = m_admissionQueues[customer];
        for (const auto id : queue) {
            auto *call = find(id);
            if (call == nullptr || !call->allowanceRequested)
                continue;
            const auto mayBeReturned =
                grant->heldElsewhere > 0 && now - call->arrivedAt < kAllowanceReturnTimeout;
            if (mayBeReturned)
                continue;
            refuse(now, *call,
                   Error{Code::RateExceeded, "the customer is over its rate", Ran::No,
                         std::max(grant->nextToken, Duration(1))});
        }
        admitWaiting(now, customer);
    }
}

auto CallRunner::admitted(TimePoint now, Call &call) -> void
{
    m_context.metrics.observe("heathergate_admission_seconds",
                              {{"customer", call.request.customer.value}}, now - call.arrivedAt);
    m_retryBudget.deposit();
    if (!call.request.program) {
        enqueue(now, call);
        return;
    }
    auto &programQueue = m_programQueues[*call.request.program];
    if (programQueue.active != 0) {
        call.phase = CallPhase::WaitingForProgram;
        programQueue.waiting.push_back(call.id);
        return;
    }
    programQueue.active = call.id;
    enqueue(now, call);
}

auto CallRunner::complete(TimePoint now, Call &call) -> void
{
    releaseUpstream(now, call, attemptOutcomeOf(call.answer));
    if (m_context.view.state().isSuspect(call.request.fingerprint))
        m_context.applyControl(now, control::ClearSuspect{call.request.fingerprint},
                               now + std::chrono::seconds(5),
                               [](TimePoint, const Result<control::ControlOutcome> &) {});
    if (!call.request.program) {
        deliver(call);
        recordMetrics(now, call, "completed");
        remove(now, call.id);
        return;
    }
    call.phase = CallPhase::Finishing;
    programs::FinishCall finish;
    finish.key = *call.request.program;
    finish.call = call.request.callId;
    finish.attempt = call.attempt;
    finish.status = call.answer.status;
    finish.contentType = call.answer.contentType;
    finish.answer =
        call.request.kind == programs::CallKind::Model ? call.answer.text : call.answer.body;
    finish.used = call.answer.completionTokens;
    if (call.request.kind == programs::CallKind::Model) {
        auto messages = call.request.newMessages;
        messages.push_back({{"role", "assistant"}, {"content", call.answer.text}});
        finish.messages = jsonText(messages);
        auto &routingState = routingStateOf(*call.request.program);
        routingState.attained += static_cast<double>(call.answer.completionTokens);
        routingState.prompt = call.prompt;
        std::erase(routingState.holders, call.upstream);
        routingState.holders.insert(routingState.holders.begin(), call.upstream);
    }
    const Error notRecorded{
        Code::OutcomeUnknown, "the answer could not be recorded in time", Ran::Yes, {}};
    record(now, call, finish, notRecorded,
           [this, id = call.id](TimePoint at, const Result<programs::ProgramOutcome> &outcome) {
               recorded(at, id, outcome);
           });
}

auto CallRunner::record(TimePoint now, Call &call, const programs::FinishCall &finish,
                        const Error &timeoutError, RecordedHandler done) -> void
{
    // The ledger needs the outcome, so the request is retried across leader changes and losses of
    // quorum, also after the caller has received the timeout error.
    constexpr Duration kRecordDeadline = std::chrono::hours(1);
    constexpr Duration kCallerResultTimeout = std::chrono::seconds(30);
    m_context.applyProgram(now, m_context.shardOf(finish.key), finish, now + kRecordDeadline,
                           std::move(done));
    m_context.timers.add(now + kCallerResultTimeout, [this, id = call.id, timeoutError](TimePoint) {
        auto *waiting = find(id);
        if (waiting != nullptr && waiting->phase == CallPhase::Finishing)
            detachCaller(*waiting, timeoutError);
    });
}

auto CallRunner::recorded(TimePoint now, std::uint64_t id,
                          const Result<programs::ProgramOutcome> &outcome) -> void
{
    auto *call = find(id);
    if (call == nullptr)
        return;
    if (!outcome) {
        refuse(now, *call,
               Error{Code::OutcomeUnknown,
                     "the answer could not be recorded: " + outcome.error().detail,
                     Ran::Yes,
                     {}});
        return;
    }
    deliver(*call);
    recordMetrics(now, *call, "completed");
    remove(now, id);
}

auto CallRunner::refuse(TimePoint now, Call &call, const Error &error) -> void
{
    detachCaller(call, error);
    recordMetrics(now, call, "refused");
    remove(now, call.id);
}

auto CallRunner::detachCaller(Call &call, const Error &error) -> void
{
    const auto token = std::exchange(call.request.token, 0);
    if (token == 0)
        return;
    m_byToken.erase(token);
    if (call.streamStarted)
        m_context.effects.emplace_back(EndStream{token, false});
    else
        m_context.refuse(token, error);
}

auto CallRunner::remove(TimePoint now, std::uint64_t id) -> void
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const auto request = found->second.request;
    m_byToken.erase(request.token);
    if (found->second.phase == CallPhase::Queued) {
        const auto lane = m_lanes.find(request.lane);
        if (lane != m_lanes.end())
            lane->second.remove(id);
    }
    const auto wasAdmitting = found->second.phase == CallPhase::Admitting;
    m_calls.erase(found);
    if (wasAdmitting) {
        std::erase(m_admissionQueues[request.customer], id);
        if (const auto *row = m_context.view.state().row(request.customer))
            m_allowance.setWaiting(request.customer, row->limit(),
                                   m_admissionQueues[request.customer].size());
    }
    if (!request.program)
        return;
    const auto programQueue = m_programQueues.find(*request.program);
    if (programQueue == m_programQueues.end())
        return;
    std::erase(programQueue->second.waiting, id);
    if (programQueue->second.active != id)
        return;
    if (programQueue->second.waiting.empty()) {
        m_programQueues.erase(programQueue);
        return;
    }
    programQueue->second.active = programQueue->second.waiting.front();
    programQueue->second.waiting.pop_front();
    if (auto *next = find(programQueue->second.active))
        enqueue(now, *next);
}

auto CallRunner::recordMetrics(TimePoint now, const Call &call, const std::string &outcome) -> void
{
    const telemetry::Labels labels{{"customer", call.request.customer.value},
                                   {"class", std::to_string(call.request.priority)}};
    m_context.metrics.observe("heathergate_request_seconds", labels, now - call.arrivedAt);
    auto counted = labels;
    counted["outcome"] = outcome;
    m_context.metrics.count("heathergate_requests_total", counted);
    if (call.answer.promptTokens > 0) {
        m_context.metrics.count("heathergate_prompt_tokens_total", labels,
                                static_cast<double>(call.answer.promptTokens));
        m_context.metrics.count("heathergate_cached_tokens_total", labels,
                                static_cast<double>(call.answer.cachedTokens));
    }
}

auto CallRunner::find(std::uint64_t id) -> Call *
{
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : &found->second;
}

auto CallRunner::routingStateOf(const programs::ProgramKey &key) -> ProgramRoutingState &
{
    // The state only guides routing; discarding it costs some prompt cache hits.
    if (m_routingStates.size() > kMaxRoutingStates)
        m_routingStates.clear();
    return m_routingStates[key];
}

auto CallRunner::checkAuthorization(TimePoint now, const Call &call) const -> Result<void>
{
    if (!m_context.view.isFresh(now))
        return fail(Code::StaleConfiguration, "the instance cannot confirm its configuration",
                    Ran::No, std::chrono::seconds(1));
    const auto &keyHash = call.request.keyHash;
    if (!keyHash.empty() && m_context.view.state().key(keyHash) == nullptr)
        return fail(Code::UnknownKey, "the key has been withdrawn");
    return {};
}

} // namespace heathergate::daemon::internal
