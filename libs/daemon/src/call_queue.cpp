#include <heathergate/core/json_text.h>
#include <heathergate/daemon/internal/call_runner.h>

/// Queueing, choice of upstream and recording of the intent of a call.
namespace heathergate::daemon::internal {

namespace {

/// Maximum time in the queue if no upstream serves the lane when the call is queued.
constexpr Duration kNoUpstreamTimeout = std::chrono::seconds(2);
/// Maximum time to record the intent of a call.
constexpr Duration kBeginDeadline = std::chrono::seconds(10);
/// Time for which the withdrawal of an intent is retried.
constexpr Duration kWithdrawDeadline = std::chrono::hours(1);
/// Bytes of text per token, to estimate the size of a prompt.
constexpr std::int64_t kBytesPerToken = 4;
/// Cache size assumed for an upstream that does not announce its context size.
constexpr std::int64_t kDefaultCacheTokens = 100'000;

auto targetOf(const control::UpstreamRecord &record) -> routing::Target
{
    routing::Target target;
    target.id = record.offer.id;
    target.incarnation = record.incarnation;
    target.domain = record.offer.domain;
    target.slots = record.offer.slots;
    target.draining = record.draining;
    target.cacheTokens =
        record.offer.contextTokens > 0 ? record.offer.contextTokens : kDefaultCacheTokens;
    for (const auto &model : record.offer.models)
        target.lanes.push_back("model:" + model);
    for (const auto &service : record.offer.services)
        target.lanes.push_back("service:" + service);
    return target;
}

/// Returns the prefixes of `known` followed by one for each of `messages`.
auto extendPrompt(routing::PromptPrefixes known, const nlohmann::json &messages)
    -> routing::PromptPrefixes
{
    std::uint64_t hash = known.prefixes.empty() ? 0 : known.prefixes.back().hash;
    std::int64_t tokens = known.totalTokens();
    for (const auto &message : messages) {
        const auto text = jsonText(message);
        hash = hash64(text, hash);
        tokens += 1 + static_cast<std::int64_t>(text.size()) / kBytesPerToken;
        known.prefixes.push_back({hash, tokens});
    }
    return known;
}

} // namespace

auto CallRunner::viewChanged(TimePoint now) -> void
{
    std::vector<routing::Target> targets;
    for (const auto &[id, record] : m_context.view.state().upstreams())
        targets.push_back(targetOf(record));
    m_router.setTargets(targets);

    std::vector<std::uint64_t> ids;
    for (const auto &[id, call] : m_calls)
        ids.push_back(id);
    for (const auto id : ids) {
        auto *call = find(id);
        if (call == nullptr)
            continue;
        const auto allowed = checkAuthorization(now, *call);
        if (!allowed)
            detachCaller(*call, Error{allowed.error().code,
                                      allowed.error().detail,
                                      call->attempt == 0 ? Ran::No : Ran::Unknown,
                                      {}});
        if (!allowed && call->attempt == 0 && call->phase != CallPhase::Beginning)
            remove(now, id);
    }
    std::vector<std::string> lanes;
    for (const auto &[lane, queue] : m_lanes)
        lanes.push_back(lane);
    for (const auto &lane : lanes)
        dispatchLane(now, lane);
}

auto CallRunner::loadsReported(TimePoint now, const std::vector<wire::UpstreamLoad> &loads) -> void
{
    for (const auto &load : loads) {
        const auto *target = m_router.target(load.id);
        if (target != nullptr && target->incarnation == load.incarnation)
            m_router.reportLoad(now, load.id, load.requests);
    }
    std::vector<std::string> lanes;
    for (const auto &[lane, queue] : m_lanes) {
        if (queue.size() > 0)
            lanes.push_back(lane);
    }
    for (const auto &lane : lanes)
        dispatchLane(now, lane);
}

auto CallRunner::enqueue(TimePoint now, Call &call) -> void
{
    call.phase = CallPhase::Queued;
    const auto &request = call.request;
    auto &lane = m_lanes.try_emplace(request.lane, m_context.settings.maxQueued).first->second;
    routing::WorkItem item;
    item.request = call.id;
    item.customer = request.customer;
    item.priority = request.priority;
    item.weight = request.weight;
    item.arrivedAt = call.arrivedAt;
    item.deadline = request.deadline;
    if (!m_router.serves(request.lane))
        item.deadline = std::min(item.deadline, now + kNoUpstreamTimeout);
    item.cost = 1.0 + static_cast<double>(request.maxTokens);
    if (request.program)
        item.attained = routingStateOf(*request.program).attained;
    if (!lane.push(item)) {
        failCall(now, call,
                 Error{Code::QueueFull, "too many requests wait for " + request.lane,
                       call.maybeSent ? Ran::Unknown : Ran::No, std::chrono::seconds(1)});
        return;
    }
    dispatchLane(now, std::string(request.lane));
}

auto CallRunner::dispatchLane(TimePoint now, const std::string &lane) -> void
{
    const auto found = m_lanes.find(lane);
    if (found == m_lanes.end())
        return;
    auto &queue = found->second;
    while (const auto item = queue.pop(now)) {
        auto *call = find(item->request);
        if (call == nullptr || call->phase != CallPhase::Queued)
            continue;
        auto query = queryFor(*call);
        auto upstream = m_router.choose(now, query, m_context.random);
        if (!upstream && !std::exchange(query.excluded, {}).empty())
            upstream = m_router.choose(now, query, m_context.random);
        if (!upstream) {
            queue.putBack(*item);
            return;
        }
        assign(now, *call, *upstream);
    }
}

auto CallRunner::queryFor(const Call &call) -> routing::RouteQuery
{
    routing::RouteQuery query;
    query.lane = call.request.lane;
    query.excluded = call.excluded;
    if (!call.request.program || call.request.kind != programs::CallKind::Model)
        return query;
    const auto &routingState = routingStateOf(*call.request.program);
    query.prompt = extendPrompt(routingState.prompt, call.request.newMessages);
    query.holders = routingState.holders;
    query.affinity =
        hash64(call.request.customer.value + "/" + call.request.program->program.value);
    return query;
}

auto CallRunner::assign(TimePoint now, Call &call, const UpstreamId &upstream) -> void
{
    const auto &record = m_context.view.state().upstreams().at(upstream);
    call.upstream = upstream;
    call.upstreamIncarnation = record.incarnation;
    call.upstreamAddress = record.offer.address;
    call.prompt = queryFor(call).prompt;
    m_router.dispatched(upstream, call.prompt);
    m_context.metrics.observe("heathergate_queue_seconds",
                              {{"class", std::to_string(call.request.priority)}},
                              now - call.arrivedAt);
    if (call.request.program) {
        recordIntent(now, call);
        return;
    }
    ++call.attempt;
    send(now, call, "[]");
}

auto CallRunner::releaseUpstream(TimePoint now, Call &call, routing::AttemptOutcome attemptOutcome)
    -> void
{
    m_router.finished(now, call.upstream, call.upstreamIncarnation, attemptOutcome);
    m_context.timers.add(
        now, [this, lane = call.request.lane](TimePoint at) { dispatchLane(at, lane); });
}

auto CallRunner::recordIntent(TimePoint now, Call &call) -> void
{
    call.phase = CallPhase::Beginning;
    const auto intent = intentOf(call);
    m_context.applyProgram(
        now, m_context.shardOf(intent.key), intent,
        std::min(call.request.deadline, now + kBeginDeadline),
        [this, id = call.id](TimePoint at, const Result<programs::ProgramOutcome> &outcome) {
            intentRecorded(at, id, outcome);
        });
}

auto CallRunner::intentOf(const Call &call) const -> programs::BeginCall
{
    const auto &request = call.request;
    programs::BeginCall begin;
    begin.key = *request.program;
    begin.call = request.callId;
    begin.kind = request.kind;
    begin.idempotent = request.idempotent;
    begin.turn = request.turn;
    begin.digest = request.digest;
    begin.reserve = request.maxTokens;
    begin.retryOf = call.attempt;
    begin.standalone = request.standalone;
    begin.placement = {m_context.settings.id, m_context.incarnation, call.id, call.upstream,
                       call.upstreamIncarnation};
    return begin;
}

auto CallRunner::withdrawIntent(TimePoint now, const programs::BeginCall &begin) -> void
{
    // The command may still be committed. Sending it again shows whether it was; its attempt, which
    // is never executed, is then finished.
    m_context.applyProgram(
        now, m_context.shardOf(begin.key), begin, now + kWithdrawDeadline,
        [this, begin](TimePoint at, const Result<programs::ProgramOutcome> &outcome) {
            if (!outcome || outcome->attempt == 0)
                return;
            programs::FinishCall finish;
            finish.key = begin.key;
            finish.call = begin.call;
            finish.attempt = outcome->attempt;
            finish.result =
                begin.retryOf > 0 ? programs::CallResult::Unknown : programs::CallResult::NotRun;
            m_context.applyProgram(at, m_context.shardOf(begin.key), finish, at + kWithdrawDeadline,
                                   [](TimePoint, const Result<programs::ProgramOutcome> &) {});
        });
}

auto CallRunner::intentRecorded(TimePoint now, std::uint64_t id,
                                const Result<programs::ProgramOutcome> &outcome) -> void
{
    auto *call = find(id);
    if (call == nullptr || call->phase != CallPhase::Beginning)
        return;
    if (!outcome) {
        if (outcome.error().code == Code::NoQuorum)
            withdrawIntent(now, intentOf(*call));
        releaseUpstream(now, *call, routing::AttemptOutcome::Neutral);
        intentRefused(now, *call, outcome.error());
        return;
    }
    if (outcome->attempt == 0) {
        releaseUpstream(now, *call, routing::AttemptOutcome::Neutral);
        deliverRecorded(*call, *outcome);
        recordMetrics(now, *call, "replayed");
        remove(now, id);
        return;
    }
    call->attempt = outcome->attempt;
    const auto allowed = checkAuthorization(now, *call);
    if (!allowed || now >= call->request.deadline) {
        releaseUpstream(now, *call, routing::AttemptOutcome::Neutral);
        auto error = allowed ? Error{Code::DeadlinePassed, "the deadline has passed", Ran::No, {}}
                             : allowed.error();
        error.ran = call->maybeSent ? Ran::Unknown : Ran::No;
        failCall(now, *call, error);
        return;
    }
    send(now, *call, outcome->history);
}

auto CallRunner::intentRefused(TimePoint now, Call &call, const Error &error) -> void
{
    const auto retryAt = now + std::max(error.retryAfter, Duration(1000));
    if (error.code == Code::CallInProgress && retryAt < call.request.deadline) {
        call.phase = CallPhase::WaitingForProgram;
        call.otherAttemptRan = error.ran;
        m_context.timers.add(retryAt, [this, id = call.id](TimePoint at) {
            auto *waiting = find(id);
            if (waiting != nullptr && waiting->phase == CallPhase::WaitingForProgram)
                enqueue(at, *waiting);
        });
        return;
    }
    auto reported = error;
    // An earlier attempt of this call may have reached an upstream, so it may have run.
    if (call.maybeSent && reported.ran == Ran::No)
        reported.ran = Ran::Unknown;
    refuse(now, call, reported);
}

} // namespace heathergate::daemon::internal
