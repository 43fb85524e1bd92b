#include <heathergate/core/json_text.h>
#include <heathergate/http/server.h>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cstring>
#include <microhttpd.h>
#include <mutex>
#include <netinet/in.h>
#include <unistd.h>
#include <unordered_map>

namespace heathergate::http {

namespace {

using SteadyClock = std::chrono::steady_clock;

/// Size of the blocks in which libmicrohttpd reads a streamed body.
constexpr std::size_t kStreamBlockBytes = 16 * 1024;

auto lowerCase(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// One request in the server. The members from `mutex` on are shared by the server's thread and the
/// responding thread.
struct Exchange
{
    Token token = 0;
    MHD_Connection *connection = nullptr;
    Request request;
    SteadyClock::time_point startedAt = SteadyClock::now();
    bool tooLarge = false;
    bool dispatched = false;

    std::mutex mutex;
    std::optional<Response> response;
    bool streaming = false;
    bool responseQueued = false;
    bool suspended = false;
    bool ended = false;
    bool aborted = false;
    /// Bytes of a streamed body that libmicrohttpd has not read yet.
    std::string pending;
};

using ExchangePtr = std::shared_ptr<Exchange>;

auto resumeIfSuspended(Exchange &exchange) -> void
{
    if (std::exchange(exchange.suspended, false))
        MHD_resume_connection(exchange.connection);
}

class MicrohttpdServer final : public Server
{
public:
    MicrohttpdServer(const ServerSettings &settings, RequestHandler onRequest,
                     ClosedHandler onClosed)
        : m_settings(settings)
        , m_onRequest(std::move(onRequest))
        , m_onClosed(std::move(onClosed))
    {
    }

    ~MicrohttpdServer() override
    {
        stopAccepting();
        if (m_daemon == nullptr)
            return;
        // libmicrohttpd must not be stopped while connections are suspended.
        for (const auto &exchange : openExchanges()) {
            const std::lock_guard lock(exchange->mutex);
            exchange->aborted = true;
            exchange->ended = true;
            if (!exchange->response)
                exchange->response = Response{503, {}, {}};
            resumeIfSuspended(*exchange);
        }
        MHD_stop_daemon(m_daemon);
    }

    auto listen() -> Result<void>
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(m_settings.port);
        if (inet_pton(AF_INET, m_settings.address.c_str(), &address.sin_addr) != 1)
            return fail(Code::BadSetting, m_settings.address + " is not an IPv4 address");
        unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
        std::vector<MHD_OptionItem> options;
        if (m_settings.tls) {
            flags |= MHD_USE_TLS;
            options.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, m_settings.tls->certificate.data()});
            options.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, m_settings.tls->privateKey.data()});
        }
        options.push_back({MHD_OPTION_END, 0, nullptr});
        m_daemon = MHD_start_daemon(
            flags, m_settings.port, nullptr, nullptr, &MicrohttpdServer::access, this,
            MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&address),
            MHD_OPTION_NOTIFY_COMPLETED, &MicrohttpdServer::completed, this,
            MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(m_settings.idleTimeout.count()),
            MHD_OPTION_CONNECTION_LIMIT, m_settings.maxConnections,
            MHD_OPTION_PER_IP_CONNECTION_LIMIT, m_settings.maxConnectionsPerAddress,
            MHD_OPTION_CONNECTION_MEMORY_LIMIT, m_settings.maxHeaderBytes,
            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_ARRAY, options.data(),
            MHD_OPTION_END);
        if (m_daemon == nullptr)
            return fail(Code::BadSetting, "cannot listen on " + m_settings.address + ":"
                                              + std::to_string(m_settings.port)
                                              + " (address in use, or certificate not valid)");
        return {};
    }

    auto respond(Token token, Response response) -> void override
    {
        const auto exchange = find(token);
        if (!exchange)
            return;
        const std::lock_guard lock(exchange->mutex);
        if (exchange->response)
            return;
        exchange->response = std::move(response);
        exchange->ended = true;
        resumeIfSuspended(*exchange);
    }

    auto beginStream(Token token, Response head) -> void override
    {
        const auto exchange = find(token);
        if (!exchange)
            return;
        const std::lock_guard lock(exchange->mutex);
        if (exchange->response)
            return;
        exchange->response = std::move(head);
        exchange->streaming = true;
        resumeIfSuspended(*exchange);
    }

    auto write(Token token, std::string_view bytes) -> void override
    {
        const auto exchange = find(token);
        if (!exchange)
            return;
        const std::lock_guard lock(exchange->mutex);
        exchange->pending.append(bytes);
        if (exchange->pending.size() > m_settings.maxStreamBytes) {
            exchange->aborted = true;
            exchange->ended = true;
        }
        resumeIfSuspended(*exchange);
    }

    auto endStream(Token token, bool complete) -> void override
    {
        const auto exchange = find(token);
        if (!exchange)
            return;
        const std::lock_guard lock(exchange->mutex);
        exchange->ended = true;
        exchange->aborted = exchange->aborted || !complete;
        resumeIfSuspended(*exchange);
    }

    auto stopAccepting() -> void override
    {
        if (m_daemon == nullptr || m_quiesced.exchange(true))
            return;
        const auto listener = MHD_quiesce_daemon(m_daemon);
        if (listener != MHD_INVALID_SOCKET)
            ::close(listener);
    }

    [[nodiscard]] auto port() const -> std::uint16_t override
    {
        const auto *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
        return info == nullptr ? m_settings.port : info->port;
    }

    [[nodiscard]] auto openRequests() const -> std::size_t override
    {
        const std::lock_guard lock(m_mutex);
        return m_exchanges.size();
    }

