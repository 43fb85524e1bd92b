#include <heathergate/core/json_text.h>
#include <heathergate/daemon/internal/caller_api.h>

#include <algorithm>
#include <charconv>

namespace heathergate::daemon::internal {

namespace {

constexpr std::int64_t kDefaultMaxTokens = 256;
constexpr std::int64_t kMaxTokens = 32'768;
/// Maximum token budget of a program if the customer's row sets none.
constexpr std::int64_t kMaxBudget = 1'000'000'000;
constexpr std::size_t kMaxMessages = 2'000;
constexpr std::size_t kMaxKeyLength = 200;
constexpr Duration kReadDeadline = std::chrono::seconds(5);
constexpr std::string_view kProgramsPath = "/v1/programs";
constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kChatPath = "/v1/chat/completions";

auto badField(const std::string &field, const std::string &allowed) -> tl::unexpected<Error>
{
    return fail(Code::BadRequest, field + ": must be " + allowed);
}

/// Reads an integer from a JSON object; returns `fallback` if the field is absent.
auto readNumber(const nlohmann::json &body, const std::string &field, std::int64_t fallback,
                std::int64_t minimum, std::int64_t maximum) -> Result<std::int64_t>
{
    const auto found = body.find(field);
    if (found == body.end())
        return fallback;
    if (!found->is_number_integer() || *found < minimum || *found > maximum)
        return badField(field, "a whole number from " + std::to_string(minimum) + " to "
                                   + std::to_string(maximum));
    return found->get<std::int64_t>();
}

auto readHeaderNumber(const http::Request &request, const std::string &name, std::int64_t fallback,
                      std::int64_t maximum) -> Result<std::int64_t>
{
    const auto text = request.header(name);
    if (text.empty())
        return fallback;
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() || value < 1
        || value > maximum)
        return badField(name, "a whole number from 1 to " + std::to_string(maximum));
    return value;
}

/// Returns whether a caller may use a program name. A leading '_' marks the programs of standalone
/// service calls.
auto isCallerProgram(const std::string &name) -> bool
{
    return programs::isValidProgramName(name) && name.front() != '_';
}

auto checkMessages(const nlohmann::json &messages) -> Result<void>
{
    if (!messages.is_array() || messages.empty() || messages.size() > kMaxMessages)
        return badField("messages", "a list of 1 to 2000 messages");
    for (std::size_t i = 0; i < messages.size(); ++i) {
        const auto &message = messages[i];
        const auto location = "messages[" + std::to_string(i) + "]";
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
            return badField(location + ".role", "text");
        if (!message.contains("content") || !message["content"].is_string())
            return badField(location + ".content", "text");
    }
    return {};
}

/// Refuses a request that contains the caller's key outside the Authorization header, because
/// those parts are forwarded to upstreams, which must not receive the key.
auto checkKeyNotExposed(const http::Request &request) -> Result<void>
{
    const auto key = bearerKey(request);
    if (!key)
        return {};
    const auto refusal = [](const std::string &location) {
        return fail(Code::BadRequest, location + ": must not contain the caller's key");
    };
    if (request.path.find(*key) != std::string::npos)
        return refusal("path");
    if (request.body.find(*key) != std::string::npos)
        return refusal("body");
    for (const auto &[name, value] : request.query) {
        if (value.find(*key) != std::string::npos || name.find(*key) != std::string::npos)
            return refusal("query");
    }
    for (const auto &[name, value] : request.headers) {
        if (name != "authorization" && value.find(*key) != std::string::npos)
            return refusal("header " + name);
    }
    return {};
}

auto escapedQuery(const std::string &text) -> std::string
{
    std::string out;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~')
            out += static_cast<char>(c);
        else
            out += '%' + toHex(std::string(1, static_cast<char>(c)));
    }
    return out;
}

auto pathWithQuery(const std::string &path, const http::Request &request) -> std::string
{
    auto out = path.empty() ? std::string("/") : path;
    char separator = '?';
    for (const auto &[name, value] : request.query) {
        out += separator + escapedQuery(name) + '=' + escapedQuery(value);
        separator = '&';
    }
    return out;
}

auto isSafeMethod(const std::string &method) -> bool
{
    return method == "GET" || method == "HEAD";
}

auto isValidPath(const std::string &path) -> bool
{
    return std::none_of(path.begin(), path.end(),
                        [](unsigned char c) { return c <= ' ' || c == 0x7f || c == '#'; });
}

} // namespace

