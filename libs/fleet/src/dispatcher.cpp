#include <heathergate/fleet/dispatcher.h>

#include <algorithm>
#include <cmath>

namespace heathergate::fleet {

namespace {

/// Prompt tokens that an engine processes per millisecond, typical of a current accelerator.
constexpr double kPrefillTokensPerMs = 200;
/// Time in which an engine generates one token of a response, in milliseconds.
constexpr double kDecodeMsPerToken = 3.3;
/// Delay that one more request in a batch causes to each request of the batch, in milliseconds.
constexpr double kBatchSlowdownMs = 1.5;
/// Cost of a round trip to another failure domain, in milliseconds; it covers latency and the use
/// of the link. A turn carries its complete prompt, a service call only little data.
constexpr double kCrossDomainTurnCostMs = 40;
constexpr double kCrossDomainCallCostMs = 10;
/// Cost of a stream at an upstream that may have been replaced by another incarnation, in
/// milliseconds; more than any other cost.
constexpr double kVersionRiskCostMs = 1e6;
/// Maximum queueing time of a new program's first turn, in percent of the program's time. A program
/// that starts later could not finish in time, and would use slots of programs that can.
constexpr int kMaxStartDelayPercent = 20;
/// Interval at which slots that become free without a message are filled while requests wait.
constexpr Duration kQueueCheckInterval = std::chrono::milliseconds(20);
/// Maximum number of queued requests that are skipped because they avoid the upstreams with free
/// slots; after that, the queue waits for the next slot.
constexpr int kMaxSkipped = 8;
/// Bounds of the retry delay in a rejection, before it is spread.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);
/// Retry delay while a service has no reachable upstream.
constexpr Duration kNoUpstreamRetryAfter = std::chrono::milliseconds(400);
/// Time after a request's deadline within which its gateway reports its end. After that, the report
/// was lost.
constexpr Duration kReportGrace = std::chrono::seconds(1);
/// Retry delays are spread over this many steps, so that rejected requests do not all retry at
/// the same time.
constexpr std::uint64_t kRetrySpreadSteps = 8;

auto toMilliseconds(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

auto fromSeconds(double seconds) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

auto Dispatcher::rejectUnservable(TimePoint now, const ServiceId &id) -> void
{
    const auto &service = m_services[id];
    const auto isEmpty =
        std::all_of(service.upstreams.begin(), service.upstreams.end(),
                    [&](const auto &upstream) { return !isInService(m_upstreams.at(upstream)); });
    std::vector<RequestId> unservable;
    for (const auto &key : service.queue) {
        const auto &work = m_work.at(key.request).work;
        if (isEmpty || resumesInEvacuated(work) || !hasCompatibleUpstream(work))
            unservable.push_back(key.request);
    }
    for (const auto request : unservable) {
        const auto &state = m_work.at(request);
        const auto isReturning = resumesInEvacuated(state.work);
        removeFromQueue(now, state, false);
        if (isEmpty || isReturning)
            reject(now, request, RejectReason::NoUpstream, kNoUpstreamRetryAfter);
        else
            reject(now, request, RejectReason::StreamVersionGone, Duration::zero());
    }
}

auto Dispatcher::submit(TimePoint now, Work work) -> void
{
    if (const auto known = m_work.find(work.id); known != m_work.end()) {
        auto &state = known->second;
        if (!state.placedAt)
            return;
        const auto &upstream = m_upstreams.at(*state.placedAt);
        if (mayRunNow(now, upstream, work) && !m_evacuated.contains(upstream.record.domain)) {
            m_placements.push_back(placementOf(state, upstream, now - state.submittedAt));
            return;
        }
        // The upstream has restarted or may have, with another software version, or is evacuated:
        // the gateway asks again because it has not received the grant.
        finish(now, work.id, {AttemptOutcome::Cancelled, {}, {}});
    }
    const auto id = work.id;
    auto &state = m_work[id];
    state.work = std::move(work);
    state.submittedAt = now;
    if (m_poison.isPoison(now, state.work.fingerprint))
        return reject(now, id, RejectReason::Poison, Duration::zero());
    if (mustNotReturn(now, state.work))
        return reject(now, id, RejectReason::NoUpstream, kNoUpstreamRetryAfter);
    permitAvoidedIfNoOtherIsCompatible(state.work);
    if (!hasCompatibleUpstream(state.work))
        return reject(now, id, RejectReason::StreamVersionGone, Duration::zero());
    if (!state.work.isStarted && state.work.finishBy)
        state.work.startBy = std::min(
            state.work.startBy, now + (*state.work.finishBy - now) * kMaxStartDelayPercent / 100);
    auto &service = m_services[state.work.service];
    if (service.queue.empty()) {
        if (const auto *chosen = choose(now, state.work))
            return place(now, state, chosen->record.id);
    }
    if (!hasReachableUpstream(now, state.work))
        return reject(now, id, RejectReason::NoUpstream, kNoUpstreamRetryAfter);
    state.key = queueKeyOf(now, state.work);
    const auto wait = expectedWait(now, service, state);
    if (now + wait > state.work.startBy)
        return reject(now, id, RejectReason::Overload, wait);
    enqueue(now, state);
    fillFreeSlots(now, state.work.service);
}

auto Dispatcher::adopt(TimePoint now, Work work, const UpstreamId &upstream) -> void
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || m_work.contains(work.id))
        return;
    found->second.running.insert(work.id);
    m_slotExpiries.emplace(work.deadline + kReportGrace, work.id);
    const auto id = work.id;
    m_work[id] = WorkState{std::move(work), now, upstream, Duration::zero(), {}, now};
}

auto Dispatcher::finish(TimePoint now, RequestId request, const AttemptReport &report) -> void
{
    const auto found = m_work.find(request);
    if (found == m_work.end())
        return;
    const auto state = std::move(found->second);
    m_work.erase(found);
    const auto service = state.work.service;
    if (!state.placedAt) {
        removeFromQueue(now, state, false);
        return;
    }
    m_slotExpiries.erase({state.work.deadline + kReportGrace, request});
    std::erase_if(m_placements, [&](const auto &taken) { return taken.request == request; });
    const auto upstream = m_upstreams.find(*state.placedAt);
    if (upstream != m_upstreams.end()) {
        upstream->second.running.erase(request);
        updateEstimates(now, upstream->second, state, report);
        if (weighsConnections() && report.outcome == AttemptOutcome::Answered)
            m_connections.released(now, state.work.gateway, *state.placedAt);
    }
    if (report.outcome == AttemptOutcome::Broken)
        m_poison.recordFailure(now, state.work.fingerprint);
    else if (report.outcome == AttemptOutcome::Answered)
        m_poison.recordSuccess(state.work.fingerprint);
    fillFreeSlots(now, service);
}

auto Dispatcher::dropGateway(TimePoint now, const InstanceId &gateway) -> void
{
    m_connections.dropGateway(gateway);
    std::vector<RequestId> dropped;
    for (const auto &[id, state] : m_work) {
        if (state.work.gateway == gateway)
            dropped.push_back(id);
    }
    for (const auto id : dropped)
        finish(now, id, {AttemptOutcome::Cancelled, {}, {}});
}

auto Dispatcher::freeOverdueSlots(TimePoint now) -> void
{
    while (!m_slotExpiries.empty() && m_slotExpiries.begin()->first <= now) {
        const auto request = m_slotExpiries.begin()->second;
        m_overdue.push_back(request);
        finish(now, request, {AttemptOutcome::Cancelled, {}, {}});
    }
}

auto Dispatcher::tick(TimePoint now) -> void
{
    freeOverdueSlots(now);
    for (auto &[id, service] : m_services)
        fillFreeSlots(now, id);
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const auto request = m_expiries.begin()->second;
        const auto &state = m_work.at(request);
        const auto wait = expectedWait(now, m_services[state.work.service], state);
        removeFromQueue(now, state, false);
        reject(now, request, RejectReason::Overload, wait);
    }
}

