#include <heathergate/fleet/upstream_registry.h>

#include <algorithm>

namespace heathergate::fleet {

namespace {

auto sameUpstream(const UpstreamRecord &left, const UpstreamRecord &right) -> bool
{
    return left.service == right.service && left.address == right.address
           && left.domain == right.domain && left.slots == right.slots && left.phase == right.phase
           && left.startedAt == right.startedAt && left.softwareVersion == right.softwareVersion;
}

} // namespace

auto UpstreamRegistry::decide(const FleetState &state, const UpstreamRecord &heartbeat)
    -> HeartbeatDecision
{
    const auto *known = recordOf(state, heartbeat.id);
    if (known != nullptr && isOutdated(*known, heartbeat))
        return {HeartbeatDecision::Kind::Outdated};
    auto others = othersAtAddress(state, heartbeat);
    const auto isNewer = [&](const auto &other) { return other.startedAt > heartbeat.startedAt; };
    if (std::any_of(others.begin(), others.end(), isNewer))
        return {HeartbeatDecision::Kind::Outdated};
    m_lastSequence[heartbeat.id] = heartbeat.sequence;
    const auto isUnchanged = known != nullptr && others.empty() && !isProposed(heartbeat.id)
                             && sameUpstream(*known, heartbeat);
    return {isUnchanged ? HeartbeatDecision::Kind::Unchanged : HeartbeatDecision::Kind::Changed,
            std::move(others)};
}

auto UpstreamRegistry::recordOf(const FleetState &state, const UpstreamId &id) const
    -> const UpstreamRecord *
{
    if (const auto proposal = m_proposals.find(id); proposal != m_proposals.end())
        return &proposal->second.record;
    const auto applied = state.upstreams().find(id);
    return applied == state.upstreams().end() ? nullptr : &applied->second;
}

auto UpstreamRegistry::propose(const UpstreamRecord &record) -> void
{
    auto &proposal = m_proposals[record.id];
    proposal.record = record;
    ++proposal.open;
}

auto UpstreamRegistry::settle(const UpstreamId &id) -> void
{
    const auto proposal = m_proposals.find(id);
    if (proposal != m_proposals.end() && --proposal->second.open == 0)
        m_proposals.erase(proposal);
}

auto UpstreamRegistry::isOutdated(const UpstreamRecord &known,
                                  const UpstreamRecord &heartbeat) const -> bool
{
    if (heartbeat.startedAt != known.startedAt)
        return heartbeat.startedAt < known.startedAt;
    const auto last = m_lastSequence.find(heartbeat.id);
    return known.phase == UpstreamPhase::Removed || heartbeat.sequence <= known.sequence
           || (last != m_lastSequence.end() && heartbeat.sequence <= last->second);
}

auto UpstreamRegistry::othersAtAddress(const FleetState &state,
                                       const UpstreamRecord &heartbeat) const
    -> std::vector<UpstreamRecord>
{
    std::vector<UpstreamRecord> others;
    const auto add = [&](const UpstreamRecord &other) {
        if (other.id != heartbeat.id && other.address == heartbeat.address
            && other.phase != UpstreamPhase::Removed)
            others.push_back(other);
    };
    for (const auto &[id, record] : state.upstreams()) {
        if (!isProposed(id))
            add(record);
    }
    for (const auto &[id, proposal] : m_proposals)
        add(proposal.record);
    return others;
}

} // namespace heathergate::fleet