auto describeProgram(const programs::ProgramKey &key, const programs::Program &program)
    -> nlohmann::json
{
    constexpr const char *kStatus[] = {"active", "ended", "expired"};
    constexpr const char *kStates[] = {"running", "interrupted", "completed", "unknown"};
    auto calls = nlohmann::json::object();
    for (const auto &[id, record] : program.calls)
        calls[id.value] = {{"state", kStates[static_cast<int>(record.state)]},
                           {"turn", record.turn},
                           {"attempts", record.attempt},
                           {"status", record.status}};
    return {{"id", key.program.value},
            {"customer", key.customer.value},
            {"status", kStatus[static_cast<int>(program.status)]},
            {"end_reason", program.endReason},
            {"turns", program.turns},
            {"budget",
             {{"limit", program.limits.budget},
              {"spent", program.spent},
              {"reserved", program.reserved}}},
            {"calls", std::move(calls)},
            {"history",
             nlohmann::json::parse(programs::ProgramLedger::historyOf(program), nullptr, false)}};
}

auto CallerApi::handle(TimePoint now, http::Token token, const http::Request &request) -> bool
{
    const auto &path = request.path;
    if (path == "/v1/directory" && request.method == "GET") {
        directory(token);
    } else if (path == kProgramsPath && request.method == "POST") {
        startProgram(now, token, request);
    } else if (path.starts_with(std::string(kProgramsPath) + "/") && request.method == "GET") {
        showProgram(now, token, request, path.substr(kProgramsPath.size() + 1));
    } else if (path.starts_with(std::string(kProgramsPath) + "/") && request.method == "DELETE") {
        endProgram(now, token, request, path.substr(kProgramsPath.size() + 1));
    } else if (path == kChatPath && request.method == "POST") {
        modelCall(now, token, request);
    } else if (path.starts_with(kServicesPath)) {
        serviceCall(now, token, request);
    } else {
        const auto &routes = m_context.settings.openRoutes;
        const auto route = std::find_if(routes.begin(), routes.end(),
                                        [&](const OpenRoute &item) { return item.path == path; });
        if (route == routes.end())
            return false;
        openCall(now, token, request, *route);
    }
    return true;
}

auto CallerApi::directory(http::Token token) -> void
{
    struct DirectoryEntry
    {
        int load = 0;
        nlohmann::json json;
    };
    std::vector<DirectoryEntry> entries;
    for (const auto &[id, record] : m_context.view.state().instances()) {
        if (record.draining || record.failed)
            continue;
        // An instance without a reported load sorts after the others.
        const auto load = m_context.instanceLoads.find(id);
        const auto known = load != m_context.instanceLoads.end();
        entries.push_back({known ? load->second : std::numeric_limits<int>::max(),
                           {{"id", id.value},
                            {"address", record.offer.callerAddress},
                            {"failure_domain", record.offer.domain.value},
                            {"load", known ? nlohmann::json(load->second) : nlohmann::json()}}});
    }
    std::stable_sort(entries.begin(), entries.end(),
                     [](const DirectoryEntry &left, const DirectoryEntry &right) {
                         return left.load < right.load;
                     });
    auto instances = nlohmann::json::array();
    for (auto &entry : entries)
        instances.push_back(std::move(entry.json));
    const auto ttl =
        std::chrono::duration_cast<std::chrono::seconds>(m_context.settings.directoryTtl);
    m_context.respond(token,
                      jsonResponse({{"ttl_s", ttl.count()}, {"instances", std::move(instances)}}));
}

