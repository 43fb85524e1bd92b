#pragma once

#include <heathergate/core/core.h>
#include <heathergate/limits/bucket_ledger.h>

#include <variant>

/// Commands of a program shard's log and their outcomes.
namespace heathergate::programs {

/// Identifies a program. Programs of different customers may have the same name.
struct ProgramKey
{
    CustomerId customer;
    ProgramId program;

    auto operator<=>(const ProgramKey &) const = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ProgramKey, customer, program)
};

/// Returns the root of a program. Sub-agents are named "root.child" and belong to the same shard as
/// their root.
[[nodiscard]] auto rootOf(const ProgramKey &key) -> ProgramKey;

/// Returns whether the name is valid. A name has at most 100 characters: letters, digits, '-', '_'
/// and, between the parts of a sub-agent's name, '.'.
[[nodiscard]] auto isValidProgramName(std::string_view name) -> bool;

/// Limits of a program. A value of zero disables the limit, except for the budget.
struct ProgramLimits
{
    /// Tokens that the program and its sub-agents may use in total.
    std::int64_t budget = 0;
    int maxTurns = 0;
    /// Time from the start after which the program expires.
    Duration lifetime{};
    /// Time without activity after which the program expires.
    Duration idle{};

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ProgramLimits, budget, maxTurns, lifetime, idle)
};

/// Starts a program, or a sub-agent if its root exists. The command is idempotent.
struct StartProgram
{
    ProgramKey key;
    ProgramLimits limits;
    /// Distinguishes a repeated command from another command for the same name.
    std::string startId;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(StartProgram, key, limits, startId)
};

enum class CallKind { Model, Service };

/// The instance that sends a call and the upstream that receives it.
struct Placement
{
    InstanceId instance;
    std::uint64_t instanceIncarnation = 0;
    /// Number of the caller's request at the instance. It distinguishes a resend by the caller to
    /// the same instance from a repeated command.
    std::uint64_t request = 0;
    UpstreamId upstream;
    std::uint64_t upstreamIncarnation = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(Placement, instance, instanceIncarnation, request, upstream,
                                   upstreamIncarnation)
};

/// Records the intent to send a call. Once the command is committed, the instance named in the
/// placement may send the attempt whose number the outcome carries.
struct BeginCall
{
    ProgramKey key;
    CallId call;
    CallKind kind = CallKind::Model;
    /// Whether the call may safely run more than once.
    bool idempotent = false;
    /// Turn number that the caller expects; 0 if the ledger assigns it.
    int turn = 0;
    /// Hash of the request; a resend must have the same hash.
    std::string digest;
    /// Maximum number of tokens that the call can use.
    std::int64_t reserve = 0;
    /// Number of the failed attempt when the same instance retries; 0 for the first attempt.
    int retryOf = 0;
    Placement placement;
    /// Whether the call belongs to no program of the caller. The ledger then creates an implicit
    /// program that holds its record.
    bool standalone = false;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(BeginCall, key, call, kind, idempotent, turn, digest, reserve,
                                   retryOf, placement, standalone)
};

enum class CallResult {
    /// The upstream answered; the answer is recorded.
    Completed,
    /// No byte reached an upstream. The record of the call is removed, so it may be made again.
    NotRun,
    /// The call may have run. A call that is not idempotent keeps this outcome.
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

/// Settles a call of unknown outcome with the result that an operator has determined.
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

/// Records that an incarnation of an instance was removed, so that its running calls may never be
/// finished. They become interrupted, or unknown if they are not idempotent.
struct InstanceRemoved
{
    InstanceId instance;
    std::uint64_t incarnation = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(InstanceRemoved, instance, incarnation)
};

/// Records that an upstream released the memory of a program.
struct MemoryReleased
{
    ProgramKey key;
    UpstreamId upstream;
    std::uint64_t upstreamIncarnation = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(MemoryReleased, key, upstream, upstreamIncarnation)
};

/// Records that an incarnation of an upstream was removed, together with all memory it held.
struct UpstreamRemoved
{
    UpstreamId upstream;
    std::uint64_t incarnation = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(UpstreamRemoved, upstream, incarnation)
};

/// Expires programs and removes those past their retention time.
struct Sweep
{
    /// Has no meaning; it is part of the stored format.
    int unused = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(Sweep, unused)
};

/// A command of the log. New alternatives are only added at the end, because the positions are part
/// of the stored format.
using ProgramCommand =
    std::variant<StartProgram, BeginCall, FinishCall, SettleCall, EndProgram, InstanceRemoved,
                 MemoryReleased, UpstreamRemoved, Sweep, limits::AllowanceRequest>;

/// The result of applying a command.
struct ProgramOutcome
{
    std::optional<Error> error;
    /// Number of the attempt that may now be sent; 0 if none.
    int attempt = 0;
    int turn = 0;
    /// JSON array of the history of the program, for a model call that may be sent.
    std::string history;
    /// HTTP status of the recorded answer, for a call that completed earlier.
    int status = 0;
    std::string contentType;
    std::string answer;
    /// Upstreams that hold memory of the program, most recent first.
    std::vector<UpstreamId> holders;
    std::optional<limits::AllowanceReply> allowance;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ProgramOutcome, error, attempt, turn, history, status,
                                   contentType, answer, holders, allowance)
};

} // namespace heathergate::programs
