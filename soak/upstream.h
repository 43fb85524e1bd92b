#pragma once

#include "fault_proxy.h"
#include "observations.h"

namespace heathergate::soak {

/// What a stand-in does with the requests that it runs.
struct UpstreamFaults
{
    /// Shares of requests: the answer is lost after the run; the answer breaks off midway; the
    /// upstream answers with a failure of its own; it declines without running the request.
    double dropAnswerShare = 0;
    double truncateShare = 0;
    double failShare = 0;
    double declineShare = 0;
    /// Requests that begin now get no answer at all.
    bool isUnresponsive = false;
    double slowdown = 1;
};

/// Faults of every upstream while troubles are played.
constexpr UpstreamFaults kBaselineFaults{0.01, 0.01, 0.005, 0.01, false, 1};

/// A stand-in for a model engine or a plain service. It registers with the fleet by heartbeats,
/// runs requests, and reports all that it sees.
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
    /// Ends at once, without a word; open connections break.
    auto crash() -> void;
    /// Starts again; under the same identifier if `sameId`.
    auto restart(bool sameId) -> void;
    /// Announces that it leaves, goes on for a while, then leaves and comes back as a new one.
    auto drain() -> void;
    auto setFaults(const UpstreamFaults &faults) -> void
    {
        m_faults = faults;
    }
    /// Sets what holds while no other faults are set, also after a new start.
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
    /// Returns what event `number` of the stream that answers a target holds.
    [[nodiscard]] static auto eventData(const std::string &target, std::uint64_t number)
        -> std::string;
    /// Returns how many events answer a target: the number behind its last slash.
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
    auto decline(net::ExchangeId exchange) -> void;
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
    std::int64_t m_startTimeMs = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_starts = 0;
    net::OutgoingId m_lastReport = 0;
    /// The report that is under way, and how often it was sent on.
    net::OutgoingId m_reportId = 0;
    int m_redirects = 0;
    std::string m_reportBody;
    std::string m_reportTarget;
    std::size_t m_controlIndex = 0;
    net::TimerId m_heartbeatTimer = 0;
    bool m_leaveAcknowledged = false;
};

} // namespace heathergate::soak
