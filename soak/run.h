#pragma once

#include "fault_injector.h"

namespace heathergate::soak {

/// Size and duration of a run.
struct RunSettings
{
    std::uint64_t seed = 1;
    /// Time during which faults are injected.
    std::chrono::seconds faultDuration{20};
    int callers = 16;
    int engines = 3;
    int services = 2;
    /// Second octet of the loopback addresses.
    int network = 1;
    FleetShape fleet;
};

/// Results of a run.
struct RunReport
{
    std::vector<Violation> violations;
    std::size_t requests = 0;
    /// Number of answers per status; 0 stands for requests without a complete answer.
    std::map<int, std::size_t> answersByStatus;
    std::map<std::string, int> injectedFaults;
    /// Maximum resident memory of all processes together.
    std::size_t residentBytes = 0;
};

/// Executes one run: starts the fleet, injects faults, ends them, and checks whether the fleet
/// recovers.
[[nodiscard]] auto executeRun(const RunSettings &settings) -> RunReport;

} // namespace heathergate::soak
