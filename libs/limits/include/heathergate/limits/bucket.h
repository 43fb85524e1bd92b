#pragma once

#include <heathergate/core/core.h>

#include <map>
#include <set>

/// Rate limits that hold over the whole fleet.
namespace heathergate::limits {

/// Amounts of requests in millionths, so that replicated arithmetic is exact.
using MicroTokens = std::int64_t;
constexpr MicroTokens kOneToken = 1'000'000;

/// A customer's limit as the table has it under `revision`.
struct Limit
{
    /// Requests a second, in millionths.
    MicroTokens rate = 0;
    /// Requests at once, in millionths.
    MicroTokens burst = 0;
    std::uint64_t revision = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Limit, rate, burst, revision)

/// Returns the tokens that `rate` yields in `elapsed`, rounded down.
[[nodiscard]] auto accrued(MicroTokens rate, Duration elapsed) -> MicroTokens;

/// A token bucket of one process: the textbook limiter, used alone or as baseline.
class TokenBucket
{
public:
    /// Creates a full bucket.
    TokenBucket(Limit limit, TimePoint now)
        : m_limit(limit)
        , m_level(limit.burst)
        , m_updatedAt(now)
    {
    }

    /// Takes one token. Returns false if there is none.
    [[nodiscard]] auto tryTake(TimePoint now) -> bool;
    /// Returns when the next token is there.
    [[nodiscard]] auto nextToken() const -> TimePoint;

private:
    auto refill(TimePoint now) -> void;

    Limit m_limit;
    MicroTokens m_level;
    TimePoint m_updatedAt;
};

} // namespace heathergate::limits
