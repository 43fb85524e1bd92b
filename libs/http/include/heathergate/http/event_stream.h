#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace heathergate::http {

/// Parses a stream of server-sent events into the `data` of each event.
class EventStreamReader
{
public:
    /// Processes received bytes and returns the data of the events that they complete.
    [[nodiscard]] auto feed(std::string_view bytes) -> std::vector<std::string>
    {
        std::vector<std::string> events;
        m_buffer.append(bytes);
        std::size_t start = 0;
        for (auto end = m_buffer.find('\n'); end != std::string::npos;
             end = m_buffer.find('\n', start)) {
            auto line = std::string_view(m_buffer).substr(start, end - start);
            if (!line.empty() && line.back() == '\r')
                line.remove_suffix(1);
            processLine(line, events);
            start = end + 1;
        }
        m_buffer.erase(0, start);
        return events;
    }

private:
    auto processLine(std::string_view line, std::vector<std::string> &events) -> void
    {
        constexpr std::string_view kDataField = "data:";
        if (line.empty()) {
            if (!m_data.empty())
                events.push_back(std::move(m_data));
            m_data.clear();
            return;
        }
        if (!line.starts_with(kDataField))
            return;
        line.remove_prefix(kDataField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (!m_data.empty())
            m_data += '\n';
        m_data += line;
    }

    std::string m_buffer;
    std::string m_data;
};

} // namespace heathergate::http
