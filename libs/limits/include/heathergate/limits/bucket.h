#pragma once

#include <heathergate/core/core.h>

#include <map>
#include <set>

/// Rate limits that are enforced across the whole fleet.
namespace heathergate::limits {

/// Number of requests in millionths. Integers make the replicated arithmetic exact.
using MicroTokens = std::int64_t;
constexpr MicroTokens kOneToken = 1'000'000;

/// A customer's limit as stored in the table at `revision`.
struct Limit
{
    /// Requests per second, in millionths.
    MicroTokens rate = 0;
    /// Maximum burst of requests, in millionths.
    MicroTokens burst = 0;
    std::uint64_t revision = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Limit, rate, burst, revision)

/// Returns the tokens that `rate` yields in `elapsed`, rounded down.
[[nodiscard]] auto accrued(MicroTokens rate, Duration elapsed) -> MicroTokens;

/// A token bucket within one process: the standard limiter, used alone or as a baseline.
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

    /// Takes one token. Returns false if none is available.
    [[nodiscard]] auto tryTake(TimePoint now) -> bool;
    /// Returns when the next token is available; `TimePoint::max()` if the rate is zero.
    [[nodiscard]] auto nextToken() const -> TimePoint;

private:
    auto refill(TimePoint now) -> void;

    Limit m_limit;
    MicroTokens m_level;
    TimePoint m_updatedAt;
};

} // namespace heathergate::limits
