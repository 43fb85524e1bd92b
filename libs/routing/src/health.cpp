#include <heathergate/routing/health.h>

#include <algorithm>

namespace heathergate::routing {

namespace {

/// Number of consecutive failures after which an upstream is ejected.
constexpr int kFailuresToEject = 3;
/// Repeated ejections double the ejection time at most this often.
constexpr int kMaxDoublings = 5;
constexpr Duration kInitialEjectionTime = std::chrono::seconds(1);
/// Time in which a readmitted upstream returns to its usual traffic.
constexpr Duration kSlowStartTime = std::chrono::seconds(10);
/// Fraction of its usual traffic that an upstream receives at the beginning of its slow start.
constexpr double kMinShare = 0.1;

} // namespace

auto Health::succeeded(TimePoint now) -> void
{
    m_failures = 0;
    m_isSilent = false;
    if (now > m_ejectedUntil + kSlowStartTime)
        m_ejections = 0;
}

auto Health::failed(TimePoint now, Failure failure) -> void
{
    m_isSilent = failure == Failure::Silent;
    if (++m_failures < kFailuresToEject)
        return;
    eject(now);
}

auto Health::timedOut(TimePoint now) -> void
{
    m_isSilent = true;
    eject(now);
}

auto Health::eject(TimePoint now) -> void
{
    m_failures = kFailuresToEject - 1;
    m_ejectedUntil = now + kInitialEjectionTime * (1 << std::min(m_ejections, kMaxDoublings));
    ++m_ejections;
}

auto Health::share(TimePoint now) const -> double
{
    if (m_ejections == 0)
        return 1.0;
    const auto elapsed = std::chrono::duration<double>(now - m_ejectedUntil)
                         / std::chrono::duration<double>(kSlowStartTime);
    return std::clamp(elapsed, kMinShare, 1.0);
}

} // namespace heathergate::routing
