#pragma once

#include <heathergate/core/time.h>

namespace heathergate::consensus::internal {

/// Estimates a lower bound of the group time. The estimate never runs faster than true time within
/// the tolerated clock error, because an observation is timestamped on arrival, which is after it
/// was made.
class GroupClock
{
public:
    /// Records a group time that was received at `now`.
    auto observe(GroupTime time, TimePoint now) -> void
    {
        if (m_started && time <= at(now))
            return;
        m_base = time;
        m_observedAt = now;
        m_started = true;
    }

    /// Returns the estimated group time at `now`. It never decreases.
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
