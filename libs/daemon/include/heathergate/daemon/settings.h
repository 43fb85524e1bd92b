#pragma once

#include <heathergate/core/core.h>
#include <heathergate/telemetry/logging.h>

namespace heathergate::daemon {

/// An instance with a disk, listed in the settings of all instances.
struct DiskInstance
{
    InstanceId id;
    Endpoint peer;
};

/// A route that requires no key.
struct OpenRoute
{
    std::string path;
    std::string service;
};

/// Settings of one instance. docs/reference/settings.md lists the keys.
struct Settings
{
    // [instance]
    InstanceId id;
    FailureDomainId domain;
    Endpoint caller;
    Endpoint peer;
    telemetry::LogLevel logLevel = telemetry::LogLevel::Info;

    // [fleet]
    std::string cluster = "heathergate";
    /// The first authenticates this instance; all are accepted from peers.
    std::vector<std::string> fleetSecrets;
    std::vector<DiskInstance> diskInstances;
    std::uint32_t shards = 4;

    // [storage]
    std::string dataFolder;

    // [keys]
    std::string hashSecret;
    /// Keyed hash of the first operator's key.
    std::string operatorKeyHash;
    std::string upstreamToken;

    // [callers]
    Duration directoryTtl = std::chrono::seconds(5);
    Duration requestDeadline = std::chrono::seconds(120);
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxHeaderBytes = 32 * 1024;
    unsigned maxConnections = 4096;
    unsigned maxConnectionsPerAddress = 1024;
    std::chrono::seconds idleTimeout{60};
    std::size_t maxQueued = 10'000;
    std::string certificateFile;
    std::string privateKeyFile;
    std::vector<OpenRoute> openRoutes;

    // [upstreams]
    Duration firstByteTimeout = std::chrono::seconds(30);
    Duration progressTimeout = std::chrono::seconds(15);

    // [programs]
    int maxTurns = 300;
    Duration programLifetime = std::chrono::hours(24);
    Duration programIdle = std::chrono::hours(1);

    /// Returns whether this instance hosts replicas.
    [[nodiscard]] auto hasDisk() const -> bool
    {
        return !dataFolder.empty();
    }
};

/// Parses settings from TOML text. Errors state `file`, the line, the key, the value and the
/// allowed values. Unknown keys are errors.
[[nodiscard]] auto parseSettings(std::string_view text, const std::string &file)
    -> Result<Settings>;

/// Reads settings from a file. Fails with `Code::BadSetting`.
[[nodiscard]] auto loadSettings(const std::string &file) -> Result<Settings>;

} // namespace heathergate::daemon
