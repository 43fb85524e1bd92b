#pragma once

#include <heathergate/core/time.h>

namespace heathergate::consensus::internal {

/// Estimates the group time from below. The line never runs faster than true time within the
/// stated clock error: an observation is stamped when it arrives, which is after it was made.
class GroupClock
{
public:
    /// Takes in a group time seen at `now`.
    auto observe(GroupTime time, TimePoint now) -> void
    {
        if (m_started && time <= at(now))
            return;
        m_base = time;
        m_observedAt = now;
        m_started = true;
    }

    /// Returns the group time at `now`; it does not go backwards.
    [[nodiscard]] auto at(TimePoint now) const -> GroupTime
    {
        return now <= m_observedAt ? m_base : m_base + elapsedLowerBound(now - m_observedAt);
    }

private:
    GroupTime m_base{};
    TimePoint m_observedAt{};
    bool m_started = false;
};

} // namespace heathergate::consensus::internal
