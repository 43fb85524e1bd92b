#pragma once

#include <heathergate/core/time.h>

#include <functional>
#include <map>

namespace heathergate::daemon::internal {

/// Actions scheduled for given times, run in order of time.
class TimerQueue
{
public:
    using Action = std::function<void(TimePoint)>;

    auto add(TimePoint at, Action action) -> void
    {
        m_actions.emplace(at, std::move(action));
    }

    /// Runs all actions that are due.
    auto run(TimePoint now) -> void
    {
        while (!m_actions.empty() && m_actions.begin()->first <= now) {
            const auto action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            action(now);
        }
    }

    [[nodiscard]] auto nextDeadline() const -> TimePoint
    {
        return m_actions.empty() ? TimePoint::max() : m_actions.begin()->first;
    }

private:
    std::multimap<TimePoint, Action> m_actions;
};

} // namespace heathergate::daemon::internal
