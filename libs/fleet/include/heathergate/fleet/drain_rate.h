#pragma once

#include <heathergate/core/core.h>

#include <deque>
#include <optional>

namespace heathergate::fleet {

/// Measures how fast the waiting requests of one class get slots, and predicts from it how long a
/// further one would wait. Designed for this load: a class that gets only what better ones leave,
/// so that neither the number of slots nor its place in the queue shows how long it waits.
class DrainRate
{
public:
    /// Notes that a request of the class begins to wait.
    auto joined(TimePoint now) -> void;
    /// Notes that a request no longer waits, and whether it got a slot.
    auto left(TimePoint now, bool hasSlot) -> void;
    /// Returns the expected wait of a request behind `ahead` others of its class; nothing unless
    /// requests of the class have waited for long enough to tell.
    [[nodiscard]] auto waitBehind(TimePoint now, std::size_t ahead) const
        -> std::optional<Duration>;

private:
    /// Time over which the rate is measured.
    static constexpr Duration kWindow = std::chrono::seconds(1);
    /// Time without an empty queue before the rate is known.
    static constexpr Duration kMinObserved = std::chrono::milliseconds(300);

    std::size_t m_waiting = 0;
    /// Time since which at least one request has been waiting.
    TimePoint m_waitingSince{};
    /// Times at which requests got slots within the window.
    std::deque<TimePoint> m_served;
};

} // namespace heathergate::fleet
