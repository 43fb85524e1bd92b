#pragma once

#include <heathergate/net/event_loop.h>

#include <ace/SOCK_Acceptor.h>
#include <memory>
#include <string>
#include <string_view>

namespace heathergate::net {

/// A non-blocking TCP connection with an output buffer.
///
/// Handlers run on the loop's thread and are not called after `close`. The stream is destroyed
/// when its owner releases the last reference.
class TcpStream : public ACE_Event_Handler, public std::enable_shared_from_this<TcpStream>
{
public:
    struct Handlers
    {
        std::function<void()> onConnected;
        std::function<void(std::string_view)> onData;
        /// The peer closed or reset the connection, or it could not be opened. `clean` is true for
        /// an orderly close.
        std::function<void(bool clean)> onClosed;
        /// All output was written to the socket.
        std::function<void()> onDrained;
    };

    /// Starts to open a connection. Returns null if the attempt fails immediately. `userTimeout` is
    /// the maximum time for which sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
    [[nodiscard]] static auto connect(EventLoop &loop, const Endpoint &to, Duration userTimeout)
        -> std::shared_ptr<TcpStream>;
    /// Takes over an accepted connection. `userTimeout` is as in `connect`.
    [[nodiscard]] static auto adopt(EventLoop &loop, ACE_HANDLE handle, Duration userTimeout)
        -> std::shared_ptr<TcpStream>;
    ~TcpStream() override;

    auto setHandlers(Handlers handlers) -> void
    {
        m_handlers = std::move(handlers);
    }

    /// Appends bytes to the output buffer.
    auto write(std::string_view bytes) -> void;
    /// Takes over bytes as the output buffer if it is empty, so that long output is not copied.
    auto write(std::string &&bytes) -> void;
    /// Closes immediately; unsent output is lost.
    auto close() -> void;
    /// Closes immediately with a TCP reset, so that the peer does not take it for an orderly
    /// close.
    auto abort() -> void;
    /// Closes once all output was written to the socket, or after a bounded time. Until then the
    /// stream keeps itself alive and calls no handlers.
    auto closeAfterWrite() -> void;
    /// Ends the output once all of it was written to the socket, and closes once the peer has
    /// closed its side, or after a bounded time. Input is discarded, because a socket that is
    /// closed with unread input resets the connection, and the reset can overtake the output.
    auto closeAfterPeer() -> void;
    /// Returns whether the socket holds input that was not read yet.
    [[nodiscard]] auto hasUnreadInput() const -> bool;
    /// Stops or resumes reading.
    auto setReading(bool reading) -> void;

    [[nodiscard]] auto isOpen() const -> bool
    {
        return m_handle != ACE_INVALID_HANDLE;
    }
    [[nodiscard]] auto isConnected() const -> bool
    {
        return m_connected;
    }
    [[nodiscard]] auto pendingOutput() const -> std::size_t
    {
        return m_output.size() - m_written;
    }
    /// Returns the size of the output buffer, including bytes that were written but not released.
    [[nodiscard]] auto bufferedOutput() const -> std::size_t
    {
        return m_output.size();
    }
    /// Keeps an object until the stream is closed.
    auto attach(std::shared_ptr<void> object) -> void
    {
        m_attachment = std::move(object);
    }
    /// Returns whether any byte was written to the socket since `beginMessage`.
    [[nodiscard]] auto hasWritten() const -> bool
    {
        return m_hasWritten;
    }
    /// Marks the beginning of a message, which resets `hasWritten`.
    auto beginMessage() -> void
    {
        m_hasWritten = false;
    }

private:
    TcpStream(EventLoop &loop, ACE_HANDLE handle, bool connected);

    [[nodiscard]] auto get_handle() const -> ACE_HANDLE override
    {
        return m_handle;
    }
    auto handle_input(ACE_HANDLE) -> int override;
    auto handle_output(ACE_HANDLE) -> int override;

    auto setUserTimeout(Duration timeout) -> void;
    auto updateInterest() -> void;
    auto flush() -> void;
    auto fail(bool clean) -> void;
    /// Keeps the stream alive without handlers, until it is closed or a bounded time has passed.
    auto detach() -> void;
    auto scheduleFlush() -> void;
    /// Releases the part of the output buffer that was written, once it is long.
    auto releaseWritten() -> void;
    auto renewLastOutputTimer() -> void;
    /// Handles that all output was written to the socket.
    auto drained() -> void;
    /// Ends the output and waits for the peer to close.
    auto awaitPeerClose() -> void;

    EventLoop &m_loop;
    ACE_HANDLE m_handle;
    bool m_connected = false;
    bool m_reading = true;
    /// What follows once all output was written to the socket.
    enum class WhenDrained { KeepOpen, Close, AwaitPeerClose };
    WhenDrained m_whenDrained = WhenDrained::KeepOpen;
    /// The output has ended; input is discarded.
    bool m_isEnding = false;
    /// Closes the stream after `closeAfterWrite` and `closeAfterPeer`, and keeps it alive until
    /// then.
    TimerId m_endTimer = 0;
    bool m_hasWritten = false;
    bool m_flushScheduled = false;
    ACE_Reactor_Mask m_interest = ACE_Event_Handler::NULL_MASK;
    std::string m_output;
    /// Bytes of `m_output` that were written to the socket.
    std::size_t m_written = 0;
    Handlers m_handlers;
    std::shared_ptr<void> m_attachment;
};

/// A listening socket.
class TcpListener : public ACE_Event_Handler
{
public:
    using AcceptHandler = std::function<void(std::shared_ptr<TcpStream>)>;

    /// Listens on `at`. Fails with `Code::BadSetting`. `userTimeout` is the maximum time for which
    /// sent bytes of an accepted connection may stay unacknowledged (TCP_USER_TIMEOUT).
    [[nodiscard]] static auto listen(EventLoop &loop, const Endpoint &at, Duration userTimeout,
                                     AcceptHandler onAccept)
        -> Result<std::unique_ptr<TcpListener>>;
    ~TcpListener() override;

    auto close() -> void;

private:
    TcpListener(EventLoop &loop, Duration userTimeout, AcceptHandler onAccept);
    auto handle_input(ACE_HANDLE) -> int override;
    [[nodiscard]] auto get_handle() const -> ACE_HANDLE override
    {
        return m_acceptor.get_handle();
    }

    EventLoop &m_loop;
    Duration m_userTimeout;
    AcceptHandler m_onAccept;
    ACE_SOCK_Acceptor m_acceptor;
};

} // namespace heathergate::net
