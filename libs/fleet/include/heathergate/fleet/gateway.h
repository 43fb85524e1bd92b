#pragma once

#include <heathergate/fleet/configuration_change.h>
#include <heathergate/fleet/configuration_sender.h>
#include <heathergate/fleet/event_splitter.h>
#include <heathergate/fleet/leader_link.h>
#include <heathergate/fleet/peer_frame.h>
#include <heathergate/fleet/planned_stop.h>
#include <heathergate/fleet/stream_origins.h>
#include <heathergate/fleet/stream_position.h>
#include <heathergate/fleet/upstream_statements.h>
#include <heathergate/history/history_client.h>
#include <heathergate/telemetry/telemetry.h>

#include <deque>
#include <set>

namespace heathergate::fleet {

/// Identity of a gateway.
struct GatewaySettings
{
    InstanceId self;
    std::string name;
    FailureDomainId domain;
    /// Address at which callers reach the gateway.
    std::string callerAddress;
    /// Identifies this run of the process.
    std::uint64_t boot = 0;
    /// Control instances to contact first.
    std::vector<InstanceId> seeds;
    /// Limit of the chains of turns that are cached.
    std::size_t historyCacheBytes = 6UL * 1024 * 1024;
};

/// Identifies a caller's request until it is answered.
using CallerToken = std::uint64_t;
/// Identifies one attempt: a request sent to an upstream.
using AttemptId = std::uint64_t;

/// A part of a prompt. Requests whose prompts begin with the same parts share a prefix.
struct PromptPart
{
    std::uint64_t id = 0;
    int tokens = 0;
};

/// The properties of a caller's request that routing depends on; the adapter keeps its bytes.
struct CallerRequest
{
    CallerToken token = 0;
    /// The caller's identifier of the request, for logs.
    std::string name;
    std::string host;
    /// Path without the query.
    std::string path;
    /// API key of the request, if any.
    std::optional<std::string> key;
    /// Time for which the caller waits.
    std::optional<Duration> callerTimeout;
    std::string program;
    /// Time left until the program's target completion time.
    std::optional<Duration> finishIn;
    /// Total number of tokens that the program may generate.
    std::optional<std::int64_t> budget;
    /// Maximum number of tokens that this request generates.
    std::int64_t maxTokens = 0;
    /// Number of tokens that this request is expected to generate.
    std::int64_t expectedTokens = 0;
    std::vector<PromptPart> prompt;
    /// Identifier of the last event that the caller has received, if it resumes a stream.
    std::optional<std::uint64_t> lastEvent;
    /// The name of the caller's attempt that brought the first event of the stream that it resumes;
    /// empty if it names none.
    std::string resumedAttempt;
    /// Identical for requests with the same target and body, whoever sends them.
    std::uint64_t contentHash = 0;
    /// The turn that this one continues; empty for the first turn of a chain.
    history::TurnId previousTurn;
    /// Body of the request; shared with the adapter.
    std::shared_ptr<const std::string> body;
};

/// Sends a caller's request to an upstream.
struct StartAttempt
{
    CallerToken token = 0;
    AttemptId attempt = 0;
    UpstreamId upstream;
    Endpoint address;
    /// Empty on a route that needs no key.
    CustomerId customer;
    Duration timeLeft{};
    /// Identifier of the event after which the stream resumes, if it is a resumed one.
    std::optional<std::uint64_t> resumeAfter;
    /// Whether the request may run at most once, so that it must not be sent on a connection that
    /// the upstream may have closed.
    bool runsOnce = false;
    /// The upstream has received the request before. A late answer to the former attempt must not
    /// be taken for the new one, so that it needs a connection of its own.
    bool isRepeated = false;
    /// Earlier turns, which precede the body of the request; null if there are none.
    history::Chain history;
};

/// Cancels an attempt at an upstream.
struct CancelAttempt
{
    AttemptId attempt = 0;
};

/// Responds to a caller that its request was refused or has failed.
struct RefuseCaller
{
    CallerToken token = 0;
    Error error;
};

/// Forwards the head of an upstream's response to the caller; its body follows.
struct ForwardHead
{
    CallerToken token = 0;
    AttemptId attempt = 0;
};

/// Forwards a part of the body of an upstream's response to the caller.
struct ForwardData
{
    CallerToken token = 0;
    std::string bytes;
};

/// Ends a response whose head was forwarded.
struct EndResponse
{
    CallerToken token = 0;
    bool complete = false;
};

/// Forwards an upstream's complete response to the caller.
struct ForwardResponse
{
    CallerToken token = 0;
    AttemptId attempt = 0;
    std::string body;
};

/// A new configuration became active.
struct ConfigurationChanged
{
    CallerLimits limits;
};

using GatewayEffect =
    std::variant<StartAttempt, CancelAttempt, RefuseCaller, ForwardHead, ForwardData, EndResponse,
                 ForwardResponse, ConfigurationChanged, PeerOut>;

/// Content of the head of an upstream's response.
struct AttemptHead
{
    int status = 0;
    /// The upstream reports that it did not run the request.
    bool declined = false;
    /// The response carries the upstream's signature header and no header that contradicts it.
    bool isAuthentic = false;
    /// Requests per second that the upstream states that it accepts from all instances together.
    std::optional<double> statedRate = std::nullopt;
    /// The upstream states that it is about to end.
    bool isLeaving = false;
    /// A statement whose value cannot be read; empty if there is none.
    std::string unreadableStatement = {};
    /// The head names a media type other than that of a stream of events.
    bool isOtherMediaType = false;
    /// The body ends with the connection, because the head gives neither a length nor chunks.
    bool endsWithConnection = false;
};

/// Result of an exchange with an upstream.
struct AttemptEnd
{
    /// The complete response was received.
    bool complete = false;
    /// A connection was established.
    bool connected = false;
    /// At least one byte of the request may have reached the upstream.
    bool sent = false;
};

/// The instance that callers connect to: it determines the route and customer of each request,
/// requests admission from the leader, sends the request to the granted upstream, and retries
/// failed attempts as far as the route's kind allows. A state machine without I/O and without
/// durable state.
class Gateway
{
public:
    Gateway(GatewaySettings settings, Random random, telemetry::EventLog &log, TimePoint now);
    Gateway(const Gateway &) = delete;
    auto operator=(const Gateway &) -> Gateway & = delete;

