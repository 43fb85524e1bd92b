#include <heathergate/fleet/dispatcher.h>

#include <algorithm>
#include <cmath>

namespace heathergate::fleet {

namespace {

/// Prompt tokens that an engine reads in a millisecond; the order of a current accelerator.
constexpr double kPrefillTokensPerMs = 200;
/// Time that an engine takes for a token of one answer, in milliseconds.
constexpr double kMsPerToken = 3.3;
/// What one more request in a batch costs each request of it, in milliseconds.
constexpr double kBatchCostMs = 1.5;
/// What a way to another failure domain and back costs, in milliseconds of the caller's time and
/// of the link; a turn carries its whole prompt, a call of a service little.
constexpr double kCrossDomainTurnMs = 40;
constexpr double kCrossDomainCallMs = 10;
/// Time from the end of a request at an upstream until the next one arrives there: two ways
/// between instances and the leader's work.
constexpr Duration kTurnaround = std::chrono::milliseconds(5);
/// Part of the slots for which requests may be on the way ahead of time.
constexpr double kMostAhead = 0.5;
/// Pause after an upstream declined a request for lack of room.
constexpr Duration kFullPause = std::chrono::milliseconds(60);
/// An upstream that could not be reached is tried again at its next heartbeat, or after this time.
constexpr Duration kLostPause = std::chrono::seconds(8);
/// Weight of the newest sample in smoothed times.
constexpr double kSmoothing = 0.1;
constexpr double kMaxSlowness = 10;
/// Part of a new program's time for which its first turn may wait. One that begins later could not
/// finish in time, and would take the places of programs that can.
constexpr int kNewPatiencePercent = 20;
/// While requests wait, places that become free without a message are looked for this often.
constexpr Duration kQueueCheck = std::chrono::milliseconds(20);
/// Waiting requests that a free place is offered to before the rest has to wait for the next one.
constexpr int kMaxPassedOver = 8;
/// Retry advice lies between these bounds, whatever the queue.
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMostRetryAfter = std::chrono::seconds(2);
/// Advice while a service has no upstream that answers.
constexpr Duration kNoUpstreamRetryAfter = std::chrono::milliseconds(400);
/// Rejected requests are spread over this many steps, so that they do not come back together.
constexpr std::uint64_t kRetrySpread = 8;

auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

auto fromSeconds(double seconds) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

auto Dispatcher::setUpstreams(TimePoint now, const std::map<UpstreamId, UpstreamRecord> &records,
                              const ActiveConfiguration &configuration) -> void
{
    for (auto &[id, service] : m_services)
        service.upstreams.clear();
    for (const auto &[id, record] : records) {
        if (record.phase == UpstreamPhase::Gone)
            continue;
        auto &upstream = m_upstreams[id];
        const auto *service = configuration.service(record.service);
        const auto *engine = service != nullptr && service->engine ? &*service->engine : nullptr;
        const auto isNew = upstream.record.startedAt != record.startedAt;
        if (isNew) {
            const auto memory = engine == nullptr ? 0 : engine->memoryTokens;
            upstream.cache = routing::PrefixIndex(memory);
            upstream.health = {};
            upstream.slowness = 1;
            upstream.lostAt.reset();
        }
        upstream.isEngine = engine != nullptr;
        upstream.record = record;
        if (record.phase == UpstreamPhase::Ready)
            m_services[record.service].upstreams.push_back(id);
    }
    std::erase_if(m_upstreams, [&](const auto &item) {
        const auto record = records.find(item.first);
        const auto gone = record == records.end() || record->second.phase == UpstreamPhase::Gone;
        return gone && item.second.running.empty();
    });
    for (auto &[id, service] : m_services)
        fillFreePlaces(now, id);
}

auto Dispatcher::heartbeat(TimePoint now, const UpstreamId &id, Duration coldRemaining) -> void
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    found->second.coldUntil = now + coldRemaining;
    found->second.lastHeartbeat = now;
}

auto Dispatcher::submit(TimePoint now, Work work) -> void
{
    if (const auto known = m_work.find(work.id); known != m_work.end()) {
        auto &state = known->second;
        if (state.at)
            m_placements.push_back({work.id, state.work.gateway, *state.at,
                                    m_upstreams.at(*state.at).record.address,
                                    now - state.submittedAt, 0});
        return;
    }
    const auto id = work.id;
    auto &state = m_work[id];
    state.work = std::move(work);
    state.submittedAt = now;
    if (m_poison.isPoison(now, state.work.fingerprint))
        return reject(now, id, RejectReason::Poison, Duration::zero());
    if (!state.work.isBegun && state.work.finishBy)
        state.work.startBy = std::min(
            state.work.startBy, now + (*state.work.finishBy - now) * kNewPatiencePercent / 100);
    auto &service = m_services[state.work.service];
    if (service.queue.empty()) {
        if (const auto *chosen = choose(now, state.work))
            return place(now, state, chosen->record.id);
    }
    if (!hasLivingUpstream(now, state.work))
        return reject(now, id, RejectReason::NoUpstream, kNoUpstreamRetryAfter);
    state.key = keyOf(now, state.work);
    const auto wait = expectedWait(service, state.key);
    if (now + wait > state.work.startBy)
        return reject(now, id, RejectReason::Overload, wait);
    enqueue(state);
    fillFreePlaces(now, state.work.service);
}

auto Dispatcher::adopt(TimePoint now, Work work, const UpstreamId &upstream) -> void
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || m_work.contains(work.id))
        return;
    found->second.running.insert(work.id);
    const auto id = work.id;
    m_work[id] = WorkState{std::move(work), now, upstream, Duration::zero(), {}};
}

