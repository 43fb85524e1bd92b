#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathergate::fleet {

/// One event of a stream (text/event-stream) with its bytes as received, including the blank line.
struct StreamEvent
{
    std::string bytes;
    /// Numeric value of the event's `id` field, if it has one.
    std::optional<std::uint64_t> id;
};

/// Returns the data of an event: the values of its `data` fields, joined by line feeds.
[[nodiscard]] auto eventData(std::string_view event) -> std::string;

/// Splits a byte stream into complete events and buffers an incomplete one.
class EventSplitter
{
public:
    /// Appends bytes and returns the events that they complete.
    [[nodiscard]] auto feed(std::string_view bytes) -> std::vector<StreamEvent>;
    /// Returns whether the incomplete event is longer than any event may be.
    [[nodiscard]] auto isTooLong() const -> bool
    {
        return m_incomplete.size() > kMaxEventBytes;
    }
    /// Returns whether no incomplete event is buffered.
    [[nodiscard]] auto isAtBoundary() const -> bool
    {
        return m_incomplete.empty();
    }
    /// Discards an incomplete event.
    auto reset() -> void
    {
        m_incomplete.clear();
    }

private:
    static constexpr std::size_t kMaxEventBytes = 1024UL * 1024;

    std::string m_incomplete;
};

} // namespace heathergate::fleet
