#pragma once

#include <heathergate/consensus/types.h>

namespace heathergate::consensus::internal {

/// Replication progress of one member, as tracked by the leader.
struct Progress
{
    /// Index of the next entry to send (Raft's nextIndex).
    Index next = 1;
    /// Highest index known to be durable at the member (Raft's matchIndex).
    Index match = 0;
    /// Send time of the newest request that the member has answered.
    TimePoint acknowledgedRound{};
    /// Time of the last message to the member, from which the next heartbeat is scheduled.
    TimePoint lastSent{};
    /// No entries are sent until the reply to a heartbeat shows where the logs match.
    bool probing = true;
    /// Index of the snapshot being sent, or 0 if none is, and the offset of the next piece.
    Index snapshotIndex = 0;
    std::uint64_t snapshotOffset = 0;
};

} // namespace heathergate::consensus::internal