auto Dispatcher::finish(TimePoint now, RequestId request, const WorkReport &report) -> void
{
    const auto found = m_work.find(request);
    if (found == m_work.end())
        return;
    const auto state = std::move(found->second);
    m_work.erase(found);
    const auto service = state.work.service;
    if (!state.at) {
        removeFromQueue(state);
        return;
    }
    const auto upstream = m_upstreams.find(*state.at);
    if (upstream != m_upstreams.end()) {
        upstream->second.running.erase(request);
        learn(now, upstream->second, state, report);
    }
    if (report.ending == Ending::Broken)
        m_poison.broke(now, state.work.fingerprint);
    else if (report.ending == Ending::Answered)
        m_poison.answered(state.work.fingerprint);
    fillFreePlaces(now, service);
}

auto Dispatcher::learn(TimePoint now, Upstream &upstream, const WorkState &state,
                       const WorkReport &report) -> void
{
    switch (report.ending) {
    case Ending::Answered: {
        upstream.lostAt.reset();
        upstream.health.succeeded(now);
        auto &mean = m_services[state.work.service].meanSeconds;
        mean += kSmoothing * (toSeconds(report.total) - mean);
        if (state.expected > Duration::zero()) {
            const auto ratio =
                std::clamp(toSeconds(report.total) / toSeconds(state.expected), 0.1, kMaxSlowness);
            upstream.slowness += kSmoothing * (ratio - upstream.slowness);
        }
        break;
    }
    case Ending::Failed:
    case Ending::Broken:
    case Ending::Silent:
        // One lost answer says little of an upstream that answers others meanwhile.
        upstream.health.failed(now);
        break;
    case Ending::Unreachable:
        upstream.lostAt = now;
        upstream.health.timedOut(now);
        break;
    case Ending::Declined:
        upstream.fullUntil = now + kFullPause;
        break;
    case Ending::Cancelled:
        break;
    }
}

auto Dispatcher::dropGateway(TimePoint now, const InstanceId &gateway) -> void
{
    std::vector<RequestId> dropped;
    for (const auto &[id, state] : m_work) {
        if (state.work.gateway == gateway)
            dropped.push_back(id);
    }
    for (const auto id : dropped)
        finish(now, id, {Ending::Cancelled, {}, {}});
}

