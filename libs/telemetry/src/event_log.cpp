#include <heathergate/telemetry/event_log.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace heathergate::telemetry {

namespace {

/// Fraction of the buffer that routine lines may fill. The rest is reserved for important lines.
constexpr std::size_t kRoutineNumerator = 3;
constexpr std::size_t kRoutineDenominator = 4;

auto needsQuotes(std::string_view value) -> bool
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](char character) {
               return character <= ' ' || character == '"' || character == '=' || character == '\\';
           });
}

auto appendValue(std::string &line, std::string_view value) -> void
{
    if (!needsQuotes(value)) {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (const auto character : value) {
        if (character == '"' || character == '\\')
            line.push_back('\\');
        line.push_back(character < ' ' ? ' ' : character);
    }
    line.push_back('"');
}

} // namespace

LogField::LogField(std::string_view fieldName, Duration duration)
    : name(fieldName)
{
    std::array<char, 32> text{};
    const auto milliseconds = static_cast<double>(duration.count()) / 1000.0;
    const auto size = std::snprintf(text.data(), text.size(), "%.1f", milliseconds);
    value.assign(text.data(), static_cast<std::size_t>(std::max(size, 0)));
}

auto EventLog::add(TimePoint now, LogImportance importance, std::string_view component,
                   std::string_view event, Fields fields) -> void
{
    const auto limit = importance == LogImportance::Routine
                           ? m_maxBytes * kRoutineNumerator / kRoutineDenominator
                           : m_maxBytes;
    if (m_lines.size() >= limit) {
        ++m_droppedLines;
        ++m_droppedLinesTotal;
        return;
    }
    append(now, component, event, fields);
}

auto EventLog::take(TimePoint now) -> std::string
{
    if (const auto count = std::exchange(m_droppedLines, 0); count > 0)
        append(now, "log", "lines_left_out", {{"count", count}});
    return std::exchange(m_lines, {});
}

auto EventLog::append(TimePoint now, std::string_view component, std::string_view event,
                      Fields fields) -> void
{
    constexpr std::int64_t kMicrosPerSecond = 1'000'000;
    const auto micros = (now.time_since_epoch() + m_wallOffset).count();
    std::array<char, 48> stamp{};
    const auto size = std::snprintf(stamp.data(), stamp.size(), "ts=%lld.%06lld",
                                    static_cast<long long>(micros / kMicrosPerSecond),
                                    static_cast<long long>(std::abs(micros % kMicrosPerSecond)));
    m_lines.append(stamp.data(), static_cast<std::size_t>(std::max(size, 0)));
    m_lines.append(" part=").append(component).append(" event=").append(event);
    for (const auto &field : fields) {
        m_lines.append(" ").append(field.name).append("=");
        appendValue(m_lines, field.value);
    }
    m_lines.push_back('\n');
}

} // namespace heathergate::telemetry
