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

/// Returns whether the configuration has the service of an upstream.
auto hasService(const FleetState &state, const UpstreamRecord &record) -> bool
{
    return state.configuration().service(record.service) != nullptr;
}

} // namespace

auto UpstreamRegistry::decide(TimePoint now, const FleetState &state,
                              const UpstreamRecord &heartbeat) -> HeartbeatDecision
{
    const auto *known = recordOf(state, heartbeat.id);
    auto others = othersAtAddress(state, heartbeat);
    auto ignored = ignores(state, known, others, heartbeat);
    if (ignored && !reclaims(now, heartbeat, ignored->holder))
        return std::move(*ignored);
    m_ignored.erase(heartbeat.id);
    m_lastSequence[heartbeat.id] = heartbeat.sequence;
    m_acceptedAt[heartbeat.id] = now;
    if (ignored)
        return {HeartbeatDecision::Kind::Reclaimed, std::move(others)};
    const auto isUnchanged = known != nullptr && others.empty() && !isProposed(heartbeat.id)
                             && sameUpstream(*known, heartbeat);
    return {isUnchanged ? HeartbeatDecision::Kind::Unchanged : HeartbeatDecision::Kind::Changed,
            std::move(others)};
}

auto UpstreamRegistry::ignores(const FleetState &state, const UpstreamRecord *known,
                               const std::vector<UpstreamRecord> &others,
                               const UpstreamRecord &heartbeat) const
    -> std::optional<HeartbeatDecision>
{
    using Kind = HeartbeatDecision::Kind;
    const auto isNamed = hasService(state, heartbeat);
    const auto outranks = [&](const UpstreamRecord &holder) {
        return !isNamed && holder.phase != UpstreamPhase::Removed && hasService(state, holder);
    };
    const auto yields = [&](const UpstreamRecord &holder) {
        return isNamed && !hasService(state, holder);
    };
    if (known != nullptr && outranks(*known))
        return HeartbeatDecision{Kind::NoClaim, {}, known->id};
    for (const auto &other : others) {
        if (outranks(other))
            return HeartbeatDecision{Kind::NoClaim, {}, other.id};
        if (other.startedAt > heartbeat.startedAt && !yields(other))
            return HeartbeatDecision{Kind::Outdated, {}, other.id};
    }
    if (known != nullptr && !yields(*known) && isOutdated(*known, heartbeat))
        return HeartbeatDecision{
            Kind::Outdated, {}, known->phase == UpstreamPhase::Removed ? UpstreamId() : known->id};
    return std::nullopt;
}

auto UpstreamRegistry::reclaims(TimePoint now, const UpstreamRecord &heartbeat,
                                const UpstreamId &holder) -> bool
{
    if (holder.empty())
        return false;
    std::erase_if(m_ignored,
                  [&](const auto &item) { return now - item.second.lastAt > kReclaimTime; });
    auto &sender = m_ignored[heartbeat.id];
    const auto accepted = m_acceptedAt.find(holder);
    const auto heardHolder = accepted != m_acceptedAt.end() && accepted->second >= sender.since;
    const auto goesOn = sender.startedAt == heartbeat.startedAt && !heardHolder
                        && heartbeat.sequence > sender.lastSequence;
    if (!goesOn)
        sender = {heartbeat.startedAt, now, now, heartbeat.sequence};
    sender.lastAt = now;
    sender.lastSequence = heartbeat.sequence;
    return heartbeat.phase == UpstreamPhase::Ready && now - sender.since >= kReclaimTime;
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
