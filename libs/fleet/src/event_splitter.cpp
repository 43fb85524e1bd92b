#include <heathergate/fleet/event_splitter.h>

#include <charconv>
#include <utility>

namespace heathergate::fleet {

namespace {

/// Returns the position after the first blank line that ends at `from` or later, or npos.
auto endOfEvent(std::string_view bytes, std::size_t from) -> std::size_t
{
    for (std::size_t at = bytes.find('\n', from); at != std::string_view::npos;
         at = bytes.find('\n', at + 1)) {
        if (bytes.substr(at + 1, 1) == "\n")
            return at + 2;
        if (bytes.substr(at + 1, 2) == "\r\n")
            return at + 3;
    }
    return std::string_view::npos;
}

auto idOf(std::string_view event) -> std::optional<std::uint64_t>
{
    constexpr std::string_view kField = "id:";
    while (!event.empty()) {
        auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(line.size() + 1, event.size()));
        if (!line.starts_with(kField))
            continue;
        line.remove_prefix(kField.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto result = std::from_chars(line.data(), line.data() + line.size(), id);
        if (result.ec == std::errc())
            return id;
    }
    return std::nullopt;
}

} // namespace

auto eventData(std::string_view event) -> std::string
{
    constexpr std::string_view kField = "data:";
    std::string data;
    bool isFirst = true;
    while (!event.empty()) {
        auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(line.size() + 1, event.size()));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.starts_with(kField))
            continue;
        line.remove_prefix(kField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (!std::exchange(isFirst, false))
            data += '\n';
        data += line;
    }
    return data;
}

auto EventSplitter::feed(std::string_view bytes) -> std::vector<StreamEvent>
{
    // The end of an event can lie in what was received before only by its last two bytes.
    constexpr std::size_t kMaxSplitEnd = 2;
    auto searchFrom = m_incomplete.size() - std::min(m_incomplete.size(), kMaxSplitEnd);
    m_incomplete.append(bytes);
    std::vector<StreamEvent> events;
    std::size_t start = 0;
    while (true) {
        const auto rest = std::string_view(m_incomplete).substr(start);
        const auto size = endOfEvent(rest, std::exchange(searchFrom, 0));
        if (size == std::string_view::npos)
            break;
        events.push_back({std::string(rest.substr(0, size)), idOf(rest.substr(0, size))});
        start += size;
    }
    m_incomplete.erase(0, start);
    return events;
}

} // namespace heathergate::fleet
