#pragma once

#include <heathergate/core/core.h>
#include <heathergate/limits/bucket_ledger.h>

#include <variant>

/// Commands of a program shard's log and their outcomes.
namespace heathergate::programs {

/// Identifies a program: the same name under two customers means two programs.
struct ProgramKey
{
    CustomerId customer;
    ProgramId program;

    auto operator<=>(const ProgramKey &) const = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ProgramKey, customer, program)
};

/// Returns the root of a program: sub-agents are named "root.child" and share its shard.
[[nodiscard]] auto rootOf(const ProgramKey &key) -> ProgramKey;

/// Returns whether a caller may choose this name: letters, digits, '-', '_' and, between parts of
/// a sub-agent's name, '.'; at most 100 characters.
[[nodiscard]] auto isValidProgramName(std::string_view name) -> bool;

/// Bounds of a program. Zero means no bound, but for the budget.
struct ProgramLimits
{
    /// Tokens that the program and its sub-agents may use in all.
    std::int64_t budget = 0;
    int maxTurns = 0;
    Duration lifetime{};
    Duration idle{};

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ProgramLimits, budget, maxTurns, lifetime, idle)
};

/// Starts a program, or a sub-agent if its root exists. Repeating it is harmless.
struct StartProgram
{
    ProgramKey key;
    ProgramLimits limits;
    /// Tells a repeated command from another one for the same name.
    std::string startId;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(StartProgram, key, limits, startId)
};

enum class CallKind { Model, Service };

/// Where a call is about to be sent.
struct Placement
{
    InstanceId instance;
    std::uint64_t instanceIncarnation = 0;
    /// Number of the caller's request at the instance, so that a resend of the caller to the same
    /// instance is not taken for a repeated command.
    std::uint64_t request = 0;
    UpstreamId upstream;
    std::uint64_t upstreamIncarnation = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(Placement, instance, instanceIncarnation, request, upstream,
                                   upstreamIncarnation)
};

/// Records the intent to send a call. Once it is committed the instance named in the placement may
/// send the attempt whose number the outcome carries.
struct BeginCall
{
    ProgramKey key;
    CallId call;
    CallKind kind = CallKind::Model;
    /// Whether running it again does no harm.
    bool idempotent = false;
    /// Turn that the caller means; 0 if it leaves that to the ledger.
    int turn = 0;
    /// Hash of the request; a resend must have the same.
    std::string digest;
    /// Worst case of tokens used.
    std::int64_t reserve = 0;
    /// Attempt that failed before, when the same instance tries again; 0 at first.
    int retryOf = 0;
    Placement placement;
    /// The call belongs to no program of the caller; a program is made up to hold its record.
    bool standalone = false;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(BeginCall, key, call, kind, idempotent, turn, digest, reserve,
                                   retryOf, placement, standalone)
};

enum class CallResult {
    /// The upstream answered; the answer is recorded.
    Completed,
    /// No byte reached an upstream; the call is forgotten and may be made again.
    NotRun,
    /// It may have run. A call that may not be repeated keeps this outcome.
    Unknown,
};

/// Ends an attempt.
struct FinishCall
{
    ProgramKey key;
    CallId call;
    int attempt = 0;
    CallResult result = CallResult::Completed;
    /// HTTP status and body of the answer.
    int status = 0;
    std::string contentType;
    std::string answer;
    /// Tokens used.
    std::int64_t used = 0;
    /// JSON array of messages to append to the history.
    std::string messages;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(FinishCall, key, call, attempt, result, status, contentType,
                                   answer, used, messages)
};

/// Settles a call whose outcome is unknown, as an operator has found out.
struct SettleCall
{
    ProgramKey key;
    CallId call;
    bool ran = true;
    int status = 0;
    std::string answer;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(SettleCall, key, call, ran, status, answer)
};

struct EndProgram
{
    ProgramKey key;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(EndProgram, key)
};

/// Says that an instance's incarnation is gone: its running calls have no one to finish them.
struct InstanceRemoved
{
    InstanceId instance;
    std::uint64_t incarnation = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(InstanceRemoved, instance, incarnation)
};

/// Says that an upstream released a program's memory.
struct MemoryReleased
{
    ProgramKey key;
    UpstreamId upstream;
    std::uint64_t upstreamIncarnation = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(MemoryReleased, key, upstream, upstreamIncarnation)
};

/// Says that an upstream's incarnation is gone, with all memory it held.
struct UpstreamRemoved
{
    UpstreamId upstream;
    std::uint64_t incarnation = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(UpstreamRemoved, upstream, incarnation)
};

/// Lets time pass: expires programs and forgets what is past its retention.
struct Sweep
{
    int unused = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(Sweep, unused)
};

/// New alternatives are added at the end only: positions are part of the stored format.
using ProgramCommand =
    std::variant<StartProgram, BeginCall, FinishCall, SettleCall, EndProgram, InstanceRemoved,
                 MemoryReleased, UpstreamRemoved, Sweep, limits::AllowanceRequest>;

/// What applying a command came to.
struct ProgramOutcome
{
    std::optional<Error> error;
    /// Number of the attempt that may now be sent; 0 if none.
    int attempt = 0;
    int turn = 0;
    /// JSON array of the history so far, for a model call that may be sent.
    std::string history;
    /// The recorded answer, for a call that was completed before.
    int status = 0;
    std::string contentType;
    std::string answer;
    /// Upstreams that hold the program's memory, newest first.
    std::vector<UpstreamId> holders;
    std::optional<limits::AllowanceReply> allowance;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ProgramOutcome, error, attempt, turn, history, status,
                                   contentType, answer, holders, allowance)
};

} // namespace heathergate::programs
