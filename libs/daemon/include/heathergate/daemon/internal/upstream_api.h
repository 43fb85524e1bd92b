#pragma once

#include <heathergate/daemon/internal/call_runner.h>

namespace heathergate::daemon::internal {

/// The routes for upstreams: announcement, renewal with a load report, and departure.
class UpstreamApi
{
public:
    UpstreamApi(EntryContext &context, CallRunner &runner)
        : m_context(context)
        , m_runner(runner)
    {
    }

    /// Handles a request if it is for one of these routes. Returns whether it was.
    auto handle(TimePoint now, http::Token token, const http::Request &request) -> bool;

    /// Moves out the renewals received since the last call.
    [[nodiscard]] auto takeRenewals() -> std::vector<wire::UpstreamLoad>;

private:
    auto announce(TimePoint now, http::Token token, const nlohmann::json &body) -> void;
    auto renew(http::Token token, const nlohmann::json &body) -> void;
    auto leave(TimePoint now, http::Token token, const nlohmann::json &body) -> void;

    EntryContext &m_context;
    CallRunner &m_runner;
    std::map<UpstreamId, wire::UpstreamLoad> m_renewals;
};

} // namespace heathergate::daemon::internal
