#pragma once

#include <heathergate/core/result.h>

#include <string>
#include <string_view>

namespace heathergate::telemetry {

enum class LogLevel { Debug, Info, Warning, Error };

/// Parses the name of a log level. Fails with `Code::BadSetting`.
[[nodiscard]] auto parseLogLevel(std::string_view name) -> Result<LogLevel>;

/// Starts logging to standard error at `level` and above. Each line contains `instance`.
auto startLogging(LogLevel level, const std::string &instance) -> void;

/// Writes log lines with the prefix of one component. Callers must not log keys or secrets.
class Logger
{
public:
    /// Creates a logger for the component `prefix`, such as "peers".
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
