#include <heathergate/net/http_server.h>

namespace heathergate::net {

namespace {

/// Number of low bits of an ExchangeId that count the requests of its connection.
constexpr unsigned kRequestBits = 24;
constexpr std::uint64_t kRequestMask = (std::uint64_t{1} << kRequestBits) - 1;
/// Maximum time for which sent bytes of a client connection may stay unacknowledged.
constexpr Duration kClientUserTimeout = std::chrono::seconds(6);
/// Bytes of pipelined requests that a connection buffers before it stops reading.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;
/// Output buffered for a client that does not read; beyond it the connection is closed.
constexpr std::size_t kMaxPendingOutputBytes = 8 * 1024 * 1024;

auto errorResponse(int status) -> HttpResponse
{
    HttpResponse response;
    response.status = status;
    return response;
}

} // namespace

/// One client's connection.
class HttpServer::Connection
{
public:
    Connection(HttpServer &server, std::uint64_t id, std::shared_ptr<TcpStream> stream)
        : m_server(server)
        , m_id(id)
        , m_stream(std::move(stream))
        , m_parser(HttpParser::Kind::Request, server.m_limits.maxHeadBytes,
                   {[this](HttpHead head) { headRead(std::move(head)); },
                    [this](std::string_view bytes) { bodyRead(bytes); }, [] {}})
    {
        m_stream->setHandlers({{},
                               [this](std::string_view bytes) { received(bytes); },
                               [this](bool) { disconnected(); },
                               {}});
        armTimer(m_server.m_limits.idleTimeout);
    }

    ~Connection()
    {
        m_server.m_loop.cancel(m_timer);
        if (m_stream)
            m_stream->close();
    }

    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    [[nodiscard]] auto exchange() const -> ExchangeId
    {
        return (m_id << kRequestBits) | (m_requests & kRequestMask);
    }
    [[nodiscard]] auto isServing(ExchangeId exchange) const -> bool
    {
        return m_busy && exchange == this->exchange();
    }
    [[nodiscard]] auto isBusy() const -> bool
    {
        return m_busy;
    }
    [[nodiscard]] auto isIdle() const -> bool
    {
        return !m_busy && !m_parser.isInMessage() && m_input.empty();
    }

    auto respond(const HttpResponse &response) -> void
    {
        auto out = head(response.status, response.headers);
        appendHeader(out, "Content-Length", std::to_string(response.body.size()));
        out += "\r\n";
        out += response.body;
        m_stream->write(out);
        finish();
    }

    auto beginStream(int status, const HeaderList &headers) -> void
    {
        auto out = head(status, headers);
        appendHeader(out, "Transfer-Encoding", "chunked");
        out += "\r\n";
        m_stream->write(out);
    }

    auto write(std::string_view bytes) -> void
    {
        std::string out;
        appendChunk(out, bytes);
        m_stream->write(out);
        if (m_stream->pendingOutput() > kMaxPendingOutputBytes)
            m_server.m_loop.defer([&server = m_server, id = m_id] { server.abandon(id); });
    }

    /// Closes the connection and discards its pending output.
    auto abandon() -> void
    {
        m_stream->abort();
        disconnected();
    }

    auto endStream(bool complete) -> void
    {
        if (!complete)
            return closeNow();
        m_stream->write(kLastChunk);
        finish();
    }

    /// Closes the connection after the pending output. A stream that is not complete ends without
    /// its last chunk, which the client detects.
    auto closeNow() -> void
    {
        m_busy = false;
        // The stream sends its pending output even after this connection is removed.
        m_server.addEnding(m_stream);
        std::exchange(m_stream, nullptr)->closeAfterWrite();
        m_server.remove(m_id);
    }

    /// Prevents that a timeout that is due in this round acts on a connection that has ended.
    auto stopTimer() -> void
    {
        m_server.m_loop.cancel(std::exchange(m_timer, 0));
    }

