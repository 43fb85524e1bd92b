#pragma once

#include <heathergate/daemon/internal/call.h>
#include <heathergate/limits/limits.h>

namespace heathergate::daemon::internal {

/// Returns the health result that a complete upstream response implies.
[[nodiscard]] inline auto attemptOutcomeOf(const Answer &answer) -> routing::AttemptOutcome
{
    constexpr int kServerError = 500;
    return answer.status < kServerError ? routing::AttemptOutcome::Success
                                        : routing::AttemptOutcome::Failure;
}

/// Runs calls from admission to their recorded outcome: rate, order within the program, queue,
/// choice of upstream, intent, attempt, retry and history.
class CallRunner
{
public:
    explicit CallRunner(EntryContext &context);

    /// Starts a call; its response is sent to the request's token.
    auto start(TimePoint now, CallRequest request) -> void;
    /// Handles an event of a request to an upstream. Returns false if the request is not one of
    /// this runner.
    auto upstreamEvent(TimePoint now, const http::ClientEvent &event) -> bool;
    /// Handles a change of the control state.
    auto viewChanged(TimePoint now) -> void;
    /// Handles load reports of upstreams.
    auto loadsReported(TimePoint now, const std::vector<wire::UpstreamLoad> &loads) -> void;
    /// Sets this instance's fraction of the fleet's requests, from 0 to 1.
    auto setShare(double share) -> void
    {
        m_router.setShare(share);
    }
    /// Handles the disconnection of a caller.
    auto callerDisconnected(TimePoint now, http::Token token) -> void;
    /// Requests allowance and fails the queued calls that have expired.
    auto tick(TimePoint now) -> void;
    /// Handles the eviction of a prefix from an upstream's cache.
    auto cacheEvicted(const UpstreamId &upstream, std::uint64_t prefix) -> void
    {
        m_router.evicted(upstream, prefix);
    }

    /// Returns the number of calls in progress.
    [[nodiscard]] auto active() const -> std::size_t
    {
        return m_calls.size();
    }
    [[nodiscard]] auto nextDeadline() const -> TimePoint;

private:
    using RecordedHandler =
        std::function<void(TimePoint, const Result<programs::ProgramOutcome> &)>;

    struct ProgramRoutingState
    {
        /// Upstreams that completed model calls of the program, most recent first.
        std::vector<UpstreamId> holders;
        routing::PromptPrefixes prompt;
        /// Completion tokens of the model calls of the program that completed on this instance.
        double attained = 0;
    };

    struct ProgramQueue
    {
        /// The call in progress; 0 if none.
        std::uint64_t active = 0;
        std::deque<std::uint64_t> waiting;
    };

    // Admission.
    auto admitWaiting(TimePoint now, const CustomerId &customer) -> void;
    auto requestAllowance(TimePoint now) -> void;
    auto allowanceReceived(TimePoint now, const limits::AllowanceReply &reply) -> void;
    auto admitted(TimePoint now, Call &call) -> void;

    // Queue and choice of upstream.
    auto enqueue(TimePoint now, Call &call) -> void;
    auto dispatchLane(TimePoint now, const std::string &lane) -> void;
    [[nodiscard]] auto queryFor(const Call &call) -> routing::RouteQuery;
    auto assign(TimePoint now, Call &call, const UpstreamId &upstream) -> void;
    auto releaseUpstream(TimePoint now, Call &call, routing::AttemptOutcome attemptOutcome) -> void;

    // Intent.
    auto recordIntent(TimePoint now, Call &call) -> void;
    auto intentRecorded(TimePoint now, std::uint64_t id,
                        const Result<programs::ProgramOutcome> &outcome) -> void;
    auto intentRefused(TimePoint now, Call &call, const Error &error) -> void;
    auto withdrawIntent(TimePoint now, const programs::BeginCall &begin) -> void;
    [[nodiscard]] auto intentOf(const Call &call) const -> programs::BeginCall;

    // Attempt.
    auto send(TimePoint now, Call &call, const std::string &history) -> void;
    [[nodiscard]] auto modelRequest(const Call &call, const std::string &history) const
        -> http::Outgoing;
    [[nodiscard]] auto serviceRequest(const Call &call) const -> http::Outgoing;
    auto watchProgress(TimePoint now, std::uint64_t id, std::uint64_t outgoing) -> void;
    auto answerData(TimePoint now, Call &call, const std::string &bytes) -> void;
    auto modelChunk(Call &call, const std::string &data) -> void;
    auto forwardText(Call &call) -> void;
    auto attemptEnded(TimePoint now, Call &call, const http::AnswerEnd &end) -> void;
    auto cancelOutgoing(Call &call) -> bool;
    auto abandonAttempt(TimePoint now, Call &call, routing::AttemptOutcome attemptOutcome) -> void;

    // Failure.
    auto attemptFailed(TimePoint now, Call &call, bool sent, bool connectionLost) -> void;
    auto probe(TimePoint now, Call &call) -> void;
    auto probeEnded(TimePoint now, Call &call, bool isReachable) -> void;
    auto retryOrFail(TimePoint now, Call &call, bool sent) -> void;
    auto failCall(TimePoint now, Call &call, programs::CallResult result, const Error &error)
        -> void;
    /// Fails a call as not run or as unknown, depending on whether it may have been sent.
    auto failCall(TimePoint now, Call &call, const Error &error) -> void;
    auto deadlinePassed(TimePoint now, std::uint64_t id) -> void;
    auto detachCaller(Call &call, const Error &error) -> void;

    // Outcome.
    auto complete(TimePoint now, Call &call) -> void;
    /// Records an outcome. If that takes too long, the caller receives `timeoutError`.
    auto record(TimePoint now, Call &call, const programs::FinishCall &finish,
                const Error &timeoutError, RecordedHandler done) -> void;
    auto recorded(TimePoint now, std::uint64_t id, const Result<programs::ProgramOutcome> &outcome)
        -> void;
    auto deliver(Call &call) -> void;
    auto deliverRecorded(Call &call, const programs::ProgramOutcome &outcome) -> void;
    auto refuse(TimePoint now, Call &call, const Error &error) -> void;
    auto remove(TimePoint now, std::uint64_t id) -> void;
    auto recordMetrics(TimePoint now, const Call &call, const std::string &outcome) -> void;

    [[nodiscard]] auto find(std::uint64_t id) -> Call *;
    [[nodiscard]] auto routingStateOf(const programs::ProgramKey &key) -> ProgramRoutingState &;
    [[nodiscard]] auto checkAuthorization(TimePoint now, const Call &call) const -> Result<void>;

    EntryContext &m_context;
    limits::AllowanceClient m_allowance;
    control::Revision m_allowanceIncarnation = 0;
    /// Shards whose reply to an allowance request is awaited.
    std::set<GroupId> m_allowanceInFlight;
    TimePoint m_nextAllowanceCheck{};
    std::map<CustomerId, std::deque<std::uint64_t>> m_admissionQueues;
    routing::Router<routing::PrefixAffinity> m_router;
    routing::RetryBudget m_retryBudget;
    std::map<std::string, routing::WorkQueue> m_lanes;
    std::map<std::uint64_t, Call> m_calls;
    std::unordered_map<std::uint64_t, std::uint64_t> m_byOutgoing;
    std::unordered_map<http::Token, std::uint64_t> m_byToken;
    std::map<programs::ProgramKey, ProgramQueue> m_programQueues;
    std::map<programs::ProgramKey, ProgramRoutingState> m_routingStates;
};

} // namespace heathergate::daemon::internal
