#include <heathergate/fleet/stated_rate.h>

namespace heathergate::fleet {

auto StatedRate::state(TimePoint now, double perSecond) -> void
{
    m_tokens = m_perSecond ? tokensAt(now) : 0;
    m_refilledAt = now;
    m_perSecond = std::max(perSecond, kMinPerSecond);
    m_statedAt = now;
}

auto StatedRate::lift(TimePoint placedAt) -> bool
{
    if (!m_perSecond || placedAt <= m_statedAt)
        return false;
    m_perSecond.reset();
    return true;
}

auto StatedRate::allows(TimePoint now) const -> bool
{
    return !m_perSecond || tokensAt(now) >= 1;
}

auto StatedRate::take(TimePoint now) -> void
{
    if (!m_perSecond)
        return;
    m_tokens = tokensAt(now) - 1;
    m_refilledAt = now;
}

auto StatedRate::tokensAt(TimePoint now) const -> double
{
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    const auto capacity = std::max(1.0, *m_perSecond * kBurstTime.count());
    return std::min(capacity, m_tokens + *m_perSecond * elapsed.count());
}

} // namespace heathergate::fleet
