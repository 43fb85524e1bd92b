#pragma once

#include <heathergate/programs/commands.h>

#include <map>
#include <set>

namespace heathergate::programs {

enum class ProgramStatus { Active, Ended, Expired };
enum class CallState { Running, Interrupted, Completed, Unknown };

/// Time for which ended programs and the answers to their calls are retained.
constexpr Duration kRetention = std::chrono::hours(24);

/// Number of consecutive equal requests after which a program counts as looping.
constexpr int kLoopLimit = 16;

/// An incarnation of an upstream that holds memory of a program.
struct MemoryHolder
{
    UpstreamId upstream;
    std::uint64_t incarnation = 0;

    auto operator<=>(const MemoryHolder &) const = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(MemoryHolder, upstream, incarnation)
};

/// An incarnation of an instance that sends calls.
using SenderId = std::pair<InstanceId, std::uint64_t>;

/// Identifies the record of a call: the program and the call.
using CallRef = std::pair<ProgramKey, CallId>;

/// A call of a program, retained so that resends return the recorded answer.
struct CallRecord
{
    CallKind kind = CallKind::Model;
    CallState state = CallState::Running;
    bool idempotent = false;
    int turn = 0;
    int attempt = 0;
    std::string digest;
    std::int64_t reserved = 0;
    Placement placement;
    int status = 0;
    std::string contentType;
    std::string answer;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(CallRecord, kind, state, idempotent, turn, attempt, digest,
                                   reserved, placement, status, contentType, answer)
};

/// A program or sub-agent. Only the root holds the budget and the reservations.
struct Program
{
    ProgramLimits limits;
    std::string startId;
    ProgramStatus status = ProgramStatus::Active;
    std::string endReason;
    GroupTime startedAt{};
    GroupTime lastActivity{};
    std::int64_t spent = 0;
    std::int64_t reserved = 0;
    int turns = 0;
    /// The call that is running or interrupted; empty if there is none.
    CallId active;
    std::string lastDigest;
    /// Number of consecutive calls whose digest is `lastDigest`.
    int repeats = 0;
    /// Each item is a JSON array of the messages of one turn.
    std::vector<std::string> history;
    std::map<CallId, CallRecord> calls;
    /// Upstreams that hold memory of the program, most recent last.
    std::vector<MemoryHolder> holders;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(Program, limits, startId, status, endReason, startedAt,
                                   lastActivity, spent, reserved, turns, active, lastDigest,
                                   repeats, history, calls, holders)
};

/// Memory of an ended program that an upstream has not released yet.
struct PendingRelease
{
    ProgramKey key;
    MemoryHolder holder;

    auto operator<=>(const PendingRelease &) const = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(PendingRelease, key, holder)
};

/// The replicated state of a program shard: programs with their history, budget and calls, and
/// the rate buckets of the customers that the shard owns. The state is a deterministic function of
/// the shard's log.
class ProgramLedger
{
public:
    /// Applies a command proposed at group time `now`.
    auto apply(GroupTime now, const ProgramCommand &command) -> ProgramOutcome;

    /// Returns a program; null if there is none.
    [[nodiscard]] auto find(const ProgramKey &key) const -> const Program *;
    /// Returns the complete history as a JSON array.
    [[nodiscard]] static auto historyOf(const Program &program) -> std::string;
    /// Returns the releases that upstreams have not acknowledged yet.
    [[nodiscard]] auto pendingReleases() const -> const std::set<PendingRelease> &
    {
        return m_releases;
    }
    /// Returns whether a `Sweep` at `now` may change anything.
    [[nodiscard]] auto needsSweep(GroupTime now) const -> bool
    {
        return now >= m_nextSweep;
    }
    /// Returns the running calls of each incarnation of an instance.
    [[nodiscard]] auto runningCalls() const -> const std::map<SenderId, std::set<CallRef>> &
    {
        return m_running;
    }
    /// Returns the incarnations of upstreams that hold memory or have a pending release, with the
    /// affected programs.
    [[nodiscard]] auto holders() const -> const std::map<MemoryHolder, std::set<ProgramKey>> &
    {
        return m_holders;
    }
    [[nodiscard]] auto programCount() const -> std::size_t
    {
        return m_programs.size();
    }

    friend auto to_json(nlohmann::json &json, const ProgramLedger &ledger) -> void;
    friend auto from_json(const nlohmann::json &json, ProgramLedger &ledger) -> void;

private:
    auto applyCommand(GroupTime now, const StartProgram &start) -> ProgramOutcome;
    auto applyCommand(GroupTime now, const BeginCall &begin) -> ProgramOutcome;
    auto applyCommand(GroupTime now, const FinishCall &finish) -> ProgramOutcome;
    auto applyCommand(GroupTime now, const SettleCall &settlement) -> ProgramOutcome;
    auto applyCommand(GroupTime now, const EndProgram &end) -> ProgramOutcome;
    auto applyCommand(GroupTime now, const InstanceRemoved &removal) -> ProgramOutcome;
    auto applyCommand(GroupTime now, const MemoryReleased &release) -> ProgramOutcome;
    auto applyCommand(GroupTime now, const UpstreamRemoved &removal) -> ProgramOutcome;
    auto applyCommand(GroupTime now, const Sweep &sweep) -> ProgramOutcome;
    auto applyCommand(GroupTime now, const limits::AllowanceRequest &request) -> ProgramOutcome;

    [[nodiscard]] auto resend(GroupTime now, Program &program, CallRecord &record,
                              const BeginCall &begin) -> ProgramOutcome;
    [[nodiscard]] auto checkBegin(const Program &program, const BeginCall &begin) const
        -> Result<void>;
    [[nodiscard]] auto startAttempt(Program &program, CallRecord &record, const BeginCall &begin)
        -> ProgramOutcome;
    auto setState(const CallRef &ref, CallRecord &record, CallState state) -> void;
    auto addHolder(const ProgramKey &key, Program &program, const MemoryHolder &holder) -> void;
    auto dropHolderEntry(const ProgramKey &key, const MemoryHolder &holder) -> void;
    auto dropFromIndexes(const ProgramKey &key, Program &program) -> void;
    auto scheduleSweep(GroupTime at) -> void;
    [[nodiscard]] static auto nextExpiry(const Program &program) -> GroupTime;
    auto rebuildIndexes() -> void;
    auto supersedeInterrupted(Program &program, Program &root) -> void;
    auto releaseReservation(Program &program, Program &root, CallRecord &record) -> void;
    auto releaseMemory(const ProgramKey &key, Program &program) -> void;
    auto end(const ProgramKey &key, Program &program, ProgramStatus status, std::string reason,
             GroupTime now) -> void;
    [[nodiscard]] auto expiryReason(const Program &program, GroupTime now) const -> std::string;

    std::map<ProgramKey, Program> m_programs;
    std::set<PendingRelease> m_releases;
    limits::BucketLedger m_buckets;

    // Indexes derived from the programs, so that leaders do not have to search all programs.
    std::map<SenderId, std::set<CallRef>> m_running;
    std::map<MemoryHolder, std::set<ProgramKey>> m_holders;
    GroupTime m_nextSweep{};
};

} // namespace heathergate::programs
