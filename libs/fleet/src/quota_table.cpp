#include <heathergate/fleet/quota_table.h>

#include <algorithm>

namespace heathergate::fleet {

namespace {

/// Part of the allowed overage that a leader change may use up; the rest covers requests that
/// reach an upstream later than they were counted.
constexpr double kStartShare = 0.5;
/// Part of a burst that only programs that have begun may use.
constexpr double kBegunShare = 0.6;
/// Longest time for which a request of a program that has begun waits for its token.
constexpr Duration kLongestTokenWait = std::chrono::milliseconds(500);

auto seconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

auto QuotaTable::take(TimePoint now, const CustomerId &customer, double ratePerSecond, double burst,
                      bool isBegun) -> QuotaDecision
{
    if (ratePerSecond <= 0)
        return {};
    const auto most = std::max(burst, 1.0);
    const auto [found, isNew] =
        m_buckets.try_emplace(customer, Bucket{firstLevel(ratePerSecond, most), most, m_startedAt});
    auto &bucket = found->second;
    // A limit that was lowered binds what is left; one that was raised fills up at its rate.
    bucket.burst = most;
    const auto accrued = seconds(now - bucket.updatedAt) * ratePerSecond;
    bucket.level = std::min(bucket.burst, bucket.level + std::max(accrued, 0.0));
    bucket.updatedAt = now;
    const auto needed = isBegun ? 1.0 : 1.0 + kBegunShare * bucket.burst;
    const auto missing = std::max(needed - bucket.level, 0.0) / ratePerSecond;
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing));
    const auto isAdmitted = missing <= 0 || (isBegun && wait <= kLongestTokenWait);
    // A request that waits takes its token in advance, so that those behind it wait longer.
    if (isAdmitted)
        bucket.level -= 1;
    return {isAdmitted, missing <= 0 ? Duration::zero() : std::max(wait, Duration(1))};
}

auto QuotaTable::firstLevel(double ratePerSecond, double burst) const -> double
{
    const auto allowed = (ratePerSecond * seconds(m_window) + burst) * m_overage + m_slack;
    return std::min(burst, allowed * kStartShare);
}

} // namespace heathergate::fleet
