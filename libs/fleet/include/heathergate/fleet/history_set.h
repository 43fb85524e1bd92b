#pragma once

#include <heathergate/fleet/messages.h>
#include <heathergate/history/replica_set.h>

namespace heathergate::fleet {

/// Converts a set of history replicas to its FlatBuffers table.
[[nodiscard]] auto toTable(const history::ReplicaSet &set) -> std::unique_ptr<fb::HistoryReplicasT>;

/// Converts a FlatBuffers table to a set of history replicas.
[[nodiscard]] auto replicaSetOf(const fb::HistoryReplicasT &table) -> history::ReplicaSet;

} // namespace heathergate::fleet
