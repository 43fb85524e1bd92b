#pragma once

#include <chrono>
#include <cstdint>

/// Time types of all libraries.
namespace heathergate {

/// Tag type for the time points of the runtime. They come from the instance's monotonic clock, or
/// from a manual clock in tests, and are never compared between instances.
struct RuntimeClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeClock, duration>;
    static constexpr bool is_steady = true;
};

using Duration = RuntimeClock::duration;
using TimePoint = RuntimeClock::time_point;

/// Time of a consensus group, counted from the creation of the group. All replicas of the group use
/// the same values, because the log contains them.
using GroupTime = std::chrono::microseconds;

/// Maximum rate error of an instance's clock that the system tolerates, in parts per million.
constexpr std::int64_t kClockErrorPpm = 500;

/// Returns a lower bound of the true time that has passed when a clock with the tolerated rate
/// error measures `elapsed`.
[[nodiscard]] constexpr auto elapsedLowerBound(Duration elapsed) -> Duration
{
    return elapsed - Duration(elapsed.count() * kClockErrorPpm / 1'000'000);
}

/// Returns the time that one clock has to measure so that every other clock with the tolerated rate
/// error, in either direction, has measured at least `elapsed`.
[[nodiscard]] constexpr auto elapsedUpperBound(Duration elapsed) -> Duration
{
    return elapsed + Duration(elapsed.count() * 3 * kClockErrorPpm / 1'000'000) + Duration(1);
}

/// A source of the current time.
template <typename T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

} // namespace heathergate
