#pragma once

#include "operator.h"
#include "processes.h"
#include "upstream.h"

namespace heathergate::soak {

/// The components of a run that faults are injected into.
struct FaultTargets
{
    Processes &processes;
    std::map<std::string, std::unique_ptr<FaultProxy>> &peerProxies;
    std::vector<std::unique_ptr<Upstream>> &upstreams;
    Operator &configurations;
    Disturbances &disturbances;
};

/// Injects random faults by a seed, in overlapping series with calm periods between them. At most
/// `faultTolerance` control instances are unavailable at the same time, except when all of them are
/// killed, after which they restart with their disks.
class FaultInjector
{
public:
    FaultInjector(net::EventLoop &loop, FaultTargets targets, int faultTolerance, Random random);

    /// Injects faults until `end`.
    auto start(TimePoint end) -> void;
    /// Ends all active faults, then changes the configuration once more.
    auto stop() -> void;
    /// Restarts the processes that have terminated; does nothing before `stop`.
    auto restartTerminated() -> void;
    /// Returns whether a gateway was stopped gracefully while a request that was sent at `sentAt`
    /// was pending, and no other disturbance affected it.
    [[nodiscard]] auto wasStoppedGracefully(const InstanceId &gateway, TimePoint sentAt) const
        -> bool;
    [[nodiscard]] auto injectedFaults() const -> const std::map<std::string, int> &
    {
        return m_injectedFaults;
    }

private:
    using Action = std::function<void()>;

    auto injectNext() -> void;
    auto injectOne() -> void;
    auto after(Duration pause, Action action) -> void;
    auto recordDisturbance(const std::string &subject, Duration duration) -> void;
    [[nodiscard]] auto randomGateway() -> std::string;
    /// Chooses a control instance that may be unavailable for a time; `std::nullopt` if the fault
    /// tolerance is used up.
    [[nodiscard]] auto randomControl(Duration duration) -> std::optional<std::string>;
    [[nodiscard]] auto randomUpstream() -> Upstream &;
    [[nodiscard]] auto randomDuration(int minMs, int maxMs) -> Duration;

    // Processes.
    auto killGateway() -> void;
    auto stopGateway() -> void;
    auto suspendGateway() -> void;
    auto killControl() -> void;
    auto stopControl() -> void;
    auto suspendControl() -> void;
    auto wipeControl() -> void;
    auto detachDataFolder() -> void;
    auto killAllControls() -> void;
    auto changeSeeds() -> void;
    auto reloadSettings() -> void;
    // Connections.
    auto disturbPeerConnections() -> void;
    auto disturbUpstreamConnections() -> void;
    // Upstreams.
    auto injectUpstreamFault() -> void;
    auto crashUpstream() -> void;
    auto drainUpstream() -> void;
    // The operator.
    auto changeConfiguration() -> void;

    net::EventLoop &m_loop;
    FaultTargets m_targets;
    int m_faultTolerance;
    Random m_random;
    TimePoint m_end{};
    TimePoint m_calmUntil{};
    bool m_stopped = false;
    /// Unavailable control instances, and when each counts as available again.
    std::map<std::string, TimePoint> m_unavailableControls;
    /// Gateways that received SIGTERM, and when.
    std::map<std::string, TimePoint> m_stopping;
    std::set<std::string> m_suspended;
    std::set<std::string> m_detachedFolders;
    std::map<std::string, int> m_injectedFaults;
};

} // namespace heathergate::soak