auto Dispatcher::nextDeadline(TimePoint now) const -> TimePoint
{
    return waiting() == 0 ? TimePoint::max() : now + kQueueCheckInterval;
}

auto Dispatcher::choose(TimePoint now, const Work &work) const -> const Upstream *
{
    const auto service = m_services.find(work.service);
    if (service == m_services.end())
        return nullptr;
    if (const auto *pinned = pinnedUpstream(work))
        return pinned->rate.allows(now) && pinned->pace.allows(now) && !mustNotReturn(now, work)
                       && mayRunNow(now, *pinned, work)
                   ? pinned
                   : nullptr;
    const Upstream *best = nullptr;
    double bestCost = 0;
    for (const auto &id : service->second.upstreams) {
        const auto &upstream = m_upstreams.at(id);
        if (!isAvailable(now, upstream, work))
            continue;
        auto adjustedCost = cost(upstream, work);
        if (now < upstream.coldUntil)
            adjustedCost *= 2;
        if (risksVersion(upstream, work))
            adjustedCost += kVersionRiskCostMs;
        // A measured pace takes the place of the slow start by time.
        if (!upstream.pace.window())
            adjustedCost /= std::max(upstream.health.share(now), 0.1);
        if (work.needsRecentConnection && weighsConnections()
            && !m_connections.hasIdle(now, work.gateway, id))
            adjustedCost += toMilliseconds(m_settings.connectionCost);
        if (best == nullptr || adjustedCost < bestCost) {
            best = &upstream;
            bestCost = adjustedCost;
        }
    }
    return best;
}

