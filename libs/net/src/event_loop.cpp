#include <heathergate/net/event_loop.h>

#include <ace/Select_Reactor.h>
#include <ctime>
#include <sys/select.h>

namespace heathergate::net {

namespace {

/// Maximum wait of one poll; bounds the delay after a lost wake-up.
constexpr Duration kMaxPollInterval = std::chrono::seconds(1);

/// The descriptor sets of the select reactor hold handles below FD_SETSIZE, of which the last 8 are
/// left unused.
constexpr int kHandleLimit = FD_SETSIZE - 8;

} // namespace

auto BootClock::now() const -> TimePoint
{
    struct timespec time = {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint{std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec))};
}

EventLoop::EventLoop()
    : m_now(m_clock.now())
    , m_maxHandles(kHandleLimit)
    , m_reactor(new ACE_Select_Reactor, true)
{
}

EventLoop::~EventLoop()
{
    // Actions of timers may own streams, which still use the loop when they are destroyed.
    m_timerTimes.clear();
    const auto timers = std::exchange(m_timers, {});
}

auto EventLoop::at(TimePoint time, Action action) -> TimerId
{
    const auto id = ++m_lastTimer;
    m_timers.emplace(std::pair(time, id), std::move(action));
    m_timerTimes.emplace(id, time);
    return id;
}

auto EventLoop::cancel(TimerId timer) -> void
{
    const auto found = m_timerTimes.find(timer);
    if (found == m_timerTimes.end())
        return;
    m_timers.erase(std::pair(found->second, timer));
    m_timerTimes.erase(found);
}

auto EventLoop::post(Action action) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_posted.push_back(std::move(action));
    }
    m_reactor.notify();
}

auto EventLoop::defer(Action action) -> void
{
    m_deferred.push_back(std::move(action));
}

auto EventLoop::run() -> void
{
    while (!m_stopping)
        round(TimePoint::max());
}

auto EventLoop::runUntil(TimePoint time) -> void
{
    while (!m_stopping && m_clock.now() < time)
        round(time);
}

auto EventLoop::round(TimePoint wakeAt) -> void
{
    m_now = m_clock.now();
    runTimers();
    runPosted();
    runDeferred();
    if (m_roundEnd)
        m_roundEnd();
    runDeferred();
    if (m_stopping)
        return;
    const auto next = m_timers.empty() ? wakeAt : std::min(wakeAt, m_timers.begin()->first.first);
    const auto now = m_clock.now();
    const auto wait = next <= now ? Duration::zero() : std::min(kMaxPollInterval, next - now);
    ACE_Time_Value timeout(0, static_cast<suseconds_t>(wait.count()));
    m_isWaiting = true;
    m_reactor.handle_events(timeout);
    m_isWaiting = false;
}

auto EventLoop::stop() -> void
{
    m_stopping = true;
    m_reactor.notify();
}

auto EventLoop::runTimers() -> void
{
    while (!m_timers.empty() && m_timers.begin()->first.first <= m_now) {
        const auto action = std::move(m_timers.begin()->second);
        m_timerTimes.erase(m_timers.begin()->first.second);
        m_timers.erase(m_timers.begin());
        action();
    }
}

auto EventLoop::runPosted() -> void
{
    std::deque<Action> posted;
    {
        const std::lock_guard lock(m_mutex);
        posted.swap(m_posted);
    }
    for (const auto &action : posted)
        action();
}

auto EventLoop::runDeferred() -> void
{
    while (!m_deferred.empty()) {
        const auto action = std::move(m_deferred.front());
        m_deferred.pop_front();
        action();
    }
}

} // namespace heathergate::net
