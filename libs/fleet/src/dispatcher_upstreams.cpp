#include <heathergate/fleet/dispatcher.h>

#include <algorithm>
#include <cmath>

/// What the dispatcher knows of its upstreams: availability, capacity, and what responses state.
namespace heathergate::fleet {

namespace {

/// Time from the end of a request at an upstream until the next one arrives there: two network
/// hops between instances and the leader's processing.
constexpr Duration kSlotTurnaround = std::chrono::milliseconds(5);
/// Maximum number of requests in transit beyond the slots, as a fraction of the slots.
constexpr double kMaxInTransitShare = 0.5;
/// Pause after an upstream has declined a request for lack of capacity.
constexpr Duration kDeclinedBackoff = std::chrono::milliseconds(60);
/// An unreachable upstream is used again after its next heartbeat, or after this time.
constexpr Duration kUnreachableBackoff = std::chrono::seconds(8);
/// Time for which requests may still resume at an upstream after it became known to be leaving.
constexpr Duration kReturnToLeavingTime = std::chrono::seconds(1);
/// Time for which an instance keeps an idle connection to an upstream at least, unless the upstream
/// asks for less.
constexpr Duration kIdleConnectionTime = std::chrono::seconds(3);
/// Weight of the newest sample in exponentially smoothed values.
constexpr double kSmoothingFactor = 0.1;
constexpr double kMaxSlowdown = 10;
/// Time for which an upstream counts as started recently. If all upstreams of a service are, the
/// fleet itself has just started, and no pace is needed.
constexpr GroupTime kRecentStart = std::chrono::seconds(3);
/// Rate of cold upstreams from which on it is no limit for any upstream.
constexpr double kMaxColdRate = 10'000;

auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

auto coldLimitOf(const Service *service) -> ColdLimit
{
    if (service == nullptr || service->coldRate <= 0 || service->coldRate > kMaxColdRate)
        return {};
    return {std::max<std::size_t>(static_cast<std::size_t>(service->coldRate), 1)};
}

} // namespace

auto Dispatcher::takeOver(TimePoint now, const std::map<UpstreamId, UpstreamRecord> &records,
                          const ActiveConfiguration &configuration, GroupTime groupNow) -> void
{
    m_isTakingOver = true;
    setUpstreams(now, records, configuration, groupNow);
    m_isTakingOver = false;
}

auto Dispatcher::setUpstreams(TimePoint now, const std::map<UpstreamId, UpstreamRecord> &records,
                              const ActiveConfiguration &configuration, GroupTime groupNow) -> void
{
    for (auto &[id, service] : m_services)
        service.upstreams.clear();
    std::vector<UpstreamId> started;
    for (const auto &[id, record] : records) {
        if (record.phase == UpstreamPhase::Removed) {
            if (const auto known = m_upstreams.find(id); known != m_upstreams.end())
                known->second.record.phase = record.phase;
            continue;
        }
        auto &upstream = m_upstreams[id];
        const auto *service = configuration.service(record.service);
        const auto *engine = service != nullptr && service->engine ? &*service->engine : nullptr;
        const auto isNew = upstream.record.startedAt != record.startedAt;
        if (isNew) {
            const auto memory = engine == nullptr ? 0 : engine->memoryTokens;
            upstream.cache = routing::PrefixIndex(memory);
            upstream.health = {};
            upstream.rate = {};
            upstream.isRetired = false;
            upstream.leavingSince.reset();
            upstream.slowdown = 1;
            upstream.lastUnreachableAt.reset();
            upstream.watch = {};
            upstream.lastAnsweredAt.reset();
            upstream.pace = {};
            m_connections.dropUpstream(id);
        }
        upstream.isEngine = engine != nullptr;
        upstream.record = record;
        upstream.pace.configure(now, coldLimitOf(service), m_isTakingOver);
        upstream.isRecent = groupNow - record.changedAt < kRecentStart;
        if (isNew && upstream.isRecent)
            started.push_back(id);
        // Nobody knows for how long one has been leaving that was so from the beginning.
        if (record.phase == UpstreamPhase::Draining && !upstream.leavingSince)
            upstream.leavingSince = isNew ? TimePoint{} : now;
        if (record.phase == UpstreamPhase::Ready)
            m_services[record.service].upstreams.push_back(id);
    }
    for (const auto &id : started)
        beginPace(now, m_upstreams.at(id), "started");
    std::erase_if(m_upstreams, [&](const auto &item) {
        const auto record = records.find(item.first);
        const auto removed =
            record == records.end() || record->second.phase == UpstreamPhase::Removed;
        if (removed && item.second.running.empty())
            m_connections.dropUpstream(item.first);
        return removed && item.second.running.empty();
    });
    for (auto &[id, service] : m_services) {
        rejectUnservable(now, id);
        fillFreeSlots(now, id);
    }
}

auto Dispatcher::heartbeat(TimePoint now, const UpstreamId &id, Duration coldRemaining) -> void
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    auto &upstream = found->second;
    if (coldRemaining > Duration::zero() && now >= upstream.coldUntil)
        beginPace(now, upstream, "cold");
    upstream.pace.reported(now, coldRemaining);
    upstream.coldUntil = now + coldRemaining;
    upstream.lastHeartbeat = now;
    upstream.watch.heartbeat(isConnected(now, upstream));
}

