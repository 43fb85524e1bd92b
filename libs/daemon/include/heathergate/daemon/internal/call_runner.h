#pragma once

#include <heathergate/daemon/internal/call.h>
#include <heathergate/limits/limits.h>

namespace heathergate::daemon::internal {

/// Returns what an upstream's whole answer says of its health.
[[nodiscard]] inline auto endingOf(const Answer &answer) -> routing::AttemptOutcome
{
    constexpr int kServerError = 500;
    return answer.status < kServerError ? routing::AttemptOutcome::Success
                                        : routing::AttemptOutcome::Failure;
}

/// Takes calls from admission to their recorded outcome: rate, order inside the program, queue,
/// choice of upstream, intent, attempt, retry, history.
class CallRunner
{
public:
    explicit CallRunner(EntryContext &context);

    /// Starts a call; its answer goes to the request's token.
    auto start(TimePoint now, CallRequest request) -> void;
    /// Takes in an event of a request to an upstream. Returns false if it is not one of its own.
    auto upstreamEvent(TimePoint now, const http::ClientEvent &event) -> bool;
    /// Takes in a change of the control state.
    auto viewChanged(TimePoint now) -> void;
    /// Takes in loads that upstreams reported.
    auto loadsReported(TimePoint now, const std::vector<wire::UpstreamLoad> &loads) -> void;
    /// Sets this instance's part of the fleet's requests.
    auto setShare(double share) -> void
    {
        m_router.setShare(share);
    }
    /// Says that a caller is gone.
    auto callerGone(TimePoint now, http::Token token) -> void;
    /// Lets time pass.
    auto tick(TimePoint now) -> void;
    /// Notes that an upstream evicted a prefix from its cache.
    auto cacheEvicted(const UpstreamId &upstream, std::uint64_t prefix) -> void
    {
        m_router.evicted(upstream, prefix);
    }

    /// Returns the number of calls under way.
    [[nodiscard]] auto active() const -> std::size_t
    {
        return m_calls.size();
    }
    [[nodiscard]] auto nextDeadline() const -> TimePoint;

private:
    using RecordedHandler =
        std::function<void(TimePoint, const Result<programs::ProgramOutcome> &)>;

    struct ProgramMemory
    {
        std::vector<UpstreamId> holders;
        routing::PromptPrefixes prompt;
        double attained = 0;
    };

    struct ProgramGate
    {
        std::uint64_t active = 0;
        std::deque<std::uint64_t> waiting;
    };

    // Admission.
    auto pumpAdmission(TimePoint now, const CustomerId &customer) -> void;
    auto requestAllowance(TimePoint now) -> void;
    auto allowanceReceived(TimePoint now, const limits::AllowanceReply &reply) -> void;
    auto admitted(TimePoint now, Call &call) -> void;

    // Queue and choice of upstream.
    auto enqueue(TimePoint now, Call &call) -> void;
    auto pumpLane(TimePoint now, const std::string &lane) -> void;
    [[nodiscard]] auto queryFor(const Call &call) -> routing::RouteQuery;
    auto assign(TimePoint now, Call &call, const UpstreamId &upstream) -> void;
    auto releaseUpstream(TimePoint now, Call &call, routing::AttemptOutcome ending) -> void;

    // Intent.
    auto begin(TimePoint now, Call &call) -> void;
    auto begun(TimePoint now, std::uint64_t id, const Result<programs::ProgramOutcome> &outcome)
        -> void;
    auto beginRefused(TimePoint now, Call &call, const Error &error) -> void;
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
    auto passOnText(Call &call) -> void;
    auto attemptEnded(TimePoint now, Call &call, const http::AnswerEnd &end) -> void;
    auto cancelOutgoing(Call &call) -> bool;
    auto abandonAttempt(TimePoint now, Call &call, routing::AttemptOutcome ending) -> void;

    // Failure.
    auto attemptFailed(TimePoint now, Call &call, bool sent, bool cut) -> void;
    auto probe(TimePoint now, Call &call) -> void;
    auto probeEnded(TimePoint now, Call &call, bool alive) -> void;
    auto retryOrGiveUp(TimePoint now, Call &call, bool sent) -> void;
    auto giveUp(TimePoint now, Call &call, programs::CallResult result, const Error &error) -> void;
    /// Ends a call as not run or unknown, depending on whether it was ever sent.
    auto giveUp(TimePoint now, Call &call, const Error &error) -> void;
    auto deadlinePassed(TimePoint now, std::uint64_t id) -> void;
    auto detachCaller(Call &call, const Error &error) -> void;

    // Outcome.
    auto complete(TimePoint now, Call &call) -> void;
    /// Records an outcome; a caller that has waited long for it is told `late`.
    auto record(TimePoint now, Call &call, const programs::FinishCall &finish, const Error &late,
                RecordedHandler done) -> void;
    auto recorded(TimePoint now, std::uint64_t id, const Result<programs::ProgramOutcome> &outcome)
        -> void;
    auto deliver(Call &call) -> void;
    auto deliverRecorded(Call &call, const programs::ProgramOutcome &outcome) -> void;
    auto refuse(TimePoint now, Call &call, const Error &error) -> void;
    auto remove(TimePoint now, std::uint64_t id) -> void;
    auto noteOutcome(TimePoint now, const Call &call, const std::string &outcome) -> void;

    [[nodiscard]] auto find(std::uint64_t id) -> Call *;
    [[nodiscard]] auto memoryOf(const programs::ProgramKey &key) -> ProgramMemory &;
    [[nodiscard]] auto stillAllowed(TimePoint now, const Call &call) const -> Result<void>;

    EntryContext &m_context;
    limits::AllowanceClient m_allowance;
    control::Revision m_allowanceIncarnation = 0;
    std::set<GroupId> m_allowanceInFlight;
    TimePoint m_nextAllowanceCheck{};
    std::map<CustomerId, std::deque<std::uint64_t>> m_admitting;
    routing::Router<routing::PrefixAffinity> m_router;
    routing::RetryBudget m_retryBudget;
    std::map<std::string, routing::WorkQueue> m_lanes;
    std::map<std::uint64_t, Call> m_calls;
    std::unordered_map<std::uint64_t, std::uint64_t> m_byOutgoing;
    std::unordered_map<http::Token, std::uint64_t> m_byToken;
    std::map<programs::ProgramKey, ProgramGate> m_gates;
    std::map<programs::ProgramKey, ProgramMemory> m_memory;
};

} // namespace heathergate::daemon::internal
