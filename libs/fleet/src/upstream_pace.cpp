#include <heathergate/fleet/upstream_pace.h>

#include <algorithm>

namespace heathergate::fleet {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
/// Time by which a report may be older than its arrival. A report that the upstream is warm counts
/// only if it arrives at least this long after the event that may have made it cold.
constexpr Duration kReportDelay = std::chrono::milliseconds(1000);
/// Time after a change of the leader in which an upstream that may be cold receives no requests.
constexpr Duration kHandoverTime = std::chrono::milliseconds(300);
/// Maximum time of a pace. An upstream that is still slower than the others then is so for good.
constexpr Duration kMaxPaceTime = std::chrono::seconds(8);
/// Maximum slowness that one response can count as.
constexpr double kMaxSlowness = 5;
/// Requests that a starting upstream runs at first: one that it begins with, and one in transit.
constexpr double kInitialWindow = 2;
constexpr double kMinWindow = 1;
/// Up to this slowness, a response counts as one of a warm upstream.
constexpr double kWarmSlowness = 1.6;
/// From this slowness on, the upstream has more requests than it can serve.
constexpr double kOverloadedSlowness = 2.5;
/// Weight of the newest response in the smoothed slowness.
constexpr double kSmoothing = 0.4;

} // namespace

auto UpstreamPace::configure(TimePoint now, const ColdLimit &limit, bool isUnderWay) -> void
{
    const auto isFirst = !std::exchange(m_isLimited, limit.isSet());
    m_limit = limit;
    while (m_placements.size() > m_limit.perSecond)
        m_placements.pop_front();
    if (!isFirst || !m_limit.isSet())
        return;
    m_suspectedAt = now - kReportDelay; // The first report decides.
    if (!isUnderWay)
        return;
    // The former leader may have used the limit just before it ended. Nothing is permitted at
    // first, and then the rate, so that both together exceed the limit by little more than two
    // thirds.
    const auto count = static_cast<Duration::rep>(m_limit.perSecond);
    const auto first = now - kSecond + kHandoverTime;
    for (Duration::rep i = 0; i < count; ++i)
        m_placements.push_back(first + kSecond * (i + 1) / count);
}

auto UpstreamPace::begin(TimePoint now) -> void
{
    m_window = kInitialWindow;
    m_isDoubling = true;
    m_slowness = 1;
    m_begunAt = now;
}

auto UpstreamPace::suspectCold(TimePoint now) -> void
{
    m_suspectedAt = now;
}

auto UpstreamPace::reported(TimePoint now, Duration coldRemaining) -> void
{
    if (coldRemaining > Duration::zero()) {
        m_coldUntil = now + coldRemaining;
        m_suspectedAt = now;
        return;
    }
    if (m_suspectedAt && now - *m_suspectedAt >= kReportDelay) {
        m_suspectedAt.reset();
        m_coldUntil = {};
    }
}

auto UpstreamPace::answered(TimePoint now, double slowness, std::size_t slots) -> void
{
    if (m_window == 0)
        return;
    if (now - m_begunAt >= kMaxPaceTime) {
        m_window = 0;
        return;
    }
    m_slowness += kSmoothing * (std::min(slowness, kMaxSlowness) - m_slowness);
    if (m_slowness >= kOverloadedSlowness)
        return shrink();
    if (m_slowness > kWarmSlowness)
        return;
    m_window += m_isDoubling ? 1 : 1 / m_window;
    if (m_window >= static_cast<double>(slots))
        m_window = 0;
}

auto UpstreamPace::declined() -> void
{
    if (m_window != 0)
        shrink();
}

auto UpstreamPace::shrink() -> void
{
    m_window = std::max(kMinWindow, m_window / 2);
    m_isDoubling = false;
    // The responses to the requests that are running do not shrink the window once more.
    m_slowness = 1;
}

auto UpstreamPace::warmth(TimePoint now) const -> Warmth
{
    if (!m_limit.isSet() || !m_suspectedAt)
        return Warmth::Warm;
    return now < m_coldUntil ? Warmth::Cold : Warmth::MayBeCold;
}

auto UpstreamPace::allows(TimePoint now) const -> bool
{
    return warmth(now) == Warmth::Warm || m_placements.size() < m_limit.perSecond
           || now - m_placements.front() >= kSecond;
}

auto UpstreamPace::take(TimePoint now) -> void
{
    // Counted while it is warm as well: it may become cold while these requests are in transit.
    if (!m_limit.isSet())
        return;
    m_placements.push_back(now);
    if (m_placements.size() > m_limit.perSecond)
        m_placements.pop_front();
}

auto UpstreamPace::perSecond(TimePoint now) const -> std::optional<double>
{
    if (warmth(now) == Warmth::Warm)
        return std::nullopt;
    return static_cast<double>(m_limit.perSecond);
}

auto UpstreamPace::window() const -> std::optional<std::size_t>
{
    if (m_window == 0)
        return std::nullopt;
    return static_cast<std::size_t>(m_window);
}

auto UpstreamPace::expectedWindow() const -> std::optional<std::size_t>
{
    const auto current = window();
    if (!current)
        return std::nullopt;
    return m_isDoubling ? 2 * *current : *current + 1;
}

} // namespace heathergate::fleet
