#pragma once

#include <heathergate/core/result.h>

#include <string>
#include <string_view>

namespace heathergate::telemetry {

enum class LogLevel { Debug, Info, Warning, Error };

/// Reads a level's name. Fails with `Code::BadSetting`.
[[nodiscard]] auto parseLogLevel(std::string_view name) -> Result<LogLevel>;

/// Starts logging to standard error from `level` upwards; `instance` stands in each line.
auto startLogging(LogLevel level, const std::string &instance) -> void;

/// Writes lines with the fixed prefix of one part. Keys and secrets never go into a log.
class Logger
{
public:
    /// Creates a logger for the part `prefix`, such as "peers".
    explicit Logger(std::string prefix)
        : m_prefix(std::move(prefix))
    {
    }

    auto debug(std::string_view message) const -> void;
    auto info(std::string_view message) const -> void;
    auto warning(std::string_view message) const -> void;
    auto error(std::string_view message) const -> void;

private:
    auto write(LogLevel level, std::string_view message) const -> void;

    std::string m_prefix;
};

} // namespace heathergate::telemetry
