#pragma once

#include <heathergate/fleet/program_forecast.h>

#include <deque>

namespace heathergate::fleet {

/// Rate limit of a customer.
struct QuotaLimit
{
    /// Requests per second; 0 means no limit.
    double ratePerSecond = 0;
    /// Requests allowed in a window in addition to the rate.
    double burst = 0;
};

/// The properties of a request that the limit depends on.
struct QuotaRequest
{
    CustomerId customer;
    QuotaLimit limit;
    /// Empty if the request belongs to no program.
    std::string program;
    int rank = 0;
    /// Whether the program of the request has already started, or the request belongs to none.
    bool isStarted = true;
    /// Time left until the program's target completion time.
    std::optional<Duration> finishIn;
};

/// Decision of the limit about one request.
struct QuotaDecision
{
    bool isAdmitted = true;
    /// Time until an admitted request proceeds, or after which a refused one may be retried.
    Duration wait{};
    /// Inputs of the decision, for logs: requests in the window, the maximum per window, and the
    /// number that the customer's open programs are expected to send.
    std::size_t inWindow = 0;
    std::size_t maxInWindow = 0;
    double expected = 0;
};

/// Rate limits of all customers over the whole fleet, kept by the leader alone: in any window of
/// time, at most rate times window length plus burst requests proceed.
///
/// Designed for this load: programs of several turns, with calls and sub-agents that arrive in
/// bursts, from customers near or beyond their limit. A program is admitted only if the window has
/// capacity for what it and all open programs are still expected to send, so that admitted programs
/// can finish. While programs of a better rank are refused, those of a worse rank are refused, too.
/// Requests that a former leader admitted are restored from the replicated state.
class QuotaTable
{
public:
    explicit QuotaTable(Duration window)
        : m_window(window)
    {
    }

    /// Records `count` requests that another leader admitted at a time.
    auto restore(const CustomerId &customer, TimePoint at, std::uint32_t count) -> void;

    /// Returns how many admitted requests of a customer may proceed before they are recorded. If
    /// the leader fails, its successor admits at most this many too many.
    [[nodiscard]] auto maxUnrecorded(const QuotaLimit &limit) const -> std::size_t;

    /// Decides about one request. An admitted request counts in the window from the time at which
    /// it proceeds, which lies in the future if it has to wait; later requests queue behind it.
    [[nodiscard]] auto take(TimePoint now, const QuotaRequest &request) -> QuotaDecision;

private:
    struct Window
    {
        /// Times at which the counted requests proceed, in the order of their admission; some lie
        /// in the future. With `m` as the maximum per window, each lies at least one window after
        /// the m-th before it, so that no window holds more than `m`, even when waits differ.
        std::deque<TimePoint> times;
        /// Retry time given to the last refused program.
        TimePoint nextRetryAt{};
        /// Time of the last refusal of a program, by rank.
        std::map<int, TimePoint> refusedAt;
    };

    [[nodiscard]] auto windowLimit(const QuotaLimit &limit) const -> std::size_t;
    [[nodiscard]] auto nextSlotAt(TimePoint now, const Window &window,
                                  std::size_t maxInWindow) const -> TimePoint;
    [[nodiscard]] auto programFitsAt(TimePoint now, const Window &window, std::size_t maxInWindow,
                                     const QuotaRequest &request) -> TimePoint;
    /// Returns until when a program has to wait for refused programs of better rank.
    [[nodiscard]] auto deferredUntil(const Window &window, int rank) const -> TimePoint;
    auto scheduleRetry(Window &window, TimePoint fitsAt, std::size_t maxInWindow, int rank) const
        -> TimePoint;

    Duration m_window;
    std::unordered_map<CustomerId, Window> m_windows;
    ProgramForecast m_forecast;
};

} // namespace heathergate::fleet
