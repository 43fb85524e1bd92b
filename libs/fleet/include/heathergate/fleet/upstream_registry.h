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
        /// It is ignored: it names a service that the configuration does not have, and the
        /// identifier or the address of an upstream of one that it has.
        NoClaim,
        /// Its record is in the log already.
        Unchanged,
        Changed,
        /// It changes its record although another one stands against it, because that one is no
        /// longer confirmed.
        Reclaimed,
    };

    Kind kind = Kind::Changed;
    /// Former upstreams at the address of the sender.
    std::vector<UpstreamRecord> replaced = {};
    /// The upstream whose record stands against an ignored heartbeat; empty if the sender has left.
    UpstreamId holder = {};
};

/// Decides at the leader what the heartbeats of upstreams change. It judges them by the records at
/// the end of the log: a proposed record counts before it is applied, because whatever is proposed
/// after it takes effect after it.
///
/// A heartbeat may come from another writer than an upstream, and take the identifier or the
/// address of a sound one. One of a service that the configuration does not have displaces nothing
/// that the configuration names. One that names a service cannot be told from a sound one; the
/// upstream that it displaces gets its record back by going on with its heartbeats while the other
/// is silent.
class UpstreamRegistry
{
public:
    /// Time without a heartbeat of a record's holder after which a sender that was ignored for as
    /// long gets the record: more than three intervals between heartbeats.
    static constexpr Duration kReclaimTime = std::chrono::seconds(4);

    /// Decides about a heartbeat, and remembers its sequence number unless it is ignored.
    [[nodiscard]] auto decide(TimePoint now, const FleetState &state,
                              const UpstreamRecord &heartbeat) -> HeartbeatDecision;
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

    /// Heartbeats of a sender that were ignored, without a pause.
    struct IgnoredSender
    {
        std::chrono::milliseconds startedAt{};
        TimePoint since{};
        TimePoint lastAt{};
        std::uint64_t lastSequence = 0;
    };

    /// Returns the decision to ignore a heartbeat, and whose record stands against it; nothing if
    /// there is no such record.
    [[nodiscard]] auto ignores(const FleetState &state, const UpstreamRecord *known,
                               const std::vector<UpstreamRecord> &others,
                               const UpstreamRecord &heartbeat) const
        -> std::optional<HeartbeatDecision>;
    /// Notes that a heartbeat would be ignored. Returns whether its sender has gone on for so long,
    /// while `holder` was silent, that it gets the record. One that has left never does.
    [[nodiscard]] auto reclaims(TimePoint now, const UpstreamRecord &heartbeat,
                                const UpstreamId &holder) -> bool;
    [[nodiscard]] auto isOutdated(const UpstreamRecord &known,
                                  const UpstreamRecord &heartbeat) const -> bool;
    /// Returns the other upstreams that have the address of a heartbeat.
    [[nodiscard]] auto othersAtAddress(const FleetState &state,
                                       const UpstreamRecord &heartbeat) const
        -> std::vector<UpstreamRecord>;

    std::map<UpstreamId, Proposal> m_proposals;
    /// Sequence number of the last accepted heartbeat of each upstream.
    std::map<UpstreamId, std::uint64_t> m_lastSequence;
    /// Time of the last accepted heartbeat of each upstream.
    std::map<UpstreamId, TimePoint> m_acceptedAt;
    std::map<UpstreamId, IgnoredSender> m_ignored;
};

} // namespace heathergate::fleet
