#pragma once

#include "observations.h"

#include <heathergate/fleet/event_splitter.h>
#include <heathergate/net/net.h>

namespace heathergate::soak {

/// A customer's name and the API key that its callers use.
struct CustomerAccount
{
    std::string name;
    std::string key;
};

/// A simulated caller that runs agent programs one after the other, each a sequence of turns and
/// calls. It picks a random gateway from the directory for each request, or keeps its gateway until
/// a request fails, times out or is cancelled.
class Caller
{
public:
    struct Settings
    {
        std::string name;
        std::string domain;
        /// Keeps using a gateway until a request to it fails, times out or is cancelled, even if
        /// the directory drops it.
        bool reusesGateway = false;
        /// Share of requests that it cancels before the answer, from 0 to 1.
        double cancelShare = 0;
        std::vector<Endpoint> directories;
    };
    /// Returns the account under which the next program runs.
    using AccountSource = std::function<CustomerAccount()>;
    /// Returns whether a request failed at a gateway because of that gateway's graceful stop.
    using StopCheck = std::function<bool(const InstanceId &gateway, TimePoint sentAt)>;

    Caller(net::EventLoop &loop, Settings settings, Observations &observations, Random random,
           AccountSource accounts, StopCheck stoppedGracefully);

    auto start() -> void;
    /// Starts no further programs.
    auto finish() -> void
    {
        m_finishing = true;
    }

    static constexpr const char *kHost = "soak.example";
    static constexpr const char *kTurnPrefix = "/turns/";
    static constexpr const char *kIdempotentPrefix = "/look/";
    static constexpr const char *kRunsOncePrefix = "/pay/";

private:
    /// The last turn that was answered completely, and the content of its chain.
    struct Conversation
    {
        std::string customer;
        std::string lastTurn;
        std::string content;
    };
    struct Program
    {
        std::string name;
        CustomerAccount account;
        int turnsLeft = 0;
        int turn = 0;
        std::int64_t budget = 0;
        std::int64_t maxTurnTokens = 0;
        Conversation conversation;
    };
    struct Exchange
    {
        IssuedRequest issued;
        int triesLeft = 0;
        net::HttpHead head;
        std::string body;
        /// Data of the received events, each followed by a line feed.
        std::string output;
        fleet::EventSplitter events;
        std::uint64_t lastEvent = 0;
        /// The attempt that brought the first event of the stream.
        std::string firstAttempt;
        /// The current attempt goes on after `lastEvent`.
        bool resumes = false;
        bool cancels = false;
    };

    auto beginProgram() -> void;
    auto nextStep() -> void;
    auto issue(RequestKind kind, int tries) -> void;
    [[nodiscard]] auto targetOf(RequestKind kind) -> std::string;
    auto send() -> void;
    [[nodiscard]] auto requestBytes() const -> std::string;
    auto headReceived(net::OutgoingId id, const net::HttpHead &head) -> void;
    auto bodyReceived(net::OutgoingId id, std::string_view bytes) -> void;
    auto takeEvents(std::string_view bytes) -> void;
    /// Discards what was received, so that the next attempt begins the stream anew.
    auto forgetStream() -> void;
    auto ended(net::OutgoingId id, net::OutgoingResult end) -> void;
    auto requestEnded(const net::OutgoingResult &end) -> void;
    auto continueConversation() -> void;
    [[nodiscard]] auto retryPause() const -> std::optional<Duration>;
    auto requestDirectory() -> void;
    auto chooseGateway() -> void;
    auto after(Duration pause, net::EventLoop::Action action) -> void;

    net::EventLoop &m_loop;
    Settings m_settings;
    Observations &m_observations;
    Random m_random;
    AccountSource m_accounts;
    StopCheck m_stoppedGracefully;
    net::HttpClient m_client;
    net::OutgoingId m_lastId = 0;
    /// The pending request; 0 if there is none.
    net::OutgoingId m_current = 0;
    net::OutgoingId m_directoryCall = 0;
    std::string m_directoryBody;
    int m_directoryStatus = 0;
    std::size_t m_directory = 0;
    std::vector<Endpoint> m_gateways;
    TimePoint m_gatewaysExpireAt{};
    std::optional<Endpoint> m_gateway;
    Program m_program;
    Exchange m_exchange;
    std::uint64_t m_requests = 0;
    std::uint64_t m_programs = 0;
    bool m_finishing = false;
};

} // namespace heathergate::soak
