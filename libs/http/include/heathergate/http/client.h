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
    /// Uses a new connection that nothing else will use. Needed for requests that must not be
    /// sent twice: the library repeats a request by itself if a reused connection turns out dead.
    bool ownConnection = false;
};

/// The status line and headers of an answer.
struct AnswerHead
{
    int status = 0;
    Headers headers;
};

/// A piece of an answer's body.
struct AnswerData
{
    std::string bytes;
};

/// The end of an exchange. `sent` is false only if no byte can have reached the upstream.
struct AnswerEnd
{
    bool complete = false;
    bool sent = true;
    std::string error;
};

/// Something that happened to the request `id`.
struct ClientEvent
{
    std::uint64_t id = 0;
    std::variant<AnswerHead, AnswerData, AnswerEnd> what;
};

/// An HTTP client for many requests at a time, with one thread of its own. It follows no
/// redirects and keeps no cookies.
class Client
{
public:
    /// Called on the client's thread.
    using EventHandler = std::function<void(ClientEvent)>;

    [[nodiscard]] static auto start(EventHandler onEvent) -> std::unique_ptr<Client>;

    virtual ~Client() = default;

    /// Sends a request. Called by one thread only. Returns false if too many are waiting.
    [[nodiscard]] virtual auto send(Outgoing request) -> bool = 0;
    /// Gives up a request, closing its connection; no events follow but those under way.
    [[nodiscard]] virtual auto cancel(std::uint64_t id) -> bool = 0;
};

} // namespace heathergate::http
