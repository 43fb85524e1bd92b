#include <heathergate/core/json_text.h>
#include <heathergate/replay/fleet.h>

namespace heathergate::replay {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr Duration kSyncDelay = std::chrono::milliseconds(2);
constexpr Duration kNetworkDelay = std::chrono::milliseconds(1);
constexpr Duration kRenewInterval = std::chrono::seconds(2);
constexpr std::uint32_t kShards = 2;
constexpr const char *kUpstreamToken = "upstream-token-for-tests";
constexpr const char *kOperatorKey = "hgo_operator-key-for-tests";
constexpr const char *kHashSecret = "hash-secret-for-tests";

auto portOf(const std::string &name) -> std::uint16_t
{
    return static_cast<std::uint16_t>(hash64(name) % 20'000 + 1);
}

auto chunk(const std::string &text) -> std::string
{
    const nlohmann::json json{{"choices", nlohmann::json::array({{{"delta", {{"content", text}}},
                                                                  {"finish_reason", nullptr}}})}};
    return "data: " + jsonText(json) + "\n\n";
}

} // namespace

Fleet::Fleet(std::uint64_t seed, const std::vector<std::string> &disks,
             const std::vector<std::string> &entries)
    : m_random(seed)
    , m_link(seed + 1)
    , m_disks(disks)
{
    for (const auto &name : disks)
        m_nodes[name].isDisk = true;
    for (const auto &name : entries)
        m_nodes[name].isDisk = false;
    for (auto &[name, node] : m_nodes)
        boot(name, node);
}

auto Fleet::settingsFor(const std::string &name) const -> daemon::Settings
{
    daemon::Settings settings;
    settings.id = InstanceId(name);
    settings.domain = FailureDomainId("domain-" + name.substr(0, 1));
    settings.caller = {"127.0.0.1", portOf(name)};
    settings.peer = {"127.0.0.1", static_cast<std::uint16_t>(portOf(name) + 20'000)};
    settings.fleetSecrets = {"fleet-secret-for-tests"};
    settings.shards = kShards;
    settings.hashSecret = kHashSecret;
    settings.operatorKeyHash = toHex(hmacSha256(kHashSecret, kOperatorKey));
    settings.upstreamToken = kUpstreamToken;
    settings.firstByteTimeout = std::chrono::seconds(5);
    settings.progressTimeout = std::chrono::seconds(3);
    for (const auto &disk : m_disks)
        settings.diskInstances.push_back(
            {InstanceId(disk), {"127.0.0.1", static_cast<std::uint16_t>(portOf(disk) + 20'000)}});
    return settings;
}

auto Fleet::boot(const std::string &name, Node &node) -> void
{
    node.settings = settingsFor(name);
    ++node.boots;
    std::unique_ptr<daemon::ReplicaHost> host;
    if (node.isDisk) {
        daemon::HostSettings settings;
        settings.self = InstanceId(name);
        settings.replica = consensus::ReplicaId(name);
        settings.shards = kShards;
        for (const auto &disk : m_disks)
            settings.genesis.voters.emplace_back(disk);
        host = std::make_unique<daemon::ReplicaHost>(settings, node.disk, Random(m_random.next()),
                                                     m_clock.now());
    }
    node.instance = std::make_unique<daemon::Instance>(
        node.settings, node.boots + 1000 * portOf(name), std::move(host), Random(m_random.next()));
}

auto Fleet::run(Duration time) -> void
{
    const auto end = m_clock.now() + time;
    while (m_clock.now() < end) {
        m_clock.advance(kStep);
        for (auto &delivery : m_link.arrived(m_clock.now())) {
            auto &node = m_nodes[delivery.to];
            if (node.instance && !node.suspended)
                node.instance->peerMessage(m_clock.now(), InstanceId(delivery.from),
                                           delivery.message);
        }
        runEngines();
        while (!m_events.empty() && m_events.begin()->first <= m_clock.now()) {
            const auto item = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            auto &node = m_nodes[item.node];
            if (node.instance && node.boots == item.boot)
                node.instance->upstreamEvent(m_clock.now(), item.event);
        }
        renewAnnouncements();
        for (auto &[name, node] : m_nodes)
            step(name, node);
    }
}

auto Fleet::runUntil(const std::function<bool()> &done, Duration limit) -> bool
{
    const auto end = m_clock.now() + limit;
    while (!done() && m_clock.now() < end)
        run(kStep);
    return done();
}

auto Fleet::start() -> bool
{
    return runUntil(
        [this] {
            return std::all_of(m_nodes.begin(), m_nodes.end(),
                               [this](auto &item) {
                                   auto &instance = item.second.instance;
                                   return !instance || instance->entry().isReady(m_clock.now());
                               })
                   && std::all_of(m_targets.begin(), m_targets.end(),
                                  [](const auto &item) { return item.second.incarnation != 0; });
        },
        std::chrono::seconds(20));
}

auto smallEngineSettings() -> FakeEngineSettings
{
    FakeEngineSettings settings;
    settings.slots = 4;
    settings.maxAnswerTokens = 40;
    return settings;
}

auto Fleet::addEngine(const std::string &id, FakeEngineSettings settings) -> FakeTarget &
{
    auto &added = m_targets[id];
    added.id = id;
    added.address = "127.0.0.1:" + std::to_string(40'000 + portOf(id));
    added.slots = settings.slots;
    added.contextTokens = settings.cacheTokens;
    added.engine = std::make_unique<FakeEngine>(settings);
    return added;
}

auto Fleet::addService(const std::string &id) -> FakeTarget &
{
    auto &added = m_targets[id];
    added.id = id;
    added.address = "127.0.0.1:" + std::to_string(40'000 + portOf(id));
    added.isEngine = false;
    return added;
}

auto Fleet::target(const std::string &id) -> FakeTarget &
{
    return m_targets.at(id);
}

auto Fleet::send(const std::string &instance, const http::Request &request) -> http::Token
{
    const auto token = ++m_lastToken;
    auto &node = m_nodes.at(instance);
    if (node.instance) {
        node.instance->httpRequest(m_clock.now(), token, request);
    } else {
        // A connection to a crashed instance is refused immediately.
        m_received[token].ended = true;
    }
    return token;
}

auto Fleet::call(const std::string &instance, const http::Request &request, Duration limit)
    -> Received
{
    const auto token = send(instance, request);
    static_cast<void>(runUntil([&] { return m_received[token].ended; }, limit));
    return m_received[token];
}

auto Fleet::crashTarget(const std::string &id) -> void
{
    terminate(m_targets.at(id));
}

auto Fleet::restartTarget(const std::string &id) -> void
{
    auto &target = m_targets.at(id);
    target.isDown = false;
    target.bootId += "+";
    target.incarnation = 0;
    m_nextRenewal = m_clock.now();
}

auto Fleet::crash(const std::string &instance) -> void
{
    auto &node = m_nodes.at(instance);
    node.instance.reset();
    node.unsynced.clear();
}

auto Fleet::restart(const std::string &instance) -> void
{
    auto &node = m_nodes.at(instance);
    if (!node.instance)
        boot(instance, node);
}

auto Fleet::setSuspended(const std::string &instance, bool suspended) -> void
{
    m_nodes.at(instance).suspended = suspended;
}

auto Fleet::setIsolated(const std::string &instance, bool isolated) -> void
{
    for (const auto &[other, node] : m_nodes) {
        m_link.setPartitioned(instance, other, isolated);
        m_link.setPartitioned(other, instance, isolated);
    }
}

auto Fleet::drain(const std::string &instance) -> void
{
    m_nodes.at(instance).instance->drain(m_clock.now());
}

auto Fleet::instance(const std::string &name) -> daemon::Instance &
{
    return *m_nodes.at(name).instance;
}

auto Fleet::leaderOf(GroupId group) -> std::string
{
    for (const auto &name : m_disks) {
        const auto &node = m_nodes.at(name);
        if (node.instance && !node.suspended
            && node.instance->host()->replica(group).canServeReads(m_clock.now()))
            return name;
    }
    return {};
}

auto Fleet::addCustomer(const std::string &customer, double rate, double burst, std::int64_t budget,
                        int priority) -> std::string
{
    const auto &entry = m_nodes.rbegin()->first;
    call(entry, operatorRequest("PUT", "/operator/v1/table/" + customer,
                                {{"revision", 0},
                                 {"rate", rate},
                                 {"burst", burst},
                                 {"budget", budget},
                                 {"priority", priority}}));
    const auto given =
        call(entry, operatorRequest("POST", "/operator/v1/keys", {{"customer", customer}}));
    run(std::chrono::milliseconds(50));
    return given.json().value("key", "");
}

auto Fleet::operatorRequest(const std::string &method, const std::string &path,
                            const nlohmann::json &body) -> http::Request
{
    return callerRequest(kOperatorKey, method, path, body);
}

auto Fleet::callerRequest(const std::string &key, const std::string &method,
                          const std::string &path, const nlohmann::json &body) -> http::Request
{
    http::Request request;
    request.method = method;
    request.path = path;
    request.headers["authorization"] = "Bearer " + key;
    if (!body.is_null())
        request.body = jsonText(body);
    return request;
}

auto Fleet::modelCall(const std::string &key, const std::string &program,
                      const std::string &content, const std::string &idempotencyKey)
    -> http::Request
{
    const nlohmann::json message{{"role", "user"}, {"content", content}};
    auto request = callerRequest(
        key, "POST", "/v1/chat/completions",
        {{"model", "quill"}, {"max_tokens", 12}, {"messages", nlohmann::json::array({message})}});
    if (!program.empty())
        request.headers["x-program-id"] = program;
    if (!idempotencyKey.empty())
        request.headers["idempotency-key"] = idempotencyKey;
    return request;
}

auto Fleet::serviceCall(const std::string &key, const std::string &program,
                        const std::string &content, const std::string &idempotencyKey)
    -> http::Request
{
    auto request =
        callerRequest(key, "POST", "/v1/services/registrar/charge", {{"content", content}});
    if (!program.empty())
        request.headers["x-program-id"] = program;
    if (!idempotencyKey.empty())
        request.headers["idempotency-key"] = idempotencyKey;
    return request;
}

auto Fleet::step(const std::string &name, Node &node) -> void
{
    if (!node.instance || node.suspended)
        return;
    const auto now = m_clock.now();
    if (!node.unsynced.empty() && now >= node.syncAt)
        syncDisk(node);
    node.instance->tick(now);
    auto output = node.instance->takeOutput(now);
    if (node.unsynced.empty() && !output.storage.empty())
        node.syncAt = now + kSyncDelay;
    for (auto &item : output.storage)
        node.unsynced.push_back(std::move(item));
    for (auto &effect : output.effects)
        executeEffect(name, node, effect);
}

auto Fleet::syncDisk(Node &node) -> void
{
    std::map<GroupId, std::uint64_t> numbers;
    for (auto &item : node.unsynced) {
        auto *write = std::get_if<daemon::GroupWrite>(&item);
        if (write == nullptr) {
            for (auto &[group, snapshot] : std::get<daemon::Compaction>(item).snapshots)
                node.disk[group].snapshot = snapshot;
            continue;
        }
        auto &disk = node.disk[write->group];
        if (write->write.hardState)
            disk.hardState = *write->write.hardState;
        if (write->write.snapshot) {
            disk.snapshot = write->write.snapshot;
            disk.entries.clear();
        }
        for (auto &entry : write->write.entries) {
            while (!disk.entries.empty() && disk.entries.back().index >= entry.index)
                disk.entries.pop_back();
            disk.entries.push_back(std::move(entry));
        }
        numbers[write->group] = write->write.number;
    }
    node.unsynced.clear();
    for (const auto &[group, number] : numbers)
        node.instance->synced(m_clock.now(), group, number);
}

auto Fleet::executeEffect(const std::string &name, Node &node, daemon::Effect &effect) -> void
{
    if (auto *respond = std::get_if<daemon::Respond>(&effect)) {
        auto &received = m_received[respond->token];
        received.status = respond->response.status;
        received.body = respond->response.body;
        received.ended = true;
        received.complete = true;
        const auto announcement = m_announcements.find(respond->token);
        if (announcement != m_announcements.end() && received.status == 200
            && received.json().contains("incarnation"))
            m_targets[announcement->second].incarnation = received.json()["incarnation"];
    } else if (auto *begin = std::get_if<daemon::BeginStream>(&effect)) {
        m_received[begin->token].status = begin->head.status;
    } else if (auto *data = std::get_if<daemon::StreamData>(&effect)) {
        auto &received = m_received[data->token];
        received.body += data->bytes;
        http::EventStreamReader reader;
        for (const auto &event : reader.feed(data->bytes)) {
            const auto json = nlohmann::json::parse(event, nullptr, false);
            if (json.is_object())
                received.text += json["choices"][0]["delta"].value("content", "");
        }
    } else if (auto *end = std::get_if<daemon::EndStream>(&effect)) {
        m_received[end->token].ended = true;
        m_received[end->token].complete = end->complete;
    } else if (auto *outgoing = std::get_if<daemon::SendUpstream>(&effect)) {
        deliverToTarget(name, node, outgoing->request);
    } else if (auto *cancel = std::get_if<daemon::CancelUpstream>(&effect)) {
        for (const auto &exchange : m_exchanges) {
            if (exchange.node == name && exchange.id == cancel->id)
                m_targets[exchange.target].engine->cancel(m_clock.now(), exchange.engineId);
        }
    } else if (auto *peer = std::get_if<daemon::SendPeer>(&effect)) {
        // Messages are encoded and decoded as they are between processes.
        const auto message = wire::decodeMessage(wire::encodeMessage(peer->message));
        if (message)
            m_link.send(m_clock.now(), name, peer->to.value, *message);
    }
}

auto Fleet::deliverToTarget(const std::string &name, Node &node, const http::Outgoing &request)
    -> void
{
    const auto found = std::find_if(m_targets.begin(), m_targets.end(), [&](const auto &item) {
        return request.url.find(item.second.address + "/") != std::string::npos;
    });
    if (found == m_targets.end() || found->second.isDown) {
        fail(name, node.boots, request.id, false, kNetworkDelay);
        return;
    }
    auto &target = found->second;
    if (request.url.ends_with("/health")) {
        answer(name, node.boots, request.id, 200, "ok", kNetworkDelay, target.bootId);
        return;
    }
    if (target.recordsRequests) {
        for (const auto &[header, value] : request.headers)
            target.recordedRequests += header + ": " + value + "\n";
        target.recordedRequests += request.url + "\n" + request.body + "\n";
    }
    if (target.isUnresponsive)
        return;
    const auto bodyContains = [&](const std::string &marker) {
        return !marker.empty() && request.body.find(marker) != std::string::npos;
    };
    if (bodyContains(target.crashOn)) {
        fail(name, node.boots, request.id, true, kNetworkDelay);
        terminate(target);
        return;
    }
    if (request.url.ends_with("/programs/release")) {
        target.engine->release(nlohmann::json::parse(request.body).value("program", ""));
        answer(name, node.boots, request.id, 200, "{}", kNetworkDelay);
    } else if (target.isEngine) {
        serveChatCompletion(target, name, node, request);
    } else {
        ++target.calls;
        const auto key = request.headers.find("idempotency-key");
        ++target.runs[key == request.headers.end() ? "" : key->second];
        if (bodyContains(target.disconnectOn))
            fail(name, node.boots, request.id, true, target.serviceTime);
        else
            answer(name, node.boots, request.id, 200,
                   "{\"receipt\":" + std::to_string(target.calls) + "}", target.serviceTime);
    }
}

auto Fleet::serveChatCompletion(FakeTarget &target, const std::string &name, Node &node,
                                const http::Outgoing &request) -> void
{
    const auto body = nlohmann::json::parse(request.body);
    if (!target.disconnectOn.empty()
        && request.body.find(target.disconnectOn) != std::string::npos) {
        m_events.emplace(m_clock.now() + kNetworkDelay,
                         TimedEvent{name, node.boots, {request.id, http::AnswerHead{200, {}}}});
        fail(name, node.boots, request.id, true, 2 * kNetworkDelay);
        return;
    }
    testing::FakeEngineRequest work;
    work.id = ++m_lastEngineId;
    work.program = body.value("program", "");
    work.prompt = testing::promptPrefixes(body["messages"]);
    work.maxTokens = body.value("max_tokens", 16);
    if (target.overrunTokens > 0)
        work.maxTokens = target.overrunTokens;
    work.priority = body.value("priority", 0);
    m_exchanges.push_back({name, node.boots, request.id, target.id, work.id});
    m_events.emplace(m_clock.now() + kNetworkDelay,
                     TimedEvent{name, node.boots, {request.id, http::AnswerHead{200, {}}}});
    target.engine->submit(m_clock.now(), std::move(work));
}

auto Fleet::runEngines() -> void
{
    for (auto &[id, target] : m_targets) {
        if (!target.engine || target.isUnresponsive)
            continue;
        for (const auto &event : target.engine->advance(m_clock.now())) {
            const auto exchange =
                std::find_if(m_exchanges.begin(), m_exchanges.end(),
                             [&](const auto &item) { return item.engineId == event.id; });
            if (exchange == m_exchanges.end())
                continue;
            const auto push = [&](const auto &what) {
                m_events.emplace(
                    m_clock.now() + kNetworkDelay,
                    TimedEvent{exchange->node, exchange->bootNumber, {exchange->id, what}});
            };
            push(http::AnswerData{chunk(event.token)});
            if (!event.finished)
                continue;
            const nlohmann::json usage{{"prompt_tokens", event.promptTokens},
                                       {"completion_tokens", event.completionTokens},
                                       {"cached_tokens", event.cachedTokens}};
            push(http::AnswerData{"data: " + jsonText(nlohmann::json{{"usage", usage}})
                                  + "\n\ndata: [DONE]\n\n"});
            push(http::AnswerEnd{true, true, ""});
            m_exchanges.erase(exchange);
        }
    }
}

auto Fleet::renewAnnouncements() -> void
{
    if (m_clock.now() < m_nextRenewal)
        return;
    const auto all = std::all_of(m_targets.begin(), m_targets.end(),
                                 [](const auto &item) { return item.second.incarnation != 0; });
    m_nextRenewal = m_clock.now() + (all ? kRenewInterval : Duration(200'000));
    for (auto &[id, target] : m_targets) {
        if (target.isDown || !target.announced)
            continue;
        const auto announce = target.incarnation == 0;
        nlohmann::json body{{"id", id},
                            {"incarnation", target.incarnation},
                            {"requests", target.engine ? target.engine->requests() : 0}};
        if (announce) {
            body = {{"id", id},
                    {"boot_id", target.bootId},
                    {"address", target.address},
                    {"failure_domain", target.domain},
                    {"slots", target.slots},
                    {"context_tokens", target.contextTokens}};
            const char *const field = target.isEngine ? "models" : "services";
            body[field] = nlohmann::json::array({target.isEngine ? "quill" : "registrar"});
        }
        for (const auto &[name, node] : m_nodes) {
            if (!node.instance || node.suspended)
                continue;
            const auto token =
                send(name, callerRequest(kUpstreamToken, "POST",
                                         announce ? "/upstream/v1/announce" : "/upstream/v1/renew",
                                         body));
            if (announce)
                m_announcements[token] = id;
            break;
        }
    }
}

auto Fleet::answer(const std::string &node, std::uint64_t boot, std::uint64_t id, int status,
                   const std::string &body, Duration after, const std::string &bootId) -> void
{
    http::AnswerHead head{status, {{"content-type", "application/json"}}};
    if (!bootId.empty())
        head.headers["x-boot-id"] = bootId;
    const auto at = m_clock.now() + after;
    m_events.emplace(at, TimedEvent{node, boot, {id, head}});
    m_events.emplace(at, TimedEvent{node, boot, {id, http::AnswerData{body}}});
    m_events.emplace(at, TimedEvent{node, boot, {id, http::AnswerEnd{true, true, ""}}});
}

auto Fleet::fail(const std::string &node, std::uint64_t boot, std::uint64_t id, bool sent,
                 Duration after) -> void
{
    m_events.emplace(m_clock.now() + after,
                     TimedEvent{node, boot, {id, http::AnswerEnd{false, sent, "failed"}}});
}

auto Fleet::terminate(FakeTarget &target) -> void
{
    target.isDown = true;
    for (const auto &exchange : m_exchanges) {
        if (exchange.target == target.id)
            fail(exchange.node, exchange.bootNumber, exchange.id, true, kNetworkDelay);
    }
    std::erase_if(m_exchanges, [&](const auto &item) { return item.target == target.id; });
}

} // namespace heathergate::replay
