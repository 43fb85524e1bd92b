#pragma once

#include <heathergate/core/core.h>
#include <heathergate/net/buffer_budget.h>

#include <ace/Reactor.h>
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

/// Sockets and timers of one process on one thread: an ACE reactor with HTTP and peer links on it.
namespace heathergate::net {

/// The system's boot-time clock. It includes the time during which the machine was suspended, so
/// that a lease does not outlive a suspension.
class BootClock
{
public:
    [[nodiscard]] auto now() const -> TimePoint;
};

static_assert(Clock<BootClock>);

/// Identifies a timer until it fires or is cancelled; 0 means no timer.
using TimerId = std::uint64_t;

/// Runs handlers of sockets, timers and posted actions on the thread that calls `run`.
class EventLoop
{
public:
    using Action = std::function<void()>;

    EventLoop();
    EventLoop(const EventLoop &) = delete;
    auto operator=(const EventLoop &) -> EventLoop & = delete;
    ~EventLoop();

    /// Returns the time at which the current round of timers, or of socket handlers, began.
    [[nodiscard]] auto now() const -> TimePoint
    {
        return m_now;
    }
    /// Updates the time after the wait for socket events. Every socket handler calls it first.
    auto socketReady() -> void
    {
        if (std::exchange(m_isWaiting, false))
            m_now = m_clock.now();
    }

    /// Returns the number of handles that sockets of this loop may use.
    [[nodiscard]] auto maxHandles() const -> int
    {
        return m_maxHandles;
    }
    /// Returns the budget of what is buffered for the clients of this loop's servers.
    [[nodiscard]] auto budget() -> BufferBudget &
    {
        return m_budget;
    }
    /// Records that a connection was closed because the process has too many handles.
    auto countRefusedHandle() -> void
    {
        ++m_refusedHandles;
    }
    /// Returns the number of connections that were closed for lack of handles.
    [[nodiscard]] auto refusedHandles() const -> std::uint64_t
    {
        return m_refusedHandles;
    }

    /// Runs an action once at `time`.
    auto at(TimePoint time, Action action) -> TimerId;
    /// Cancels a timer. Has no effect if it has already fired.
    auto cancel(TimerId timer) -> void;
    /// Runs an action after the current round. Callable from any thread.
    auto post(Action action) -> void;
    /// Runs an action at the end of the current round, on this thread.
    auto defer(Action action) -> void;
    /// Sets the action that runs at the end of every round.
    auto onRoundEnd(Action action) -> void
    {
        m_roundEnd = std::move(action);
    }

    /// Runs until `stop` is called.
    auto run() -> void;
    /// Runs until `time`, or until `stop` is called.
    auto runUntil(TimePoint time) -> void;
    auto stop() -> void;

    [[nodiscard]] auto reactor() -> ACE_Reactor &
    {
        return m_reactor;
    }

private:
    auto round(TimePoint wakeAt) -> void;
    auto runTimers() -> void;
    auto runPosted() -> void;
    auto runDeferred() -> void;

    BootClock m_clock;
    /// Declared before all that may own what is charged to it.
    BufferBudget m_budget;
    TimePoint m_now{};
    bool m_isWaiting = false;
    int m_maxHandles;
    std::uint64_t m_refusedHandles = 0;
    ACE_Reactor m_reactor;
    std::map<std::pair<TimePoint, TimerId>, Action> m_timers;
    std::map<TimerId, TimePoint> m_timerTimes;
    TimerId m_lastTimer = 0;
    std::deque<Action> m_deferred;
    Action m_roundEnd;
    std::mutex m_mutex;
    std::deque<Action> m_posted;
    std::atomic<bool> m_stopping = false;
};

} // namespace heathergate::net