auto Dispatcher::tick(TimePoint now) -> void
{
    for (auto &[id, service] : m_services)
        fillFreePlaces(now, id);
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const auto request = m_expiries.begin()->second;
        const auto &state = m_work.at(request);
        const auto wait = expectedWait(m_services[state.work.service], state.key);
        removeFromQueue(state);
        reject(now, request, RejectReason::Overload, wait);
    }
}

auto Dispatcher::nextDeadline(TimePoint now) const -> TimePoint
{
    return waiting() == 0 ? TimePoint::max() : now + kQueueCheck;
}

auto Dispatcher::isAvailable(TimePoint now, const Upstream &upstream, const Work &work) const
    -> bool
{
    return upstream.running.size() < places(upstream) && now >= upstream.fullUntil
           && isAlive(now, upstream)
           && std::find(work.avoid.begin(), work.avoid.end(), upstream.record.id)
                  == work.avoid.end();
}

/// A slot would stand empty between the end of a request and the arrival of the next; short
/// requests have some more on the way, which wait in the upstream's own queue.
auto Dispatcher::places(const Upstream &upstream) const -> std::size_t
{
    const auto slots = static_cast<double>(std::max(upstream.record.slots, 1));
    const auto service = m_services.find(upstream.record.service);
    const auto work = service == m_services.end() ? 1.0 : service->second.meanSeconds;
    const auto ahead = slots * toSeconds(kTurnaround) / std::max(work, toSeconds(kTurnaround));
    return static_cast<std::size_t>(std::lround(slots + std::min(ahead, slots * kMostAhead)));
}

auto Dispatcher::isAlive(TimePoint now, const Upstream &upstream) -> bool
{
    const auto heard = !upstream.lostAt || upstream.lastHeartbeat > *upstream.lostAt
                       || now - *upstream.lostAt > kLostPause;
    return heard && upstream.health.isAvailable(now);
}

auto Dispatcher::hasLivingUpstream(TimePoint now, const Work &work) const -> bool
{
    const auto service = m_services.find(work.service);
    if (service == m_services.end())
        return false;
    return std::any_of(service->second.upstreams.begin(), service->second.upstreams.end(),
                       [&](const UpstreamId &id) { return isAlive(now, m_upstreams.at(id)); });
}

auto Dispatcher::choose(TimePoint now, const Work &work) const -> const Upstream *
{
    const auto service = m_services.find(work.service);
    if (service == m_services.end())
        return nullptr;
    if (work.stayAt) {
        const auto stay = m_upstreams.find(*work.stayAt);
        if (stay != m_upstreams.end() && stay->second.record.phase != UpstreamPhase::Gone)
            return &stay->second;
    }
    const Upstream *best = nullptr;
    double bestCost = 0;
    for (const auto &id : service->second.upstreams) {
        const auto &upstream = m_upstreams.at(id);
        if (!isAvailable(now, upstream, work))
            continue;
        auto price = cost(upstream, work);
        if (now < upstream.coldUntil)
            price *= 2;
        price /= std::max(upstream.health.share(now), 0.1);
        if (best == nullptr || price < bestCost) {
            best = &upstream;
            bestCost = price;
        }
    }
    return best;
}

/// Estimates the time that the request takes there and that it costs the requests beside it, in
/// milliseconds.
auto Dispatcher::cost(const Upstream &upstream, const Work &work) const -> double
{
    const auto running = static_cast<double>(upstream.running.size());
    const auto far = upstream.isEngine ? kCrossDomainTurnMs : kCrossDomainCallMs;
    const auto way = upstream.record.domain == work.domain ? 0.0 : far;
    if (!upstream.isEngine) {
        const auto mean = m_services.at(work.service).meanSeconds * 1000;
        const auto fill = running / std::max(upstream.record.slots, 1);
        return mean * upstream.slowness * (1 + fill) + way;
    }
    const auto missing = work.prompt.totalTokens() - upstream.cache.cachedTokens(work.prompt);
    const auto prefill = static_cast<double>(missing) / kPrefillTokensPerMs;
    const auto answer = work.expectedTokens * kMsPerToken;
    return (prefill + answer + running * kBatchCostMs) * upstream.slowness
           + running * (kBatchCostMs + prefill) + way;
}

