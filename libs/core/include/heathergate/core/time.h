#pragma once

#include <chrono>
#include <cstdint>

/// Time types shared by every part.
namespace heathergate {

/// Tag clock of the runtime. Its time points come from the instance's monotonic clock, or from a
/// manual clock in tests; they are never compared between instances.
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

/// Time on the line of a consensus group, counted from the group's creation. Every replica of the
/// group sees the same values, because they travel in the log.
using GroupTime = std::chrono::microseconds;

/// Largest rate error of an instance's clock that the system tolerates, in parts per million.
constexpr std::int64_t kClockErrorPpm = 500;

/// Returns `elapsed` shortened so that a clock that runs fast by the stated error does not
/// overestimate it.
[[nodiscard]] constexpr auto elapsedLowerBound(Duration elapsed) -> Duration
{
    return elapsed - Duration(elapsed.count() * kClockErrorPpm / 1'000'000);
}

/// Returns `elapsed` lengthened so that clocks that differ by the stated error in both directions
/// agree that it has passed.
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
