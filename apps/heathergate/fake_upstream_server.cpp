#include "fake_upstream.h"
#include <heathergate/core/json_text.h>

#include <heathergate/daemon/ace_clock.h>
#include <heathergate/daemon/problem.h>
#include <heathergate/daemon/settings.h>

#include <cstdlib>
#include <thread>

namespace heathergate::app {

namespace {

constexpr Duration kMaxWait = std::chrono::milliseconds(100);
constexpr Duration kRenewInterval = std::chrono::seconds(2);
constexpr Duration kAnnounceRetry = std::chrono::milliseconds(300);
constexpr std::chrono::milliseconds kLeaveDelay{500};
constexpr std::int64_t kTokensBeforeDisconnect = 3;

auto chunk(const nlohmann::json &delta, const nlohmann::json &reason) -> nlohmann::json
{
    return {{"choices", nlohmann::json::array({{{"delta", delta}, {"finish_reason", reason}}})}};
}

auto event(const nlohmann::json &json) -> std::string
{
    return "data: " + jsonText(json) + "\n\n";
}

} // namespace

FakeUpstream::FakeUpstream(FakeUpstreamSettings settings)
    : m_settings(std::move(settings))
    , m_bootId(toHex(secureRandom(8)))
    , m_engine(m_settings.engine)
{
}

auto FakeUpstream::start() -> Result<void>
{
    const auto endpoint = parseEndpoint(m_settings.address);
    http::ServerSettings server;
    server.address = endpoint->host;
    server.port = endpoint->port;
    server.maxBodyBytes = 64 * 1024 * 1024;
    // A request may arrive before the members are set.
    const std::lock_guard starting(m_mutex);
    auto started = http::Server::start(
        server,
        [this](http::Token token, const http::Request &request) {
            const std::lock_guard lock(m_mutex);
            handle(token, request);
            return true;
        },
        [this](http::Token token) {
            const std::lock_guard lock(m_mutex);
            for (const auto &[id, stream] : m_streams) {
                if (stream.token != token)
                    continue;
                m_engine.cancel(now(), id);
                m_streams.erase(id);
                return;
            }
        });
    if (!started)
        return tl::unexpected(started.error());
    m_server = std::move(*started);
    m_client = http::Client::start([this](const http::ClientEvent &what) {
        const std::lock_guard lock(m_mutex);
        handleAnnouncementEvent(what);
    });
    return {};
}

auto FakeUpstream::run(const std::atomic<bool> &stop) -> void
{
    while (!stop) {
        Duration wait = kMaxWait;
        {
            const std::lock_guard lock(m_mutex);
            sendOutput();
            renewAnnouncement();
            auto next = m_engine.nextEvent();
            if (!m_delayed.empty())
                next = std::min(next, m_delayed.begin()->first);
            wait = std::clamp(next - now(), Duration::zero(), kMaxWait);
        }
        m_notifier.wait(wait);
    }
    leave();
}

auto FakeUpstream::now() const -> TimePoint
{
    return daemon::AceClock().now();
}

auto FakeUpstream::matchesMarker(const std::string &marker, const std::string &content) const
    -> bool
{
    return !marker.empty() && content.find(marker) != std::string::npos;
}

auto FakeUpstream::handle(http::Token token, const http::Request &request) -> void
{
    if (request.path == "/health") {
        m_server->respond(token, {200, {{"x-boot-id", m_bootId}}, "ok"});
        return;
    }
    if (request.path == "/statistics") {
        respondStatistics(token);
        return;
    }
    const auto content = request.path + "\n" + request.body;
    if (matchesMarker(m_settings.crashOn, content))
        std::_Exit(3);
    if (matchesMarker(m_settings.hangOn, content))
        return;
    for (const auto &[name, value] : request.headers) {
        m_headerNames.insert(name);
        m_headerValues.insert(value);
    }
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (request.path == "/v1/chat/completions" && body.is_object())
        serveChatCompletion(token, body);
    else if (request.path == "/orders" && body.is_object())
        handleOrder(token, body);
    else if (request.path == "/programs/release" && body.is_object())
        handleRelease(token, body);
    else if (m_settings.models.empty())
        serveCall(token, request);
    else
        m_server->respond(token, {404, {}, "no such route"});
}

auto FakeUpstream::serveChatCompletion(http::Token token, const nlohmann::json &body) -> void
{
    const auto content = jsonText(body);
    testing::FakeEngineRequest request;
    request.id = ++m_lastRequest;
    request.program = body.value("program", "");
    request.prompt = testing::promptPrefixes(body.value("messages", nlohmann::json::array()));
    request.maxTokens = body.value("max_tokens", 16);
    request.priority = body.value("priority", 0);
    m_streams[request.id] = Stream{token, matchesMarker(m_settings.disconnectOn, content), 0};
    m_server->beginStream(token, {200, {{"content-type", "text/event-stream"}}, {}});
    const auto start =
        matchesMarker(m_settings.delayOn, content) ? now() + m_settings.answerDelay : now();
    m_engine.submit(start, std::move(request));
    m_notifier.notify();
}

auto FakeUpstream::serveCall(http::Token token, const http::Request &request) -> void
{
    ++m_calls;
    const auto key = request.header("idempotency-key");
    ++m_runs[key];
    const nlohmann::json answer{{"service", m_settings.id},
                                {"path", request.path},
                                {"run", m_runs[key]},
                                {"receipt", m_settings.id + "-" + std::to_string(m_calls)},
                                {"echo", request.body}};
    const auto content = request.path + "\n" + request.body;
    const auto isDelayed = matchesMarker(m_settings.delayOn, content);
    const auto at =
        now() + m_settings.serviceTime + (isDelayed ? m_settings.answerDelay : Duration::zero());
    if (matchesMarker(m_settings.disconnectOn, content)) {
        m_server->beginStream(token, {200, {{"content-type", "application/json"}}, {}});
        m_server->write(token, jsonText(answer).substr(0, 10));
        m_server->endStream(token, false);
        return;
    }
    m_delayed.emplace(at, Delayed{token, daemon::jsonResponse(answer)});
    m_notifier.notify();
}

auto FakeUpstream::handleOrder(http::Token token, const nlohmann::json &body) -> void
{
    const auto fencing = body.value("fencing", std::uint64_t(0));
    if (m_settings.checksFencing && fencing < m_highestFencing) {
        m_server->respond(token, {409, {}, "the fencing number is old"});
        return;
    }
    m_highestFencing = std::max(m_highestFencing, fencing);
    m_orders.push_back(body);
    m_server->respond(token, daemon::jsonResponse({{"done", true}}));
}

auto FakeUpstream::handleRelease(http::Token token, const nlohmann::json &body) -> void
{
    const auto program = body.value("program", "");
    // The first order is ignored: it gets no answer and the memory stays allocated.
    if (m_settings.dropsFirstRelease && m_releases[program]++ == 0)
        return;
    m_engine.release(program);
    m_server->respond(token, daemon::jsonResponse({{"released", program}}));
}

auto FakeUpstream::respondStatistics(http::Token token) -> void
{
    m_server->respond(
        token, daemon::jsonResponse({{"id", m_settings.id},
                                     {"calls", m_calls},
                                     {"requests", m_lastRequest},
                                     {"runs", m_runs},
                                     {"header_names", m_headerNames},
                                     {"header_values", m_headerValues},
                                     {"programs", m_engine.programs()},
                                     {"computed_prompt_tokens", m_engine.computedPromptTokens()},
                                     {"orders", m_orders}}));
}

auto FakeUpstream::sendOutput() -> void
{
    const auto at = now();
    for (const auto &produced : m_engine.advance(at))
        sendToken(produced);
    while (!m_delayed.empty() && m_delayed.begin()->first <= at) {
        auto &delayed = m_delayed.begin()->second;
        m_server->respond(delayed.token, std::move(delayed.response));
        m_delayed.erase(m_delayed.begin());
    }
}

auto FakeUpstream::sendToken(const testing::FakeEngineEvent &produced) -> void
{
    const auto found = m_streams.find(produced.id);
    if (found == m_streams.end())
        return;
    auto &target = found->second;
    m_server->write(target.token, event(chunk({{"content", produced.token}}, nullptr)));
    if (target.disconnects && ++target.tokens >= kTokensBeforeDisconnect) {
        m_server->endStream(target.token, false);
        m_engine.cancel(now(), produced.id);
        m_streams.erase(found);
        return;
    }
    if (!produced.finished)
        return;
    auto last = chunk(nlohmann::json::object(), "stop");
    last["usage"] = {{"prompt_tokens", produced.promptTokens},
                     {"cached_tokens", produced.cachedTokens},
                     {"completion_tokens", produced.completionTokens}};
    m_server->write(target.token, event(last) + "data: [DONE]\n\n");
    m_server->endStream(target.token, true);
    m_streams.erase(found);
}

auto FakeUpstream::renewAnnouncement() -> void
{
    if (now() < m_nextRenewal)
        return;
    m_nextRenewal = now() + (m_incarnation == 0 ? kAnnounceRetry : kRenewInterval);
    if (m_pendingPost != 0) {
        // The previous request got no answer, so the next one goes to another instance.
        static_cast<void>(m_client->cancel(m_pendingPost));
        m_instance = (m_instance + 1) % m_settings.announceTo.size();
    }
    if (m_incarnation != 0) {
        post("/upstream/v1/renew", {{"id", m_settings.id},
                                    {"incarnation", m_incarnation},
                                    {"requests", m_engine.requests()}});
        return;
    }
    post("/upstream/v1/announce", {{"id", m_settings.id},
                                   {"boot_id", m_bootId},
                                   {"address", m_settings.address},
                                   {"failure_domain", m_settings.domain},
                                   {"models", m_settings.models},
                                   {"services", m_settings.services},
                                   {"slots", m_settings.engine.slots},
                                   {"context_tokens", m_settings.engine.cacheTokens},
                                   {"checks_fencing", m_settings.checksFencing}});
}

auto FakeUpstream::post(const std::string &path, const nlohmann::json &body) -> void
{
    http::Outgoing request;
    request.id = ++m_lastPost;
    request.url = "http://" + m_settings.announceTo[m_instance] + path;
    request.headers["authorization"] = "Bearer " + m_settings.token;
    request.headers["content-type"] = "application/json";
    request.body = jsonText(body);
    m_pendingPost = request.id;
    m_announceAnswer.clear();
    m_announceStatus = 0;
    static_cast<void>(m_client->send(std::move(request)));
}

auto FakeUpstream::handleAnnouncementEvent(const http::ClientEvent &what) -> void
{
    if (what.id != m_pendingPost)
        return;
    if (const auto *head = std::get_if<http::AnswerHead>(&what.what)) {
        m_announceStatus = head->status;
    } else if (const auto *data = std::get_if<http::AnswerData>(&what.what)) {
        m_announceAnswer += data->bytes;
    } else {
        m_pendingPost = 0;
        const auto body = nlohmann::json::parse(m_announceAnswer, nullptr, false);
        if (m_announceStatus == 404)
            m_incarnation = 0;
        else if (m_announceStatus == 200 && body.is_object() && body.contains("incarnation"))
            m_incarnation = body.value("incarnation", std::uint64_t(0));
        else if (m_announceStatus != 200)
            m_instance = (m_instance + 1) % m_settings.announceTo.size();
        if (m_incarnation != 0)
            m_nextRenewal = std::min(m_nextRenewal, now() + kRenewInterval);
    }
}

auto FakeUpstream::leave() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        post("/upstream/v1/leave", {{"id", m_settings.id}, {"incarnation", m_incarnation}});
    }
    std::this_thread::sleep_for(kLeaveDelay);
}

} // namespace heathergate::app
