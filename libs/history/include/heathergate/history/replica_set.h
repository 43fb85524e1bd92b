#pragma once

#include <heathergate/core/core.h>

#include <vector>

namespace heathergate::history {

/// Identifies a replica together with its disk. A replica whose disk was wiped gets a new
/// identifier.
using ReplicaId = TextId<struct HistoryReplicaTag>;

/// A member of a replica set.
struct ReplicaMember
{
    ReplicaId id;
    /// The instance that hosts the replica.
    InstanceId instance;
    FailureDomainId domain;
    /// False while the replica is being emptied: it is read, but not written.
    bool isWritable = true;
};

/// The replicas that store turns, as the fleet's leader announces them.
///
/// A turn is acknowledged when `copies` writable members have made it durable. Each change of the
/// set removes a member only after the others have copied its turns, so that every acknowledged
/// turn has `copies` holders in the set, except for those whose disks were lost.
struct ReplicaSet
{
    /// Increases with each change; 0 while no set is known.
    std::uint64_t version = 0;
    /// Number of durable copies that a turn needs: one more than disks may fail at once.
    std::size_t copies = 1;
    std::vector<ReplicaMember> members;

    [[nodiscard]] auto find(const ReplicaId &id) const -> const ReplicaMember *;
    /// Returns whether a turn that `absent` members lack does not exist: fewer than `copies`
    /// members are left that could hold it.
    [[nodiscard]] auto provesAbsence(std::size_t absent) const -> bool;
    /// Returns the number of other members whose turns a replica has to copy to hold every
    /// acknowledged turn.
    [[nodiscard]] auto sourcesForCompleteness() const -> std::size_t;
    /// Returns a hash of the members and the number of copies. Two instances with the same digest
    /// know the same set.
    [[nodiscard]] auto digest() const -> std::uint64_t;
};

} // namespace heathergate::history