    auto request(TimePoint now, const CallerRequest &request) -> void;
    auto callerDisconnected(TimePoint now, CallerToken token) -> void;
    auto attemptHead(TimePoint now, AttemptId attempt, const AttemptHead &head) -> void;
    auto attemptData(TimePoint now, AttemptId attempt, std::string_view bytes) -> void;
    /// Reports that the response is not read, because the caller does not read fast enough, so that
    /// the upstream does not count as silent.
    /// An upstream has closed the last connection of this gateway to its address, so that it may
    /// have ended.
    auto connectionsLost(TimePoint now, const Endpoint &address) -> void;
    auto attemptHeld(TimePoint now, AttemptId attempt) -> void;
    auto attemptEnd(TimePoint now, AttemptId attempt, const AttemptEnd &end) -> void;
    auto receive(TimePoint now, const InstanceId &from, PeerFrame frame) -> void;
    /// Reports that the connection to an instance is closed; the last messages to it may be lost.
    auto peerLost(TimePoint now, const InstanceId &peer) -> void;
    auto tick(TimePoint now) -> void;
    /// Adds control instances from changed settings.
    auto addControls(const std::vector<InstanceId> &controls) -> void
    {
        m_link.addCandidates(controls);
    }
    /// Begins the shutdown of the gateway: callers are directed to other gateways, while requests
    /// are still served, except for late ones that could outlive `stopsAt`.
    auto leave(TimePoint now, TimePoint stopsAt) -> void;
    /// Ends all open calls, because the process is about to end: those that have not run are
    /// refused, the others are answered that they may have run.
    auto endCalls(TimePoint now) -> void;

    [[nodiscard]] auto takeEffects() -> std::vector<GatewayEffect>
    {
        return std::exchange(m_effects, {});
    }
    [[nodiscard]] auto nextDeadline() const -> TimePoint;
    /// Returns whether callers may be directed to this gateway.
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
    /// What a caller has received of the response to its request.
    enum class Delivery {
        Nothing,
        /// The head and some events of a stream, which another attempt may continue.
        Events,
        /// The head and a part of a body that only the same attempt can complete.
        Body,
    };

    enum class Phase {
        /// The earlier turns are being read.
        Reading,
        /// The leader was asked for a place at an upstream.
        Waiting,
        Running,
        /// The response is complete and its turn is being stored.
        Storing,
    };

