#pragma once

#include <heathergate/daemon/internal/entry_context.h>

namespace heathergate::daemon::internal {

/// The routes for operators: table, keys, upstreams, instances, programs, replicas, orders.
class OperatorApi
{
public:
    explicit OperatorApi(EntryContext &context)
        : m_context(context)
    {
    }

    /// Handles a request if it is for one of these routes. Returns whether it was.
    auto handle(TimePoint now, http::Token token, const http::Request &request) -> bool;

private:
    auto getTable(http::Token token, const http::Request &request) -> void;
    auto putRow(TimePoint now, http::Token token, const http::Request &request,
                const std::string &customer) -> void;
    auto putTable(TimePoint now, http::Token token, const http::Request &request) -> void;
    auto editNextRow(TimePoint now, http::Token token, std::vector<control::TableRow> rows,
                     std::string editId, nlohmann::json results) -> void;
    auto listKeys(http::Token token) -> void;
    auto issueKey(TimePoint now, http::Token token, const http::Request &request) -> void;
    auto revokeKey(TimePoint now, http::Token token, const std::string &id) -> void;
    auto listUpstreams(http::Token token) -> void;
    auto drainUpstream(TimePoint now, http::Token token, const http::Request &request,
                       const std::string &id) -> void;
    auto issueOrder(TimePoint now, http::Token token, const http::Request &request,
                    const std::string &id) -> void;
    auto listOrders(http::Token token) -> void;
    auto listInstances(TimePoint now, http::Token token) -> void;
    auto showGroup(TimePoint now, http::Token token, const std::string &group) -> void;
    auto replaceReplica(TimePoint now, http::Token token, const http::Request &request) -> void;
    auto showProgram(TimePoint now, http::Token token, const std::string &customer,
                     const std::string &program) -> void;
    auto settleCall(TimePoint now, http::Token token, const http::Request &request) -> void;

    auto applyEdit(TimePoint now, http::Token token, const control::ControlCommand &command,
                   bool wait) -> void;
    auto answerEdit(http::Token token, const control::ControlOutcome &outcome,
                    const nlohmann::json &missing) -> void;
    auto waitUntilApplied(TimePoint now, http::Token token, control::ControlOutcome outcome,
                          TimePoint deadline) -> void;
    [[nodiscard]] auto editIdOf(const http::Request &request) -> std::string;

    EntryContext &m_context;
};

} // namespace heathergate::daemon::internal
