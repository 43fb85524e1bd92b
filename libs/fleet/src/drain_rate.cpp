#include <heathergate/fleet/drain_rate.h>

#include <algorithm>

namespace heathergate::fleet {

namespace {

/// Number of served requests that is assumed if there was none.
constexpr double kMinServed = 0.5;

} // namespace

auto DrainRate::joined(TimePoint now) -> void
{
    if (m_waiting++ == 0)
        m_waitingSince = now;
}

auto DrainRate::left(TimePoint now, bool hasSlot) -> void
{
    --m_waiting;
    if (hasSlot)
        m_served.push_back(now);
    while (!m_served.empty() && now - m_served.front() > kWindow)
        m_served.pop_front();
}

auto DrainRate::waitBehind(TimePoint now, std::size_t ahead) const -> std::optional<Duration>
{
    if (m_waiting == 0 || now - m_waitingSince < kMinObserved)
        return std::nullopt;
    const auto observed = std::min<Duration>(now - m_waitingSince, kWindow);
    const auto served = std::count_if(m_served.begin(), m_served.end(),
                                      [&](TimePoint at) { return now - at <= observed; });
    const auto requests = static_cast<double>(ahead + 1);
    const auto windows = requests / std::max(static_cast<double>(served), kMinServed);
    return std::chrono::duration_cast<Duration>(windows * observed);
}

} // namespace heathergate::fleet
