#pragma once

#include <heathergate/net/net.h>
#include <heathergate/node/node_settings.h>
#include <heathergate/telemetry/telemetry.h>

#include <memory>

namespace heathergate::node {

/// The parts that all processes of the fleet share: the event loop, the log on standard output,
/// signal handling, reloadable settings, links to other instances, and the metrics server.
class Process
{
public:
    struct Hooks
    {
        std::function<void(const InstanceId &from, std::string body)> onFrame;
        std::function<void(const InstanceId &peer)> onPeerLost;
        /// Called once after a stop signal.
        std::function<void()> onStop;
        /// Called after the settings were reloaded.
        std::function<void(const NodeSettings &)> onReload;
        /// Called at the end of every round of the loop. Returns the latest time of the next call.
        std::function<TimePoint(TimePoint now)> onRound;
        /// Returns the metrics that the metrics server renders.
        std::function<telemetry::Metrics &()> metrics;
    };

    /// Creates a process. The settings file `file` is reloaded on SIGHUP and when it changes.
    Process(NodeSettings settings, std::string file);
    ~Process();
    Process(const Process &) = delete;
    auto operator=(const Process &) -> Process & = delete;

    /// Starts listening for other instances and metrics requests. Fails with `Code::BadSetting`.
    [[nodiscard]] auto open(Hooks hooks) -> Result<void>;
    /// Runs until `stop`. Returns the exit status.
    auto run() -> int;
    /// Ends `run` with an exit status.
    auto stop(int status) -> void;

    /// Sends a frame to another instance. Delivery is not guaranteed.
    auto send(const InstanceId &to, const std::string &body) -> void;

    [[nodiscard]] auto loop() -> net::EventLoop &
    {
        return m_loop;
    }
    [[nodiscard]] auto log() -> telemetry::EventLog &
    {
        return m_log;
    }
    [[nodiscard]] auto settings() const -> const NodeSettings &
    {
        return m_settings;
    }
    /// Returns the identifier of this instance.
    [[nodiscard]] auto self() const -> InstanceId
    {
        return InstanceId(m_settings.host);
    }
    /// Returns the difference between the time since the Unix epoch and the clock of the loop.
    [[nodiscard]] auto wallOffset() const -> Duration
    {
        return m_wallOffset;
    }
    /// Returns the seed instances of the settings.
    [[nodiscard]] auto seeds() const -> std::vector<InstanceId>;

private:
    /// Unsent bytes to other instances from which on they are logged.
    static constexpr std::size_t kMinReportedBacklogBytes = 1024 * 1024;

    auto roundEnded() -> void;
    auto reload(std::string_view reason) -> void;
    auto checkFile() -> void;
    auto reportRefusedHandles() -> void;
    /// Logs that clients gave way because the budget of buffers was exceeded.
    auto reportBudget() -> void;
    auto addBudgetMetrics(telemetry::Metrics &metrics) -> void;
    auto checkBacklog() -> void;
    auto flushLog() -> void;
    auto openMetrics() -> Result<void>;

    NodeSettings m_settings;
    std::string m_file;
    std::string m_fileContent;
    net::EventLoop m_loop;
    Duration m_wallOffset;
    telemetry::EventLog m_log;
    Hooks m_hooks;
    std::unique_ptr<net::PeerLinks> m_links;
    std::unique_ptr<net::HttpServer> m_metricsServer;
    /// Log output that is not yet written to standard output.
    std::string m_unwritten;
    net::TimerId m_wakeTimer = 0;
    /// Time of `m_wakeTimer`; the maximum if it is not set.
    TimePoint m_wakeTime = TimePoint::max();
    /// Connections refused for lack of handles, as last logged.
    std::uint64_t m_reportedRefusals = 0;
    /// The budget's counters as last logged.
    net::BufferBudget::Counters m_reportedCounters;
    /// Unsent bytes to other instances at which the next line is logged.
    std::size_t m_nextBacklogReport = kMinReportedBacklogBytes;
    TimePoint m_nextBacklogCheck{};
    bool m_flushScheduled = false;
    bool m_stopHandled = false;
    int m_status = 0;
};

/// Installs the signal handlers of the process. Must be called before any thread starts.
auto installSignals() -> void;

/// Returns the start time of this process.
[[nodiscard]] auto processStart() -> TimePoint;

/// Returns a random number from the system's secure source.
[[nodiscard]] auto randomNumber() -> std::uint64_t;

} // namespace heathergate::node
