#include <heathergate/fleet/control_node.h>

/// Admission of requests: rate limit, budget and placement.
namespace heathergate::fleet {

namespace {

using telemetry::LogImportance;

/// Retry delay for a caller whose upstream restarted before its slot was granted.
constexpr Duration kRestartedUpstreamRetryAfter = std::chrono::milliseconds(50);

auto codeOf(RejectReason reason) -> Code
{
    switch (reason) {
    case RejectReason::NoUpstream:
        return Code::NoUpstream;
    case RejectReason::Overload:
        return Code::QueueFull;
    case RejectReason::Poison:
        return Code::PoisonRequest;
    case RejectReason::StreamVersionGone:
        return Code::StreamVersionGone;
    }
    return Code::NoUpstream;
}

/// Returns the prefixes of the prompt; each identifies all parts up to its own.
auto prefixesOf(const fb::AdmissionT &message) -> routing::PromptPrefixes
{
    routing::PromptPrefixes prompt;
    std::uint64_t chain = 0;
    std::int64_t tokens = 0;
    for (const auto &part : message.prompt) {
        const auto id = part.id();
        chain = hash64({reinterpret_cast<const char *>(&id), sizeof(id)}, chain + 1);
        tokens += part.tokens();
        prompt.prefixes.push_back({chain, tokens});
    }
    return prompt;
}

} // namespace

auto ControlNode::workOf(TimePoint now, const InstanceId &from, const fb::AdmissionT &message) const
    -> Work
{
    Work work;
    work.id = message.request;
    work.gateway = from;
    work.customer = CustomerId(message.customer);
    work.service = ServiceId(message.service);
    work.domain = FailureDomainId(message.domain);
    work.rank = message.rank;
    work.deadline = now + Duration(message.timeLeft);
    work.startBy = now + Duration(std::min(message.timeLeft, message.patience));
    work.isStarted = message.again || hasStarted(message);
    if (message.finishIn >= 0)
        work.finishBy = now + Duration(message.finishIn);
    work.prompt = prefixesOf(message);
    work.needsRecentConnection = message.stream == 0 && !message.prompt.empty();
    work.needsKnownVersion =
        message.stream != 0 && m_state.streams().isRecording(m_replica.groupTime(now));
    work.expectedTokens = message.expectedTokens;
    work.fingerprint = message.fingerprint;
    for (const auto &upstream : message.avoid)
        work.avoid.emplace_back(upstream);
    if (!message.stayAt.empty())
        work.pinnedUpstream = UpstreamId(message.stayAt);
    return work;
}

/// Returns whether the program of a request has already started. A request without a budget is a
/// call of a running program.
auto ControlNode::hasStarted(const fb::AdmissionT &message) const -> bool
{
    return message.budget < 0 || m_state.hasStarted(message.program, message.request);
}

auto ControlNode::handle(TimePoint now, const InstanceId &from, fb::AdmissionT &message) -> void
{
    if (!isLeader(now))
        return redirect(from);
    auto &state = m_admissions[message.request];
    const auto isNew = state.gateway.empty();
    if (isNew) {
        state.gateway = from;
        state.program = message.program;
        state.hasBudget = message.budget >= 0;
        state.stream = message.stream;
        state.admittedAt = now;
    }
    state.ask = message.ask;
    if (!message.runningAt.empty()) {
        state.reserved = true;
        state.hasBeenSent = true;
        m_dispatcher.adopt(now, workOf(now, from, message), UpstreamId(message.runningAt));
        return;
    }
    if (!isNew || message.again || !m_quotas || m_recordedBefore.contains(message.request))
        return admit(now, from, message);
    const auto *customer = m_state.configuration().customer(CustomerId(message.customer));
    QuotaDecision decision;
    if (customer != nullptr)
        decision = m_quotas->take(now, quotaOf(message, *customer));
    if (!decision.isAdmitted) {
        m_metrics.count("heathergate_quota_refusals_total", {{"customer", message.customer}});
        m_log.add(now, LogImportance::Important, "admission", "over_limit",
                  {{"admission", message.request},
                   {"customer", message.customer},
                   {"program", message.program},
                   {"begun", hasStarted(message) ? 1 : 0},
                   {"in_window", decision.inWindow},
                   {"most", decision.maxInWindow},
                   {"expected", static_cast<std::int64_t>(decision.expected)}});
        refuse(now, from, message.request, Code::RateExceeded, decision.wait);
        m_admissions.erase(message.request);
    } else if (decision.wait > Duration::zero()) {
        message.timeLeft -= decision.wait.count();
        message.patience -= decision.wait.count();
        message.finishIn =
            message.finishIn < 0
                ? -1
                : std::max<std::int64_t>(message.finishIn - decision.wait.count(), 0);
        m_delayed.emplace(now + decision.wait, std::pair(from, std::move(message)));
    } else {
        admit(now, from, message);
    }
}

auto ControlNode::quotaOf(const fb::AdmissionT &message, const Customer &customer) const
    -> QuotaRequest
{
    QuotaRequest request;
    request.customer = customer.id;
    request.limit = {customer.ratePerSecond, customer.burst};
    request.program = message.program;
    request.rank = message.rank;
    request.isStarted = hasStarted(message);
    if (message.finishIn >= 0)
        request.finishIn = Duration(message.finishIn);
    return request;
}

/// Restores the requests that former leaders admitted within the quota window.
auto ControlNode::restoreQuotas(TimePoint now) -> void
{
    m_quotas = std::make_unique<QuotaTable>(m_settings.quotaWindow);
    const auto groupNow = m_replica.groupTime(now);
    std::uint64_t restored = 0;
    m_recordedBefore.clear();
    for (const auto &recorded : m_state.recordedRequests())
        m_recordedBefore.insert(recorded.request);
    for (const auto &[customer, uses] : m_state.usage()) {
        for (const auto &use : uses) {
            const auto age = std::max(groupNow - use.at, GroupTime::zero());
            if (age >= m_settings.quotaWindow)
                continue;
            m_quotas->restore(customer, now - age, use.count);
            restored += use.count;
        }
    }
    m_log.add(now, LogImportance::Important, "admission", "quotas_restored",
              {{"in_window", restored},
               {"requests_known", m_recordedBefore.size()},
               {"term", m_replica.term()}});
}

auto ControlNode::recordUse(const fb::AdmissionT &message, AdmissionState &state) -> void
{
    const CustomerId id(message.customer);
    m_pendingUse[id].push_back(message.request);
    auto &unrecorded = m_unrecorded[id];
    ++unrecorded;
    const auto *customer = m_state.configuration().customer(id);
    if (customer == nullptr || customer->ratePerSecond <= 0 || !m_quotas)
        return;
    const auto maxUnrecorded = m_quotas->maxUnrecorded({customer->ratePerSecond, customer->burst});
    // Begins early, so that a steady sequence of requests does not wait for its records.
    m_urgent = m_urgent || 2 * unrecorded >= maxUnrecorded;
    if (unrecorded <= maxUnrecorded)
        return;
    state.awaitsUse = true;
    m_metrics.count("heathergate_admissions_held_for_record_total", {});
}

auto ControlNode::usesRecorded(TimePoint now,
                               const std::map<CustomerId, std::vector<RequestId>> &uses) -> void
{
    for (const auto &[customer, requests] : uses) {
        const auto unrecorded = m_unrecorded.find(customer);
        if (unrecorded != m_unrecorded.end()) {
            unrecorded->second -= std::min(unrecorded->second, requests.size());
            if (unrecorded->second == 0)
                m_unrecorded.erase(unrecorded);
        }
        for (const auto request : requests) {
            const auto found = m_admissions.find(request);
            if (found == m_admissions.end() || !std::exchange(found->second.awaitsUse, false))
                continue;
            grantIfReady(now, request, found->second);
        }
    }
}

auto ControlNode::admit(TimePoint now, const InstanceId &from, const fb::AdmissionT &message)
    -> void
{
    const auto found = m_admissions.find(message.request);
    if (found == m_admissions.end())
        return; // The request was cancelled while it waited for capacity in the limit.
    auto &state = found->second;
    const auto isCounted = m_recordedBefore.erase(message.request) > 0;
    if (!message.again && !message.customer.empty() && !isCounted)
        recordUse(message, state);
    if (message.again) {
        state.hasBeenSent = true;
        state.reserved = true;
        state.placement.reset();
    }
    if (state.hasBudget && !state.reserved)
        reserveBudget(message);
    auto work = workOf(now, from, message);
    work.origin = originOf(now, message);
    m_dispatcher.submit(now, std::move(work));
}

auto ControlNode::isCurrent(const Placement &placement) const -> bool
{
    const auto upstream = m_state.upstreams().find(placement.upstream);
    return upstream != m_state.upstreams().end()
           && upstream->second.startedAt == placement.startedAt;
}

auto ControlNode::isEvacuated(const Placement &placement) const -> bool
{
    const auto upstream = m_state.upstreams().find(placement.upstream);
    return upstream != m_state.upstreams().end()
           && m_state.evacuated().contains(upstream->second.domain);
}

auto ControlNode::admitDelayed(TimePoint now) -> void
{
    while (!m_delayed.empty() && m_delayed.begin()->first <= now) {
        const auto [from, message] = std::move(m_delayed.begin()->second);
        m_delayed.erase(m_delayed.begin());
        admit(now, from, message);
    }
}

auto ControlNode::handle(TimePoint, const InstanceId &, fb::GrantT &) -> void {}

auto ControlNode::handle(TimePoint, const InstanceId &, fb::RefusalT &) -> void {}

auto ControlNode::handle(TimePoint now, const InstanceId &from, fb::CompletionT &message) -> void
{
    // While the lease has lapsed, the requests that this leader has placed still count. One that
    // was elected in this round has placed none.
    if (m_replica.role() != consensus::Role::Leader || !m_wasLeader)
        return redirect(from);
    AttemptReport report;
    report.outcome = static_cast<AttemptOutcome>(message.ending);
    report.total = Duration(message.duration);
    report.first = Duration(message.first);
    m_dispatcher.finish(now, message.request, report);
    if (!message.final)
        return withdrawPlacement(message.request);
    // The budget is settled even if a former leader admitted the request.
    if (!message.program.empty())
        settleBudget(message.program, message.request, message.tokens);
    m_admissions.erase(message.request);
}

auto ControlNode::restoreFailures(TimePoint now) -> void
{
    const auto groupNow = m_replica.groupTime(now);
    for (const auto &[fingerprint, failed] : m_state.failedRequests()) {
        const auto age = std::max(groupNow - failed.at, GroupTime::zero());
        m_dispatcher.restoreFailures({fingerprint, failed.failures}, now - age);
    }
}

auto ControlNode::recordFailures() -> void
{
    for (const auto &changed : m_dispatcher.takeFailures()) {
        auto command = std::make_unique<fb::CommandT>();
        command->failures = std::make_unique<fb::RecordFailuresT>();
        command->failures->fingerprint = changed.fingerprint;
        command->failures->failures = changed.failures;
        propose(std::move(command), changed.failures > 0);
    }
}

auto ControlNode::reserveBudget(const fb::AdmissionT &message) -> void
{
    auto command = std::make_unique<fb::CommandT>();
    command->reserve = std::make_unique<fb::ReserveT>();
    command->reserve->program = message.program;
    command->reserve->request = message.request;
    command->reserve->budget = message.budget;
    command->reserve->most = message.mostTokens;
    propose(std::move(command), true);
}

auto ControlNode::settleBudget(const ProgramKey &program, RequestId request, std::int64_t used)
    -> void
{
    auto command = std::make_unique<fb::CommandT>();
    command->settle = std::make_unique<fb::SettleT>();
    command->settle->program = program;
    command->settle->request = request;
    command->settle->used = used;
    propose(std::move(command), false);
}

auto ControlNode::reserved(TimePoint now, const ReserveOutcome &outcome) -> void
{
    const auto found = m_admissions.find(outcome.request);
    if (found == m_admissions.end())
        return;
    auto &state = found->second;
    if (outcome.granted) {
        state.reserved = true;
        grantIfReady(now, outcome.request, state);
        return;
    }
    m_metrics.count("heathergate_budget_refusals_total", {});
    refuse(now, state.gateway, outcome.request, Code::BudgetExhausted, Duration::zero());
    m_dispatcher.finish(now, outcome.request, {AttemptOutcome::Cancelled, {}, {}});
    m_admissions.erase(found);
}

auto ControlNode::grantIfReady(TimePoint now, RequestId request, AdmissionState &state) -> void
{
    if (!state.placement || state.awaitsRecord || state.awaitsUse
        || (state.hasBudget && !state.reserved))
        return;
    const auto &placement = *state.placement;
    if ((state.stream != 0 && !isCurrent(placement)) || isEvacuated(placement))
        return rejectStalePlacement(now, request);
    fb::GrantT grant;
    grant.request = request;
    grant.ask = state.ask;
    grant.upstream = placement.upstream.value;
    grant.address = placement.address.text();
    grant.born = placement.startedAt.count();
    grant.limited = placement.isLimited;
    m_metrics.observe("heathergate_admission_seconds", {}, now - state.admittedAt);
    m_output.messages.push_back({state.gateway, PeerFrame(Message(std::move(grant)))});
}

auto ControlNode::refuse(TimePoint now, const InstanceId &gateway, RequestId request, Code code,
                         Duration retryAfter) -> void
{
    m_log.add(now, LogImportance::Important, "admission", "refused",
              {{"admission", request},
               {"gateway", gateway.value},
               {"code", static_cast<int>(code)},
               {"retry_after_ms", retryAfter},
               {"queued", m_dispatcher.waiting()},
               {"running", m_dispatcher.running()},
               {"version", m_state.configuration().version()},
               {"term", m_replica.term()}});
    fb::RefusalT refusal;
    refusal.request = request;
    if (const auto found = m_admissions.find(request); found != m_admissions.end())
        refusal.ask = found->second.ask;
    refusal.code = static_cast<int>(code);
    refusal.retryAfter = retryAfter.count();
    m_output.messages.push_back({gateway, PeerFrame(Message(refusal))});
}

auto ControlNode::takeDispatcherOutput(TimePoint now) -> void
{
    recordFailures();
    for (const auto request : m_dispatcher.takeOverdue()) {
        m_metrics.count("heathergate_slots_overdue_total", {});
        m_log.add(now, LogImportance::Important, "admission", "slot_overdue",
                  {{"admission", request}, {"term", m_replica.term()}});
    }
    if (const auto opened = m_dispatcher.takeExpectedConnections(); opened > 0)
        m_metrics.count("heathergate_new_connections_expected_total", {},
                        static_cast<double>(opened));
    for (const auto &change : m_dispatcher.takePaceChanges())
        m_log.add(now, LogImportance::Important, "upstreams",
                  change.hasBegun ? "pace_begun" : "pace_ended",
                  {{"upstream", change.upstream.value},
                   {"why", change.why},
                   {"took_ms", change.took},
                   {"slowness", std::to_string(change.slowness)},
                   {"term", m_replica.term()}});
    for (auto &placement : m_dispatcher.takePlacements()) {
        const auto found = m_admissions.find(placement.request);
        if (found == m_admissions.end())
            continue;
        found->second.placement = std::move(placement);
        recordStream(now, found->first, found->second);
        grantIfReady(now, found->first, found->second);
    }
    for (const auto &rejection : m_dispatcher.takeRejections())
        rejected(now, rejection);
}

auto ControlNode::rejected(TimePoint now, const Rejection &rejection) -> void
{
    refuse(now, rejection.gateway, rejection.request, codeOf(rejection.reason),
           rejection.retryAfter);
    const auto found = m_admissions.find(rejection.request);
    // A request that has been sent may have generated tokens; its gateway settles it.
    if (found == m_admissions.end() || found->second.hasBeenSent)
        return;
    // A reservation that is not committed yet is settled by the command that follows it in the log.
    if (found->second.hasBudget)
        settleBudget(found->second.program, rejection.request, 0);
    m_admissions.erase(found);
}

auto ControlNode::rejectStalePlacement(TimePoint now, RequestId request) -> void
{
    Rejection rejection;
    rejection.request = request;
    rejection.gateway = m_admissions.at(request).gateway;
    rejection.retryAfter = kRestartedUpstreamRetryAfter;
    m_dispatcher.finish(now, request, {AttemptOutcome::Cancelled, {}, {}});
    rejected(now, rejection);
}

} // namespace heathergate::fleet
