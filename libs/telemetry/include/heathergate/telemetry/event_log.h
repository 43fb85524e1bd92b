#pragma once

#include <heathergate/core/core.h>

#include <map>
#include <string>
#include <string_view>

namespace heathergate::telemetry {

/// One field of a log line.
struct LogField
{
    std::string_view name;
    std::string value;

    LogField(std::string_view fieldName, std::string text)
        : name(fieldName)
        , value(std::move(text))
    {
    }
    LogField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    {
    }
    LogField(std::string_view fieldName, const char *text)
        : name(fieldName)
        , value(text)
    {
    }
    LogField(std::string_view fieldName, std::integral auto number)
        : name(fieldName)
        , value(std::to_string(number))
    {
    }
    /// Durations are written in milliseconds.
    LogField(std::string_view fieldName, Duration duration);
};

/// Importance of a line. Routine lines are dropped first when the buffer is nearly full.
enum class LogImportance {
    /// A request was processed normally.
    Routine,
    /// A refusal, a failure, or a change of the state that the process assumes.
    Important,
};

/// Structured log lines in a buffer of limited size: `ts=SECONDS part=PART event=EVENT NAME=VALUE
/// ...`. Adding a line never blocks. Lines beyond the limit are dropped, routine lines first, and
/// the next batch reports their number. Keys of callers must not be logged.
class EventLog
{
public:
    using Fields = std::initializer_list<LogField>;

    /// Creates a log. `wallOffset` is added to the time of a line to get the time since the Unix
    /// epoch. `maxBytes` is the limit of the buffer.
    explicit EventLog(Duration wallOffset = {}, std::size_t maxBytes = kDefaultMaxBytes)
        : m_wallOffset(wallOffset)
        , m_maxBytes(maxBytes)
    {
    }

    auto add(TimePoint now, LogImportance importance, std::string_view component,
             std::string_view event, Fields fields) -> void;

    /// Removes and returns the lines added since the last call.
    [[nodiscard]] auto take(TimePoint now) -> std::string;
    [[nodiscard]] auto pendingBytes() const -> std::size_t
    {
        return m_lines.size();
    }
    /// Returns the number of lines dropped since the start.
    [[nodiscard]] auto droppedLines() const -> std::uint64_t
    {
        return m_droppedLinesTotal;
    }

private:
    /// Holds several hundred lines between two flushes.
    static constexpr std::size_t kDefaultMaxBytes = 64 * 1024;

    auto append(TimePoint now, std::string_view component, std::string_view event, Fields fields)
        -> void;

    Duration m_wallOffset;
    std::size_t m_maxBytes;
    std::string m_lines;
    /// Lines dropped since the last batch that reported them.
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_droppedLinesTotal = 0;
};

} // namespace heathergate::telemetry
