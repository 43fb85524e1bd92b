#pragma once

#include <heathergate/replay/backend.h>
#include <heathergate/replay/fleet.h>

namespace heathergate::replay {

/// Backend of complete heathergate instances on fake disks and links.
class FleetBackend
{
public:
    FleetBackend(const Trace &trace, std::uint64_t seed);

    [[nodiscard]] auto now() -> TimePoint
    {
        return m_fleet.clock().now();
    }
    auto run(Duration time) -> void;
    auto startProgram(const TraceProgram &program) -> void;
    [[nodiscard]] auto submit(const ReplayCall &call, int tries) -> Ticket;
    [[nodiscard]] auto answer(Ticket ticket) -> std::optional<ReplayAnswer>;
    auto inject(const TraceFailure &failure) -> void;
    [[nodiscard]] auto computedPromptTokens() -> std::int64_t;
    [[nodiscard]] auto occupancy() -> double;
    /// Returns the idempotency keys that services executed more than once, as texts.
    [[nodiscard]] auto violations() -> std::vector<std::string>;

private:
    [[nodiscard]] auto entryFor(const std::string &program, int tries) const -> std::string;

    TraceFleet m_sizes;
    Fleet m_fleet;
    std::map<std::string, std::string> m_keys;
    double m_busySlots = 0;
    double m_slotSteps = 0;
};

static_assert(Backend<FleetBackend>);

} // namespace heathergate::replay
