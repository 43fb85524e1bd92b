#pragma once

#include "fault_injector.h"

namespace heathergate::soak {

/// Size and length of a run.
struct RunSettings
{
    std::uint64_t seed = 1;
    std::chrono::seconds faultDuration{20};
    int callers = 16;
    int engines = 3;
    int services = 2;
    /// Second number of the loopback addresses.
    int network = 1;
    FleetShape fleet;
};

/// What a run saw.
struct RunReport
{
    std::vector<Violation> violations;
    std::size_t requests = 0;
    std::map<int, std::size_t> answersByStatus;
    std::map<std::string, int> injectedFaults;
    std::size_t residentBytes = 0;
};

/// Plays one run: lets the fleet form, plays troubles, ends them, and looks whether the fleet
/// serves as before.
[[nodiscard]] auto executeRun(const RunSettings &settings) -> RunReport;

} // namespace heathergate::soak
