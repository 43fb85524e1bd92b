#pragma once

#include <heathergate/consensus/consensus.h>
#include <heathergate/wire/wire.h>

/// Makes the state of replicas durable: what is written, recovery, and the thread that writes.
namespace heathergate::storage {

/// A write of one group, to be made durable by the log thread.
struct GroupWrite
{
    GroupId group = 0;
    consensus::StorageWrite write;
};

/// Replaces the stored log: the snapshots first, then the records in place of all others.
struct Compaction
{
    std::vector<std::pair<GroupId, consensus::Snapshot>> snapshots;
    std::vector<wire::StoredRecord> records;
};

/// Something for the log thread, in order.
using StorageStep = std::variant<GroupWrite, Compaction>;

} // namespace heathergate::storage
