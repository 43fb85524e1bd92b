#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathergate::fleet {

/// One event of a stream (text/event-stream) with its bytes as they came, blank line included.
struct StreamEvent
{
    std::string bytes;
    /// Number in its `id` field, if it has one.
    std::optional<std::uint64_t> id;
};

/// Cuts a byte stream into whole events; what is not whole yet stays inside.
class EventSplitter
{
public:
    /// Takes in bytes and returns the events that they complete.
    [[nodiscard]] auto feed(std::string_view bytes) -> std::vector<StreamEvent>;
    /// Returns whether the stream stands between two events.
    [[nodiscard]] auto isAtBoundary() const -> bool
    {
        return m_rest.empty();
    }
    /// Forgets an event that is not whole.
    auto reset() -> void
    {
        m_rest.clear();
    }

private:
    std::string m_rest;
};

} // namespace heathergate::fleet