    /// Closes an idle connection, unless a request has arrived on it that was not read yet.
    auto closeIfUnused() -> void
    {
        if (m_stream->hasUnreadInput())
            armTimer(m_server.m_limits.idleTimeout);
        else
            closeNow();
    }

private:
    /// Closes the connection after its last response. The client may still be sending.
    auto closeAfterClient() -> void
    {
        m_server.addEnding(m_stream);
        std::exchange(m_stream, nullptr)->closeAfterPeer();
        m_server.remove(m_id);
    }

    [[nodiscard]] auto head(int status, const HeaderList &headers) -> std::string
    {
        m_isLastResponse = m_server.m_closing || m_closeAfterResponse;
        std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
        out.append(reasonPhrase(status)).append("\r\n");
        for (const auto &field : headers.fields())
            appendHeader(out, field.name, field.value);
        if (m_isLastResponse)
            appendHeader(out, "Connection", "close");
        return out;
    }

    auto finish() -> void
    {
        m_busy = false;
        if (m_isLastResponse)
            return closeAfterClient();
        m_parser.reset();
        m_stream->setReading(true);
        armTimer(m_server.m_limits.idleTimeout);
        if (m_server.m_closesIdle && isIdle())
            return closeIfUnused();
        if (!m_input.empty())
            m_server.m_loop.defer([&server = m_server, id = m_id] {
                const auto found = server.m_connections.find(id);
                if (found != server.m_connections.end())
                    found->second->parse();
            });
    }

    auto received(std::string_view bytes) -> void
    {
        m_input.append(bytes);
        if (!m_busy)
            return parse();
        if (m_input.size() > kMaxPipelinedBytes)
            m_stream->setReading(false);
    }

    auto parse() -> void
    {
        while (!m_busy && !m_input.empty()) {
            const auto isNewMessage = !m_parser.isInMessage();
            const auto used = m_parser.feed(m_input);
            if (m_rejectStatus != 0)
                return reject(m_rejectStatus);
            if (!used)
                return reject(used.error().code == Code::BodyTooLarge ? 431 : 400);
            m_input.erase(0, *used);
            if (m_parser.hasEnded())
                return dispatch();
            if (isNewMessage || m_parser.hasHead())
                armTimer(m_parser.hasHead() ? m_server.m_limits.idleTimeout
                                            : m_server.m_limits.headTimeout);
        }
    }

    auto headRead(HttpHead head) -> void
    {
        if (head.contentLength && *head.contentLength > m_server.m_limits.maxBodyBytes)
            m_rejectStatus = 413;
        const auto *expectation = head.headers.find("Expect");
        if (m_rejectStatus == 0 && expectation != nullptr
            && equalNames(*expectation, "100-continue"))
            m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
        m_request.head = std::move(head);
    }

    auto bodyRead(std::string_view bytes) -> void
    {
        if (m_request.body.size() + bytes.size() > m_server.m_limits.maxBodyBytes)
            m_rejectStatus = 413;
        else
            m_request.body.append(bytes);
    }

    auto dispatch() -> void
    {
        m_server.m_loop.cancel(m_timer);
        m_busy = true;
        ++m_requests;
        m_closeAfterResponse = !m_request.head.keepAlive;
        auto request = std::exchange(m_request, {});
        m_server.m_handlers.onRequest(exchange(), std::move(request));
    }

    auto reject(int status) -> void
    {
        m_closeAfterResponse = true;
        respond(errorResponse(status));
    }

    auto disconnected() -> void
    {
        const auto wasBusy = m_busy;
        const auto id = exchange();
        auto &server = m_server;
        server.remove(m_id);
        if (wasBusy)
            server.m_handlers.onDisconnect(id);
    }

    auto armTimer(Duration delay) -> void
    {
        auto &loop = m_server.m_loop;
        loop.cancel(m_timer);
        m_timer = loop.at(loop.now() + delay, [this] {
            if (m_parser.isInMessage())
                reject(408);
            else
                closeIfUnused();
        });
    }

