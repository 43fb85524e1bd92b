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
    /// Head and body as they go out.
    std::string bytes;
    /// Header by which an answer shows that it belongs to this request; answers with another
    /// value are skipped.
    std::string correlationHeader;
    std::string correlationValue;
    /// A kept connection is used only if it was idle for at most this long.
    Duration maxIdle{};
    /// The request must not be lost to a kept connection that the server has dropped without a
    /// word; it gets a connection of its own while the server is known to do so.
    bool atMostOnce = false;
};

/// How an exchange with a server ended.
struct OutgoingResult
{
    /// The whole answer came.
    bool complete = false;
    /// A connection was established.
    bool connected = false;
    /// Some byte of the request may have reached the server.
    bool sent = false;
};

/// Names a request of one client.
using OutgoingId = std::uint64_t;

/// An HTTP/1.1 client on the event loop that keeps connections open for later requests.
class HttpClient
{
public:
    struct Handlers
    {
        std::function<void(OutgoingId, const HttpHead &)> onHead;
        std::function<void(OutgoingId, std::string_view)> onBody;
        /// The last call for a request.
        std::function<void(OutgoingId, OutgoingResult)> onEnd;
    };

    HttpClient(EventLoop &loop, Handlers handlers);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /// Sends a request; its events come later, never from within this call.
    auto send(OutgoingId id, OutgoingRequest request) -> void;
    /// Gives a request up and closes its connection; no more events come for it. Returns whether
    /// any byte may have reached the server.
    auto cancel(OutgoingId id) -> bool;
    /// Closes idle connections to a server.
    auto closeIdle(const Endpoint &server) -> void;

private:
    class Connection;

    auto release(const std::shared_ptr<Connection> &connection) -> void;
    auto drop(const std::shared_ptr<Connection> &connection) -> void;
    [[nodiscard]] auto maxIdleFor(const OutgoingRequest &request) const -> Duration;

    EventLoop &m_loop;
    Handlers m_handlers;
    std::map<OutgoingId, std::shared_ptr<Connection>> m_active;
    /// Kept connections of each server, the latest used last.
    std::map<Endpoint, std::deque<std::shared_ptr<Connection>>> m_idle;
    /// Servers that dropped kept connections, and until when that is remembered.
    std::map<Endpoint, TimePoint> m_staleUntil;
};

} // namespace heathergate::net
