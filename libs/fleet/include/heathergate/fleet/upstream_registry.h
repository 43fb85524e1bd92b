#pragma once

#include <heathergate/fleet/fleet_state.h>

#include <map>
#include <vector>

namespace heathergate::fleet {

/// What a heartbeat changes in the records of upstreams.
struct HeartbeatDecision
{
    enum class Kind {
        /// It is ignored: it comes from a former incarnation, or was sent before a heartbeat that
        /// has already been received, or before the upstream left.
        Outdated,
        /// Its record is in the log already.
        Unchanged,
        Changed,
    };

    Kind kind = Kind::Changed;
    /// Former upstreams at the address of the sender.
    std::vector<UpstreamRecord> replaced = {};
};

/// Decides at the leader what the heartbeats of upstreams change. It judges them by the records at
/// the end of the log: a proposed record counts before it is applied, because whatever is proposed
/// after it takes effect after it.
class UpstreamRegistry
{
public:
    /// Decides about a heartbeat, and remembers its sequence number unless it is ignored.
    [[nodiscard]] auto decide(const FleetState &state, const UpstreamRecord &heartbeat)
        -> HeartbeatDecision;
    /// Returns the last record of an upstream, proposed or applied; null if there is none.
    [[nodiscard]] auto recordOf(const FleetState &state, const UpstreamId &id) const
        -> const UpstreamRecord *;
    /// Returns whether a record of an upstream is proposed and not applied yet.
    [[nodiscard]] auto isProposed(const UpstreamId &id) const -> bool
    {
        return m_proposals.contains(id);
    }

    /// Notes that a record is proposed.
    auto propose(const UpstreamRecord &record) -> void;
    /// Notes that a proposal for an upstream is applied, or has failed.
    auto settle(const UpstreamId &id) -> void;

private:
    struct Proposal
    {
        /// The last proposed record.
        UpstreamRecord record;
        /// Number of proposals that are not settled.
        std::size_t open = 0;
    };

    [[nodiscard]] auto isOutdated(const UpstreamRecord &known,
                                  const UpstreamRecord &heartbeat) const -> bool;
    /// Returns the other upstreams that have the address of a heartbeat.
    [[nodiscard]] auto othersAtAddress(const FleetState &state,
                                       const UpstreamRecord &heartbeat) const
        -> std::vector<UpstreamRecord>;

    std::map<UpstreamId, Proposal> m_proposals;
    /// Sequence number of the last accepted heartbeat of each upstream.
    std::map<UpstreamId, std::uint64_t> m_lastSequence;
};

} // namespace heathergate::fleet