auto CallerApi::startProgram(TimePoint now, http::Token token, const http::Request &request) -> void
{
    const auto identity = authenticateCaller(now, m_context, request);
    if (!identity)
        return m_context.refuse(token, identity.error());
    const auto *row = m_context.view.state().row(identity->record.holder);
    if (row == nullptr)
        return m_context.refuse(token, Error{Code::UnknownCustomer, "the customer has no row"});
    const auto body = parseJsonObject(request.body.empty() ? "{}" : request.body);
    if (!body)
        return m_context.refuse(token, body.error());
    auto name = std::string("p")
                + toHex(hmacSha256(std::to_string(m_context.bootId),
                                   std::to_string(m_context.nextNumber())))
                      .substr(0, 20);
    if (body->contains("id")) {
        if (!(*body)["id"].is_string() || !isCallerProgram((*body)["id"].get<std::string>()))
            return m_context.refuse(
                token, Error{Code::BadRequest,
                             "id: must be letters, digits, '-' and '_', at most 100; a sub-agent "
                             "is named after its program and a '.'"});
        name = (*body)["id"].get<std::string>();
    }
    const auto maximum = row->values.budget > 0 ? row->values.budget : kMaxBudget;
    const auto budget = readNumber(*body, "budget", maximum, 0, maximum);
    const auto turns =
        readNumber(*body, "max_turns", m_context.settings.maxTurns, 1, m_context.settings.maxTurns);
    const auto maxLifetime =
        std::chrono::duration_cast<std::chrono::seconds>(m_context.settings.programLifetime)
            .count();
    const auto lifetime = readNumber(*body, "lifetime_s", maxLifetime, 1, maxLifetime);
    for (const auto *field : {&budget, &turns, &lifetime}) {
        if (!*field)
            return m_context.refuse(token, field->error());
    }
    programs::StartProgram start;
    start.key = {identity->record.holder, ProgramId(name)};
    start.limits = {*budget, static_cast<int>(*turns), std::chrono::seconds(*lifetime),
                    m_context.settings.programIdle};
    start.startId = std::to_string(m_context.bootId) + "-" + std::to_string(token);
    m_context.applyProgram(
        now, m_context.shardOf(start.key), start, now + kReadDeadline,
        [this, token, name](TimePoint, const Result<programs::ProgramOutcome> &outcome) {
            if (!outcome)
                return m_context.refuse(token, outcome.error());
            m_context.respond(token, jsonResponse({{"id", name}}, 201));
        });
}

auto CallerApi::showProgram(TimePoint now, http::Token token, const http::Request &request,
                            const std::string &name) -> void
{
    const auto identity = authenticateCaller(now, m_context, request);
    if (!identity)
        return m_context.refuse(token, identity.error());
    const programs::ProgramKey key{identity->record.holder, ProgramId(name)};
    m_context.groups.call(
        now, m_context.shardOf(key), wire::RequestKind::ReadProgram, encode(key),
        now + kReadDeadline, [this, token, key](TimePoint, const Result<std::string> &body) {
            const auto program = EntryContext::bodyOf<programs::Program>(body);
            if (!program)
                return m_context.refuse(token, program.error());
            m_context.respond(token, jsonResponse(describeProgram(key, *program)));
        });
}

auto CallerApi::endProgram(TimePoint now, http::Token token, const http::Request &request,
                           const std::string &name) -> void
{
    const auto identity = authenticateCaller(now, m_context, request);
    if (!identity)
        return m_context.refuse(token, identity.error());
    const programs::ProgramKey key{identity->record.holder, ProgramId(name)};
    m_context.applyProgram(
        now, m_context.shardOf(key), programs::EndProgram{key}, now + kReadDeadline,
        [this, token](TimePoint, const Result<programs::ProgramOutcome> &outcome) {
            if (!outcome)
                return m_context.refuse(token, outcome.error());
            m_context.respond(token, http::Response{204, {}, {}});
        });
}

auto CallerApi::prepare(TimePoint now, http::Token token, const http::Request &request) const
    -> Result<CallRequest>
{
    const auto identity = authenticateCaller(now, m_context, request);
    if (!identity)
        return tl::unexpected(identity.error());
    if (const auto checked = checkKeyNotExposed(request); !checked)
        return tl::unexpected(checked.error());
    CallRequest call;
    call.token = token;
    call.keyHash = identity->keyHash;
    call.customer = identity->record.holder;
    call.traceparent = request.header("traceparent");
    if (const auto *row = m_context.view.state().row(call.customer)) {
        call.priority = row->values.priority;
        call.weight = row->values.weight;
    }
    const auto maximum =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_context.settings.requestDeadline)
            .count();
    const auto deadline = readHeaderNumber(request, "x-deadline-ms", maximum, maximum);
    if (!deadline)
        return tl::unexpected(deadline.error());
    call.deadline = now + std::chrono::milliseconds(*deadline);
    const auto turn = readHeaderNumber(request, "x-turn", 0, 1'000'000);
    if (!turn)
        return tl::unexpected(turn.error());
    call.turn = static_cast<int>(*turn);
    const auto key = request.header("idempotency-key");
    if (key.size() > kMaxKeyLength)
        return badField("idempotency-key", "at most 200 characters");
    call.callId =
        CallId(key.empty() ? "c-" + std::to_string(m_context.bootId) + "-" + std::to_string(token)
                           : "k-" + key);
    const auto program = request.header("x-program-id");
    if (!program.empty()) {
        if (!isCallerProgram(program))
            return badField("x-program-id", "the id of a program");
        call.program = programs::ProgramKey{call.customer, ProgramId(program)};
    }
    return call;
}

