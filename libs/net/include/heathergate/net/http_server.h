#pragma once

#include <heathergate/net/http_parser.h>
#include <heathergate/net/tcp_stream.h>

#include <map>

namespace heathergate::net {

/// A whole request.
struct HttpRequest
{
    HttpHead head;
    std::string body;
};

/// A whole response. The server adds the length and the connection's fate.
struct HttpResponse
{
    int status = 200;
    HeaderList headers;
    std::string body;
};

/// What a server asks of its clients.
struct HttpLimits
{
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    /// Longest time from the first byte of a head to its last.
    Duration headTimeout = std::chrono::seconds(3);
    /// Longest time without a byte of a body, or without a request on a kept connection.
    Duration idleTimeout = std::chrono::seconds(15);
};

/// Names a request of one server.
using ExchangeId = std::uint64_t;

/// An HTTP/1.1 server on the event loop. Each connection carries one request at a time; requests
/// sent ahead wait in the connection's buffer.
class HttpServer
{
public:
    struct Handlers
    {
        std::function<void(ExchangeId, HttpRequest)> onRequest;
        /// The client has gone before its answer was complete.
        std::function<void(ExchangeId)> onDisconnect;
    };

    HttpServer(EventLoop &loop, Handlers handlers);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /// Starts to listen. Fails with `Code::BadSetting`.
    [[nodiscard]] auto listen(const Endpoint &at) -> Result<void>;
    auto setLimits(const HttpLimits &limits) -> void
    {
        m_limits = limits;
    }

    /// Answers a request as a whole.
    auto respond(ExchangeId exchange, const HttpResponse &response) -> void;
    /// Starts an answer whose body follows in chunks.
    auto beginStream(ExchangeId exchange, int status, const HeaderList &headers) -> void;
    auto write(ExchangeId exchange, std::string_view bytes) -> void;
    /// Ends an answer; one that is not complete ends with a reset, so that it cannot look whole.
    auto endStream(ExchangeId exchange, bool complete) -> void;
    /// Closes a client's connection without an answer.
    auto abort(ExchangeId exchange) -> void;

    /// From now on each answer closes its connection.
    auto closeAfterResponses() -> void
    {
        m_closing = true;
    }
    /// Closes connections on which no request has begun.
    auto closeIdle() -> void;
    auto stopListening() -> void;

    [[nodiscard]] auto connections() const -> std::size_t
    {
        return m_connections.size();
    }
    /// Returns the number of requests that are not answered yet.
    [[nodiscard]] auto openExchanges() const -> std::size_t;

private:
    class Connection;

    auto accepted(std::shared_ptr<TcpStream> stream) -> void;
    [[nodiscard]] auto find(ExchangeId exchange) -> Connection *;
    auto remove(std::uint64_t connection) -> void;

    EventLoop &m_loop;
    Handlers m_handlers;
    HttpLimits m_limits;
    bool m_closing = false;
    std::unique_ptr<TcpListener> m_listener;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    std::uint64_t m_lastConnection = 0;
};

} // namespace heathergate::net
