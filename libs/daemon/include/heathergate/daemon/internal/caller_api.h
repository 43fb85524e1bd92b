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
    void directory(http::Token token);
    void startProgram(TimePoint now, http::Token token, const http::Request &request);
    void showProgram(TimePoint now, http::Token token, const http::Request &request,
                     const std::string &name);
    void endProgram(TimePoint now, http::Token token, const http::Request &request,
                    const std::string &name);
    void modelCall(TimePoint now, http::Token token, const http::Request &request);
    void serviceCall(TimePoint now, http::Token token, const http::Request &request);
    void openCall(TimePoint now, http::Token token, const http::Request &request,
                  const OpenRoute &route);

    [[nodiscard]] auto prepare(TimePoint now, http::Token token, const http::Request &request) const
        -> Result<CallRequest>;

    EntryContext &m_context;
    CallRunner &m_runner;
};

/// Returns a program for people and callers, without the calls' bodies.
[[nodiscard]] auto describeProgram(const programs::ProgramKey &key,
                                   const programs::Program &program) -> nlohmann::json;

} // namespace heathergate::daemon::internal
