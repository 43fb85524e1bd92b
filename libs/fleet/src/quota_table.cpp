#include <heathergate/fleet/quota_table.h>

#include <algorithm>

namespace heathergate::fleet {

namespace {

/// Part of the allowed overage that a leader change may use up; the rest covers requests that
/// reach an upstream later than they were counted.
constexpr double kStartShare = 0.5;
/// Part of a burst that only programs that have begun may use.
constexpr double kBegunShare = 0.6;

auto seconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

auto QuotaTable::take(TimePoint now, const CustomerId &customer, double ratePerSecond,
                      double burst, bool isBegun) -> Duration
{
    if (ratePerSecond <= 0)
        return Duration::zero();
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
    if (bucket.level >= needed) {
        bucket.level -= 1;
        return Duration::zero();
    }
    const auto missing = (needed - bucket.level) / ratePerSecond;
    return std::max(Duration(1),
                    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing)));
}

auto QuotaTable::firstLevel(double ratePerSecond, double burst) const -> double
{
    const auto allowed = (ratePerSecond * seconds(m_window) + burst) * m_overage + m_slack;
    return std::min(burst, allowed * kStartShare);
}

} // namespace heathergate::fleet
