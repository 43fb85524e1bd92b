#pragma once

#include <heathergate/net/http_parser.h>
#include <heathergate/net/tcp_stream.h>

#include <deque>
#include <map>

namespace heathergate::net {

/// A request to a server.
struct OutgoingRequest
{
    Endpoint to;
    /// Head and body as sent on the wire.
    std::string bytes;
    /// Header that correlates a response with this request. Responses that carry another value are
    /// skipped. One without the header is valid only on a connection that has carried no other
    /// request.
    std::string correlationHeader;
    std::string correlationValue;
    /// Maximum idle time of a pooled connection that may carry this request.
    Duration maxIdle{};
    /// The request must not be lost on a stale pooled connection, one that the server has closed
    /// without notice. While the server is known to do so, the request uses a new connection.
    bool atMostOnce = false;
};

/// The result of an exchange with a server.
struct OutgoingResult
{
    /// The complete response was received.
    bool complete = false;
    /// A connection was established.
    bool connected = false;
    /// At least one byte of the request may have reached the server.
    bool sent = false;
};

/// Identifies a request of one client.
using OutgoingId = std::uint64_t;

/// An HTTP/1.1 client on the event loop with a pool of persistent connections.
class HttpClient
{
public:
    struct Handlers
    {
        std::function<void(OutgoingId, const HttpHead &)> onHead;
        std::function<void(OutgoingId, std::string_view)> onBody;
        /// Called once for each request, as its last event.
        std::function<void(OutgoingId, OutgoingResult)> onEnd;
        /// Called when a server has closed the last connection to it that was established, other
        /// than at the end of a response: it may have ended. Optional; called before `onEnd`.
        std::function<void(const Endpoint &)> onConnectionsLost = {};
    };

    HttpClient(EventLoop &loop, Handlers handlers);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /// Sends a request. Its handlers are called later, never from within this call.
    auto send(OutgoingId id, OutgoingRequest request) -> void;
    /// Cancels a request and closes its connection; its handlers are not called any more. Returns
    /// whether any byte may have reached the server.
    auto cancel(OutgoingId id) -> bool;
    /// Stops or resumes reading the response to a request.
    auto setReading(OutgoingId id, bool reading) -> void;
    /// Closes the idle connections to a server.
    auto closeIdle(const Endpoint &server) -> void;

private:
    class Connection;

    auto release(const std::shared_ptr<Connection> &connection) -> void;
    auto drop(const std::shared_ptr<Connection> &connection) -> void;
    /// Reports the loss of a connection if no other one to its server is established.
    auto connectionLost(const Connection &lost) -> void;
    [[nodiscard]] auto maxIdleFor(const OutgoingRequest &request) const -> Duration;

    EventLoop &m_loop;
    Handlers m_handlers;
    std::map<OutgoingId, std::shared_ptr<Connection>> m_active;
    /// Idle connections of each server, the most recently used last.
    std::map<Endpoint, std::deque<std::shared_ptr<Connection>>> m_idle;
    /// Servers that closed pooled connections without notice, and the time at which the entry
    /// expires.
    std::map<Endpoint, TimePoint> m_staleUntil;
};

} // namespace heathergate::net
