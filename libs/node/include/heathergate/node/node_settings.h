#pragma once

#include <heathergate/core/core.h>
#include <heathergate/fleet/messages.h>

#include <optional>
#include <string>
#include <vector>

/// The programs of a fleet: each runs one state machine on an event loop.
namespace heathergate::node {

/// Settings of one instance. docs/reference/node-settings.md lists the keys.
struct NodeSettings
{
    // [instance]
    /// Name by which operators know the instance.
    std::string name;
    fleet::Role role = fleet::Role::Gateway;
    /// Address of the machine; it also identifies the instance.
    std::string host;
    FailureDomainId domain;

    // [listen]
    std::optional<Endpoint> callers;
    std::optional<Endpoint> readiness;
    std::optional<Endpoint> control;
    std::optional<Endpoint> directory;
    std::uint16_t peerPort = 0;
    /// Port at which other instances are dialled; differs from `peerPort` only where a forwarder
    /// stands before each instance.
    std::uint16_t peerDialPort = 0;
    /// Where metrics are served; 0 serves none.
    std::uint16_t metricsPort = 0;

    // [fleet]
    std::string cluster = "heathergate";
    /// The first proves this instance; all are accepted from others.
    std::vector<std::string> secrets;
    std::vector<Endpoint> seeds;
    /// The fleet starts for the first time, with empty disks.
    bool bootstrap = false;
    /// Instances with a disk that may be lost at the same time.
    int faultTolerance = 1;

    // [storage]
    std::string folder;

    // [limits]
    Duration quotaWindow = std::chrono::seconds(5);
    /// Time between SIGTERM and SIGKILL.
    Duration shutdownGracePeriod = std::chrono::seconds(8);
    /// Longest time for which callers keep an answer of the directory.
    Duration directoryTtlLimit = std::chrono::seconds(5);
};

/// Reads settings from TOML text; `file` stands in messages. Fails with `Code::BadSetting` and
/// names the key.
[[nodiscard]] auto parseNodeSettings(std::string_view text, const std::string &file)
    -> Result<NodeSettings>;
/// Reads a settings file.
[[nodiscard]] auto loadNodeSettings(const std::string &file) -> Result<NodeSettings>;

} // namespace heathergate::node