auto CallerApi::modelCall(TimePoint now, http::Token token, const http::Request &request) -> void
{
    auto call = prepare(now, token, request);
    if (!call)
        return m_context.refuse(token, call.error());
    const auto body = parseJsonObject(request.body);
    if (!body)
        return m_context.refuse(token, body.error());
    if (!body->contains("model") || !(*body)["model"].is_string())
        return m_context.refuse(token, Error{Code::BadRequest, "model: must be text"});
    const auto messages = body->value("messages", nlohmann::json());
    if (const auto allowed = checkMessages(messages); !allowed)
        return m_context.refuse(token, allowed.error());
    const auto maxTokens = readNumber(*body, "max_tokens", kDefaultMaxTokens, 1, kMaxTokens);
    if (!maxTokens)
        return m_context.refuse(token, maxTokens.error());
    const auto stream = body->find("stream");
    if (stream != body->end() && !stream->is_boolean())
        return m_context.refuse(token, Error{Code::BadRequest, "stream: must be true or false"});
    call->kind = programs::CallKind::Model;
    call->idempotent = true;
    call->model = (*body)["model"].get<std::string>();
    call->lane = "model:" + call->model;
    call->newMessages = messages;
    call->maxTokens = *maxTokens;
    call->stream = stream != body->end() && stream->get<bool>();
    const auto content = call->model + "\n" + jsonText(messages);
    call->digest = toHex(hmacSha256("call", content));
    call->fingerprint = toHex(hmacSha256(call->customer.value, content));
    m_runner.start(now, std::move(*call));
}

auto CallerApi::serviceCall(TimePoint now, http::Token token, const http::Request &request) -> void
{
    auto call = prepare(now, token, request);
    if (!call)
        return m_context.refuse(token, call.error());
    const auto rest = request.path.substr(kServicesPath.size());
    const auto slash = rest.find('/');
    const auto service = rest.substr(0, slash);
    const auto path = slash == std::string::npos ? std::string("/") : rest.substr(slash);
    if (service.empty() || !isValidPath(path))
        return m_context.refuse(token,
                                Error{Code::BadRequest, "path: must be /v1/services/SERVICE/PATH"});
    call->kind = programs::CallKind::Service;
    call->idempotent = isSafeMethod(request.method);
    call->lane = "service:" + service;
    call->method = request.method;
    call->path = pathWithQuery(path, request);
    call->contentType = request.header("content-type");
    call->body = request.body;
    const auto content =
        request.method + " " + service + call->path + "\n" + call->contentType + "\n" + call->body;
    call->digest = toHex(hmacSha256("call", content));
    call->fingerprint =
        toHex(hmacSha256(call->customer.value, service + call->path + "\n" + call->body));
    if (!call->program && !call->idempotent) {
        call->standalone = true;
        call->program = programs::ProgramKey{
            call->customer,
            ProgramId("_" + toHex(hmacSha256("standalone", call->callId.value)).substr(0, 32))};
    }
    m_runner.start(now, std::move(*call));
}

auto CallerApi::openCall(TimePoint now, http::Token token, const http::Request &request,
                         const OpenRoute &route) -> void
{
    if (!isSafeMethod(request.method))
        return m_context.refuse(token, Error{Code::BadRequest, "method: must be GET"});
    if (const auto checked = checkKeyNotExposed(request); !checked)
        return m_context.refuse(token, checked.error());
    CallRequest call;
    call.token = token;
    // Open routes have a separate row, so that unauthenticated callers cannot consume a customer's
    // rate.
    call.customer = CustomerId("open");
    const auto *row = m_context.view.state().row(call.customer);
    if (row != nullptr) {
        call.priority = row->values.priority;
        call.weight = row->values.weight;
    }
    call.kind = programs::CallKind::Service;
    call.idempotent = true;
    call.lane = "service:" + route.service;
    call.method = request.method;
    call.path = pathWithQuery(route.path, request);
    call.deadline = now + m_context.settings.requestDeadline;
    call.fingerprint = toHex(hmacSha256("open", call.path));
    m_runner.start(now, std::move(call));
}

} // namespace heathergate::daemon::internal