/// Estimates the cost of a placement in milliseconds: the duration of the request at the upstream
/// and the delay that it causes to the requests running there.
auto Dispatcher::cost(const Upstream &upstream, const Work &work) const -> double
{
    const auto running = static_cast<double>(upstream.running.size());
    const auto crossDomain = upstream.isEngine ? kCrossDomainTurnCostMs : kCrossDomainCallCostMs;
    const auto networkCost = upstream.record.domain == work.domain ? 0.0 : crossDomain;
    if (!upstream.isEngine) {
        const auto mean = m_services.at(work.service).meanDurationSeconds * 1000;
        const auto fill = running / std::max(upstream.record.slots, 1);
        return mean * upstream.slowdown * (1 + fill) + networkCost;
    }
    const auto missing = work.prompt.totalTokens() - upstream.cache.cachedTokens(work.prompt);
    const auto prefill = static_cast<double>(missing) / kPrefillTokensPerMs;
    const auto answer = work.expectedTokens * kDecodeMsPerToken;
    return (prefill + answer + running * kBatchSlowdownMs) * upstream.slowdown
           + running * (kBatchSlowdownMs + prefill) + networkCost;
}

auto Dispatcher::queueKeyOf(TimePoint now, const Work &work) -> QueueKey
{
    const auto due = work.finishBy.value_or(work.deadline);
    return {work.rank, !work.isStarted, due < now, due, work.id};
}

auto Dispatcher::expectedWait(TimePoint now, const ServiceState &service,
                              const WorkState &state) const -> Duration
{
    const auto &key = state.key;
    const auto place = service.queue.lower_bound(key);
    const auto ahead = std::distance(service.queue.begin(), place);
    const auto wait = waitForSlots(now, service, state, static_cast<std::size_t>(ahead));
    const auto rate = service.firstTurns.find(key.rank);
    if (!key.isNew || rate == service.firstTurns.end())
        return wait;
    const auto first = service.queue.lower_bound({key.rank, true, false, TimePoint::min(), 0});
    const auto aheadInClass = static_cast<std::size_t>(std::distance(first, place));
    return std::max(wait, rate->second.waitBehind(now, aheadInClass).value_or(Duration::zero()));
}

auto Dispatcher::waitForSlots(TimePoint now, const ServiceState &service, const WorkState &state,
                              std::size_t ahead) const -> Duration
{
    double slots = 0;
    double compatibleSlots = 0;
    for (const auto &id : service.upstreams) {
        const auto &upstream = m_upstreams.at(id);
        const auto usable = usableSlots(now, upstream, service);
        slots += usable;
        compatibleSlots += isCompatible(upstream, state.work) ? usable : 0;
    }
    const auto roundsOf = [](std::size_t requests, double available) {
        return static_cast<double>(requests) / (available > 0 ? available : 1);
    };
    // Those that are bound to the same version use only its slots.
    const auto rounds = std::max(roundsOf(ahead + 1, slots),
                                 roundsOf(boundAhead(service, state) + 1, compatibleSlots));
    return fromSeconds(rounds * service.meanDurationSeconds);
}

auto Dispatcher::boundAhead(const ServiceState &service, const WorkState &state) const
    -> std::size_t
{
    const auto &origin = state.work.origin;
    if (origin.kind != StreamOrigin::Kind::One)
        return 0;
    const auto place = service.queue.lower_bound(state.key);
    return static_cast<std::size_t>(
        std::count_if(service.queue.begin(), place, [&](const QueueKey &key) {
            const auto &other = m_work.at(key.request).work.origin;
            return other.kind == origin.kind && other.version == origin.version;
        }));
}

auto Dispatcher::enqueue(TimePoint now, const WorkState &state) -> void
{
    auto &service = m_services[state.work.service];
    service.queue.insert(state.key);
    if (state.key.isNew)
        service.firstTurns[state.key.rank].joined(now);
    m_expiries.emplace(std::min(state.work.startBy, state.work.deadline), state.work.id);
}

