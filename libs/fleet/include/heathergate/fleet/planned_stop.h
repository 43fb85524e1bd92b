#pragma once

#include <heathergate/core/core.h>

namespace heathergate::fleet {

/// The planned stop of a gateway, and which requests it still takes until then. A caller whose
/// request is refused can send it to another gateway; one whose request is cut off cannot know
/// whether it has run.
class PlannedStop
{
public:
    /// Time after the stop was requested in which every request is taken: callers cannot know of
    /// the stop yet, and most requests end long before their deadline.
    static constexpr Duration kNoticeTime = std::chrono::milliseconds(2500);

    /// Creates a stop that was requested at `requestedAt`. Calls that are open at `endsAt` are
    /// ended.
    PlannedStop(TimePoint requestedAt, TimePoint endsAt)
        : m_noticedAt(requestedAt + kNoticeTime)
        , m_endsAt(endsAt)
    {
    }

    /// Returns whether to take a request that arrives now and may last until `deadline`.
    [[nodiscard]] auto takes(TimePoint now, TimePoint deadline) const -> bool
    {
        return now < m_noticedAt || deadline <= m_endsAt;
    }

private:
    TimePoint m_noticedAt;
    TimePoint m_endsAt;
};

} // namespace heathergate::fleet
