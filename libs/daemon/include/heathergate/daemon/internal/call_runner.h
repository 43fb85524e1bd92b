#pragma once

#include <heathergate/daemon/internal/call.h>
#include <heathergate/limits/limits.h>

namespace heathergate::daemon::internal {

/// Returns what an upstream's whole answer says of its health.
[[nodiscard]] inline auto endingOf(const Answer &answer) -> routing::Ending
{
    constexpr int kServerError = 500;
    return answer.status < kServerError ? routing::Ending::Success : routing::Ending::Failure;
}

/// Takes calls from admission to their recorded outcome: rate, order inside the program, queue,
/// choice of upstream, intent, attempt, retry, history.
class CallRunner
{
public:
    explicit CallRunner(EntryContext &context);

    /// Starts a call; its answer goes to the request's token.
    void start(TimePoint now, CallRequest request);
    /// Takes in an event of a request to an upstream. Returns false if it is not one of its own.
    auto upstreamEvent(TimePoint now, const http::ClientEvent &event) -> bool;
    /// Takes in a change of the control state.
    void viewChanged(TimePoint now);
    /// Takes in loads that upstreams reported.
    void loadsReported(TimePoint now, const std::vector<wire::UpstreamLoad> &loads);
    /// Sets this instance's part of the fleet's requests.
    void setShare(double share)
    {
        m_router.setShare(share);
    }
    /// Says that a caller is gone.
    void callerGone(TimePoint now, http::Token token);
    /// Lets time pass.
    void tick(TimePoint now);
    /// Notes that an upstream evicted a prefix from its cache.
    void cacheEvicted(const UpstreamId &upstream, std::uint64_t prefix)
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
    void pumpAdmission(TimePoint now, const CustomerId &customer);
    void requestAllowance(TimePoint now);
    void allowanceReceived(TimePoint now, const limits::AllowanceReply &reply);
    void admitted(TimePoint now, Call &call);

    // Queue and choice of upstream.
    void enqueue(TimePoint now, Call &call);
    void pumpLane(TimePoint now, const std::string &lane);
    [[nodiscard]] auto queryFor(const Call &call) -> routing::RouteQuery;
    void assign(TimePoint now, Call &call, const UpstreamId &upstream);
    void releaseUpstream(TimePoint now, Call &call, routing::Ending ending);

    // Intent.
    void begin(TimePoint now, Call &call);
    void begun(TimePoint now, std::uint64_t id, const Result<programs::ProgramOutcome> &outcome);
    void beginRefused(TimePoint now, Call &call, const Error &error);
    void withdrawIntent(TimePoint now, const programs::BeginCall &begin);
    [[nodiscard]] auto intentOf(const Call &call) const -> programs::BeginCall;

    // Attempt.
    void send(TimePoint now, Call &call, const std::string &history);
    [[nodiscard]] auto modelRequest(const Call &call, const std::string &history) const
        -> http::Outgoing;
    [[nodiscard]] auto serviceRequest(const Call &call) const -> http::Outgoing;
    void watchProgress(TimePoint now, std::uint64_t id, std::uint64_t outgoing);
    void answerData(TimePoint now, Call &call, const std::string &bytes);
    void modelChunk(Call &call, const std::string &data);
    void passOnText(Call &call);
    void attemptEnded(TimePoint now, Call &call, const http::AnswerEnd &end);
    auto cancelOutgoing(Call &call) -> bool;
    void abandonAttempt(TimePoint now, Call &call, routing::Ending ending);

    // Failure.
    void attemptFailed(TimePoint now, Call &call, bool sent, bool cut);
    void probe(TimePoint now, Call &call);
    void probeEnded(TimePoint now, Call &call, bool alive);
    void retryOrGiveUp(TimePoint now, Call &call, bool sent);
    void giveUp(TimePoint now, Call &call, programs::CallResult result, const Error &error);
    /// Ends a call as not run or unknown, depending on whether it was ever sent.
    void giveUp(TimePoint now, Call &call, const Error &error);
    void deadlinePassed(TimePoint now, std::uint64_t id);
    void detachCaller(Call &call, const Error &error);

    // Outcome.
    void complete(TimePoint now, Call &call);
    /// Records an outcome; a caller that has waited long for it is told `late`.
    void record(TimePoint now, Call &call, const programs::FinishCall &finish, const Error &late,
                RecordedHandler done);
    void recorded(TimePoint now, std::uint64_t id, const Result<programs::ProgramOutcome> &outcome);
    void deliver(Call &call);
    void deliverRecorded(Call &call, const programs::ProgramOutcome &outcome);
    void refuse(TimePoint now, Call &call, const Error &error);
    void remove(TimePoint now, std::uint64_t id);
    void noteOutcome(TimePoint now, const Call &call, const std::string &outcome);

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