private:
    static auto access(void *self, MHD_Connection *connection, const char *url, const char *method,
                       const char *, const char *data, std::size_t *size, void **state)
        -> MHD_Result
    {
        auto &server = *static_cast<MicrohttpdServer *>(self);
        if (*state == nullptr) {
            *state = new ExchangePtr(server.begin(connection, url, method));
            return MHD_YES;
        }
        auto &exchange = **static_cast<ExchangePtr *>(*state);
        if (*size > 0) {
            server.appendBody(exchange, data, *size);
            *size = 0;
            return MHD_YES;
        }
        return server.handleRequest(exchange);
    }

    static auto completed(void *self, MHD_Connection *, void **state,
                          MHD_RequestTerminationCode code) -> void
    {
        auto *reference = static_cast<ExchangePtr *>(*state);
        if (reference == nullptr)
            return;
        auto &server = *static_cast<MicrohttpdServer *>(self);
        const auto exchange = *reference;
        delete reference;
        *state = nullptr;
        server.remove(exchange->token);
        if (exchange->dispatched && code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
            server.m_onClosed(exchange->token);
    }

    auto begin(MHD_Connection *connection, const char *url, const char *method) -> ExchangePtr
    {
        auto exchange = std::make_shared<Exchange>();
        exchange->connection = connection;
        exchange->request.method = method;
        exchange->request.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &addHeader, exchange.get());
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &addQueryParameter,
                                  exchange.get());
        exchange->request.remoteAddress = remoteAddress(connection);
        const std::lock_guard lock(m_mutex);
        exchange->token = ++m_lastToken;
        m_exchanges.emplace(exchange->token, exchange);
        return exchange;
    }

    static auto addHeader(void *state, MHD_ValueKind, const char *key, const char *value)
        -> MHD_Result
    {
        auto &headers = static_cast<Exchange *>(state)->request.headers;
        headers[lowerCase(key)] = value == nullptr ? "" : value;
        return MHD_YES;
    }

    static auto addQueryParameter(void *state, MHD_ValueKind, const char *key, const char *value)
        -> MHD_Result
    {
        static_cast<Exchange *>(state)->request.query[key] = value == nullptr ? "" : value;
        return MHD_YES;
    }

    static auto remoteAddress(MHD_Connection *connection) -> std::string
    {
        const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
        if (info == nullptr || info->client_addr->sa_family != AF_INET)
            return {};
        std::string text(INET_ADDRSTRLEN, '\0');
        const auto *address = reinterpret_cast<const sockaddr_in *>(info->client_addr);
        if (inet_ntop(AF_INET, &address->sin_addr, text.data(), INET_ADDRSTRLEN) == nullptr)
            return {};
        text.resize(std::strlen(text.c_str()));
        return text;
    }

    auto appendBody(Exchange &exchange, const char *data, std::size_t size) const -> void
    {
        if (exchange.request.body.size() + size > m_settings.maxBodyBytes)
            exchange.tooLarge = true;
        else if (!exchange.tooLarge)
            exchange.request.body.append(data, size);
    }

    auto handleRequest(Exchange &exchange) -> MHD_Result
    {
        if (!std::exchange(exchange.dispatched, true)) {
            if (auto refusal = refusalOf(exchange)) {
                exchange.dispatched = false;
                return queueComplete(exchange, *refusal);
            }
            {
                const std::lock_guard lock(exchange.mutex);
                exchange.suspended = true;
                MHD_suspend_connection(exchange.connection);
            }
            if (!m_onRequest(exchange.token, std::move(exchange.request)))
                respond(exchange.token,
                        problemResponse(Code::QueueFull, "the instance is overloaded"));
            return MHD_YES;
        }
        {
            const std::lock_guard lock(exchange.mutex);
            if (!exchange.response || std::exchange(exchange.responseQueued, true))
                return MHD_YES;
        }
        // The response does not change any more. libmicrohttpd locks it while queueing and calls
        // `readStream` with that lock held, so the exchange's mutex must not be held here.
        return exchange.streaming ? queueStream(exchange)
                                  : queueComplete(exchange, *exchange.response);
    }

    [[nodiscard]] auto refusalOf(const Exchange &exchange) const -> std::optional<Response>
    {
        if (exchange.tooLarge)
            return problemResponse(Code::BodyTooLarge, "the body exceeds "
                                                           + std::to_string(m_settings.maxBodyBytes)
                                                           + " bytes");
        if (SteadyClock::now() - exchange.startedAt > m_settings.requestTimeout)
            return problemResponse(Code::Timeout, "the request took too long to arrive");
        return std::nullopt;
    }

    static auto problemResponse(Code code, const std::string &detail) -> Response
    {
        const auto &info = codeInfo(code);
        const nlohmann::json body{{"type", "about:blank"},          {"title", info.name},
                                  {"status", info.httpStatus},      {"detail", detail},
                                  {"code", static_cast<int>(code)}, {"ran", "no"}};
        return {info.httpStatus, {{"content-type", "application/problem+json"}}, jsonText(body)};
    }

    static auto addHeaders(MHD_Response *response, const Headers &headers) -> void
    {
        for (const auto &[name, value] : headers)
            MHD_add_response_header(response, name.c_str(), value.c_str());
    }

    static auto queueComplete(Exchange &exchange, const Response &answer) -> MHD_Result
    {
        auto *response = MHD_create_response_from_buffer(
            answer.body.size(), const_cast<char *>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
        addHeaders(response, answer.headers);
        const auto result =
            MHD_queue_response(exchange.connection, static_cast<unsigned>(answer.status), response);
        MHD_destroy_response(response);
        return result;
    }

    auto queueStream(Exchange &exchange) -> MHD_Result
    {
        auto *reference = new ExchangePtr(find(exchange.token));
        auto *response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, kStreamBlockBytes, &readStream, reference,
            [](void *state) { delete static_cast<ExchangePtr *>(state); });
        addHeaders(response, exchange.response->headers);
        const auto result = MHD_queue_response(
            exchange.connection, static_cast<unsigned>(exchange.response->status), response);
        MHD_destroy_response(response);
        return result;
    }

    static auto readStream(void *state, std::uint64_t, char *buffer, std::size_t maxBytes)
        -> ssize_t
    {
        auto &exchange = **static_cast<ExchangePtr *>(state);
        const std::lock_guard lock(exchange.mutex);
        if (exchange.aborted)
            return MHD_CONTENT_READER_END_WITH_ERROR;
        if (!exchange.pending.empty()) {
            const auto size = std::min(maxBytes, exchange.pending.size());
            std::copy_n(exchange.pending.begin(), size, buffer);
            exchange.pending.erase(0, size);
            return static_cast<ssize_t>(size);
        }
        if (exchange.ended)
            return MHD_CONTENT_READER_END_OF_STREAM;
        exchange.suspended = true;
        MHD_suspend_connection(exchange.connection);
        return 0;
    }

    [[nodiscard]] auto find(Token token) const -> ExchangePtr
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_exchanges.find(token);
        return found == m_exchanges.end() ? nullptr : found->second;
    }

    [[nodiscard]] auto openExchanges() const -> std::vector<ExchangePtr>
    {
        const std::lock_guard lock(m_mutex);
        std::vector<ExchangePtr> all;
        for (const auto &[token, exchange] : m_exchanges)
            all.push_back(exchange);
        return all;
    }

    auto remove(Token token) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_exchanges.erase(token);
    }

    ServerSettings m_settings;
    RequestHandler m_onRequest;
    ClosedHandler m_onClosed;
    MHD_Daemon *m_daemon = nullptr;
    std::atomic<bool> m_quiesced = false;
    mutable std::mutex m_mutex;
    Token m_lastToken = 0;
    std::unordered_map<Token, ExchangePtr> m_exchanges;
};

} // namespace

auto Server::start(const ServerSettings &settings, RequestHandler onRequest, ClosedHandler onClosed)
    -> Result<std::unique_ptr<Server>>
{
    auto server =
        std::make_unique<MicrohttpdServer>(settings, std::move(onRequest), std::move(onClosed));
    if (auto listening = server->listen(); !listening)
        return tl::unexpected(listening.error());
    return server;
}

} // namespace heathergate::http
