#pragma once

#include <heathergate/core/core.h>

#include <deque>
#include <optional>

namespace heathergate::fleet {

/// Limit of an upstream that is cold: it fails if it receives many more requests than that.
struct ColdLimit
{
    /// Requests in any second; zero means no limit.
    std::size_t perSecond = 0;

    [[nodiscard]] auto isSet() const -> bool
    {
        return perSecond > 0;
    }
};

/// What is known about whether an upstream is cold.
enum class Warmth { Warm, MayBeCold, Cold };

/// How fast one upstream may receive requests while it is cold, may be cold, or has just started or
/// recovered. Designed for these loads: a failure domain whose upstreams all return at once, cold,
/// under full traffic; and upstreams that start or recover beside warm ones, which would be sent
/// more than they can serve, or be left idle.
///
/// The cold limit is a sliding window over all placements of the last second. It applies whenever
/// the upstream is not known to be warm.
///
/// The pace is a window of concurrent requests. It starts small, grows by one for each response
/// that is about as fast as those of warm upstreams, so that it doubles with each round of
/// responses, and shrinks by half on slow or declined ones, after which it grows by one for each
/// round. It ends when it covers all slots, or after a bounded time.
class UpstreamPace
{
public:
    /// Sets the limits of the upstream's service. With `isUnderWay`, placements by a former leader
    /// may have used the limit of the current second, so that it becomes available gradually.
    auto configure(TimePoint now, const ColdLimit &limit, bool isUnderWay) -> void;

    /// Begins the pace, at the start of an incarnation or after a recovery.
    auto begin(TimePoint now) -> void;
    /// Notes that the upstream may have become cold.
    auto suspectCold(TimePoint now) -> void;
    /// Notes for how long the upstream states that it remains cold.
    auto reported(TimePoint now, Duration coldRemaining) -> void;
    /// Notes a response and its duration in relation to that of a warm upstream. `slots` is the
    /// number of requests that the upstream runs concurrently.
    auto answered(TimePoint now, double slowness, std::size_t slots) -> void;
    /// Notes that the upstream declined a request for lack of capacity.
    auto declined() -> void;

    [[nodiscard]] auto warmth(TimePoint now) const -> Warmth;
    /// Returns whether the cold limit permits a request now.
    [[nodiscard]] auto allows(TimePoint now) const -> bool;
    /// Counts a request that is placed now.
    auto take(TimePoint now) -> void;
    /// Returns the rate in requests per second that the cold limit permits; nothing if it does not
    /// apply.
    [[nodiscard]] auto perSecond(TimePoint now) const -> std::optional<double>;

    /// Returns how many requests may run concurrently; nothing if the pace has ended.
    [[nodiscard]] auto window() const -> std::optional<std::size_t>;
    /// Returns how many requests can be expected to run concurrently after one more round of
    /// responses; nothing if the pace has ended.
    [[nodiscard]] auto expectedWindow() const -> std::optional<std::size_t>;
    /// Returns the smoothed slowness of the responses since the pace began.
    [[nodiscard]] auto slowness() const -> double
    {
        return m_slowness;
    }
    [[nodiscard]] auto begunAt() const -> TimePoint
    {
        return m_begunAt;
    }

private:
    auto shrink() -> void;

    ColdLimit m_limit;
    /// Times of the last placements, at most as many as the limit permits in a second.
    std::deque<TimePoint> m_placements;
    bool m_isLimited = false;
    /// Time until which the upstream states that it is cold.
    TimePoint m_coldUntil{};
    /// Time since which the upstream may be cold; nothing if it is known to be warm.
    std::optional<TimePoint> m_suspectedAt;

    /// Window of concurrent requests; zero if the pace has ended.
    double m_window = 0;
    /// Whether the window still doubles with each round of responses.
    bool m_isDoubling = true;
    double m_slowness = 1;
    TimePoint m_begunAt{};
};

} // namespace heathergate::fleet
