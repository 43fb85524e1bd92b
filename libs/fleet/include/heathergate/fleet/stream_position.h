#pragma once

#include <heathergate/fleet/event_splitter.h>

#include <cstdint>
#include <optional>

namespace heathergate::fleet {

/// Position of a caller in a stream of events, across all attempts that serve it. Decides which
/// event may be forwarded next, and whether another attempt can continue the stream.
class StreamPosition
{
public:
    StreamPosition() = default;
    /// Creates the position of a caller that has received the events up to `lastEvent`, if any.
    explicit StreamPosition(std::optional<std::uint64_t> lastEvent)
        : m_lastEvent(lastEvent)
    {
    }

    /// Begins an attempt, whose first event has to follow the last one that was accepted.
    auto beginAttempt() -> void;
    /// Returns whether an event of the current attempt may follow; if so, it becomes the last one.
    [[nodiscard]] auto accept(const StreamEvent &event) -> bool;

    /// Returns the identifier of the last event, or nothing if no event had one.
    [[nodiscard]] auto lastEvent() const -> std::optional<std::uint64_t>
    {
        return m_lastEvent;
    }
    /// Returns whether the last event identifies the position, so that an upstream can be asked to
    /// continue after it.
    [[nodiscard]] auto isResumable() const -> bool
    {
        return m_lastEvent && !m_hasUnidentified;
    }

private:
    std::optional<std::uint64_t> m_lastEvent;
    /// An event without an identifier was accepted. No other upstream can continue after it.
    bool m_hasUnidentified = false;
    /// The current attempt has to continue after `m_lastEvent`, and has not done so yet.
    bool m_mustContinue = false;
};

} // namespace heathergate::fleet
