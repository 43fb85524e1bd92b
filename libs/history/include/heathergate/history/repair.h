#pragma once

#include <heathergate/history/messages.h>
#include <heathergate/history/replica_set.h>

#include <functional>
#include <map>
#include <set>

namespace heathergate::history {

/// Copies to one replica the turns that the other members of its set hold. It lists the turns of
/// each member from the position up to which it has copied, and fetches those that are missing.
/// Decides only what to request and which members are copied; the replica stores the turns.
class Repair
{
public:
    Repair(ReplicaId self, InstanceId instance, std::uint64_t boot);

    /// Adapts to a new replica set, of which every member has to be listed again.
    auto setReplicas(TimePoint now, const ReplicaSet &set) -> void;
    /// Handles the list of a member. `isHeld` tells which turns need not be copied.
    auto listed(TimePoint now, const fb::TurnListT &list,
                const std::function<bool(const TurnKey &)> &isHeld) -> void;
    /// Handles the arrival of fetched turns. Those that are not in it are fetched again, unless the
    /// member lacks them.
    auto fetched(TimePoint now, const fb::FetchedTurnsT &message) -> void;
    /// Reports that a turn is durable here.
    auto stored(TimePoint now, const TurnKey &key) -> void;
    /// Lists all members from the start, because turns were lost here.
    auto restart(TimePoint now) -> void;
    /// Returns the requests that are due.
    [[nodiscard]] auto tick(TimePoint now) -> std::vector<Outgoing>;
    [[nodiscard]] auto nextDeadline() const -> TimePoint;

    /// Returns the members whose turns were copied since the current set was announced.
    [[nodiscard]] auto syncedMembers() const -> std::vector<ReplicaId>;
    /// Returns the number of synced members that hold every turn that they should hold.
    [[nodiscard]] auto completeSources() const -> std::size_t;

private:
    struct Source
    {
        InstanceId instance;
        /// Run of the member's process that the positions belong to.
        std::uint64_t boot = 0;
        /// Position up to which its turns are held here.
        std::uint64_t copiedTo = 0;
        /// Positions that the last list reached, and the last one of the member at that time.
        std::uint64_t listedTo = 0;
        std::uint64_t head = 0;
        /// Turns of the last list that are not durable here yet.
        std::set<TurnKey> missing;
        /// Turns that arrived and are being stored here.
        std::set<TurnKey> arrived;
        bool knowsSet = false;
        bool isComplete = false;
        bool isSynced = false;
        bool isWaiting = false;
        TimePoint sentAt{};
        TimePoint nextAt{};
    };

    auto advance(TimePoint now, Source &source) -> void;
    [[nodiscard]] auto request(Source &source) const -> Message;

    ReplicaId m_self;
    InstanceId m_instance;
    std::uint64_t m_boot;
    std::uint64_t m_digest = 0;
    std::map<ReplicaId, Source> m_sources;
};

} // namespace heathergate::history
