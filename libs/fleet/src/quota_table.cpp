#include <heathergate/fleet/quota_table.h>

#include <algorithm>
#include <cmath>

namespace heathergate::fleet {

namespace {

/// Longest time for which a request of a program that has begun waits for room.
constexpr Duration kMaxWait = std::chrono::milliseconds(800);
/// Part of a new program's time for which its first request may wait; one that begins later could
/// not finish in time.
constexpr int kMaxStartDelayPercent = 20;
/// Time in which a program is expected to send its requests, if it does not tell its own.
constexpr Duration kDefaultProgramTime = std::chrono::seconds(2);
/// Time after the refusal of a program in which it may come again before others of worse rank;
/// callers return within a second.
constexpr Duration kDeferral = std::chrono::milliseconds(1000);
/// Part of the time until a program should be finished in which it sends its requests.
constexpr int kSendingPercent = 70;
/// Room that is kept beyond what programs are expected to send, as their lengths differ.
constexpr double kSafetyFactor = 1.25;
/// Points of a program's way at which its requests have to fit.
constexpr int kForecastSteps = 4;
/// Part of a limit that a single program may be expected to need; a program that needs more is let
/// in when nothing else is under way.
constexpr double kMaxProgramShare = 0.5;

} // namespace

auto QuotaTable::restore(const CustomerId &customer, TimePoint at, std::uint32_t count) -> void
{
    auto &times = m_windows[customer].times;
    times.insert(std::upper_bound(times.begin(), times.end(), at), count, at);
}

auto QuotaTable::take(TimePoint now, const QuotaRequest &request) -> QuotaDecision
{
    if (request.limit.ratePerSecond <= 0)
        return {};
    const auto maxInWindow = windowLimit(request.limit);
    auto &window = m_windows[request.customer];
    while (!window.times.empty() && window.times.front() <= now - m_window)
        window.times.pop_front();
    const auto isStarted =
        request.isStarted || m_forecast.isKnown(request.customer, request.program);
    QuotaDecision decision;
    decision.inWindow = window.times.size();
    decision.maxInWindow = maxInWindow;
    auto at = nextSlotAt(now, window, maxInWindow);
    auto maxWait = kMaxWait;
    if (!isStarted) {
        decision.expected = m_forecast.remaining(now, request.customer);
        at = std::max({at, programFitsAt(now, window, maxInWindow, request),
                       deferredUntil(window, request.rank)});
        maxWait = request.finishIn.value_or(kDefaultProgramTime) * kMaxStartDelayPercent / 100;
    }
    decision.isAdmitted = at - now <= maxWait;
    if (!decision.isAdmitted && !isStarted) {
        window.refusedAt[request.rank] = now;
        at = scheduleRetry(window, at, maxInWindow, request.rank);
    }
    decision.wait = at - now;
    if (!decision.isAdmitted)
        return decision;
    window.times.push_back(at);
    if (!request.program.empty())
        m_forecast.recordRequest(now, request.customer, request.program, request.rank);
    return decision;
}

auto QuotaTable::windowLimit(const QuotaLimit &limit) const -> std::size_t
{
    const auto seconds = std::chrono::duration<double>(m_window).count();
    return static_cast<std::size_t>(
        std::max(std::floor(limit.ratePerSecond * seconds + limit.burst), 1.0));
}

/// Returns when the window has room for one more request.
auto QuotaTable::nextSlotAt(TimePoint now, const Window &window, std::size_t maxInWindow) const
    -> TimePoint
{
    const auto count = window.times.size();
    return count < maxInWindow ? now : std::max(now, window.times[count - maxInWindow] + m_window);
}

/// Returns when a new program may begin: at each step of its way, what it and the open programs
/// have sent by then has to fit beside the earlier requests that still lie in the window.
auto QuotaTable::programFitsAt(TimePoint now, const Window &window, std::size_t maxInWindow,
                               const QuotaRequest &request) -> TimePoint
{
    const auto length = std::min(m_forecast.length(request.rank),
                                 kMaxProgramShare * static_cast<double>(maxInWindow));
    const auto needed = kSafetyFactor * (m_forecast.remaining(now, request.customer) + length);
    const auto span =
        std::min(request.finishIn.value_or(kDefaultProgramTime) * kSendingPercent / 100, m_window);
    const auto &times = window.times;
    auto fitsAt = now;
    for (int step = 0; step < kForecastSteps; ++step) {
        const auto allowedInWindow =
            static_cast<double>(maxInWindow) - needed * (step + 1) / kForecastSteps;
        if (allowedInWindow < 0)
            return now + m_window; // Open programs have to end first.
        const auto remaining = static_cast<std::size_t>(allowedInWindow);
        // The latest request that has to leave the window by this step.
        if (times.size() > remaining)
            fitsAt = std::max(fitsAt, times[times.size() - remaining - 1] + m_window
                                          - span * step / kForecastSteps);
    }
    return fitsAt;
}

auto QuotaTable::deferredUntil(const Window &window, int rank) const -> TimePoint
{
    TimePoint until{};
    for (const auto &[better, refusedAt] : window.refusedAt) {
        if (better < rank)
            until = std::max(until, refusedAt + kDeferral);
    }
    return until;
}

/// Tells refused programs to come one after the other, at the pace at which the limit takes them.
auto QuotaTable::scheduleRetry(Window &window, TimePoint fitsAt, std::size_t maxInWindow,
                               int rank) const -> TimePoint
{
    const auto pace = m_forecast.length(rank) / static_cast<double>(maxInWindow);
    window.nextRetryAt = std::max(fitsAt, window.nextRetryAt)
                         + std::chrono::duration_cast<Duration>(m_window * pace);
    return window.nextRetryAt;
}

} // namespace heathergate::fleet
