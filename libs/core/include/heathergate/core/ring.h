#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>

#include <heathergate/core/time.h>

namespace heathergate {

/// Wakes a thread that waits until one of its rings contains an item.
class Notifier
{
public:
    /// Wakes the waiting thread. If no thread is waiting, the next `wait` returns immediately.
    auto notify() -> void
    {
        {
            const std::lock_guard lock(m_mutex);
            m_pending = true;
        }
        m_condition.notify_one();
    }

    /// Waits for a notification until `timeout` has elapsed.
    auto wait(Duration timeout) -> void
    {
        std::unique_lock lock(m_mutex);
        m_condition.wait_for(lock, timeout, [this] { return m_pending; });
        m_pending = false;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_pending = false;
};

/// A bounded queue between exactly one producer thread and one consumer thread.
template <typename T>
class Ring
{
public:
    /// Creates a ring for `capacity` items. `wake` is called after each push to wake the consumer.
    Ring(std::size_t capacity, std::function<void()> wake)
        : m_queue(capacity)
        , m_wake(std::move(wake))
    {
    }

    /// Adds an item and wakes the consumer. If the ring is full, returns false and leaves `item`
    /// unchanged.
    [[nodiscard]] auto push(T &&item) -> bool
    {
        if (!m_queue.push(std::move(item)))
            return false;
        m_wake();
        return true;
    }

    /// Removes and returns the oldest item; nothing if the ring is empty.
    [[nodiscard]] auto pop() -> std::optional<T>
    {
        if (m_queue.read_available() == 0)
            return std::nullopt;
        std::optional<T> item(std::move(m_queue.front()));
        m_queue.pop();
        return item;
    }

private:
    boost::lockfree::spsc_queue<T> m_queue;
    std::function<void()> m_wake;
};

} // namespace heathergate