auto Dispatcher::connectionsLost(TimePoint now, const Endpoint &address) -> std::vector<UpstreamId>
{
    std::vector<UpstreamId> doubted;
    for (auto &[id, upstream] : m_upstreams) {
        if (upstream.record.address != address)
            continue;
        upstream.lastAnsweredAt.reset();
        if (upstream.watch.connectionsLost(now))
            doubted.push_back(id);
    }
    return doubted;
}

auto Dispatcher::isConnected(TimePoint now, const Upstream &upstream) -> bool
{
    return !upstream.running.empty()
           || (upstream.lastAnsweredAt && now - *upstream.lastAnsweredAt < kIdleConnectionTime);
}

auto Dispatcher::limit(TimePoint now, const UpstreamId &id, std::chrono::milliseconds startedAt,
                       double perSecond) -> bool
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end() || found->second.record.startedAt != startedAt)
        return false;
    auto &rate = found->second.rate;
    const auto before = rate.perSecond();
    rate.state(now, perSecond);
    return rate.perSecond() != before;
}

auto Dispatcher::lift(TimePoint now, RequestId request) -> bool
{
    const auto found = m_work.find(request);
    if (found == m_work.end() || !found->second.placedAt)
        return false;
    const auto upstream = m_upstreams.find(*found->second.placedAt);
    if (upstream == m_upstreams.end() || !upstream->second.rate.lift(found->second.placedTime))
        return false;
    fillFreeSlots(now, found->second.work.service);
    return true;
}

auto Dispatcher::retire(TimePoint now, const UpstreamId &id, std::chrono::milliseconds startedAt)
    -> bool
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end() || found->second.record.startedAt != startedAt
        || std::exchange(found->second.isRetired, true))
        return false;
    if (!found->second.leavingSince)
        found->second.leavingSince = now;
    rejectUnservable(now, found->second.record.service);
    return true;
}

auto Dispatcher::setEvacuated(TimePoint now, const std::set<FailureDomainId> &domains) -> void
{
    for (auto &[id, upstream] : m_upstreams) {
        const auto &domain = upstream.record.domain;
        if (!m_evacuated.contains(domain) || domains.contains(domain))
            continue;
        // It may have become cold shortly before the evacuation has ended.
        upstream.pace.suspectCold(now);
        beginPace(now, upstream, "evacuation_ended");
    }
    m_evacuated = domains;
    for (auto &[id, service] : m_services) {
        rejectUnservable(now, id);
        fillFreeSlots(now, id);
    }
}

auto Dispatcher::isRetired(const UpstreamId &id) const -> bool
{
    const auto found = m_upstreams.find(id);
    return found != m_upstreams.end() && found->second.isRetired;
}