auto Dispatcher::keyOf(TimePoint now, const Work &work) -> QueueKey
{
    const auto due = work.finishBy.value_or(work.deadline);
    return {work.rank, !work.isBegun, due < now, due, work.id};
}

auto Dispatcher::hasFreePlace(TimePoint now, const ServiceLoad &service) const -> bool
{
    static const Work kAnyWork;
    return std::any_of(
        service.upstreams.begin(), service.upstreams.end(),
        [&](const UpstreamId &id) { return isAvailable(now, m_upstreams.at(id), kAnyWork); });
}

auto Dispatcher::expectedWait(const ServiceLoad &service, const QueueKey &key) const -> Duration
{
    std::size_t slots = 0;
    for (const auto &id : service.upstreams)
        slots += static_cast<std::size_t>(std::max(m_upstreams.at(id).record.slots, 1));
    const auto ahead = std::distance(service.queue.begin(), service.queue.lower_bound(key));
    const auto rounds =
        static_cast<double>(ahead + 1) / static_cast<double>(std::max<std::size_t>(slots, 1));
    return fromSeconds(rounds * service.meanSeconds);
}

auto Dispatcher::enqueue(WorkState &state) -> void
{
    m_services[state.work.service].queue.insert(state.key);
    m_expiries.emplace(std::min(state.work.startBy, state.work.deadline), state.work.id);
}

auto Dispatcher::removeFromQueue(const WorkState &state) -> void
{
    m_services[state.work.service].queue.erase(state.key);
    m_expiries.erase({std::min(state.work.startBy, state.work.deadline), state.work.id});
}

auto Dispatcher::place(TimePoint now, WorkState &state, const UpstreamId &id) -> void
{
    auto &upstream = m_upstreams.at(id);
    const auto &work = state.work;
    if (upstream.isEngine) {
        const auto missing = work.prompt.totalTokens() - upstream.cache.cachedTokens(work.prompt);
        const auto ms =
            static_cast<double>(missing) / kPrefillTokensPerMs + work.expectedTokens * kMsPerToken;
        state.expected = fromSeconds(ms / 1000);
    } else {
        state.expected = fromSeconds(m_services.at(work.service).meanSeconds);
    }
    upstream.running.insert(work.id);
    upstream.cache.touch(work.prompt);
    state.at = id;
    m_placements.push_back({work.id, work.gateway, id, upstream.record.address,
                            now - state.submittedAt, upstream.running.size()});
}

auto Dispatcher::reject(TimePoint, RequestId request, RejectReason reason, Duration retryAfter)
    -> void
{
    const auto found = m_work.find(request);
    if (found == m_work.end())
        return;
    const auto &work = found->second.work;
    auto advice = retryAfter;
    if (reason != RejectReason::Poison) {
        advice = std::clamp(advice, kLeastRetryAfter, kMostRetryAfter);
        advice += advice * static_cast<Duration::rep>(++m_rejected % kRetrySpread)
                  / static_cast<Duration::rep>(kRetrySpread);
    }
    m_rejections.push_back(
        {request, work.gateway, reason, advice, m_services[work.service].queue.size()});
    m_work.erase(found);
}

auto Dispatcher::fillFreePlaces(TimePoint now, const ServiceId &id) -> void
{
    auto &service = m_services[id];
    auto next = service.queue.begin();
    int passedOver = 0;
    while (next != service.queue.end() && passedOver < kMaxPassedOver
           && hasFreePlace(now, service)) {
        auto &state = m_work.at(next->request);
        ++next;
        const auto *chosen = choose(now, state.work);
        if (chosen == nullptr) {
            ++passedOver; // It avoids the upstreams that have a place.
            continue;
        }
        removeFromQueue(state);
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
