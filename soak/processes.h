#pragma once

#include "network.h"

#include <csignal>
#include <filesystem>
#include <map>
#include <optional>
#include <sys/types.h>

namespace heathergate::soak {

/// What an instance is.
enum class InstanceRole { Control, Gateway };

/// Size and place of the fleet of a run.
struct FleetShape
{
    int controls = 3;
    int gateways = 6;
    /// Control instances that may be lost at the same time.
    int faultTolerance = 1;
    std::filesystem::path binary;
    /// Settings, data and logs of the run.
    std::filesystem::path folder;
};

/// The processes of a fleet: writes their settings, starts and signals them, by process id only.
class Processes
{
public:
    /// A process that ended although nobody had asked it to.
    struct UnexpectedExit
    {
        std::string instance;
        std::string cause;
    };

    Processes(FleetShape shape, Network network);
    /// Kills what still runs.
    ~Processes();
    Processes(const Processes &) = delete;
    auto operator=(const Processes &) -> Processes & = delete;

    /// Starts every instance for the first time.
    auto startAll() -> void;
    auto start(const std::string &instance) -> void;
    /// Sends a signal if the process runs.
    auto signal(const std::string &instance, int number) -> void;
    /// Empties an instance's data folder; its process must not run.
    auto wipe(const std::string &instance) -> void;
    /// Takes the data folder away from a running process, or gives it back.
    auto setFolderDetached(const std::string &instance, bool detached) -> void;
    /// Gives an instance other seeds at its next look at the settings.
    auto setSeeds(const std::string &instance, const std::vector<int> &controls) -> void;

    /// Collects processes that have ended; returns those that nobody had asked to.
    [[nodiscard]] auto reap() -> std::vector<UnexpectedExit>;
    [[nodiscard]] auto isRunning(const std::string &instance) const -> bool;

    [[nodiscard]] auto instances(InstanceRole role) const -> std::vector<std::string>;
    [[nodiscard]] auto hostOf(const std::string &instance) const -> std::string;
    [[nodiscard]] auto domainOf(const std::string &instance) const -> std::string;
    /// Returns the most memory that the running processes use together, in bytes.
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

    /// Takes in the end of an instance's process, if it has ended.
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
