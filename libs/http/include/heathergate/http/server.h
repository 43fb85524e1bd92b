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
    /// Maximum time until a request has been received completely.
    Duration requestTimeout = std::chrono::seconds(30);
    /// Maximum number of bytes buffered for a slow reader of a stream; beyond it the stream is
    /// aborted.
    std::size_t maxStreamBytes = 8 * 1024 * 1024;
    std::optional<TlsMaterial> tls;
};

/// Identifies a request that awaits its response.
using Token = std::uint64_t;

/// An HTTP/1.1 server with one dedicated thread. Requests are delivered complete; responses may be
/// sent from any thread at any time.
class Server
{
public:
    /// Called on the server's thread; must not block. Returns false if the request cannot be
    /// accepted; it is then refused with `Code::QueueFull`.
    using RequestHandler = std::function<bool(Token, Request)>;
    /// Called on the server's thread when a caller disconnects before its response is complete.
    using ClosedHandler = std::function<void(Token)>;

    /// Starts to listen. Fails with `Code::BadSetting` if the address cannot be used or the
    /// certificate is not valid.
    [[nodiscard]] static auto start(const ServerSettings &settings, RequestHandler onRequest,
                                    ClosedHandler onClosed) -> Result<std::unique_ptr<Server>>;

    virtual ~Server() = default;

    /// Sends a complete response.
    virtual auto respond(Token token, Response response) -> void = 0;
    /// Starts a response whose body is streamed.
    virtual auto beginStream(Token token, Response head) -> void = 0;
    /// Sends a part of a streamed body.
    virtual auto write(Token token, std::string_view bytes) -> void = 0;
    /// Ends a streamed body. If it is not `complete`, the connection is aborted, so that the reader
    /// detects the truncation.
    virtual auto endStream(Token token, bool complete) -> void = 0;
    /// Stops accepting connections; open connections are still served.
    virtual auto stopAccepting() -> void = 0;
    /// Returns the port that the server listens on, also if the system chose it (port 0).
    [[nodiscard]] virtual auto port() const -> std::uint16_t = 0;
    /// Returns the number of requests without a complete response.
    [[nodiscard]] virtual auto openRequests() const -> std::size_t = 0;
};

} // namespace heathergate::http
