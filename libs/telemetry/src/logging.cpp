#include <heathergate/telemetry/logging.h>

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <iostream>

namespace heathergate::telemetry {

namespace {

namespace blog = boost::log;
namespace expr = boost::log::expressions;

constexpr std::string_view kLevelNames[] = {"debug", "info", "warning", "error"};

using Source = blog::sources::severity_logger_mt<LogLevel>;
using Backend = blog::sinks::text_ostream_backend;

auto formatLine(const std::string &instance, const blog::record_view &record,
                blog::formatting_ostream &out) -> void
{
    const auto level = blog::extract<LogLevel>("Severity", record);
    const auto time = blog::extract<boost::posix_time::ptime>("TimeStamp", record);
    if (time)
        out << boost::posix_time::to_iso_extended_string(time.get()) << ' ';
    if (level)
        out << kLevelNames[static_cast<int>(level.get())] << ' ';
    out << instance << ' ' << record[expr::smessage];
}

auto source() -> Source &
{
    static Source instance;
    return instance;
}

} // namespace

auto parseLogLevel(std::string_view name) -> Result<LogLevel>
{
    for (int i = 0; i < 4; ++i) {
        if (kLevelNames[i] == name)
            return static_cast<LogLevel>(i);
    }
    return fail(Code::BadSetting, "must be debug, info, warning or error");
}

auto startLogging(LogLevel level, const std::string &instance) -> void
{
    auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    auto sink = boost::make_shared<blog::sinks::synchronous_sink<Backend>>(backend);
    sink->set_formatter([instance](const blog::record_view &record, blog::formatting_ostream &out) {
        formatLine(instance, record, out);
    });
    blog::core::get()->remove_all_sinks();
    blog::core::get()->add_sink(sink);
    blog::core::get()->set_filter([level](const blog::attribute_value_set &values) {
        const auto severity = blog::extract<LogLevel>("Severity", values);
        return severity && severity.get() >= level;
    });
    blog::add_common_attributes();
}

auto Logger::debug(std::string_view message) const -> void
{
    write(LogLevel::Debug, message);
}

auto Logger::info(std::string_view message) const -> void
{
    write(LogLevel::Info, message);
}

auto Logger::warning(std::string_view message) const -> void
{
    write(LogLevel::Warning, message);
}

auto Logger::error(std::string_view message) const -> void
{
    write(LogLevel::Error, message);
}

auto Logger::write(LogLevel level, std::string_view message) const -> void
{
    BOOST_LOG_SEV(source(), level) << m_prefix << ": " << message;
}

} // namespace heathergate::telemetry
