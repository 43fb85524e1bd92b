#include <heathergate/core/json_text.h>
#include <heathergate/daemon/internal/operator_api.h>

#include <heathergate/daemon/internal/caller_api.h>

namespace heathergate::daemon::internal {

namespace {

constexpr Duration kEditDeadline = std::chrono::seconds(5);
/// Maximum time to wait until all instances have applied a change.
constexpr Duration kApplyDeadline = std::chrono::seconds(5);
constexpr Duration kApplyPollInterval = std::chrono::milliseconds(100);
/// Bytes of derived key material in an issued key.
constexpr std::size_t kKeyBytes = 24;
constexpr std::string_view kPrefix = "/operator/v1/";

auto rowJson(const control::TableRow &row) -> nlohmann::json
{
    return {{"customer", row.customer.value},  {"rate", row.values.rate},
            {"burst", row.values.burst},       {"budget", row.values.budget},
            {"priority", row.values.priority}, {"weight", row.values.weight},
            {"revision", row.revision}};
}

/// Reads a row's values; absent fields keep their value in `current`.
auto readValues(const nlohmann::json &body, control::RowValues current)
    -> Result<control::RowValues>
{
    for (const auto &[field, value] : body.items()) {
        const auto isWhole = value.is_number_integer();
        if (field == "rate" && value.is_number())
            current.rate = value.get<double>();
        else if (field == "burst" && value.is_number())
            current.burst = value.get<double>();
        else if (field == "weight" && value.is_number())
            current.weight = value.get<double>();
        else if (field == "budget" && isWhole)
            current.budget = value.get<std::int64_t>();
        else if (field == "priority" && isWhole)
            current.priority = value.get<int>();
        else if (field == "rate" || field == "burst" || field == "weight" || field == "budget"
                 || field == "priority")
            return fail(Code::BadRequest, field + ": must be a number");
        else if (field != "revision" && field != "customer")
            return fail(Code::BadRequest, field + ": is not a column of the table");
    }
    if (const auto allowed = control::checkRow(current); !allowed)
        return tl::unexpected(allowed.error());
    return current;
}

/// Returns the segments of a path after the prefix.
auto segments(const std::string &path) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    std::size_t start = kPrefix.size();
    while (start <= path.size()) {
        const auto end = std::min(path.find('/', start), path.size());
        parts.push_back(path.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

} // namespace

auto OperatorApi::handle(TimePoint now, http::Token token, const http::Request &request) -> bool
{
    if (!request.path.starts_with(kPrefix))
        return false;
    const auto identity = authenticateOperator(now, m_context, request);
    if (!identity) {
        m_context.refuse(token, identity.error());
        return true;
    }
    const auto parts = segments(request.path);
    const auto matches = [&](const char *method, std::size_t count, const char *first) {
        return request.method == method && parts.size() == count && parts[0] == first;
    };
    if (matches("GET", 1, "table"))
        getTable(token, request);
    else if (matches("PUT", 1, "table"))
        putTable(now, token, request);
    else if ((matches("PUT", 2, "table") || matches("DELETE", 2, "table")))
        putRow(now, token, request, parts[1]);
    else if (matches("GET", 1, "keys"))
        listKeys(token);
    else if (matches("POST", 1, "keys"))
        issueKey(now, token, request);
    else if (matches("DELETE", 2, "keys"))
        revokeKey(now, token, parts[1]);
    else if (matches("GET", 1, "upstreams"))
        listUpstreams(token);
    else if (matches("POST", 3, "upstreams") && parts[2] == "drain")
        drainUpstream(now, token, request, parts[1]);
    else if (matches("POST", 3, "upstreams") && parts[2] == "orders")
        issueOrder(now, token, request, parts[1]);
    else if (matches("GET", 1, "orders"))
        listOrders(token);
    else if (matches("GET", 1, "instances"))
        listInstances(now, token);
    else if (matches("GET", 2, "groups"))
        showGroup(now, token, parts[1]);
    else if (matches("POST", 1, "replacements"))
        replaceReplica(now, token, request);
    else if (matches("GET", 3, "programs"))
        showProgram(now, token, parts[1], parts[2]);
    else if (matches("POST", 1, "settlements"))
        settleCall(now, token, request);
    else
        return false;
    return true;
}

auto OperatorApi::getTable(http::Token token, const http::Request &request) -> void
{
    const auto &state = m_context.view.state();
    if (request.header("accept").find("text/csv") != std::string::npos) {
        m_context.respond(token, {200,
                                  {{"content-type", "text/csv; charset=utf-8"}},
                                  control::tableToCsv(state.rows())});
        return;
    }
    auto rows = nlohmann::json::array();
    for (const auto &[customer, row] : state.rows())
        rows.push_back(rowJson(row));
    m_context.respond(token, jsonResponse({{"revision", state.revision()}, {"rows", rows}}));
}

auto OperatorApi::putRow(TimePoint now, http::Token token, const http::Request &request,
                         const std::string &customer) -> void
{
    const auto remove = request.method == "DELETE";
    const auto body = parseJsonObject(request.body.empty() ? "{}" : request.body);
    if (!body)
        return m_context.refuse(token, body.error());
    if (customer.empty() || customer.size() > 64)
        return m_context.refuse(token,
                                Error{Code::BadRequest, "customer: must have 1 to 64 characters"});
    const auto revision = body->value("revision", nlohmann::json());
    if (!revision.is_number_unsigned())
        return m_context.refuse(
            token, Error{Code::BadRequest,
                         "revision: must be the number the row was read under, 0 for a new row"});
    control::EditRow edit;
    edit.editId = editIdOf(request);
    edit.customer = CustomerId(customer);
    edit.expected = revision.get<std::uint64_t>();
    if (!remove) {
        const auto *current = m_context.view.state().row(edit.customer);
        const auto values =
            readValues(*body, current == nullptr ? control::RowValues{} : current->values);
        if (!values)
            return m_context.refuse(token, values.error());
        edit.values = *values;
    }
    applyEdit(now, token, edit, request.query.contains("wait"));
}

auto OperatorApi::putTable(TimePoint now, http::Token token, const http::Request &request) -> void
{
    auto rows = control::tableFromCsv(request.body);
    if (!rows)
        return m_context.refuse(token, rows.error());
    std::reverse(rows->begin(), rows->end());
    editNextRow(now, token, std::move(*rows), editIdOf(request), nlohmann::json::array());
}

auto OperatorApi::editNextRow(TimePoint now, http::Token token, std::vector<control::TableRow> rows,
                              std::string editId, nlohmann::json results) -> void
{
    if (rows.empty())
        return m_context.respond(token, jsonResponse({{"rows", results}}));
    const auto row = rows.back();
    rows.pop_back();
    control::EditRow edit{editId + "/" + row.customer.value, row.customer, row.revision,
                          row.values};
    m_context.applyControl(
        now, edit, now + kEditDeadline,
        [this, token, rows = std::move(rows), editId, results = std::move(results),
         row](TimePoint at, const Result<control::ControlOutcome> &outcome) mutable {
            nlohmann::json line{{"customer", row.customer.value}};
            const auto error = outcome ? outcome->error : std::optional<Error>(outcome.error());
            line["accepted"] = !error.has_value();
            if (error) {
                line["code"] = static_cast<int>(error->code);
                line["detail"] = error->detail;
            }
            if (outcome && outcome->row)
                line["row"] = rowJson(*outcome->row);
            results.push_back(std::move(line));
            editNextRow(at, token, std::move(rows), std::move(editId), std::move(results));
        });
}

auto OperatorApi::listKeys(http::Token token) -> void
{
    auto keys = nlohmann::json::array();
    for (const auto &[hash, record] : m_context.view.state().keys()) {
        const auto isOperator = record.owner == control::KeyOwner::Operator;
        keys.push_back({{"id", record.id.value},
                        {"owner", isOperator ? "operator" : "caller"},
                        {"holder", record.holder.value},
                        {"given_at", record.givenAt}});
    }
    m_context.respond(token, jsonResponse({{"keys", keys}}));
}

auto OperatorApi::issueKey(TimePoint now, http::Token token, const http::Request &request) -> void
{
    const auto body = parseJsonObject(request.body);
    if (!body)
        return m_context.refuse(token, body.error());
    const auto isOperator = body->contains("operator");
    const auto field = std::string(isOperator ? "operator" : "customer");
    const auto holder = body->value(field, nlohmann::json());
    if (!holder.is_string() || holder.get<std::string>().empty())
        return m_context.refuse(token,
                                Error{Code::BadRequest, "customer or operator: must be a name"});
    control::IssueKey issue;
    issue.editId = editIdOf(request);
    // A resend of the same edit must return the same key, which is not stored; so it is derived.
    const auto material =
        hmacSha256(m_context.settings.hashSecret,
                   "key material\n" + issue.editId + "\n" + holder.get<std::string>());
    const auto key = (isOperator ? "hgo_" : "hgc_") + toHex(material.substr(0, kKeyBytes));
    issue.keyHash = keyHashOf(m_context.settings, key);
    issue.id = KeyId("key-" + issue.keyHash.substr(0, 12));
    issue.owner = isOperator ? control::KeyOwner::Operator : control::KeyOwner::Caller;
    issue.holder = CustomerId(holder.get<std::string>());
    m_context.applyControl(
        now, issue, now + kEditDeadline,
        [this, token, key, id = issue.id](TimePoint,
                                          const Result<control::ControlOutcome> &outcome) {
            if (!outcome)
                return m_context.refuse(token, outcome.error());
            if (outcome->error)
                return m_context.refuse(token, *outcome->error);
            m_context.respond(
                token, jsonResponse(
                           {{"id", id.value}, {"key", key}, {"revision", outcome->revision}}, 201));
        });
}

auto OperatorApi::revokeKey(TimePoint now, http::Token token, const std::string &id) -> void
{
    applyEdit(now, token, control::RevokeKey{"withdraw/" + id, KeyId(id)}, true);
}

auto OperatorApi::listUpstreams(http::Token token) -> void
{
    auto upstreams = nlohmann::json::array();
    for (const auto &[id, record] : m_context.view.state().upstreams())
        upstreams.push_back({{"id", id.value},
                             {"address", record.offer.address},
                             {"failure_domain", record.offer.domain.value},
                             {"models", record.offer.models},
                             {"services", record.offer.services},
                             {"slots", record.offer.slots},
                             {"incarnation", record.incarnation},
                             {"draining", record.draining}});
    m_context.respond(token, jsonResponse({{"upstreams", upstreams}}));
}

auto OperatorApi::drainUpstream(TimePoint now, http::Token token, const http::Request &request,
                                const std::string &id) -> void
{
    const auto end = request.query.contains("end");
    applyEdit(now, token, control::DrainUpstream{editIdOf(request), UpstreamId(id), !end}, true);
}

auto OperatorApi::issueOrder(TimePoint now, http::Token token, const http::Request &request,
                             const std::string &id) -> void
{
    const auto body = parseJsonObject(request.body);
    if (!body)
        return m_context.refuse(token, body.error());
    const auto action = body->value("action", nlohmann::json());
    const auto argument = body->value("argument", nlohmann::json(""));
    if (!action.is_string() || !argument.is_string())
        return m_context.refuse(token,
                                Error{Code::BadRequest, "action and argument: must be text"});
    applyEdit(now, token,
              control::IssueOrder{editIdOf(request), UpstreamId(id), action.get<std::string>(),
                                  argument.get<std::string>()},
              false);
}

auto OperatorApi::listOrders(http::Token token) -> void
{
    constexpr const char *kStates[] = {"pending", "acknowledged", "withdrawn"};
    auto orders = nlohmann::json::array();
    for (const auto &[number, order] : m_context.view.state().orders())
        orders.push_back({{"number", number},
                          {"upstream", order.upstream.value},
                          {"action", order.action},
                          {"argument", order.argument},
                          {"state", kStates[static_cast<int>(order.state)]}});
    m_context.respond(token, jsonResponse({{"orders", orders}}));
}

auto OperatorApi::listInstances(TimePoint now, http::Token token) -> void
{
    m_context.groups.call(
        now, kControlGroup, wire::RequestKind::ReadGroup, {}, now + kEditDeadline,
        [this, token](TimePoint, const Result<std::string> &body) {
            const auto group =
                body ? nlohmann::json::parse(*body, nullptr, false) : nlohmann::json::object();
            auto instances = nlohmann::json::array();
            for (const auto &[id, record] : m_context.view.state().instances()) {
                nlohmann::json line{{"id", id.value},
                                    {"address", record.offer.callerAddress},
                                    {"failure_domain", record.offer.domain.value},
                                    {"incarnation", record.incarnation},
                                    {"draining", record.draining},
                                    {"failed", record.failed}};
                if (group.contains("followers") && group["followers"].contains(id.value))
                    line.update(group["followers"][id.value]);
                instances.push_back(std::move(line));
            }
            m_context.respond(token,
                              jsonResponse({{"revision", m_context.view.state().revision()},
                                            {"leader", group.value("leader", "")},
                                            {"voters", group.value("voters", nlohmann::json())},
                                            {"instances", instances}}));
        });
}

auto OperatorApi::showGroup(TimePoint now, http::Token token, const std::string &group) -> void
{
    const auto number = std::strtoul(group.c_str(), nullptr, 10);
    m_context.groups.call(
        now, static_cast<GroupId>(number), wire::RequestKind::ReadGroup, {}, now + kEditDeadline,
        [this, token](TimePoint, const Result<std::string> &body) {
            if (!body)
                return m_context.refuse(token, body.error());
            m_context.respond(token, {200, {{"content-type", "application/json"}}, *body});
        });
}

auto OperatorApi::replaceReplica(TimePoint now, http::Token token, const http::Request &request)
    -> void
{
    const auto body = parseJsonObject(request.body);
    if (!body)
        return m_context.refuse(token, body.error());
    const auto oldReplica = body->value("old", nlohmann::json());
    const auto newReplica = body->value("new", nlohmann::json());
    if (!oldReplica.is_string() || !newReplica.is_string())
        return m_context.refuse(token,
                                Error{Code::BadRequest, "old and new: must be names of replicas"});
    applyEdit(
        now, token,
        control::StartReplacement{editIdOf(request),
                                  {oldReplica.get<std::string>(), newReplica.get<std::string>()}},
        false);
}

auto OperatorApi::showProgram(TimePoint now, http::Token token, const std::string &customer,
                              const std::string &program) -> void
{
    const programs::ProgramKey key{CustomerId(customer), ProgramId(program)};
    m_context.groups.call(now, m_context.shardOf(key), wire::RequestKind::ReadProgram, encode(key),
                          now + kEditDeadline,
                          [this, token, key](TimePoint, const Result<std::string> &body) {
                              const auto found = EntryContext::bodyOf<programs::Program>(body);
                              if (!found)
                                  return m_context.refuse(token, found.error());
                              m_context.respond(token, jsonResponse(describeProgram(key, *found)));
                          });
}

auto OperatorApi::settleCall(TimePoint now, http::Token token, const http::Request &request) -> void
{
    const auto body = parseJsonObject(request.body);
    if (!body)
        return m_context.refuse(token, body.error());
    programs::SettleCall settlement;
    const auto text = [&](const char *field) {
        const auto value = body->value(field, nlohmann::json());
        return value.is_string() ? value.get<std::string>() : std::string();
    };
    const auto ran = body->value("ran", nlohmann::json());
    if (text("customer").empty() || text("program").empty() || text("call").empty()
        || !ran.is_boolean())
        return m_context.refuse(
            token, Error{Code::BadRequest,
                         "customer, program, call and ran: must be names and a boolean"});
    settlement.key = {CustomerId(text("customer")), ProgramId(text("program"))};
    settlement.call = CallId(text("call"));
    settlement.ran = ran.get<bool>();
    settlement.status = settlement.ran ? 200 : 0;
    settlement.answer = text("answer");
    m_context.applyProgram(
        now, m_context.shardOf(settlement.key), settlement, now + kEditDeadline,
        [this, token](TimePoint, const Result<programs::ProgramOutcome> &outcome) {
            if (!outcome)
                return m_context.refuse(token, outcome.error());
            m_context.respond(token, http::Response{204, {}, {}});
        });
}

auto OperatorApi::applyEdit(TimePoint now, http::Token token,
                            const control::ControlCommand &command, bool wait) -> void
{
    m_context.applyControl(
        now, command, now + kEditDeadline,
        [this, token, wait](TimePoint at, const Result<control::ControlOutcome> &outcome) {
            if (!outcome)
                return m_context.refuse(token, outcome.error());
            if (outcome->error || !wait)
                return answerEdit(token, *outcome, nullptr);
            waitUntilApplied(at, token, *outcome, at + kApplyDeadline);
        });
}

auto OperatorApi::answerEdit(http::Token token, const control::ControlOutcome &outcome,
                             const nlohmann::json &missing) -> void
{
    nlohmann::json body{{"revision", outcome.revision}};
    if (outcome.row)
        body["row"] = rowJson(*outcome.row);
    if (outcome.number != 0)
        body["number"] = outcome.number;
    if (missing.is_array()) {
        body["in_force"] = missing.empty();
        body["missing"] = missing;
    }
    if (!outcome.error)
        return m_context.respond(token, jsonResponse(body));
    auto response = problemResponse(*outcome.error);
    auto problem = nlohmann::json::parse(response.body, nullptr, false);
    if (outcome.row)
        problem["row"] = rowJson(*outcome.row);
    response.body = jsonText(problem);
    m_context.respond(token, std::move(response));
}

auto OperatorApi::waitUntilApplied(TimePoint now, http::Token token,
                                   control::ControlOutcome outcome, TimePoint deadline) -> void
{
    m_context.groups.call(
        now, kControlGroup, wire::RequestKind::ReadGroup, {}, deadline,
        [this, token, outcome = std::move(outcome), deadline](TimePoint at,
                                                              const Result<std::string> &body) {
            const auto group =
                body ? nlohmann::json::parse(*body, nullptr, false) : nlohmann::json::object();
            const auto followers = group.value("followers", nlohmann::json::object());
            auto missing = nlohmann::json::array();
            for (const auto &[id, record] : m_context.view.state().instances()) {
                if (record.failed)
                    continue;
                const auto known = followers.find(id.value);
                if (known == followers.end()
                    || known->value("revision", std::uint64_t(0)) < outcome.revision)
                    missing.push_back(id.value);
            }
            if (missing.empty() || at + kApplyPollInterval >= deadline)
                return answerEdit(token, outcome, missing);
            m_context.timers.add(at + kApplyPollInterval,
                                 [this, token, outcome, deadline](TimePoint later) {
                                     waitUntilApplied(later, token, outcome, deadline);
                                 });
        });
}

auto OperatorApi::editIdOf(const http::Request &request) -> std::string
{
    const auto given = request.header("x-edit-id");
    if (!given.empty())
        return given;
    return std::to_string(m_context.bootId) + "-" + std::to_string(m_context.nextNumber());
}

} // namespace heathergate::daemon::internal
