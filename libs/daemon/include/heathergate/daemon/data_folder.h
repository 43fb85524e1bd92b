#pragma once

#include <heathergate/consensus/types.h>
#include <heathergate/daemon/settings.h>
#include <heathergate/log/log.h>

namespace heathergate::daemon {

/// Identity of the replicas in a data folder.
struct DiskIdentity
{
    std::string cluster;
    consensus::ReplicaId replica;
    /// Whether the replicas belong to the initial configuration of the fleet.
    bool genesis = false;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(DiskIdentity, cluster, replica, genesis)
};

/// Initializes an empty data folder for a founding member of a new fleet. Fails with
/// `Code::AlreadyExists` if the folder is not empty.
[[nodiscard]] auto initializeFolder(log::PosixFiles &files, const Settings &settings)
    -> Result<DiskIdentity>;

/// Returns the identity in a data folder. An empty folder gets a new replica identity that an
/// operator has to add to the groups, so that an instance with a wiped disk cannot vote under its
/// former identity. A standalone instance is initialized immediately.
[[nodiscard]] auto openIdentity(log::PosixFiles &files, const Settings &settings)
    -> Result<DiskIdentity>;

/// Returns the initial configuration of the fleet's groups.
[[nodiscard]] auto genesisConfiguration(const Settings &settings) -> consensus::Configuration;

} // namespace heathergate::daemon
