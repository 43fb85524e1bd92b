#pragma once

#include <heathergate/net/http_server.h>

#include <algorithm>

/// The connection of one client of an `HttpServer`.
namespace heathergate::net {

namespace internal {

/// Number of low bits of an ExchangeId that count the requests of its connection.
constexpr unsigned kRequestBits = 24;
constexpr std::uint64_t kRequestMask = (std::uint64_t{1} << kRequestBits) - 1;
/// Bytes of pipelined requests that a connection buffers before it stops reading.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;
/// Output buffered for a client that does not read; beyond it the connection is closed.
constexpr std::size_t kMaxPendingOutputBytes = 2 * 1024 * 1024;
/// Output that a client has not read from which on its pipelined requests wait.
constexpr std::size_t kMaxUnreadOutputBytes = 64 * 1024;
/// Bytes of a body that count as progress. Less would let a client that sends single bytes pass for
/// one that makes progress.
constexpr std::size_t kProgressBytes = 16 * 1024;
/// Bytes from which on a connection can give way to others.
constexpr std::size_t kMinReclaimedBytes = 4 * 1024;
/// Bytes of a body from which on it is charged after the request was handed over.
constexpr std::size_t kMinChargedBody = 4 * 1024;
/// Bytes of a body from which on a request counts as large.
constexpr std::size_t kMinLargeBody = 64 * 1024;
/// Memory of an empty input buffer that is kept.
constexpr std::size_t kMaxRetainedInputBytes = 1024;

constexpr int kOverloaded = 503;
/// Delay after which a client may send a request again that was refused for lack of memory.
constexpr const char *kOverloadRetryAfterSeconds = "1";

inline auto errorResponse(int status) -> HttpResponse
{
    HttpResponse response;
    response.status = status;
    if (status == kOverloaded)
        response.headers.add("Retry-After", kOverloadRetryAfterSeconds);
    return response;
}

} // namespace internal

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
        , m_charges(std::make_shared<Charges>(server.m_loop.budget()))
        , m_progressAt(server.m_loop.now())
    {
        m_stream->attach(m_charges);
        m_stream->setHandlers({{},
                               [this](std::string_view bytes) { received(bytes); },
                               [this](bool) { disconnected(); },
                               [this] { drained(); }});
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
        return (m_id << internal::kRequestBits) | (m_requests & internal::kRequestMask);
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

    /// Returns since when a connection that can give way has made no progress.
    [[nodiscard]] auto progressAt() const -> TimePoint
    {
        return m_progressAt;
    }
    [[nodiscard]] auto chargedBytes() const -> std::size_t
    {
        return m_charges->buffer.bytes();
    }
    [[nodiscard]] auto pendingOutput() const -> std::size_t
    {
        return m_stream->pendingOutput();
    }
    /// Returns whether the connection can give way, because it serves no request. With
    /// `buffersBytes`, only if that releases memory.
    [[nodiscard]] auto canGiveWay(bool buffersBytes) const -> bool
    {
        return !m_busy && m_stream
               && (!buffersBytes || m_charges->buffer.bytes() >= internal::kMinReclaimedBytes);
    }

    /// Ends the connection to release its memory: an unfinished request is refused, unread output
    /// is discarded.
    auto giveWay() -> void
    {
        const auto isUnfinished = m_parser.isInMessage();
        m_request = {};
        std::string().swap(m_input);
        m_charges->buffer.set(0);
        if (isUnfinished && m_stream->pendingOutput() == 0)
            return reject(internal::kOverloaded);
        abandon();
    }

    /// Closes the connection at once, to release its descriptor.
    auto closeForDescriptor() -> void
    {
        m_charges->connection.release();
        if (isIdle() && m_stream->pendingOutput() == 0)
            return closeNow();
        abandon();
    }

    /// Notes progress if the client has read output, or has sent a request that was not read yet.
    auto checkProgress(bool checksInput) -> void
    {
        const auto output = m_stream->pendingOutput();
        const auto hasRead = output < std::exchange(m_checkedOutput, output);
        if (hasRead || (checksInput && isIdle() && m_stream->hasUnreadInput()))
            m_progressAt = m_server.m_loop.now();
        account();
    }

    auto respond(const HttpResponse &response) -> void
    {
        auto out = head(response.status, response.headers);
        appendHeader(out, "Content-Length", std::to_string(response.body.size()));
        out += "\r\n";
        out += response.body;
        m_stream->write(std::move(out));
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
        account();
        if (m_stream->pendingOutput() > internal::kMaxPendingOutputBytes)
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
        m_charges->buffer.set(m_stream->bufferedOutput());
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
        m_charges->buffer.set(m_stream->bufferedOutput());
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
        m_progressAt = m_server.m_loop.now();
        if (m_isLastResponse)
            return closeAfterClient();
        m_parser.reset();
        updateReading();
        account();
        armTimer(m_server.m_limits.idleTimeout);
        if (m_server.m_closesIdle && isIdle())
            return closeIfUnused();
        if (!m_input.empty())
            m_server.m_loop.defer([&server = m_server, id = m_id] {
                const auto found = server.m_connections.find(id);
                if (found != server.m_connections.end())
                    found->second->parseBuffered();
            });
    }

    auto received(std::string_view bytes) -> void
    {
        // A body that arrives in many pieces is not copied through the input buffer.
        if (m_input.empty())
            consume(bytes);
        if (!m_stream)
            return;
        m_input.append(bytes);
        parse();
        if (!m_stream)
            return;
        updateReading();
        account();
        // Last, because this connection may be the one that gives way.
        static_cast<void>(m_server.m_loop.budget().makeRoom());
    }

    /// Stops reading while requests wait that would otherwise be buffered without a limit.
    auto updateReading() -> void
    {
        const auto waits = m_busy || isOutputBlocked();
        m_stream->setReading(!waits || m_input.size() <= internal::kMaxPipelinedBytes);
    }

    [[nodiscard]] auto isOutputBlocked() const -> bool
    {
        return m_stream->pendingOutput() > internal::kMaxUnreadOutputBytes;
    }

    /// Parses buffered input after a response, or after its output was read.
    auto parseBuffered() -> void
    {
        parse();
        if (!m_stream)
            return;
        updateReading();
        account();
    }

    /// The client has read all output.
    auto drained() -> void
    {
        if (m_busy) {
            account();
            if (m_server.m_handlers.onDrained)
                m_server.m_handlers.onDrained(exchange());
            return;
        }
        m_progressAt = m_server.m_loop.now();
        parseBuffered();
    }

    /// Charges what is buffered for this connection.
    auto account() -> void
    {
        if (m_stream)
            m_charges->buffer.set(m_input.capacity() + m_request.body.capacity()
                                  + memoryOf(m_request.head) + m_parser.headMemory()
                                  + m_stream->bufferedOutput());
    }

    auto parse() -> void
    {
        std::string_view rest(m_input);
        consume(rest);
        if (!m_stream)
            return;
        m_input.erase(0, m_input.size() - rest.size());
        if (m_input.empty() && m_input.capacity() > internal::kMaxRetainedInputBytes)
            std::string().swap(m_input);
    }

    /// Parses input and removes what was used.
    auto consume(std::string_view &input) -> void
    {
        while (m_stream && !m_busy && !input.empty() && !isOutputBlocked()) {
            const auto isNewMessage = !m_parser.isInMessage();
            const auto used = m_parser.feed(input);
            if (isNewMessage && m_parser.isInMessage())
                m_progressAt = m_server.m_loop.now();
            if (m_rejectStatus != 0)
                return reject(m_rejectStatus);
            if (!used)
                return reject(used.error().code == Code::BodyTooLarge ? 431 : 400);
            input.remove_prefix(*used);
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
            m_stream->write(std::string_view("HTTP/1.1 100 Continue\r\n\r\n"));
        m_request.head = std::move(head);
    }

    auto bodyRead(std::string_view bytes) -> void
    {
        if (m_request.body.size() + bytes.size() > m_server.m_limits.maxBodyBytes)
            m_rejectStatus = 413;
        else
            appendToBody(bytes);
    }

    /// Grows the body by doubling, but not beyond the length that the head states.
    auto appendToBody(std::string_view bytes) -> void
    {
        auto &body = m_request.body;
        const auto size = body.size() + bytes.size();
        if (size > body.capacity()) {
            const auto most = m_request.head.contentLength.value_or(m_server.m_limits.maxBodyBytes);
            // A string that grows in place at least doubles, also beyond the stated length.
            std::string grown;
            grown.reserve(std::max<std::size_t>(size, std::min<std::size_t>(2 * size, most)));
            grown.append(body);
            body.swap(grown);
        }
        if (body.size() / internal::kProgressBytes != size / internal::kProgressBytes)
            m_progressAt = m_server.m_loop.now();
        body.append(bytes);
    }

    auto dispatch() -> void
    {
        m_server.m_loop.cancel(m_timer);
        m_busy = true;
        ++m_requests;
        m_closeAfterResponse = !m_request.head.keepAlive;
        if (!admitBody())
            return refuse();
        auto request = std::exchange(m_request, {});
        m_server.m_handlers.onRequest(exchange(), std::move(request));
    }

    /// Charges the body of a complete request for as long as it is kept. Returns whether the budget
    /// permits it.
    [[nodiscard]] auto admitBody() -> bool
    {
        auto &budget = m_server.m_loop.budget();
        const auto size = m_request.body.capacity() + memoryOf(m_request.head);
        const auto isLarge = m_request.body.size() >= internal::kMinLargeBody;
        account();
        if (size < internal::kMinChargedBody)
            return true;
        // A large body is copied when it is sent to an upstream.
        const auto charged = isLarge ? 2 * size : size;
        m_charges->buffer.set(0);
        if (!(isLarge ? budget.makeRoomForLarge(charged) : budget.makeRoom(charged)))
            return false;
        m_request.charge = std::make_shared<BufferCharge>(budget);
        m_request.charge->set(charged);
        return true;
    }

    /// Refuses a complete request for lack of memory.
    auto refuse() -> void
    {
        m_server.m_loop.budget().countRefusal();
        m_request = {};
        respond(internal::errorResponse(internal::kOverloaded));
    }

    auto reject(int status) -> void
    {
        m_closeAfterResponse = true;
        respond(internal::errorResponse(status));
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

    /// What the connection is charged for, until its stream is closed.
    struct Charges
    {
        explicit Charges(BufferBudget &budget)
            : buffer(budget)
            , connection(budget)
        {
        }

        BufferCharge buffer;
        ConnectionCharge connection;
    };

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
    std::shared_ptr<Charges> m_charges;
    /// Unread output when its progress was last checked.
    std::size_t m_checkedOutput = 0;
    /// Time of the last progress: a response, the begin of a request, or a part of its body.
    TimePoint m_progressAt;
};

} // namespace heathergate::net
