#pragma once

#include <heathergate/history/chain_cache.h>
#include <heathergate/history/messages.h>
#include <heathergate/history/replica_set.h>

#include <map>
#include <set>

namespace heathergate::history {

/// Identifies a read or write of a client until its result is taken.
using Ticket = std::uint64_t;

/// Result of a read or write.
enum class ClientOutcome {
    /// The chain was read.
    Found,
    /// No such turn exists.
    Absent,
    /// The turn is durable on as many disks as the replica set requires.
    Stored,
    /// The replicas did not answer in time, or cannot tell.
    Unavailable,
};

struct ClientResult
{
    Ticket ticket = 0;
    ClientOutcome outcome = ClientOutcome::Unavailable;
    /// Content of all turns of the chain, oldest first; set if it was found.
    Chain chain;
};

/// Writes turns to a replica set and reads chains from it. A write succeeds when enough disks have
/// it; a read succeeds with the first replica that holds the chain, and reports a turn as absent
/// only if so many replicas lack it that it cannot have been acknowledged. A state machine without
/// I/O.
class HistoryClient
{
public:
    /// Creates a client in a failure domain, whose replicas it prefers for reads.
    HistoryClient(FailureDomainId domain, std::size_t cacheBytes);

    /// Announces the replica set. Older versions are ignored.
    auto setReplicas(TimePoint now, const ReplicaSet &set) -> void;
    /// Reads the chain that ends with a turn. The result is available by `deadline`.
    auto read(TimePoint now, Ticket ticket, const TurnKey &key, TimePoint deadline) -> void;
    /// Writes a turn that continues the given chain. The result is available by `deadline`.
    auto write(TimePoint now, Ticket ticket, Turn turn, const Chain &previous, TimePoint deadline)
        -> void;
    /// Drops a read or write whose result is not needed any more. A written turn may still be
    /// stored.
    auto cancel(Ticket ticket) -> void;
    auto receive(TimePoint now, const InstanceId &from, const Message &message) -> void;
    auto tick(TimePoint now) -> void;

    [[nodiscard]] auto takeMessages() -> std::vector<Outgoing>
    {
        return std::exchange(m_messages, {});
    }
    [[nodiscard]] auto takeResults() -> std::vector<ClientResult>
    {
        return std::exchange(m_results, {});
    }
    /// Returns whether a replica reported that it knows another set, once for each report.
    [[nodiscard]] auto takeStaleReport() -> bool
    {
        return std::exchange(m_isStale, false);
    }
    [[nodiscard]] auto nextDeadline() const -> TimePoint;
    [[nodiscard]] auto replicas() const -> const ReplicaSet &
    {
        return m_set;
    }

private:
    struct Read
    {
        TurnKey key;
        TimePoint deadline{};
        TimePoint askAgainAt{};
        /// Instances that were asked since all of them were asked the last time.
        std::set<InstanceId> asked;
        bool allAsked = false;
        std::set<ReplicaId> absent;
    };
    struct Write
    {
        fb::StoreTurnT message;
        Chain chain;
        TimePoint deadline{};
        TimePoint sendAgainAt{};
        std::set<ReplicaId> durable;
    };

    auto handle(TimePoint now, const InstanceId &from, const fb::ChainReadT &reply) -> void;
    auto handle(TimePoint now, const InstanceId &from, const fb::TurnStoredT &reply) -> void;
    template <typename Other>
    auto handle(TimePoint, const InstanceId &, const Other &) -> void
    {
        // Ignores messages that only replicas handle.
    }
    /// Asks the next replica, or all of them.
    auto ask(TimePoint now, Ticket ticket, Read &read, bool everyone) -> void;
    auto send(TimePoint now, Write &write) -> void;
    [[nodiscard]] auto readOrder(TimePoint now, const TurnKey &key) const
        -> std::vector<InstanceId>;
    [[nodiscard]] auto countDurable(const Write &write) const -> std::size_t;
    auto finish(Ticket ticket, ClientOutcome outcome, Chain chain = {}) -> void;

    FailureDomainId m_domain;
    ReplicaSet m_set;
    ChainCache m_cache;
    std::map<Ticket, Read> m_reads;
    std::map<Ticket, Write> m_writes;
    /// Times until which instances that did not answer in time are asked last.
    std::map<InstanceId, TimePoint> m_slowUntil;
    std::vector<Outgoing> m_messages;
    std::vector<ClientResult> m_results;
    bool m_isStale = false;
};

} // namespace heathergate::history
