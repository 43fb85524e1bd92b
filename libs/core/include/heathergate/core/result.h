#pragma once

#include <heathergate/core/time.h>

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

/// Numbered result codes and the error type that carries them.
namespace heathergate {

/// Result code of an operation. The numbers are stable and listed in
/// docs/reference/result-codes.md.
enum class Code : int {
    Ok = 0,
    // 1xx: the request itself
    BadRequest = 100,
    UnknownRoute = 101,
    BodyTooLarge = 102,
    BadSetting = 103,
    KeyReusedWithOtherBody = 104,
    // 2xx: identity
    MissingKey = 200,
    UnknownKey = 201,
    NotAnOperator = 202,
    NotAnUpstream = 203,
    // 3xx: limits
    RateExceeded = 300,
    BudgetExhausted = 301,
    TurnLimit = 302,
    DeadlinePassed = 303,
    PoisonRequest = 304,
    QueueFull = 305,
    TooManyConnections = 306,
    // 4xx: state
    UnknownProgram = 400,
    ProgramEnded = 401,
    OutOfOrder = 402,
    CallInProgress = 403,
    RevisionConflict = 404,
    UnknownCustomer = 405,
    AlreadyExists = 406,
    UnknownUpstream = 407,
    UnknownTurn = 408,
    // 5xx: availability
    NotLeader = 500,
    NoQuorum = 501,
    StaleConfiguration = 502,
    NoUpstream = 503,
    UpstreamFailed = 504,
    OutcomeUnknown = 505,
    Draining = 506,
    Timeout = 507,
    HistoryUnavailable = 508,
    StreamVersionGone = 509,
    // 6xx: storage and peers
    DiskFailed = 600,
    DiskFull = 601,
    DataDamaged = 602,
    DataLocked = 603,
    BadFrame = 604,
    PeerRejected = 605,
};

/// Whether a refused request reached an upstream.
enum class Ran { No, Yes, Unknown };

/// A row of the table of result codes.
struct CodeInfo
{
    Code code;
    std::string_view name;
    int httpStatus;
    std::string_view meaning;
};

/// Returns the row of every result code, ordered by number.
[[nodiscard]] auto codeTable() -> const std::vector<CodeInfo> &;

/// Returns the row of `code`.
[[nodiscard]] auto codeInfo(Code code) -> const CodeInfo &;

/// Returns "no", "yes" or "unknown".
[[nodiscard]] auto ranText(Ran ran) -> std::string_view;

/// An error: its code, a human-readable detail, whether the request reached an upstream, and the
/// time after which a retry is advised (zero: no advice).
struct Error
{
    Code code = Code::BadRequest;
    std::string detail;
    Ran ran = Ran::No;
    Duration retryAfter{};
};

template <typename T>
using Result = tl::expected<T, Error>;

/// Returns an error that converts to a `Result` of any type.
[[nodiscard]] inline auto fail(Code code, std::string detail, Ran ran = Ran::No,
                               Duration retryAfter = {}) -> tl::unexpected<Error>
{
    return tl::unexpected<Error>(Error{code, std::move(detail), ran, retryAfter});
}

} // namespace heathergate
