#pragma once

#include <heathergate/consensus/types.h>
#include <heathergate/daemon/settings.h>
#include <heathergate/log/log.h>

namespace heathergate::daemon {

/// Who the replicas in a data folder are.
struct DiskIdentity
{
    std::string cluster;
    consensus::ReplicaId replica;
    /// Whether the replicas belong to the first configuration of the fleet.
    bool genesis = false;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(DiskIdentity, cluster, replica, genesis)
};

/// Prepares an empty data folder as a member of a new fleet. Fails with `Code::AlreadyExists` if
/// the folder is in use.
[[nodiscard]] auto initializeFolder(log::PosixFiles &files, const Settings &settings)
    -> Result<DiskIdentity>;

/// Returns the identity in a data folder. An empty folder gets a new identity that has to be
/// added by an operator, so that a wiped disk cannot vote as its former self; an instance that
/// stands alone is prepared at once.
[[nodiscard]] auto openIdentity(log::PosixFiles &files, const Settings &settings)
    -> Result<DiskIdentity>;

/// Returns the first configuration of the fleet's groups.
[[nodiscard]] auto genesisConfiguration(const Settings &settings) -> consensus::Configuration;

} // namespace heathergate::daemon
