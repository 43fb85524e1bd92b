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
    void getTable(http::Token token, const http::Request &request);
    void putRow(TimePoint now, http::Token token, const http::Request &request,
                const std::string &customer);
    void putTable(TimePoint now, http::Token token, const http::Request &request);
    void editNextRow(TimePoint now, http::Token token, std::vector<control::TableRow> rows,
                     std::string editId, nlohmann::json results);
    void listKeys(http::Token token);
    void giveKey(TimePoint now, http::Token token, const http::Request &request);
    void withdrawKey(TimePoint now, http::Token token, const std::string &id);
    void listUpstreams(http::Token token);
    void drainUpstream(TimePoint now, http::Token token, const http::Request &request,
                       const std::string &id);
    void giveOrder(TimePoint now, http::Token token, const http::Request &request,
                   const std::string &id);
    void listOrders(http::Token token);
    void listInstances(TimePoint now, http::Token token);
    void showGroup(TimePoint now, http::Token token, const std::string &group);
    void replaceReplica(TimePoint now, http::Token token, const http::Request &request);
    void showProgram(TimePoint now, http::Token token, const std::string &customer,
                     const std::string &program);
    void settleCall(TimePoint now, http::Token token, const http::Request &request);

    void applyEdit(TimePoint now, http::Token token, const control::ControlCommand &command,
                   bool wait);
    void answerEdit(http::Token token, const control::ControlOutcome &outcome,
                    const nlohmann::json &missing);
    void waitInForce(TimePoint now, http::Token token, control::ControlOutcome outcome,
                     TimePoint deadline);
    [[nodiscard]] auto editIdOf(const http::Request &request) -> std::string;

    EntryContext &m_context;
};

} // namespace heathergate::daemon::internal
