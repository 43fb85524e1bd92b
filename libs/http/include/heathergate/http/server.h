#pragma once

#include <heathergate/http/message.h>

#include <functional>
#include <memory>

namespace heathergate::http {

/// Certificate and private key of a server, as PEM text.
struct TlsMaterial
{
    std::string certificate;
    std::string privateKey;
};

/// Address and limits of a server.
struct ServerSettings
{
    /// IPv4 address to listen on.
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxHeaderBytes = 32 * 1024;
    unsigned maxConnections = 4096;
    unsigned maxConnectionsPerAddress = 1024;
    std::chrono::seconds idleTimeout{60};
    /// Time within which a request has to arrive whole.
    Duration requestTimeout = std::chrono::seconds(30);
    /// Bytes of a stream that may wait for a slow reader before it is cut.
    std::size_t maxStreamBytes = 8 * 1024 * 1024;
    std::optional<TlsMaterial> tls;
};

/// Identifies a request that awaits its answer.
using Token = std::uint64_t;

/// An HTTP/1.1 server with one thread of its own. Requests are handed over whole; the answers may
/// come from any thread, at any time.
class Server
{
public:
    /// Called on the server's thread; must not block. Returns false if the request cannot be
    /// taken; it is then refused with `Code::QueueFull`.
    using RequestHandler = std::function<bool(Token, Request)>;
    /// Called on the server's thread when a caller is gone before its answer was complete.
    using ClosedHandler = std::function<void(Token)>;

    /// Starts listening. Fails with `Code::BadSetting` if the address cannot be used or the
    /// certificate is not valid.
    [[nodiscard]] static auto start(const ServerSettings &settings, RequestHandler onRequest,
                                    ClosedHandler onClosed) -> Result<std::unique_ptr<Server>>;

    virtual ~Server() = default;

    /// Answers a request as a whole.
    virtual auto respond(Token token, Response response) -> void = 0;
    /// Starts an answer whose body follows in pieces.
    virtual auto beginStream(Token token, Response head) -> void = 0;
    /// Sends a piece of a body.
    virtual auto write(Token token, std::string_view bytes) -> void = 0;
    /// Ends a body; if it is not `complete`, the connection is cut so that the reader sees it.
    virtual auto endStream(Token token, bool complete) -> void = 0;
    /// Stops accepting connections; those that are open go on.
    virtual auto stopAccepting() -> void = 0;
    /// Returns the port it listens on.
    [[nodiscard]] virtual auto port() const -> std::uint16_t = 0;
    /// Returns the number of requests that are not answered completely.
    [[nodiscard]] virtual auto openRequests() const -> std::size_t = 0;
};

} // namespace heathergate::http
