#pragma once

#include "operator.h"
#include "processes.h"
#include "upstream.h"

namespace heathergate::soak {

/// What the troubles of a run act on.
struct FaultTargets
{
    Processes &processes;
    std::map<std::string, std::unique_ptr<FaultProxy>> &peerProxies;
    std::vector<std::unique_ptr<Upstream>> &upstreams;
    Operator &configurations;
    Disturbances &disturbances;
};

/// Draws troubles by a seed and plays them in overlapping series, with calm stretches between. No
/// more control instances are lost at the same time than the fleet has to bear, but for kills of
/// all of them, after which they come back with their disks.
class FaultInjector
{
public:
    FaultInjector(net::EventLoop &loop, FaultTargets targets, int faultTolerance, Random random);

    /// Plays troubles until `end`.
    auto start(TimePoint end) -> void;
    /// Ends what is still going on.
    auto stop() -> void;
    /// Notes that a process that was to end has ended, and starts it again.
    auto restartTerminated() -> void;
    /// Returns whether a gateway was stopped gracefully before a request that was sent at `sentAt`
    /// broke off, and nothing else disturbed it.
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
    /// A control instance that may be lost for a while; nothing if too many are lost already.
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
    /// Control instances that are lost, and until when they count as lost.
    std::map<std::string, TimePoint> m_unavailableControls;
    /// Gateways that were asked to stop.
    std::map<std::string, TimePoint> m_stopping;
    std::set<std::string> m_suspended;
    std::set<std::string> m_detachedFolders;
    std::map<std::string, int> m_injectedFaults;
};

} // namespace heathergate::soak