    struct Call
    {
        CallerRequest request;
        /// Identifier of its admission, unique across the fleet.
        std::uint64_t admission = 0;
        RouteKind kind = RouteKind::Safe;
        std::string route;
        CustomerId customer;
        ServiceId service;
        int rank = 0;
        int maxAttempts = 1;
        bool isResumable = false;
        int tokensPerEvent = 1;
        /// The turn is stored before its response ends.
        bool keepsHistory = false;
        Duration retention{};
        history::Chain history;
        /// Data of the events that were forwarded to the caller, each followed by a line feed.
        std::string output;
        Duration targetLatency{};
        TimePoint arrivedAt{};
        /// Time at which the caller stops waiting for the response.
        TimePoint deadline{};
        /// Latest time at which an attempt can start and still be useful.
        TimePoint startBy{};

        Phase phase = Phase::Waiting;
        AttemptId attempt = 0;
        UpstreamId upstream;
        /// Start time of the upstream's incarnation, on its own clock.
        std::chrono::milliseconds upstreamStartedAt{};
        /// The leader knows of a rate that the upstream has stated.
        bool isUpstreamLimited = false;
        TimePoint sentAt{};
        TimePoint lastByteAt{};
        /// Time for which the response was not read because its caller did not read it.
        Duration heldTime{};
        std::optional<TimePoint> firstByteAt;
        AttemptHead head;
        bool headReceived = false;
        Delivery delivered = Delivery::Nothing;
        std::string body;
        /// Bytes of the body of an invalid response.
        std::size_t ignoredBytes = 0;
        EventSplitter events;
        StreamPosition position;
        std::int64_t tokens = 0;
        /// Number of attempts, including the running one.
        int tries = 0;
        /// Upstreams at which the request may have run.
        std::set<UpstreamId> mayHaveRunAt;
        std::vector<UpstreamId> avoid;
        /// The only upstream at which the request may be retried.
        std::optional<UpstreamId> pinnedUpstream;
        bool admittedBefore = false;
        /// Number of places that were asked for. An answer to an earlier ask is not valid any more.
        std::uint32_t asks = 0;
        /// The upstream is silent and the leader was asked for a place at another one. The attempt
        /// goes on until that place is granted, because the upstream may answer first.
        bool seeksReplacement = false;
        /// Earliest time at which a replacement is requested again after none was granted.
        TimePoint nextReplacementAt{};
        /// The leader has already ended the admission, so that no completion is sent.
        bool settledByLeader = false;
    };

