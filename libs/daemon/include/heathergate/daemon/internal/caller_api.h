#pragma once

#include <heathergate/daemon/internal/call_runner.h>

namespace heathergate::daemon::internal {

/// The routes for callers: directory, programs, model calls, service calls.
class CallerApi
{
public:
    CallerApi(EntryContext &context, CallRunner &runner)
        : m_context(context)
        , m_runner(runner)
    {
    }

    /// Handles a request if it is for one of these routes. Returns whether it was.
    auto handle(TimePoint now, http::Token token, const http::Request &request) -> bool;

private:
    auto directory(http::Token token) -> void;
    auto startProgram(TimePoint now, http::Token token, const http::Request &request) -> void;
    auto showProgram(TimePoint now, http::Token token, const http::Request &request,
                     const std::string &name) -> void;
    auto endProgram(TimePoint now, http::Token token, const http::Request &request,
                    const std::string &name) -> void;
    auto modelCall(TimePoint now, http::Token token, const http::Request &request) -> void;
    auto serviceCall(TimePoint now, http::Token token, const http::Request &request) -> void;
    auto openCall(TimePoint now, http::Token token, const http::Request &request,
                  const OpenRoute &route) -> void;

    [[nodiscard]] auto prepare(TimePoint now, http::Token token, const http::Request &request) const
        -> Result<CallRequest>;

    EntryContext &m_context;
    CallRunner &m_runner;
};

/// Returns a program as JSON for callers and operators, without the bodies of its calls.
[[nodiscard]] auto describeProgram(const programs::ProgramKey &key,
                                   const programs::Program &program) -> nlohmann::json;

} // namespace heathergate::daemon::internal
