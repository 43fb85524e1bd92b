#pragma once

#include "fault_proxy.h"
#include "observations.h"

namespace heathergate::soak {

/// Faults of a simulated upstream.
struct UpstreamFaults
{
    /// Shares of requests, from 0 to 1: the answer is dropped after the execution; the answer is
    /// truncated; the upstream answers with status 500; it declines without executing the
    /// request.
    double dropAnswerShare = 0;
    double truncateShare = 0;
    double failShare = 0;
    double declineShare = 0;
    /// New requests get no answer.
    bool isUnresponsive = false;
    /// Factor on all processing times.
    double slowdown = 1;
};

/// Faults of every upstream during the fault injection, while no other faults are set.
constexpr UpstreamFaults kBaselineFaults{0.01, 0.01, 0.005, 0.01, false, 1};

/// A simulated model engine or plain service. It registers with the fleet by heartbeats, executes
/// requests, and records each execution.
class Upstream
{
public:
    /// Tokens in each event of a stream.
    static constexpr int kTokensPerEvent = 11;

    struct Identity
    {
        std::string name;
        std::string service;
        std::string domain;
        std::string host;
        int slots = 6;
        bool isEngine = false;
    };

    Upstream(net::EventLoop &loop, Identity identity, std::vector<Endpoint> controls,
             Observations &observations, Random random);
    ~Upstream();

    auto start() -> void;
    /// Terminates without leaving the fleet; open connections are closed.
    auto crash() -> void;
    /// Starts the upstream unless it is running, under its former identifier if `sameId`.
    auto restart(bool sameId) -> void;
    /// Returns the upstream that a signature belongs to.
    [[nodiscard]] static auto idOf(const std::string &signature) -> UpstreamId;
    /// Announces a drain, serves for a while, leaves, and restarts under a new identifier.
    auto drain() -> void;
    auto setFaults(const UpstreamFaults &faults) -> void
    {
        m_faults = faults;
    }
    /// Sets the faults that apply while no other faults are set, also after a restart.
    auto setBaselineFaults(const UpstreamFaults &faults) -> void
    {
        m_baselineFaults = faults;
        m_faults = faults;
    }
    auto clearFaults() -> void
    {
        m_faults = m_baselineFaults;
    }
    [[nodiscard]] auto proxy() -> FaultProxy &
    {
        return m_proxy;
    }
    [[nodiscard]] auto isRunning() const -> bool
    {
        return m_server != nullptr;
    }
    /// Returns the data of event `number` in the stream that answers a target, as upstreams of a
    /// software version write it.
    [[nodiscard]] static auto eventData(const std::string &target, std::uint64_t number,
                                        const std::string &version) -> std::string;
    /// Returns the software version that wrote the data of an event.
    [[nodiscard]] static auto versionOf(const std::string &eventData) -> std::string;
    /// Returns the number of events that answer a target: the number after its last slash.
    [[nodiscard]] static auto eventCount(const std::string &target) -> std::uint64_t;

private:
    struct Running
    {
        std::string request;
        std::string target;
        std::uint64_t nextEvent = 1;
        bool truncates = false;
        net::TimerId timer = 0;
    };
    enum class State { Ready, Draining, Leaving };

    auto listen() -> void;
    auto requested(net::ExchangeId exchange, const net::HttpRequest &request) -> void;
    /// Returns the headers that every answer to a request carries.
    [[nodiscard]] auto answerHeaders(const std::string &request) const -> net::HeaderList;
    auto decline(net::ExchangeId exchange, const net::HttpRequest &request) -> void;
    auto observe(const net::HttpRequest &request) -> void;
    auto beginStream(net::ExchangeId exchange, const net::HttpRequest &request) -> void;
    auto sendEvent(net::ExchangeId exchange) -> void;
    auto beginCall(net::ExchangeId exchange, const net::HttpRequest &request) -> void;
    auto endCall(net::ExchangeId exchange) -> void;
    auto removeExchange(net::ExchangeId exchange) -> void;
    auto runHeartbeat() -> void;
    auto report(State state) -> void;
    auto sendReport(const Endpoint &to, const std::string &target) -> void;
    auto reportAnswered(net::OutgoingId id, const net::HttpHead &head) -> void;
    [[nodiscard]] auto scaled(Duration duration) const -> Duration;

    net::EventLoop &m_loop;
    Identity m_identity;
    std::vector<Endpoint> m_controls;
    Observations &m_observations;
    Random m_random;
    FaultProxy m_proxy;
    std::unique_ptr<net::HttpServer> m_server;
    net::HttpClient m_client;
    std::map<net::ExchangeId, Running> m_running;
    UpstreamFaults m_baselineFaults;
    UpstreamFaults m_faults;
    State m_state = State::Ready;
    std::string m_id;
    /// Changes with each start.
    std::string m_softwareVersion;
    std::int64_t m_startTimeMs = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_starts = 0;
    net::OutgoingId m_lastReport = 0;
    /// The pending heartbeat, and the number of redirects that it followed.
    net::OutgoingId m_reportId = 0;
    int m_redirects = 0;
    std::string m_reportBody;
    std::string m_reportTarget;
    std::size_t m_controlIndex = 0;
    net::TimerId m_heartbeatTimer = 0;
    bool m_leaveAcknowledged = false;
};

} // namespace heathergate::soak
