#include <heathergate/net/http_client.h>

#include <algorithm>
#include <charconv>

namespace heathergate::net {

namespace {

constexpr std::size_t kMaxHeadBytes = 64 * 1024;
/// Bytes that are skipped while a response is awaited: interim responses, and late responses to
/// other requests.
constexpr std::size_t kMaxSkippedBytes = 1024 * 1024;
/// Maximum time to establish a connection; servers are on the same network.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/// Maximum time for which sent bytes may stay unacknowledged.
constexpr Duration kServerUserTimeout = std::chrono::milliseconds(1500);
/// Idle time after which a pooled connection is closed if the server sends no Keep-Alive timeout.
constexpr Duration kDefaultKeepAlive = std::chrono::seconds(4);
/// Deducted from the server's keep-alive time, so that a request does not race with the server's
/// close.
constexpr Duration kKeepAliveSafetyMargin = std::chrono::milliseconds(600);
constexpr std::size_t kMaxIdlePerServer = 8;
/// A reused connection that fails within this time after a request, without a response, is taken
/// as closed by the server before the request.
constexpr Duration kStaleConnectionWindow = std::chrono::milliseconds(100);
/// Time for which a server counts as closing pooled connections without notice.
constexpr Duration kStaleServerRetention = std::chrono::seconds(30);

/// Returns the idle time that the server's `Keep-Alive` header allows, less the safety margin, or
/// the default if the header has no timeout.
auto allowedIdle(const HttpHead &head) -> Duration
{
    const auto value = head.headers.value("Keep-Alive");
    const auto at = value.find("timeout=");
    if (at == std::string_view::npos)
        return kDefaultKeepAlive;
    int seconds = 0;
    const auto digits = value.substr(at + 8);
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds) - kKeepAliveSafetyMargin;
}

} // namespace

/// One connection to a server.
class HttpClient::Connection : public std::enable_shared_from_this<HttpClient::Connection>
{
public:
    Connection(HttpClient &client, Endpoint server)
        : m_client(client)
        , m_server(std::move(server))
        , m_parser(HttpParser::Kind::Response, kMaxHeadBytes,
                   {[this](const HttpHead &head) { headRead(head); },
                    [this](std::string_view bytes) { bodyRead(bytes); }, [] {}})
    {
    }

    ~Connection()
    {
        close();
    }

    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    [[nodiscard]] auto server() const -> const Endpoint &
    {
        return m_server;
    }

    /// Opens the connection. Returns false if the attempt fails immediately.
    auto open() -> bool
    {
        m_stream = TcpStream::connect(m_client.m_loop, m_server, kServerUserTimeout);
        if (!m_stream)
            return false;
        m_stream->setHandlers({[this] { m_client.m_loop.cancel(std::exchange(m_timer, 0)); },
                               [this](std::string_view bytes) { received(bytes); },
                               [this](bool clean) { closedByServer(clean); },
                               {}});
        m_timer = m_client.m_loop.at(m_client.m_loop.now() + kConnectTimeout,
                                     [this] { closedByServer(false); });
        return true;
    }

    auto start(OutgoingId id, OutgoingRequest request) -> void
    {
        if (m_stream->isConnected())
            m_client.m_loop.cancel(std::exchange(m_timer, 0));
        m_id = id;
        m_request = std::move(request);
        m_parser.reset();
        m_isReusable = false;
        m_skipping = false;
        m_isUnattributed = false;
        m_skippedBytes = 0;
        m_hasResponse = false;
        m_startedAt = m_client.m_loop.now();
        m_stream->beginMessage();
        m_stream->write(std::exchange(m_request.bytes, {}));
    }

    auto close() -> void
    {
        m_client.m_loop.cancel(std::exchange(m_timer, 0));
        if (m_stream)
            m_stream->close();
    }

    [[nodiscard]] auto hasSent() const -> bool
    {
        return m_stream && m_stream->hasWritten();
    }
    [[nodiscard]] auto isUsable(TimePoint now, Duration maxIdle) const -> bool
    {
        return m_stream && m_stream->isOpen() && now - m_idleSince < maxIdle;
    }