auto Dispatcher::updateEstimates(TimePoint now, Upstream &upstream, const WorkState &state,
                                 const AttemptReport &report) -> void
{
    adjustPace(now, upstream, state, report);
    switch (report.outcome) {
    case AttemptOutcome::Answered: {
        upstream.lastUnreachableAt.reset();
        upstream.lastAnsweredAt = now;
        upstream.health.succeeded(now);
        auto &mean = m_services[state.work.service].meanDurationSeconds;
        mean += kSmoothingFactor * (toSeconds(report.total) - mean);
        if (state.expected > Duration::zero()) {
            const auto ratio =
                std::clamp(toSeconds(report.total) / toSeconds(state.expected), 0.1, kMaxSlowdown);
            upstream.slowdown += kSmoothingFactor * (ratio - upstream.slowdown);
        }
        break;
    }
    case AttemptOutcome::Failed:
    case AttemptOutcome::Broken:
        // A single failure does not mark the upstream as unreachable: it may still answer others.
        upstream.health.failed(now);
        break;
    case AttemptOutcome::TimedOut:
        upstream.health.failed(now, routing::Health::Failure::Silent);
        break;
    case AttemptOutcome::Unreachable:
        upstream.lastUnreachableAt = now;
        upstream.health.timedOut(now);
        break;
    case AttemptOutcome::Declined:
        upstream.declinedUntil = now + kDeclinedBackoff;
        break;
    case AttemptOutcome::Cancelled:
        break;
    }
}

auto Dispatcher::isAvailable(TimePoint now, const Upstream &upstream, const Work &work) const
    -> bool
{
    return mayRunNow(now, upstream, work) && upstream.running.size() < capacity(upstream)
           && now >= upstream.declinedUntil && upstream.rate.allows(now)
           && upstream.pace.allows(now) && isReachable(now, upstream)
           && std::find(work.avoid.begin(), work.avoid.end(), upstream.record.id)
                  == work.avoid.end();
}

/// Adds requests in transit to the slots, because a slot is idle between the end of a request and
/// the arrival of the next. The shorter the requests, the more of them wait in the upstream's
/// queue.
auto Dispatcher::capacity(const Upstream &upstream) const -> std::size_t
{
    const auto slots = static_cast<double>(std::max(upstream.record.slots, 1));
    const auto service = m_services.find(upstream.record.service);
    const auto work = service == m_services.end() ? 1.0 : service->second.meanDurationSeconds;
    const auto inTransit =
        slots * toSeconds(kSlotTurnaround) / std::max(work, toSeconds(kSlotTurnaround));
    const auto most = static_cast<std::size_t>(
        std::lround(slots + std::min(inTransit, slots * kMaxInTransitShare)));
    return std::min(most, upstream.pace.window().value_or(most));
}

auto Dispatcher::acceptsConnections(TimePoint now, const Upstream &upstream) -> bool
{
    return !upstream.lastUnreachableAt || upstream.lastHeartbeat > *upstream.lastUnreachableAt
           || now - *upstream.lastUnreachableAt > kUnreachableBackoff;
}

auto Dispatcher::isReachable(TimePoint now, const Upstream &upstream) const -> bool
{
    if (!isInService(upstream) || !acceptsConnections(now, upstream))
        return false;
    return upstream.health.isAvailable(now)
           || (!upstream.health.isSilent() && needsEjected(now, upstream.record.service));
}

auto Dispatcher::needsEjected(TimePoint now, const ServiceId &id) const -> bool
{
    const auto service = m_services.find(id);
    if (service == m_services.end())
        return false;
    std::size_t candidates = 0;
    std::size_t healthy = 0;
    for (const auto &other : service->second.upstreams) {
        const auto &upstream = m_upstreams.at(other);
        if (m_evacuated.contains(upstream.record.domain))
            continue;
        ++candidates;
        if (isInService(upstream) && acceptsConnections(now, upstream)
            && upstream.health.isAvailable(now))
            ++healthy;
    }
    return 2 * healthy < candidates;
}

auto Dispatcher::isCompatible(const Upstream &upstream, const Work &work) -> bool
{
    switch (work.origin.kind) {
    case StreamOrigin::Kind::Any:
        return true;
    case StreamOrigin::Kind::One:
        return upstream.record.softwareVersion == work.origin.version;
    case StreamOrigin::Kind::Unknown:
        return false;
    }
    return false;
}

auto Dispatcher::mayRunNow(TimePoint now, const Upstream &upstream, const Work &work) -> bool
{
    const auto isBound = work.origin.kind == StreamOrigin::Kind::One && !work.origin.isOnlyVersion;
    return isCompatible(upstream, work) && !(isBound && upstream.watch.mayHaveRestarted(now));
}

