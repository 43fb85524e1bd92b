#pragma once

#include <heathergate/core/core.h>
#include <heathergate/fleet/messages.h>
#include <heathergate/fleet/placement_settings.h>

#include <optional>
#include <string>
#include <vector>

/// The processes of a fleet. Each runs one state machine on an event loop.
namespace heathergate::node {

/// Settings of one instance. docs/reference/node-settings.md lists the keys.
struct NodeSettings
{
    // [instance]
    /// Name of the instance for operators.
    std::string name;
    fleet::Role role = fleet::Role::Gateway;
    /// Address of the machine. It also identifies the instance.
    std::string host;
    FailureDomainId domain;

    // [listen]
    std::optional<Endpoint> callers;
    std::optional<Endpoint> readiness;
    std::optional<Endpoint> control;
    std::optional<Endpoint> directory;
    std::uint16_t peerPort = 0;
    /// Port at which this instance connects to other instances. It differs from `peerPort` only if
    /// a forwarder runs in front of each instance.
    std::uint16_t peerDialPort = 0;
    /// Port of the metrics server; 0 disables it.
    std::uint16_t metricsPort = 0;

    // [fleet]
    std::string cluster = "heathergate";
    /// Shared secrets. The first authenticates this instance to others; all are accepted from them.
    std::vector<std::string> secrets;
    std::vector<Endpoint> seeds;
    /// Whether the fleet starts for the first time, with empty disks.
    bool bootstrap = false;
    /// Number of instances with a disk that may fail at the same time.
    int faultTolerance = 1;

    // [storage]
    std::string folder;

    // [placement]
    fleet::PlacementSettings placement;

    // [limits]
    /// Memory of the machine, in MiB.
    std::size_t memoryMb = 96;
    Duration quotaWindow = std::chrono::seconds(5);
    /// Time between SIGTERM and SIGKILL.
    Duration shutdownGracePeriod = std::chrono::seconds(8);
    /// Maximum time for which callers cache an answer of the directory.
    Duration directoryTtlLimit = std::chrono::seconds(5);
};

/// Parses settings from TOML text. `file` is the file name in error messages. Fails with
/// `Code::BadSetting`; the error names the key.
[[nodiscard]] auto parseNodeSettings(std::string_view text, const std::string &file)
    -> Result<NodeSettings>;
/// Reads a settings file. Fails with `Code::BadSetting`.
[[nodiscard]] auto loadNodeSettings(const std::string &file) -> Result<NodeSettings>;

} // namespace heathergate::node
