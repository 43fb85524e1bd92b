#pragma once

#include "operator.h"
#include "processes.h"
#include "upstream.h"

namespace heathergate::soak {

/// What the troubles of a run act on.
struct Targets
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
class Troubles
{
public:
    Troubles(net::EventLoop &loop, Targets targets, int faultTolerance, Random random);

    /// Plays troubles until `end`.
    auto start(TimePoint end) -> void;
    /// Ends what is still going on.
    auto stop() -> void;
    /// Notes that a process that was to end has ended, and starts it again.
    auto restartEnded() -> void;
    /// Returns whether a gateway was stopped gracefully before a request that was sent at `sentAt`
    /// broke off, and nothing else disturbed it.
    [[nodiscard]] auto wasStoppedGracefully(const InstanceId &gateway, TimePoint sentAt) const
        -> bool;
    [[nodiscard]] auto played() const -> const std::map<std::string, int> &
    {
        return m_played;
    }

private:
    using Action = std::function<void()>;

    auto next() -> void;
    auto playOne() -> void;
    auto after(Duration pause, Action action) -> void;
    auto note(const std::string &subject, Duration span) -> void;
    [[nodiscard]] auto anyGateway() -> std::string;
    /// A control instance that may be lost for a while; nothing if too many are lost already.
    [[nodiscard]] auto anyControl(Duration span) -> std::optional<std::string>;
    [[nodiscard]] auto anyUpstream() -> Upstream &;
    [[nodiscard]] auto span(int leastMs, int mostMs) -> Duration;

    // Processes.
    auto killGateway() -> void;
    auto stopGateway() -> void;
    auto freezeGateway() -> void;
    auto killControl() -> void;
    auto stopControl() -> void;
    auto freezeControl() -> void;
    auto wipeControl() -> void;
    auto takeFolder() -> void;
    auto killAllControls() -> void;
    auto exchangeSeeds() -> void;
    auto reload() -> void;
    // Connections.
    auto harmPeer() -> void;
    auto harmUpstreamPath() -> void;
    // Upstreams.
    auto harmUpstream() -> void;
    auto crashUpstream() -> void;
    auto drainUpstream() -> void;
    // The operator.
    auto change() -> void;

    net::EventLoop &m_loop;
    Targets m_targets;
    int m_faultTolerance;
    Random m_random;
    TimePoint m_end{};
    TimePoint m_calmUntil{};
    bool m_stopped = false;
    /// Control instances that are lost, and until when they count as lost.
    std::map<std::string, TimePoint> m_lostControls;
    /// Gateways that were asked to stop.
    std::map<std::string, TimePoint> m_stopping;
    std::set<std::string> m_frozen;
    std::set<std::string> m_away;
    std::map<std::string, int> m_played;
};

} // namespace heathergate::soak