auto Dispatcher::risksVersion(const Upstream &upstream, const Work &work) -> bool
{
    const auto certainty = upstream.watch.certainty();
    if (work.origin.kind == StreamOrigin::Kind::One)
        return !work.origin.isOnlyVersion && certainty != IncarnationCertainty::Known;
    return work.needsKnownVersion && certainty == IncarnationCertainty::Doubtful;
}

auto Dispatcher::hasCompatibleUpstream(const Work &work) const -> bool
{
    if (work.origin.kind == StreamOrigin::Kind::Any || pinnedUpstream(work) != nullptr)
        return true;
    const auto service = m_services.find(work.service);
    if (service == m_services.end())
        return false;
    return std::any_of(service->second.upstreams.begin(), service->second.upstreams.end(),
                       [&](const UpstreamId &id) {
                           const auto &upstream = m_upstreams.at(id);
                           return isInService(upstream) && isCompatible(upstream, work);
                       });
}

auto Dispatcher::permitAvoidedIfNoOtherIsCompatible(Work &work) const -> void
{
    const auto service = m_services.find(work.service);
    if (work.origin.kind != StreamOrigin::Kind::One || service == m_services.end())
        return;
    const auto isOther = [&](const UpstreamId &id) {
        const auto &upstream = m_upstreams.at(id);
        return isInService(upstream) && isCompatible(upstream, work)
               && std::find(work.avoid.begin(), work.avoid.end(), id) == work.avoid.end();
    };
    const auto &upstreams = service->second.upstreams;
    if (std::none_of(upstreams.begin(), upstreams.end(), isOther))
        work.avoid.clear();
}

auto Dispatcher::pinnedUpstream(const Work &work) const -> const Upstream *
{
    if (!work.pinnedUpstream)
        return nullptr;
    const auto found = m_upstreams.find(*work.pinnedUpstream);
    if (found == m_upstreams.end() || found->second.record.phase == UpstreamPhase::Removed
        || !isCompatible(found->second, work))
        return nullptr;
    return &found->second;
}

auto Dispatcher::resumesInEvacuated(const Work &work) const -> bool
{
    const auto *pinned = pinnedUpstream(work);
    return pinned != nullptr && m_evacuated.contains(pinned->record.domain);
}

auto Dispatcher::mustNotReturn(TimePoint now, const Work &work) const -> bool
{
    const auto *pinned = pinnedUpstream(work);
    if (pinned == nullptr)
        return false;
    const auto hasLeft = pinned->leavingSince && now - *pinned->leavingSince > kReturnToLeavingTime;
    return hasLeft || resumesInEvacuated(work);
}

auto Dispatcher::hasReachableUpstream(TimePoint now, const Work &work) const -> bool
{
    const auto service = m_services.find(work.service);
    if (service == m_services.end())
        return false;
    return std::any_of(service->second.upstreams.begin(), service->second.upstreams.end(),
                       [&](const UpstreamId &id) {
                           const auto &upstream = m_upstreams.at(id);
                           return isCompatible(upstream, work) && isReachable(now, upstream);
                       });
}

auto Dispatcher::hasFreeSlot(TimePoint now, const ServiceState &service) const -> bool
{
    static const Work kUnconstrainedWork;
    return std::any_of(service.upstreams.begin(), service.upstreams.end(),
                       [&](const UpstreamId &id) {
                           return isAvailable(now, m_upstreams.at(id), kUnconstrainedWork);
                       });
}

auto Dispatcher::usableSlots(TimePoint now, const Upstream &upstream,
                             const ServiceState &service) const -> double
{
    if (!isInService(upstream))
        return 0;
    auto slots = static_cast<double>(std::max(upstream.record.slots, 1));
    if (const auto window = upstream.pace.expectedWindow())
        slots = std::min(slots, static_cast<double>(*window));
    if (const auto rate = upstream.rate.perSecond())
        slots = std::min(slots, *rate * service.meanDurationSeconds);
    if (const auto coldRate = upstream.pace.perSecond(now))
        slots = std::min(slots, *coldRate * service.meanDurationSeconds);
    return slots;
}

} // namespace heathergate::fleet
