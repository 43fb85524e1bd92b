#pragma once

#include <heathergate/fleet/program_forecast.h>

#include <deque>

namespace heathergate::fleet {

/// A customer's limit.
struct QuotaLimit
{
    /// 0 means no limit.
    double ratePerSecond = 0;
    double burst = 0;
};

/// A request as the limit sees it.
struct QuotaRequest
{
    CustomerId customer;
    QuotaLimit limit;
    /// Empty if the request belongs to none.
    std::string program;
    int rank = 0;
    /// Whether the program of the request has run before, or the request belongs to none.
    bool isStarted = true;
    /// Time until the program should be finished.
    std::optional<Duration> finishIn;
};

/// What the limit says to a request.
struct QuotaDecision
{
    bool isAdmitted = true;
    /// Time until an admitted request may go on, or until a refused one may come again.
    Duration wait{};
    /// What decided: requests in the window, the most that it holds, and how many the customer's
    /// open programs are expected to send.
    std::size_t inWindow = 0;
    std::size_t maxInWindow = 0;
    double expected = 0;
};

/// The limits of all customers over the whole fleet, kept by the leader alone: in any window of
/// time no more requests go on than the rate brings in it, and the burst.
///
/// Answers this load: programs of several turns, with calls and sub-agents that come in clumps,
/// from customers near or beyond their limit. A program is let in only if the window has room for
/// what it and all open programs are still going to send, so that those that are let in get to
/// their end. While programs of a better rank are refused, those of a worse one are, too. What a
/// former leader let through comes from the replicated state.
class QuotaTable
{
public:
    explicit QuotaTable(Duration window)
        : m_window(window)
    {
    }

    /// Notes requests that another leader let through.
    auto restore(const CustomerId &customer, TimePoint at, std::uint32_t count) -> void;

    /// Decides about one request. One that is admitted with a wait has its place in the window
    /// from then on, and those behind it wait longer.
    [[nodiscard]] auto take(TimePoint now, const QuotaRequest &request) -> QuotaDecision;

private:
    struct Window
    {
        /// When the counted requests go on, in the order in which they were let through; some lie
        /// in the future. Each goes on a window or more after the one `most` places before it, so
        /// no window holds more than `most`, also where waits differ.
        std::deque<TimePoint> times;
        /// Time for which the last refused program was told to come again.
        TimePoint nextRetryAt{};
        /// When a program of each rank was refused last.
        std::map<int, TimePoint> refusedAt;
    };

    [[nodiscard]] auto windowLimit(const QuotaLimit &limit) const -> std::size_t;
    [[nodiscard]] auto nextSlotAt(TimePoint now, const Window &window,
                                  std::size_t maxInWindow) const -> TimePoint;
    [[nodiscard]] auto programFitsAt(TimePoint now, const Window &window, std::size_t maxInWindow,
                                     const QuotaRequest &request) -> TimePoint;
    /// Returns until when a program leaves the limit to refused ones of better rank.
    [[nodiscard]] auto deferredUntil(const Window &window, int rank) const -> TimePoint;
    auto scheduleRetry(Window &window, TimePoint fitsAt, std::size_t maxInWindow, int rank) const
        -> TimePoint;

    Duration m_window;
    std::unordered_map<CustomerId, Window> m_windows;
    ProgramForecast m_forecast;
};

} // namespace heathergate::fleet
