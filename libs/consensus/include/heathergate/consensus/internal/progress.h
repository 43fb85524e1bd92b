#pragma once

#include <heathergate/consensus/types.h>

namespace heathergate::consensus::internal {

/// What the leader knows of one member.
struct Progress
{
    Index next = 1;
    Index match = 0;
    /// Send time of the newest request that was answered.
    TimePoint acknowledgedRound{};
    /// Time of the last message sent, so that an idle member still gets heartbeats.
    TimePoint lastSent{};
    /// No entries are sent until a heartbeat's answer has told where the logs agree.
    bool probing = true;
    /// Position and offset of the snapshot being sent; index 0 if none is.
    Index snapshotIndex = 0;
    std::uint64_t snapshotOffset = 0;
};

} // namespace heathergate::consensus::internal