    // Requests.
    [[nodiscard]] auto openCall(TimePoint now, const CallerRequest &request) -> Result<Call>;
    [[nodiscard]] auto pickService(const Route &route) -> ServiceId;
    auto submit(TimePoint now, Call &call) -> void;
    /// Returns whether the leader's answer belongs to an earlier ask than the last one: it was on
    /// its way when that ask was taken back.
    [[nodiscard]] auto isOvertaken(TimePoint now, const Call &call, std::uint32_t ask) -> bool;
    [[nodiscard]] auto admissionOf(TimePoint now, const Call &call) const -> fb::AdmissionT;
    auto startAttempt(TimePoint now, Call &call, const Endpoint &address) -> void;
    /// Reports the rate that the head of a response states, or that it states none any more.
    auto reportRate(TimePoint now, const Call &call) -> void;
    auto reportLeaving(TimePoint now, const Call &call) -> void;
    /// Tells the leader what the response to a call stated.
    auto sendStatement(const Call &call, fb::UpstreamStatementT statement) -> void;
    /// Gives the granted place back, because the upstream is about to end, and requests another
    /// one.
    auto returnGrant(TimePoint now, Call &call) -> void;
    auto streamData(TimePoint now, Call &call, std::string_view bytes) -> void;
    /// Forwards complete events to the caller, after the head of the response if they are the
    /// first.
    auto forwardEvents(TimePoint now, Call &call, std::string events) -> void;
    /// Returns whether the current response is a stream of events.
    [[nodiscard]] static auto isEventStream(const Call &call) -> bool;
    /// Returns whether the current response may be forwarded after what the caller has received.
    [[nodiscard]] static auto mayForward(const Call &call) -> bool;
    /// Returns whether the response to the caller can be given, or completed, by another attempt.
    [[nodiscard]] static auto canBeContinued(const Call &call) -> bool;
    auto breakOff(TimePoint now, Call &call, bool mayHaveRun) -> void;
    [[nodiscard]] auto acceptEvent(Call &call, const StreamEvent &event) -> bool;
    auto attemptSucceeded(TimePoint now, Call &call) -> void;
    auto attemptFailed(TimePoint now, Call &call, AttemptOutcome outcome, bool sent) -> void;
    auto retry(TimePoint now, Call &call, AttemptOutcome outcome, bool sent) -> bool;
    auto reportOutcome(TimePoint now, const Call &call, AttemptOutcome outcome, bool final) -> void;
    auto finish(TimePoint now, Call &call, AttemptOutcome outcome, std::string_view label) -> void;
    auto refuse(TimePoint now, Call &call, AttemptOutcome outcome, Error error) -> void;
    auto deadlinePassed(TimePoint now, Call &call) -> void;
    /// Ends a call that cannot go on: with `notRun`, or with a timeout if it may have run.
    auto giveUp(TimePoint now, Call &call, Error notRun) -> void;
    [[nodiscard]] auto isLeaving() const -> bool
    {
        return m_stop.has_value();
    }
    auto checkIdleTimeout(TimePoint now, Call &call) -> void;
    /// Returns the time at which the upstream of a running call counts as silent.
    [[nodiscard]] auto silentAt(const Call &call) const -> TimePoint;
    /// Returns whether another attempt may follow one that ends now.
    [[nodiscard]] static auto mayRetry(TimePoint now, const Call &call, bool sent) -> bool;
    /// Decides at which upstreams the next attempt may run, after the current one failed.
    static auto chooseNextUpstreams(Call &call, AttemptOutcome outcome) -> void;
    /// Stays with a silent upstream, because it has answered or no other one can take the request.
    auto keepAttempt(TimePoint now, Call &call, std::string_view why) -> void;
    /// Ends the attempt at a silent upstream, because a place at another one was granted.
    auto giveUpSilentAttempt(TimePoint now, Call &call) -> void;
    auto logFailure(TimePoint now, const Call &call, AttemptOutcome outcome, bool sent) -> void;
    [[nodiscard]] auto idleTimeoutOf(const Call &call) const -> Duration;
    [[nodiscard]] auto byAttempt(AttemptId attempt) -> Call *;
    [[nodiscard]] auto byAdmission(std::uint64_t admission) -> Call *;

    // Histories.
    auto readHistory(TimePoint now, Call &call) -> void;
    auto storeTurn(TimePoint now, Call &call) -> void;
    auto turnStored(TimePoint now, Call &call, bool isDurable) -> void;
    auto takeHistoryOutput(TimePoint now) -> void;
    auto announceReplicas(TimePoint now, const fb::FeedT &message) -> void;

    // Messages of control instances.
    auto handle(TimePoint now, const InstanceId &from, fb::FeedT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::RedirectT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::ConfigurationPieceT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::GrantT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::RefusalT &message) -> void;
    template <typename Other>
    auto handle(TimePoint, const InstanceId &, Other &) -> void
    {
        // Ignores messages that only control instances handle.
    }
    auto sendPresence(TimePoint now) -> void;
    auto noteLeaderLost(TimePoint now, std::string_view why) -> void;
    auto leaderFound(TimePoint now) -> void;
    /// Applies a change of the configuration, or logs that it cannot be read or applied.
    auto applyChange(TimePoint now, const Result<ConfigurationChange> &change, std::uint64_t term)
        -> void;
    auto sendToLeader(Message message) -> void;

    GatewaySettings m_settings;
    Random m_random;
    telemetry::EventLog &m_log;
    telemetry::Metrics m_metrics;
    ActiveConfiguration m_configuration;
    ConfigurationReceiver m_configurationReceiver;
    std::map<CallerToken, Call> m_calls;
    std::unordered_map<AttemptId, CallerToken> m_byAttempt;
    std::unordered_map<std::uint64_t, CallerToken> m_byAdmission;
    AttemptId m_lastAttempt = 0;
    std::uint64_t m_lastAdmission = 0;

    LeaderLink m_link;
    UpstreamStatements m_statements;
    history::HistoryClient m_history;
    /// Set once the instance has begun to stop.
    std::optional<PlannedStop> m_stop;
    /// A completion that may not have reached the leader.
    struct SentCompletion
    {
        TimePoint at{};
        std::uint64_t term = 0;
        fb::CompletionT message;
    };
    /// Recent final completions, resent when a leader is found because they may have been lost.
    std::deque<SentCompletion> m_recentCompletions;

    std::vector<GatewayEffect> m_effects;
};

} // namespace heathergate::fleet
