#pragma once

#include <heathergate/http/message.h>

#include <functional>
#include <memory>

namespace heathergate::http {

/// A request to an upstream.
struct Outgoing
{
    std::uint64_t id = 0;
    std::string method = "POST";
    std::string url;
    Headers headers;
    std::string body;
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Uses a new connection that is not shared with other requests. Required for requests that
    /// must not be sent twice: libcurl resends a request if a reused connection turns out to be
    /// closed.
    bool ownConnection = false;
};

/// The status and headers of a response.
struct AnswerHead
{
    int status = 0;
    Headers headers;
};

/// A part of a response body.
struct AnswerData
{
    std::string bytes;
};

/// The end of an exchange. `complete` is true if the complete response was received; `sent` is
/// false only if no byte can have reached the upstream.
struct AnswerEnd
{
    bool complete = false;
    bool sent = true;
    std::string error;
};

/// An event of the request `id`.
struct ClientEvent
{
    std::uint64_t id = 0;
    std::variant<AnswerHead, AnswerData, AnswerEnd> what;
};

/// An HTTP client for concurrent requests on one dedicated thread. It does not follow redirects or
/// store cookies.
class Client
{
public:
    /// Called on the client's thread.
    using EventHandler = std::function<void(ClientEvent)>;

    [[nodiscard]] static auto start(EventHandler onEvent) -> std::unique_ptr<Client>;

    virtual ~Client() = default;

    /// Sends a request. Must be called from one thread only. Returns false if the command ring is
    /// full.
    [[nodiscard]] virtual auto send(Outgoing request) -> bool = 0;
    /// Cancels a request and closes its connection. Only events that are already queued follow.
    /// Returns false if the command ring is full.
    [[nodiscard]] virtual auto cancel(std::uint64_t id) -> bool = 0;
};

} // namespace heathergate::http
