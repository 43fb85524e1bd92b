#pragma once

#include <heathergate/core/core.h>

#include <unordered_map>

namespace heathergate::fleet {

/// What the limit says to a request.
struct QuotaDecision
{
    bool isAdmitted = true;
    /// Time until an admitted request may go on, or until a refused one may come again.
    Duration wait{};
};

/// Rate and burst of each customer over the whole fleet, kept by the leader alone.
///
/// A new leader does not know what its predecessor has let through. It starts each bucket with
/// what a leader change may add without breaking the limit, instead of a full burst.
class QuotaTable
{
public:
    /// Creates the table of a leader that begins at `now`; `overage` is the share by which a limit
    /// may be passed within `window`, and `slack` a number of requests on top.
    QuotaTable(TimePoint now, Duration window, double overage, double slack)
        : m_startedAt(now)
        , m_window(window)
        , m_overage(overage)
        , m_slack(slack)
    {
    }

    /// Decides about one request of a customer. A rate of 0 means no limit. The last part of a
    /// burst is kept for programs that have begun, and their requests may wait a little for the
    /// next token, so that a customer at its limit finishes some programs instead of none.
    [[nodiscard]] auto take(TimePoint now, const CustomerId &customer, double ratePerSecond,
                            double burst, bool isBegun) -> QuotaDecision;

private:
    struct Bucket
    {
        double level = 0;
        double burst = 0;
        TimePoint updatedAt{};
    };

    [[nodiscard]] auto firstLevel(double ratePerSecond, double burst) const -> double;

    TimePoint m_startedAt;
    Duration m_window;
    double m_overage;
    double m_slack;
    std::unordered_map<CustomerId, Bucket> m_buckets;
};

} // namespace heathergate::fleet
