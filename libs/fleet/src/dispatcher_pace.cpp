#include <heathergate/fleet/dispatcher.h>

#include <algorithm>

/// The pace of upstreams that have started or recovered.
namespace heathergate::fleet {

namespace {

constexpr double kMinRatio = 0.1;

} // namespace

auto Dispatcher::beginPace(TimePoint now, Upstream &upstream, std::string_view why) -> void
{
    if (!m_settings.measuredPace || upstream.pace.window()
        || !warmSlowdown(upstream.record.service))
        return;
    upstream.pace.begin(now);
    m_paceChanges.push_back({upstream.record.id, true, why, {}, 1});
}

auto Dispatcher::warmSlowdown(const ServiceId &id) const -> std::optional<double>
{
    const auto service = m_services.find(id);
    if (service == m_services.end())
        return std::nullopt;
    double sum = 0;
    int count = 0;
    for (const auto &other : service->second.upstreams) {
        const auto &upstream = m_upstreams.at(other);
        if (upstream.pace.window() || upstream.isRecent || !isInService(upstream))
            continue;
        sum += upstream.slowdown;
        ++count;
    }
    if (count == 0)
        return std::nullopt;
    return std::max(sum / count, kMinRatio);
}

auto Dispatcher::adjustPace(TimePoint now, Upstream &upstream, const WorkState &state,
                            const AttemptReport &report) -> void
{
    if (state.upstreamStartedAt != upstream.record.startedAt)
        return; // It has restarted since.
    const auto wasPaced = upstream.pace.window().has_value();
    switch (report.outcome) {
    case AttemptOutcome::Answered:
        if (wasPaced && state.expected > Duration::zero()) {
            const auto ratio = std::chrono::duration<double>(report.total)
                               / std::chrono::duration<double>(state.expected);
            // Without a warm upstream to compare with, each response counts as one of a warm one.
            const auto warm = warmSlowdown(upstream.record.service).value_or(ratio);
            upstream.pace.answered(now, ratio / std::max(warm, kMinRatio),
                                   static_cast<std::size_t>(std::max(upstream.record.slots, 1)));
        }
        break;
    case AttemptOutcome::Declined:
        upstream.pace.declined();
        break;
    case AttemptOutcome::Broken:
        // It may have crashed.
        upstream.pace.suspectCold(now);
        upstream.pace.declined();
        break;
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::Unreachable:
        upstream.pace.suspectCold(now);
        upstream.pace.declined();
        beginPace(now, upstream, "recovers");
        break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Cancelled:
        break;
    }
    if (wasPaced && !upstream.pace.window())
        m_paceChanges.push_back({upstream.record.id, false, "warm", now - upstream.pace.begunAt(),
                                 upstream.pace.slowness()});
}

auto Dispatcher::paceCounts(TimePoint now) const -> PaceCounts
{
    PaceCounts counts;
    for (const auto &[id, upstream] : m_upstreams) {
        const auto warmth = upstream.pace.warmth(now);
        counts.cold += warmth == Warmth::Cold ? 1 : 0;
        counts.mayBeCold += warmth == Warmth::MayBeCold ? 1 : 0;
        counts.paced += upstream.pace.window() ? 1 : 0;
    }
    return counts;
}

} // namespace heathergate::fleet
