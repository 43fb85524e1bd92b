#pragma once

#include <heathergate/net/http_parser.h>
#include <heathergate/net/tcp_stream.h>

#include <map>

namespace heathergate::net {

/// A complete request.
struct HttpRequest
{
    HttpHead head;
    std::string body;
    /// Charge of a long body, and of the copy of it that is sent to an upstream. Whoever keeps the
    /// body keeps the charge.
    std::shared_ptr<BufferCharge> charge;
};

/// A complete response. The server adds the Content-Length and Connection headers.
struct HttpResponse
{
    int status = 200;
    HeaderList headers;
    std::string body;
};

/// Limits that a server applies to its clients.
struct HttpLimits
{
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    /// Maximum time from the first byte of a head to its last.
    Duration headTimeout = std::chrono::seconds(3);
    /// Maximum time without a byte of a body, or without a request on a persistent connection.
    Duration idleTimeout = std::chrono::seconds(15);
};

/// Identifies a request of one server.
using ExchangeId = std::uint64_t;

/// An HTTP/1.1 server on the event loop. Each connection processes one request at a time;
/// pipelined requests wait in the connection's buffer, also while the client does not read the
/// responses. What is buffered is charged to the loop's budget: connections without a request that
/// was handed over give way if it is exceeded. An unfinished request that gives way is refused with
/// 503, or its connection is closed; it has not run.
class HttpServer
{
public:
    struct Handlers
    {
        std::function<void(ExchangeId, HttpRequest)> onRequest;
        /// The client disconnected before its response was complete.
        std::function<void(ExchangeId)> onDisconnect;
        /// The client has read all output so far of a response that is not complete.
        std::function<void(ExchangeId)> onDrained = {};
    };

    HttpServer(EventLoop &loop, Handlers handlers);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /// Starts to listen. Fails with `Code::BadSetting` if the address cannot be used.
    [[nodiscard]] auto listen(const Endpoint &at) -> Result<void>;
    auto setLimits(const HttpLimits &limits) -> void
    {
        m_limits = limits;
    }

    /// Sends a complete response. This and the following functions have no effect if the exchange
    /// has ended.
    auto respond(ExchangeId exchange, const HttpResponse &response) -> void;
    /// Starts a response whose body follows in chunks.
    auto beginStream(ExchangeId exchange, int status, const HeaderList &headers) -> void;
    /// Sends one chunk of the body of a response.
    auto write(ExchangeId exchange, std::string_view bytes) -> void;
    /// Returns the bytes of a response that the client has not read yet, as far as is known.
    [[nodiscard]] auto pendingOutput(ExchangeId exchange) -> std::size_t;
    /// Ends a response. An incomplete one closes the connection without the last chunk, so that
    /// the client does not take it for complete.
    auto endStream(ExchangeId exchange, bool complete) -> void;
    /// Closes a client's connection without a response.
    auto abort(ExchangeId exchange) -> void;
    /// Resets a client's connection and discards its output.
    auto reset(ExchangeId exchange) -> void;

    /// Closes every connection after its next response.
    auto closeAfterResponses() -> void
    {
        m_closing = true;
    }
    /// Closes the connections on which no request has begun, and from now on each one as soon as it
    /// is idle.
    auto closeIdle() -> void;
    auto stopListening() -> void;

    /// Returns the number of open connections, including those that are still sending their last
    /// response.
    [[nodiscard]] auto connections() const -> std::size_t;

private:
    class Connection;

    auto accepted(std::shared_ptr<TcpStream> stream) -> void;
    /// Returns the connection without progress for longest, of those that can give way: all that
    /// serve no request, or only those that buffer bytes.
    [[nodiscard]] auto stalest(bool buffersBytes) -> Connection *;
    [[nodiscard]] auto stalestSince(bool buffersBytes) -> std::optional<TimePoint>;
    [[nodiscard]] auto reclaimableBytes() const -> std::size_t;
    /// Closes the connection that ended first of those that still send their last response. Returns
    /// whether there was one. With `buffersBytes`, only if that releases memory.
    auto closeOldestEnding(bool buffersBytes) -> bool;
    [[nodiscard]] auto oldestEnding(bool buffersBytes) const -> std::shared_ptr<TcpStream>;
    [[nodiscard]] auto find(ExchangeId exchange) -> Connection *;
    auto abandon(std::uint64_t connection) -> void;
    auto remove(std::uint64_t connection) -> void;
    /// Counts a stream among the connections until it is closed.
    auto addEnding(const std::shared_ptr<TcpStream> &stream) -> void;

    EventLoop &m_loop;
    Handlers m_handlers;
    BufferBudget::HolderId m_holder = 0;
    HttpLimits m_limits;
    bool m_closing = false;
    bool m_closesIdle = false;
    std::unique_ptr<TcpListener> m_listener;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    /// Connections that have ended but for their output.
    std::vector<std::weak_ptr<TcpStream>> m_endingStreams;
    std::uint64_t m_lastConnection = 0;
};

} // namespace heathergate::net
