#pragma once

#include "network.h"

#include <csignal>
#include <filesystem>
#include <map>
#include <optional>
#include <sys/types.h>

namespace heathergate::soak {

/// Role of an instance.
enum class InstanceRole { Control, Gateway };

/// Size of the fleet of a run, and its files.
struct FleetShape
{
    int controls = 3;
    int gateways = 6;
    /// Number of control instances that may fail at the same time.
    int faultTolerance = 1;
    std::filesystem::path binary;
    /// Folder of the settings, data and logs of the run.
    std::filesystem::path folder;
};

/// The processes of a fleet: writes their settings, starts them, and signals them by process id.
class Processes
{
public:
    /// A process that exited without a SIGTERM, a SIGKILL or a detached data folder.
    struct UnexpectedExit
    {
        std::string instance;
        std::string cause;
    };

    Processes(FleetShape shape, Network network);
    /// Kills the running processes.
    ~Processes();
    Processes(const Processes &) = delete;
    auto operator=(const Processes &) -> Processes & = delete;

    /// Starts every instance for the first time.
    auto startAll() -> void;
    /// Starts the process of an instance unless it is running.
    auto start(const std::string &instance) -> void;
    /// Sends a signal to the process of an instance, if it is running.
    auto signal(const std::string &instance, int number) -> void;
    /// Removes the data folder of an instance, whose process must not be running.
    auto wipe(const std::string &instance) -> void;
    /// Renames the data folder away from a running process, or restores it.
    auto setFolderDetached(const std::string &instance, bool detached) -> void;
    /// Changes the seed instances in an instance's settings; applied when it reads the settings
    /// again.
    auto setSeeds(const std::string &instance, const std::vector<int> &controls) -> void;

    /// Reaps terminated processes. Returns the unexpected exits.
    [[nodiscard]] auto reap() -> std::vector<UnexpectedExit>;
    [[nodiscard]] auto isRunning(const std::string &instance) const -> bool;

    [[nodiscard]] auto instances(InstanceRole role) const -> std::vector<std::string>;
    [[nodiscard]] auto hostOf(const std::string &instance) const -> std::string;
    [[nodiscard]] auto domainOf(const std::string &instance) const -> std::string;
    /// Returns the total resident memory of the running processes in bytes.
    [[nodiscard]] auto residentBytes() const -> std::size_t;

private:
    struct Instance
    {
        InstanceRole role = InstanceRole::Gateway;
        int number = 0;
        pid_t process = 0;
        bool wasStarted = false;
        bool mayExit = false;
        std::vector<int> seeds;
    };

    /// Records the exit of an instance's process, if it has terminated.
    auto collectExit(const std::string &name, Instance &instance) -> void;
    auto writeSettings(const std::string &name, const Instance &instance) const -> void;
    [[nodiscard]] auto fileOf(const std::string &name, const char *extension) const
        -> std::filesystem::path;

    FleetShape m_shape;
    Network m_network;
    std::map<std::string, Instance> m_instances;
    std::vector<UnexpectedExit> m_unexpectedExits;
};

} // namespace heathergate::soak
