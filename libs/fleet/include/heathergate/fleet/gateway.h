#pragma once

#include <heathergate/fleet/configuration.h>
#include <heathergate/fleet/event_splitter.h>
#include <heathergate/fleet/leader_link.h>
#include <heathergate/fleet/peer_frame.h>
#include <heathergate/telemetry/telemetry.h>

#include <deque>
#include <set>

namespace heathergate::fleet {

/// Identity and bounds of a gateway.
struct GatewaySettings
{
    InstanceId self;
    std::string name;
    FailureDomainId domain;
    /// Where callers reach the gateway.
    std::string callerAddress;
    std::uint64_t boot = 0;
    /// Control instances to ask first.
    std::vector<InstanceId> seeds;
};

/// Names a caller's request until it is answered.
using CallerToken = std::uint64_t;
/// Names one request to an upstream.
using AttemptId = std::uint64_t;

/// A part of a prompt, shared by all requests that begin with the same parts.
struct PromptPart
{
    std::uint64_t id = 0;
    int tokens = 0;
};

/// What decides about a caller's request; its bytes stay with the adapter.
struct CallerRequest
{
    CallerToken token = 0;
    /// The caller's identifier, for logs.
    std::string name;
    std::string host;
    /// Without the query.
    std::string path;
    /// Key that came with the request, if any.
    std::optional<std::string> key;
    /// How long the caller waits.
    std::optional<Duration> callerTimeout;
    std::string program;
    /// Time until the program should be finished.
    std::optional<Duration> finishIn;
    /// Tokens that the program may generate in all.
    std::optional<std::int64_t> budget;
    /// Most tokens that this request generates.
    std::int64_t maxTokens = 0;
    /// Tokens that it is expected to generate.
    std::int64_t expectedTokens = 0;
    std::vector<PromptPart> prompt;
    /// The last event that the caller has, if it resumes a stream.
    std::optional<std::uint64_t> lastEvent;
    /// Same for requests with the same caller, path and body.
    std::uint64_t fingerprint = 0;
};

/// Sends a caller's request to an upstream.
struct StartAttempt
{
    CallerToken token = 0;
    AttemptId attempt = 0;
    UpstreamId upstream;
    Endpoint address;
    /// Empty on an open route.
    CustomerId customer;
    Duration timeLeft{};
    /// The event after which the stream goes on, if it does.
    std::optional<std::uint64_t> resumeAfter;
    /// Whether the request may run only once, so that a connection that may have died must not
    /// be used.
    bool runsOnce = false;
};

/// Gives up a request to an upstream.
struct CancelAttempt
{
    AttemptId attempt = 0;
};

/// Answers a caller that its request was refused or failed.
struct RefuseCaller
{
    CallerToken token = 0;
    Error error;
};

/// Passes on the head of an upstream's answer; its body follows.
struct ForwardHead
{
    CallerToken token = 0;
    AttemptId attempt = 0;
};

struct ForwardData
{
    CallerToken token = 0;
    std::string bytes;
};

/// Ends an answer whose head was passed on.
struct EndResponse
{
    CallerToken token = 0;
    bool complete = false;
};

/// Passes on an upstream's whole answer.
struct ForwardResponse
{
    CallerToken token = 0;
    AttemptId attempt = 0;
    std::string body;
};

/// A configuration came into force.
struct ConfigurationChanged
{
    CallerLimits limits;
};

using GatewayEffect =
    std::variant<StartAttempt, CancelAttempt, RefuseCaller, ForwardHead, ForwardData, EndResponse,
                 ForwardResponse, ConfigurationChanged, PeerOut>;

/// What the head of an upstream's answer says.
struct AttemptHead
{
    int status = 0;
    /// The upstream says that it did not run the request.
    bool declined = false;
    /// The answer carries what proves that it is the upstream's, and nothing that shows otherwise.
    bool isAuthentic = false;
};

/// How an exchange with an upstream ended.
struct AttemptEnd
{
    bool complete = false;
    bool connected = false;
    /// Some byte of the request may have reached the upstream.
    bool sent = false;
};

/// The part of the fleet that callers talk to: it finds the route and customer of each request,
/// asks the leader for a place, sends the request there, and repairs what breaks as far as the
/// route's kind allows. A state machine without I/O; all it holds can be lost.
class Gateway
{
public:
    Gateway(GatewaySettings settings, Random random, telemetry::EventLog &log, TimePoint now);
    Gateway(const Gateway &) = delete;
    auto operator=(const Gateway &) -> Gateway & = delete;

    auto request(TimePoint now, const CallerRequest &request) -> void;
    /// The caller has gone.
    auto callerDisconnected(TimePoint now, CallerToken token) -> void;
    auto attemptHead(TimePoint now, AttemptId attempt, const AttemptHead &head) -> void;
    auto attemptData(TimePoint now, AttemptId attempt, std::string_view bytes) -> void;
    auto attemptEnd(TimePoint now, AttemptId attempt, const AttemptEnd &end) -> void;
    auto receive(TimePoint now, const InstanceId &from, PeerFrame frame) -> void;
    /// The connection with an instance is gone; what was sent last may be lost.
    auto peerLost(TimePoint now, const InstanceId &peer) -> void;
    auto tick(TimePoint now) -> void;
    /// Learns of control instances from changed settings.
    auto addControls(const std::vector<InstanceId> &controls) -> void
    {
        m_link.learn(controls);
    }
    /// Begins to leave: callers are sent elsewhere, requests are still served.
    auto leave(TimePoint now) -> void;

