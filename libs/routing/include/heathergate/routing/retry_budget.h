#pragma once

#include <heathergate/core/core.h>

#include <algorithm>

namespace heathergate::routing {

/// Limits retries to a fraction of the first attempts. Every instance enforces the limit, so it
/// also holds for the fleet as a whole.
class RetryBudget
{
public:
    /// Records a first attempt, which adds a fraction of a retry to the budget.
    auto deposit() -> void
    {
        m_balance = std::min(kMaxBalance, m_balance + kRetriesPerAttempt);
    }

    /// Takes one retry. Returns false if the budget is exhausted.
    [[nodiscard]] auto withdraw() -> bool
    {
        if (m_balance < 1.0)
            return false;
        m_balance -= 1.0;
        return true;
    }

private:
    static constexpr double kRetriesPerAttempt = 0.1;
    /// Maximum number of retries in the budget, and their number at the start.
    static constexpr double kMaxBalance = 20.0;

    double m_balance = kMaxBalance;
};

/// Returns the delay before retry number `retry`, counted from 1: exponential backoff with full
/// jitter.
[[nodiscard]] inline auto backoff(int retry, Random &random) -> Duration
{
    constexpr Duration kInitialCeiling = std::chrono::milliseconds(25);
    constexpr int kMaxDoublings = 6;
    const auto ceiling = kInitialCeiling * (1 << std::min(retry - 1, kMaxDoublings));
    return Duration(
        static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(ceiling.count()))));
}

} // namespace heathergate::routing