    [[nodiscard]] auto isEstablished() const -> bool
    {
        return m_stream && m_stream->isOpen() && m_stream->isConnected();
    }

    auto setReading(bool reading) -> void
    {
        m_stream->setReading(reading);
    }

    /// Keeps the connection in the pool until the server's keep-alive time ends.
    auto keepIdle() -> void
    {
        m_stream->setReading(true);
        m_idleSince = m_client.m_loop.now();
        m_id = 0;
        m_timer = m_client.m_loop.at(m_idleSince + m_allowedIdle,
                                     [this] { m_client.drop(shared_from_this()); });
    }

private:
    auto received(std::string_view bytes) -> void
    {
        const auto self = shared_from_this();
        if (m_id == 0)
            return m_client.drop(self); // No request is active.
        while (m_id != 0 && m_stream->isOpen() && !bytes.empty()) {
            const auto used = m_parser.feed(bytes);
            if (!m_stream->isOpen() || m_id == 0)
                return;
            if (!used || m_isUnattributed)
                return end(false);
            m_skippedBytes += m_skipping ? *used : 0;
            if (m_skippedBytes > kMaxSkippedBytes)
                return end(false);
            bytes.remove_prefix(*used);
            if (m_parser.hasEnded() && !messageEnded(bytes.empty()))
                return;
        }
    }

    /// Handles the end of a response. Returns whether to continue parsing.
    auto messageEnded(bool exact) -> bool
    {
        if (m_skipping) {
            m_parser.reset();
            return true;
        }
        // Bytes after the response belong to no request, and unsent output would be taken for part
        // of the next request.
        m_isReusable = m_isReusable && exact && m_stream->pendingOutput() == 0;
        end(true);
        return false;
    }

    auto headRead(const HttpHead &head) -> void
    {
        m_hasResponse = true;
        constexpr int kFirstFinalStatus = 200;
        const auto isCorrelated = !m_request.correlationHeader.empty();
        const auto *echo = head.headers.find(m_request.correlationHeader);
        m_skipping = head.status < kFirstFinalStatus
                     || (isCorrelated && echo != nullptr && *echo != m_request.correlationValue);
        // On a connection that has carried other requests it may be a further response to one of
        // them.
        m_isUnattributed = !m_skipping && isCorrelated && echo == nullptr && isReused();
        if (m_skipping || m_isUnattributed)
            return;
        m_isReusable = head.keepAlive;
        m_allowedIdle = allowedIdle(head);
        if (m_allowedIdle <= Duration::zero())
            m_isReusable = false;
        m_client.m_handlers.onHead(m_id, head);
    }

    auto bodyRead(std::string_view bytes) -> void
    {
        if (!m_skipping && !m_isUnattributed && m_id != 0)
            m_client.m_handlers.onBody(m_id, bytes);
    }

    /// Returns whether the connection has carried other requests before.
    [[nodiscard]] auto isReused() const -> bool
    {
        return m_idleSince != TimePoint{};
    }

    auto closedByServer(bool clean) -> void
    {
        const auto self = shared_from_this();
        if (m_id == 0) {
            m_client.connectionLost(*this);
            return m_client.drop(self);
        }
        const auto now = m_client.m_loop.now();
        if (isReused() && !m_hasResponse && now - m_startedAt < kStaleConnectionWindow)
            m_client.m_staleUntil[m_server] = now + kStaleServerRetention;
        const auto complete = clean && m_parser.finish() && !m_skipping && !m_isUnattributed;
        m_isReusable = false;
        if (!complete && m_stream->isConnected())
            m_client.connectionLost(*this);
        end(complete);
    }

    auto end(bool complete) -> void
    {
        const auto self = shared_from_this();
        const auto id = std::exchange(m_id, 0);
        const OutgoingResult result{complete, m_stream->isConnected(), m_stream->hasWritten()};
        auto &client = m_client;
        client.m_active.erase(id);
        if (complete && m_isReusable && m_stream->isOpen())
            client.release(self);
        else
            close();
        client.m_loop.defer([self] {});
        client.m_handlers.onEnd(id, result);
    }