auto Dispatcher::removeFromQueue(TimePoint now, const WorkState &state, bool hasSlot) -> void
{
    auto &service = m_services[state.work.service];
    service.queue.erase(state.key);
    if (state.key.isNew)
        service.firstTurns[state.key.rank].left(now, hasSlot);
    m_expiries.erase({std::min(state.work.startBy, state.work.deadline), state.work.id});
}

auto Dispatcher::place(TimePoint now, WorkState &state, const UpstreamId &id) -> void
{
    auto &upstream = m_upstreams.at(id);
    const auto &work = state.work;
    if (upstream.isEngine) {
        const auto missing = work.prompt.totalTokens() - upstream.cache.cachedTokens(work.prompt);
        const auto ms = static_cast<double>(missing) / kPrefillTokensPerMs
                        + work.expectedTokens * kDecodeMsPerToken;
        state.expected = fromSeconds(ms / 1000);
    } else {
        state.expected = fromSeconds(m_services.at(work.service).meanDurationSeconds);
    }
    upstream.watch.requestSent(isConnected(now, upstream));
    upstream.running.insert(work.id);
    m_slotExpiries.emplace(work.deadline + kReportGrace, work.id);
    upstream.cache.touch(work.prompt);
    state.placedAt = id;
    state.placedTime = now;
    state.upstreamStartedAt = upstream.record.startedAt;
    if (weighsConnections() && m_connections.used(now, work.gateway, id)
        && work.needsRecentConnection)
        ++m_expectedConnections;
    upstream.rate.take(now);
    upstream.pace.take(now);
    m_placements.push_back(placementOf(state, upstream, now - state.submittedAt));
}

auto Dispatcher::placementOf(const WorkState &state, const Upstream &upstream,
                             Duration waited) const -> Placement
{
    Placement placement;
    placement.request = state.work.id;
    placement.gateway = state.work.gateway;
    placement.upstream = upstream.record.id;
    placement.address = upstream.record.address;
    placement.waited = waited;
    placement.running = upstream.running.size();
    placement.startedAt = upstream.record.startedAt;
    placement.isLimited = upstream.rate.perSecond().has_value();
    placement.softwareVersion = upstream.record.softwareVersion;
    if (state.work.origin.kind == StreamOrigin::Kind::Any)
        placement.certainty = upstream.watch.certainty();
    return placement;
}

auto Dispatcher::reject(TimePoint, RequestId request, RejectReason reason, Duration retryAfter)
    -> void
{
    const auto found = m_work.find(request);
    if (found == m_work.end())
        return;
    const auto &work = found->second.work;
    auto spreadRetryAfter = retryAfter;
    const auto mayRetry = reason == RejectReason::NoUpstream || reason == RejectReason::Overload;
    if (mayRetry) {
        spreadRetryAfter = std::clamp(spreadRetryAfter, kMinRetryAfter, kMaxRetryAfter);
        spreadRetryAfter += spreadRetryAfter
                            * static_cast<Duration::rep>(++m_rejected % kRetrySpreadSteps)
                            / static_cast<Duration::rep>(kRetrySpreadSteps);
    }
    m_rejections.push_back(
        {request, work.gateway, reason, spreadRetryAfter, m_services[work.service].queue.size()});
    m_work.erase(found);
}

auto Dispatcher::fillFreeSlots(TimePoint now, const ServiceId &id) -> void
{
    auto &service = m_services[id];
    auto next = service.queue.begin();
    int skipped = 0;
    std::set<std::string> fullVersions;
    while (next != service.queue.end() && skipped < kMaxSkipped && hasFreeSlot(now, service)) {
        auto &state = m_work.at(next->request);
        ++next;
        const auto &origin = state.work.origin;
        const auto isBound = origin.kind == StreamOrigin::Kind::One;
        if (isBound && fullVersions.contains(origin.version))
            continue;
        const auto *chosen = choose(now, state.work);
        if (chosen == nullptr) {
            // The request avoids the upstreams that have a free slot, or cannot run there. Requests
            // bound to a version do not keep others from the slots of other versions.
            if (!isBound)
                ++skipped;
            else if (state.work.avoid.empty())
                fullVersions.insert(origin.version);
            continue;
        }
        removeFromQueue(now, state, true);
        place(now, state, chosen->record.id);
    }
}

auto Dispatcher::running() const -> std::size_t
{
    std::size_t sum = 0;
    for (const auto &[id, upstream] : m_upstreams)
        sum += upstream.running.size();
    return sum;
}

auto Dispatcher::waiting() const -> std::size_t
{
    std::size_t sum = 0;
    for (const auto &[id, service] : m_services)
        sum += service.queue.size();
    return sum;
}

} // namespace heathergate::fleet
