#pragma once

#include <heathergate/core/core.h>

#include <functional>
#include <map>
#include <optional>

namespace heathergate::net {

/// The bytes that a process buffers for its clients, and the connections that it accepts from them.
/// Designed for this load: clients that stay within the limits of each request, but send many of
/// them at once, do not end them, or do not read the responses.
///
/// Holders of clients' connections charge what they buffer, and register how to reclaim it. While
/// the budget is exceeded, the connection without progress for longest gives way.
class BufferBudget
{
public:
    /// How a holder of connections gives way.
    struct Holder
    {
        /// Returns since when the connection without progress for longest has made none; nothing if
        /// no connection can give way.
        std::function<std::optional<TimePoint>()> stalestBuffer;
        /// Returns the bytes of all connections that can give way.
        std::function<std::size_t()> reclaimableBytes;
        /// Ends that connection and releases its charge.
        std::function<void()> reclaimBuffer;
        /// The same for connections that hold a descriptor, with or without bytes.
        std::function<std::optional<TimePoint>()> stalestConnection;
        std::function<void()> reclaimConnection;
    };
    using HolderId = std::uint64_t;

    /// Numbers of connections that gave way, and of requests that were refused.
    struct Counters
    {
        std::uint64_t closedForMemory = 0;
        std::uint64_t closedForDescriptors = 0;
        std::uint64_t refused = 0;
    };

    /// Sets the limits of the buffered bytes and of the accepted connections.
    auto setLimits(std::size_t maxBytes, std::size_t maxConnections) -> void
    {
        m_maxBytes = maxBytes;
        m_maxConnections = maxConnections;
    }

    auto addHolder(Holder holder) -> HolderId;
    auto removeHolder(HolderId id) -> void;

    /// Lets connections give way until the charged bytes, and `further` ones, are within the limit.
    /// Returns whether they are. If that is not possible, no connection gives way.
    [[nodiscard]] auto makeRoom(std::size_t further = 0) -> bool;
    /// The same for a large request, for which a part of the limit is not available, so that
    /// ordinary ones are still served.
    [[nodiscard]] auto makeRoomForLarge(std::size_t further) -> bool;
    /// Lets a connection give way if more than the limit are open. Returns false if that is needed
    /// and none can.
    [[nodiscard]] auto makeRoomForConnection() -> bool;
    auto countRefusal() -> void
    {
        ++m_counters.refused;
    }

    [[nodiscard]] auto usedBytes() const -> std::size_t
    {
        return m_usedBytes;
    }
    [[nodiscard]] auto maxBytes() const -> std::size_t
    {
        return m_maxBytes;
    }
    [[nodiscard]] auto connections() const -> std::size_t
    {
        return m_connections;
    }
    [[nodiscard]] auto counters() const -> const Counters &
    {
        return m_counters;
    }

private:
    friend class BufferCharge;
    friend class ConnectionCharge;

    [[nodiscard]] auto makeRoomWithin(std::size_t limit, std::size_t further) -> bool;

    /// Limit of the bytes until one is set: enough for eight requests of 4 MiB at once, on a
    /// machine with 96 MiB of memory.
    std::size_t m_maxBytes = 32UL * 1024 * 1024;
    std::size_t m_maxConnections = 600;
    std::size_t m_usedBytes = 0;
    std::size_t m_connections = 0;
    Counters m_counters;
    HolderId m_lastHolder = 0;
    std::map<HolderId, Holder> m_holders;
};

/// Bytes that are charged to a budget until the charge is changed or destroyed.
class BufferCharge
{
public:
    explicit BufferCharge(BufferBudget &budget)
        : m_budget(budget)
    {
    }
    ~BufferCharge()
    {
        set(0);
    }
    BufferCharge(const BufferCharge &) = delete;
    auto operator=(const BufferCharge &) -> BufferCharge & = delete;

    auto set(std::size_t bytes) -> void
    {
        m_budget.m_usedBytes += bytes;
        m_budget.m_usedBytes -= std::exchange(m_bytes, bytes);
    }
    [[nodiscard]] auto bytes() const -> std::size_t
    {
        return m_bytes;
    }

private:
    BufferBudget &m_budget;
    std::size_t m_bytes = 0;
};

/// An accepted connection that counts until the charge is released or destroyed.
class ConnectionCharge
{
public:
    explicit ConnectionCharge(BufferBudget &budget)
        : m_budget(budget)
    {
        ++m_budget.m_connections;
    }
    ~ConnectionCharge()
    {
        release();
    }
    ConnectionCharge(const ConnectionCharge &) = delete;
    auto operator=(const ConnectionCharge &) -> ConnectionCharge & = delete;

    auto release() -> void
    {
        if (!std::exchange(m_isReleased, true))
            --m_budget.m_connections;
    }

private:
    BufferBudget &m_budget;
    bool m_isReleased = false;
};

} // namespace heathergate::net