    HttpServer &m_server;
    std::uint64_t m_id;
    std::shared_ptr<TcpStream> m_stream;
    HttpParser m_parser;
    HttpRequest m_request;
    std::string m_input;
    std::uint64_t m_requests = 0;
    bool m_busy = false;
    bool m_closeAfterResponse = false;
    bool m_isLastResponse = false;
    /// Status with which the message that is being parsed is rejected; 0 if none.
    int m_rejectStatus = 0;
    TimerId m_timer = 0;
};

HttpServer::HttpServer(EventLoop &loop, Handlers handlers)
    : m_loop(loop)
    , m_handlers(std::move(handlers))
{
}

HttpServer::~HttpServer() = default;

auto HttpServer::listen(const Endpoint &at) -> Result<void>
{
    auto listener = TcpListener::listen(
        m_loop, at, kClientUserTimeout,
        [this](std::shared_ptr<TcpStream> stream) { accepted(std::move(stream)); });
    if (!listener)
        return tl::unexpected(listener.error());
    m_listener = std::move(*listener);
    return {};
}

auto HttpServer::accepted(std::shared_ptr<TcpStream> stream) -> void
{
    const auto id = ++m_lastConnection;
    m_connections.emplace(id, std::make_unique<Connection>(*this, id, std::move(stream)));
}

auto HttpServer::find(ExchangeId exchange) -> Connection *
{
    const auto found = m_connections.find(exchange >> kRequestBits);
    if (found == m_connections.end() || !found->second->isServing(exchange))
        return nullptr;
    return found->second.get();
}

auto HttpServer::abandon(std::uint64_t connection) -> void
{
    if (const auto found = m_connections.find(connection); found != m_connections.end())
        found->second->abandon();
}

auto HttpServer::remove(std::uint64_t connection) -> void
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    found->second->stopTimer();
    // The connection may be on the call stack, so it is destroyed at the end of the round.
    std::shared_ptr<Connection> last(std::move(found->second));
    m_connections.erase(found);
    m_loop.defer([last] {});
}

auto HttpServer::respond(ExchangeId exchange, const HttpResponse &response) -> void
{
    if (auto *connection = find(exchange))
        connection->respond(response);
}

auto HttpServer::beginStream(ExchangeId exchange, int status, const HeaderList &headers) -> void
{
    if (auto *connection = find(exchange))
        connection->beginStream(status, headers);
}

auto HttpServer::write(ExchangeId exchange, std::string_view bytes) -> void
{
    if (auto *connection = find(exchange))
        connection->write(bytes);
}

auto HttpServer::endStream(ExchangeId exchange, bool complete) -> void
{
    if (auto *connection = find(exchange))
        connection->endStream(complete);
}

auto HttpServer::abort(ExchangeId exchange) -> void
{
    if (auto *connection = find(exchange))
        connection->closeNow();
}

auto HttpServer::closeIdle() -> void
{
    m_closesIdle = true;
    std::vector<Connection *> idle;
    for (const auto &[id, connection] : m_connections) {
        if (connection->isIdle())
            idle.push_back(connection.get());
    }
    for (auto *connection : idle)
        connection->closeIfUnused();
}

auto HttpServer::stopListening() -> void
{
    m_listener.reset();
}

auto HttpServer::addEnding(const std::shared_ptr<TcpStream> &stream) -> void
{
    std::erase_if(m_endingStreams, [](const auto &known) { return known.expired(); });
    m_endingStreams.push_back(stream);
}

auto HttpServer::connections() const -> std::size_t
{
    const auto ending =
        std::count_if(m_endingStreams.begin(), m_endingStreams.end(), [](const auto &known) {
            const auto stream = known.lock();
            return stream && stream->isOpen();
        });
    return m_connections.size() + static_cast<std::size_t>(ending);
}

} // namespace heathergate::net
