#pragma once

#include <heathergate/consensus/consensus.h>
#include <heathergate/wire/wire.h>

/// Durable storage of replica state: storage steps, recovery and the log thread.
namespace heathergate::storage {

/// A write of one group.
struct GroupWrite
{
    GroupId group = 0;
    consensus::StorageWrite write;
};

/// Replaces the stored log. The snapshots are stored first; then the records replace all others.
struct Compaction
{
    std::vector<std::pair<GroupId, consensus::Snapshot>> snapshots;
    std::vector<wire::StoredRecord> records;
};

/// A step that the log thread makes durable, in the order of submission.
using StorageStep = std::variant<GroupWrite, Compaction>;

} // namespace heathergate::storage
