#include <heathergate/fleet/stream_position.h>

#include <algorithm>

namespace heathergate::fleet {

namespace {

/// Returns whether an event consists only of comment lines, which carry no content.
auto isComment(std::string_view event) -> bool
{
    while (!event.empty()) {
        const auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(line.size() + 1, event.size()));
        if (!line.empty() && line != "\r" && line.front() != ':')
            return false;
    }
    return true;
}

} // namespace

auto StreamPosition::beginAttempt() -> void
{
    m_mustContinue = m_lastEvent.has_value();
}

auto StreamPosition::accept(const StreamEvent &event) -> bool
{
    if (!event.id) {
        if (isComment(event.bytes))
            return true;
        if (m_mustContinue)
            return false;
        m_hasUnidentified = true;
        return true;
    }
    if (m_lastEvent && *event.id != *m_lastEvent + 1)
        return false;
    m_lastEvent = event.id;
    m_mustContinue = false;
    return true;
}

} // namespace heathergate::fleet