    [[nodiscard]] auto takeEffects() -> std::vector<GatewayEffect>
    {
        return std::exchange(m_effects, {});
    }
    [[nodiscard]] auto nextDeadline() const -> TimePoint;
    /// Returns whether callers should come here.
    [[nodiscard]] auto isReady(TimePoint now) const -> bool;
    [[nodiscard]] auto openCalls() const -> std::size_t
    {
        return m_calls.size();
    }
    [[nodiscard]] auto configuration() const -> const ActiveConfiguration &
    {
        return m_configuration;
    }
    [[nodiscard]] auto metrics() -> telemetry::Metrics &
    {
        return m_metrics;
    }

private:
    enum class Phase { Waiting, Running };

    struct Call
    {
        CallerRequest request;
        /// Number of its admission, unique over the fleet.
        std::uint64_t admission = 0;
        RouteKind kind = RouteKind::Safe;
        std::string route;
        CustomerId customer;
        ServiceId service;
        int rank = 0;
        int maxAttempts = 1;
        bool isResumable = false;
        int tokensPerEvent = 1;
        Duration targetLatency{};
        TimePoint arrivedAt{};
        TimePoint deadline{};
        TimePoint startBy{};

        Phase phase = Phase::Waiting;
        AttemptId attempt = 0;
        UpstreamId upstream;
        TimePoint sentAt{};
        TimePoint lastByteAt{};
        std::optional<TimePoint> firstByteAt;
        AttemptHead head;
        bool headSeen = false;
        /// The caller has the head of the answer.
        bool headPassed = false;
        std::string body;
        EventSplitter events;
        std::optional<std::uint64_t> lastEvent;
        std::int64_t tokens = 0;
        int tries = 0;
        int declines = 0;
        /// Upstreams at which it may have run.
        std::set<UpstreamId> ranAt;
        std::vector<UpstreamId> avoid;
        std::optional<UpstreamId> stayAt;
        bool admittedBefore = false;
        /// The leader has ended the admission itself.
        bool isSettled = false;
    };

    // Requests.
    [[nodiscard]] auto openCall(TimePoint now, const CallerRequest &request) -> Result<Call>;
    [[nodiscard]] auto pickService(const Route &route) -> ServiceId;
    auto submit(TimePoint now, Call &call) -> void;
    [[nodiscard]] auto admissionOf(TimePoint now, const Call &call) const -> fb::AdmissionT;
    auto startAttempt(TimePoint now, Call &call, const UpstreamId &upstream,
                      const Endpoint &address) -> void;
    auto streamData(TimePoint now, Call &call, std::string_view bytes) -> void;
    [[nodiscard]] auto acceptEvent(Call &call, const StreamEvent &event) -> bool;
    auto attemptSucceeded(TimePoint now, Call &call) -> void;
    auto attemptFailed(TimePoint now, Call &call, Ending ending, bool sent) -> void;
    auto tryAgain(TimePoint now, Call &call, Ending ending, bool sent) -> bool;
    auto reportEnding(TimePoint now, const Call &call, Ending ending, bool final) -> void;
    auto finish(TimePoint now, Call &call, Ending ending, std::string_view outcome) -> void;
    auto refuse(TimePoint now, Call &call, Ending ending, Error error) -> void;
    auto deadlinePassed(TimePoint now, Call &call) -> void;
    auto checkSilence(TimePoint now, Call &call) -> void;
    [[nodiscard]] auto silenceLimit(const Call &call) const -> Duration;
    [[nodiscard]] auto byAttempt(AttemptId attempt) -> Call *;
    [[nodiscard]] auto byAdmission(std::uint64_t admission) -> Call *;

    // The fleet.
    auto handle(TimePoint now, const InstanceId &from, fb::FeedT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::RedirectT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::GrantT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::RefusalT &message) -> void;
    template <typename Other>
    auto handle(TimePoint, const InstanceId &, Other &) -> void
    {
        // Meant for control instances.
    }
    auto sendPresence(TimePoint now) -> void;
    auto noteLeaderLost(TimePoint now, std::string_view why) -> void;
    auto leaderFound(TimePoint now) -> void;
    auto applyConfiguration(TimePoint now, const fb::FeedT &message) -> void;
    auto sendToLeader(Message message) -> void;

    GatewaySettings m_settings;
    Random m_random;
    telemetry::EventLog &m_log;
    telemetry::Metrics m_metrics;
    ActiveConfiguration m_configuration;
    std::map<CallerToken, Call> m_calls;
    std::unordered_map<AttemptId, CallerToken> m_byAttempt;
    std::unordered_map<std::uint64_t, CallerToken> m_byAdmission;
    AttemptId m_lastAttempt = 0;
    std::uint64_t m_lastAdmission = 0;

    LeaderLink m_link;
    bool m_leaving = false;
    /// Final completions, kept for a leader that may have missed them.
    std::deque<std::pair<TimePoint, fb::CompletionT>> m_recentCompletions;

    std::vector<GatewayEffect> m_effects;
};

} // namespace heathergate::fleet
