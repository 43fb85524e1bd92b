#include <heathergate/limits/bucket.h>

namespace heathergate::limits {

auto accrued(MicroTokens rate, Duration elapsed) -> MicroTokens
{
    if (elapsed <= Duration::zero())
        return 0;
    constexpr MicroTokens kMaxTokens = std::numeric_limits<MicroTokens>::max() / 4;
    constexpr std::int64_t kMicrosPerSecond = 1'000'000;
    const auto seconds = elapsed.count() / kMicrosPerSecond;
    const auto micros = elapsed.count() % kMicrosPerSecond;
    if (rate > 0 && seconds >= kMaxTokens / rate)
        return kMaxTokens;
    // A rate can be as large as 1e15 millionths, so the product with the microseconds would
    // overflow. The whole and the remaining part of the rate are multiplied separately.
    const auto wholePart = rate / kMicrosPerSecond * micros;
    const auto remainderPart = rate % kMicrosPerSecond * micros / kMicrosPerSecond;
    return std::min(kMaxTokens, rate * seconds + wholePart + remainderPart);
}

auto TokenBucket::tryTake(TimePoint now) -> bool
{
    refill(now);
    if (m_level < kOneToken)
        return false;
    m_level -= kOneToken;
    return true;
}

auto TokenBucket::nextToken() const -> TimePoint
{
    if (m_level >= kOneToken)
        return m_updatedAt;
    if (m_limit.rate <= 0)
        return TimePoint::max();
    const auto missing = kOneToken - m_level;
    return m_updatedAt + Duration(missing * 1'000'000 / m_limit.rate + 1);
}

auto TokenBucket::refill(TimePoint now) -> void
{
    const auto gained = accrued(m_limit.rate, now - m_updatedAt);
    if (gained <= 0)
        return;
    m_level = std::min(m_limit.burst, m_level + gained);
    m_updatedAt = now;
}

} // namespace heathergate::limits