    HttpClient &m_client;
    Endpoint m_server;
    std::shared_ptr<TcpStream> m_stream;
    HttpParser m_parser;
    OutgoingId m_id = 0;
    OutgoingRequest m_request;
    bool m_isReusable = false;
    /// A response head was received since the request began.
    bool m_hasResponse = false;
    TimePoint m_startedAt{};
    /// The response that is being parsed is interim or belongs to another request.
    bool m_skipping = false;
    /// The response that is being parsed may belong to another request.
    bool m_isUnattributed = false;
    std::size_t m_skippedBytes = 0;
    Duration m_allowedIdle{};
    TimePoint m_idleSince{};
    TimerId m_timer = 0;
};

HttpClient::HttpClient(EventLoop &loop, Handlers handlers)
    : m_loop(loop)
    , m_handlers(std::move(handlers))
{
}

HttpClient::~HttpClient() = default;

auto HttpClient::send(OutgoingId id, OutgoingRequest request) -> void
{
    std::shared_ptr<Connection> connection;
    auto &idle = m_idle[request.to];
    while (!connection && !idle.empty()) {
        auto last = idle.back();
        if (!last->isUsable(m_loop.now(), maxIdleFor(request)))
            break; // All other connections were idle for longer.
        idle.pop_back();
        connection = std::move(last);
    }
    if (!connection) {
        connection = std::make_shared<Connection>(*this, request.to);
        if (!connection->open()) {
            m_loop.post([this, id] { m_handlers.onEnd(id, {}); });
            return;
        }
    }
    m_active[id] = connection;
    connection->start(id, std::move(request));
}

auto HttpClient::maxIdleFor(const OutgoingRequest &request) const -> Duration
{
    const auto stale = m_staleUntil.find(request.to);
    const auto isStale = stale != m_staleUntil.end() && m_loop.now() < stale->second;
    return request.atMostOnce && isStale ? Duration::zero() : request.maxIdle;
}

auto HttpClient::cancel(OutgoingId id) -> bool
{
    const auto found = m_active.find(id);
    if (found == m_active.end())
        return false;
    const auto connection = found->second;
    m_active.erase(found);
    const auto sent = connection->hasSent();
    connection->close();
    m_loop.defer([connection] {});
    return sent;
}

auto HttpClient::setReading(OutgoingId id, bool reading) -> void
{
    if (const auto found = m_active.find(id); found != m_active.end())
        found->second->setReading(reading);
}

auto HttpClient::closeIdle(const Endpoint &server) -> void
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return;
    for (const auto &connection : std::exchange(found->second, {})) {
        connection->close();
        m_loop.defer([connection] {});
    }
    m_idle.erase(found);
}

auto HttpClient::release(const std::shared_ptr<Connection> &connection) -> void
{
    auto &idle = m_idle[connection->server()];
    connection->keepIdle();
    idle.push_back(connection);
    if (idle.size() <= kMaxIdlePerServer)
        return;
    const auto oldest = idle.front();
    idle.pop_front();
    oldest->close();
    m_loop.defer([oldest] {});
}

auto HttpClient::connectionLost(const Connection &lost) -> void
{
    if (!m_handlers.onConnectionsLost)
        return;
    const auto isOther = [&](const std::shared_ptr<Connection> &connection) {
        return connection.get() != &lost && connection->server() == lost.server()
               && connection->isEstablished();
    };
    const auto idle = m_idle.find(lost.server());
    const auto hasOther =
        (idle != m_idle.end() && std::any_of(idle->second.begin(), idle->second.end(), isOther))
        || std::any_of(m_active.begin(), m_active.end(),
                       [&](const auto &item) { return isOther(item.second); });
    if (!hasOther)
        m_handlers.onConnectionsLost(lost.server());
}

auto HttpClient::drop(const std::shared_ptr<Connection> &connection) -> void
{
    const auto found = m_idle.find(connection->server());
    if (found != m_idle.end())
        std::erase(found->second, connection);
    connection->close();
    m_loop.defer([connection] {});
}

} // namespace heathergate::net
