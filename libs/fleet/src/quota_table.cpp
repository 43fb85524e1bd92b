#include <heathergate/fleet/quota_table.h>

#include <algorithm>
#include <cmath>

namespace heathergate::fleet {

namespace {

/// Maximum time for which a request of a program that has started waits for capacity.
constexpr Duration kMaxWait = std::chrono::milliseconds(800);
/// Maximum wait of a new program's first request, in percent of the program's time. A program that
/// starts later could not finish in time.
constexpr int kMaxStartDelayPercent = 20;
/// Assumed time of a program that does not state its target completion time.
constexpr Duration kDefaultProgramTime = std::chrono::seconds(2);
/// Time after the refusal of a program during which programs of worse rank are not admitted, so
/// that the refused one is admitted first; callers retry within a second.
constexpr Duration kDeferral = std::chrono::milliseconds(1000);
/// Share of a program's time during which it sends its requests, in percent.
constexpr int kSendingPercent = 70;
/// Factor on the requests that programs are expected to send, because their lengths vary.
constexpr double kSafetyFactor = 1.25;
/// Number of points in a program's time at which its requests have to fit into the window.
constexpr int kForecastSteps = 4;
/// Maximum share of a limit that a single program is assumed to need. A program that needs more is
/// admitted when no other program is open.
constexpr double kMaxProgramShare = 0.5;

/// Bounds of the requests that proceed before they are recorded, as a number and in percent of the
/// requests in a window. Several leaders in a row may each exceed a limit by as many.
constexpr std::size_t kMaxUnrecorded = 4;
constexpr std::size_t kMaxUnrecordedPercent = 10;

} // namespace

auto QuotaTable::maxUnrecorded(const QuotaLimit &limit) const -> std::size_t
{
    return std::min(kMaxUnrecorded, windowLimit(limit) * kMaxUnrecordedPercent / 100);
}

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

/// Returns when the window has capacity for one more request.
auto QuotaTable::nextSlotAt(TimePoint now, const Window &window, std::size_t maxInWindow) const
    -> TimePoint
{
    const auto count = window.times.size();
    return count < maxInWindow ? now : std::max(now, window.times[count - maxInWindow] + m_window);
}

/// Returns when a new program may start: at each step of its time, the requests that it and the
/// open programs have sent by then have to fit beside the earlier requests still in the window.
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
            return now + m_window; // Open programs have to finish first.
        const auto remaining = static_cast<std::size_t>(allowedInWindow);
        // The latest request that has to drop out of the window by this step.
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

/// Staggers the retry times of refused programs at the rate at which the limit can admit them.
auto QuotaTable::scheduleRetry(Window &window, TimePoint fitsAt, std::size_t maxInWindow,
                               int rank) const -> TimePoint
{
    const auto pace = m_forecast.length(rank) / static_cast<double>(maxInWindow);
    window.nextRetryAt = std::max(fitsAt, window.nextRetryAt)
                         + std::chrono::duration_cast<Duration>(m_window * pace);
    return window.nextRetryAt;
}

} // namespace heathergate::fleet
