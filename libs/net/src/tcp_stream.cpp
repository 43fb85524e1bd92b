#include <heathergate/net/tcp_stream.h>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <array>
#include <cerrno>
#include <netinet/tcp.h>

namespace heathergate::net {

namespace {

constexpr std::size_t kReadBufferBytes = 16 * 1024;
/// TCP keep-alive detects connections whose network path has failed: idle seconds before the first
/// probe, seconds between probes, and unanswered probes until the connection is closed.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr int kListenBacklog = 256;
/// Maximum time in which the peer reads nothing of the rest of the output after the last message.
constexpr Duration kLastOutputTimeout = std::chrono::seconds(10);
/// Written bytes from which on they are released before the buffer is empty.
constexpr std::size_t kMaxWrittenBytes = 64 * 1024;
/// Memory of an empty output buffer that is kept for the next message.
constexpr std::size_t kMaxRetainedBytes = 16 * 1024;
/// Maximum time for which the peer may take to close its side after the end of the output.
constexpr Duration kPeerCloseTimeout = std::chrono::seconds(1);

auto setOption(ACE_HANDLE handle, int level, int name, int value) -> void
{
    // A failure is ignored: the connection also works with the system's defaults.
    static_cast<void>(::setsockopt(handle, level, name, &value, sizeof(value)));
}

} // namespace

TcpStream::TcpStream(EventLoop &loop, ACE_HANDLE handle, bool connected)
    : m_loop(loop)
    , m_handle(handle)
    , m_connected(connected)
{
    reactor(&loop.reactor());
    ACE_SOCK_Stream stream(handle);
    stream.enable(ACE_NONBLOCK);
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

TcpStream::~TcpStream()
{
    close();
}

auto TcpStream::connect(EventLoop &loop, const Endpoint &to, Duration userTimeout)
    -> std::shared_ptr<TcpStream>
{
    ACE_SOCK_Connector connector;
    ACE_SOCK_Stream socket;
    const ACE_INET_Addr address(to.port, to.host.c_str());
    const auto status = connector.connect(socket, address, &ACE_Time_Value::zero);
    if (status != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
        socket.close();
        return nullptr;
    }
    if (socket.get_handle() >= loop.maxHandles()) {
        loop.countRefusedHandle();
        socket.close();
        return nullptr;
    }
    std::shared_ptr<TcpStream> stream(new TcpStream(loop, socket.get_handle(), false));
    stream->setUserTimeout(userTimeout);
    stream->updateInterest();
    return stream;
}

auto TcpStream::adopt(EventLoop &loop, ACE_HANDLE handle, Duration userTimeout)
    -> std::shared_ptr<TcpStream>
{
    std::shared_ptr<TcpStream> stream(new TcpStream(loop, handle, true));
    stream->setUserTimeout(userTimeout);
    stream->updateInterest();
    return stream;
}

auto TcpStream::setUserTimeout(Duration timeout) -> void
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    setOption(m_handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(milliseconds.count()));
}

auto TcpStream::write(std::string_view bytes) -> void
{
    if (!isOpen() || bytes.empty())
        return;
    m_output.append(bytes);
    scheduleFlush();
}

auto TcpStream::write(std::string &&bytes) -> void
{
    if (!isOpen() || bytes.empty())
        return;
    if (pendingOutput() > 0)
        return write(std::string_view(bytes));
    m_output = std::move(bytes);
    m_written = 0;
    scheduleFlush();
}

auto TcpStream::scheduleFlush() -> void
{
    if (!m_connected || std::exchange(m_flushScheduled, true))
        return;
    // All writes of one round are sent with one system call.
    m_loop.defer([self = shared_from_this()] {
        self->m_flushScheduled = false;
        self->flush();
    });
}

auto TcpStream::close() -> void
{
    if (!isOpen())
        return;
    const auto keepAlive = weak_from_this().lock(); // The timer may hold the last reference.
    m_loop.cancel(std::exchange(m_endTimer, 0));
    const auto handle = std::exchange(m_handle, ACE_INVALID_HANDLE);
    m_loop.reactor().remove_handler(handle, ACE_Event_Handler::ALL_EVENTS_MASK
                                                | ACE_Event_Handler::DONT_CALL);
    ACE_OS::closesocket(handle);
    // The handlers may own the object that calls this function, so they are destroyed at the end of
    // the round.
    if (auto self = weak_from_this().lock())
        m_loop.defer([self, handlers = std::make_shared<Handlers>(std::move(m_handlers))] {});
    m_handlers = {};
    m_attachment.reset();
}

auto TcpStream::abort() -> void
{
    if (!isOpen())
        return;
    const struct linger resetOnClose = {1, 0};
    static_cast<void>(
        ::setsockopt(m_handle, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose)));
    close();
}

auto TcpStream::closeAfterWrite() -> void
{
    if (!isOpen())
        return;
    m_whenDrained = WhenDrained::Close;
    if (pendingOutput() == 0)
        return close();
    detach();
}

auto TcpStream::closeAfterPeer() -> void
{
    if (!isOpen())
        return;
    m_whenDrained = WhenDrained::AwaitPeerClose;
    detach();
    if (pendingOutput() == 0)
        awaitPeerClose();
}

auto TcpStream::detach() -> void
{
    m_loop.defer([handlers = std::make_shared<Handlers>(std::exchange(m_handlers, {}))] {});
    renewLastOutputTimer();
}

auto TcpStream::renewLastOutputTimer() -> void
{
    // The timer keeps the stream alive, so that it ends with the loop at the latest.
    const auto former = std::exchange(m_endTimer, 0);
    m_endTimer = m_loop.at(m_loop.now() + kLastOutputTimeout,
                           [self = shared_from_this()] { self->close(); });
    m_loop.cancel(former);
}

auto TcpStream::releaseWritten() -> void
{
    // A peer that always leaves some bytes unread would otherwise let the buffer grow without end.
    if (m_written < kMaxWrittenBytes || m_written < pendingOutput())
        return;
    m_output.erase(0, m_written);
    m_written = 0;
}

auto TcpStream::awaitPeerClose() -> void
{
    const auto self = shared_from_this();
    m_isEnding = true;
    static_cast<void>(::shutdown(m_handle, SHUT_WR)); // A connection that has failed ends anyway.
    m_loop.cancel(m_endTimer);
    m_endTimer = m_loop.at(m_loop.now() + kPeerCloseTimeout, [self] { self->close(); });
    setReading(true);
}

auto TcpStream::hasUnreadInput() const -> bool
{
    char first = 0;
    return isOpen() && ::recv(m_handle, &first, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

auto TcpStream::setReading(bool reading) -> void
{
    if (m_reading == reading || !isOpen())
        return;
    m_reading = reading;
    updateInterest();
}

auto TcpStream::updateInterest() -> void
{
    if (!isOpen())
        return;
    ACE_Reactor_Mask wanted = ACE_Event_Handler::NULL_MASK;
    if (m_connected && m_reading)
        wanted |= ACE_Event_Handler::READ_MASK;
    if (!m_connected || pendingOutput() > 0)
        wanted |= ACE_Event_Handler::WRITE_MASK;
    if (wanted == m_interest)
        return;
    if (m_interest == ACE_Event_Handler::NULL_MASK)
        m_loop.reactor().register_handler(m_handle, this, wanted);
    else {
        m_loop.reactor().mask_ops(m_handle, wanted, ACE_Reactor::SET_MASK);
    }
    m_interest = wanted;
}

auto TcpStream::flush() -> void
{
    while (isOpen() && pendingOutput() > 0) {
        const auto sent = ::send(m_handle, m_output.data() + m_written, pendingOutput(),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0 && (errno == EWOULDBLOCK || errno == EAGAIN))
            break;
        if (sent < 0)
            return fail(false);
        m_hasWritten = true;
        m_written += static_cast<std::size_t>(sent);
        if (m_endTimer != 0 && !m_isEnding)
            renewLastOutputTimer();
    }
    if (!isOpen())
        return;
    releaseWritten();
    if (pendingOutput() == 0) {
        m_output.clear();
        if (m_output.capacity() > kMaxRetainedBytes)
            std::string().swap(m_output);
        m_written = 0;
        drained();
    }
    updateInterest();
}

auto TcpStream::drained() -> void
{
    const auto self = shared_from_this();
    switch (m_whenDrained) {
    case WhenDrained::KeepOpen:
        if (m_handlers.onDrained)
            m_handlers.onDrained();
        break;
    case WhenDrained::Close:
        close();
        break;
    case WhenDrained::AwaitPeerClose:
        if (!m_isEnding)
            awaitPeerClose();
        break;
    }
}

auto TcpStream::fail(bool clean) -> void
{
    const auto self = shared_from_this();
    const auto onClosed = std::move(m_handlers.onClosed);
    close();
    if (onClosed)
        onClosed(clean);
}

auto TcpStream::handle_input(ACE_HANDLE) -> int
{
    const auto self = shared_from_this();
    m_loop.socketReady();
    std::array<char, kReadBufferBytes> buffer;
    const auto received = ::recv(m_handle, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (received < 0 && (errno == EINTR || errno == EWOULDBLOCK || errno == EAGAIN))
        return 0;
    if (received <= 0) {
        fail(received == 0);
        return 0;
    }
    if (!m_isEnding && m_handlers.onData)
        m_handlers.onData(std::string_view(buffer.data(), static_cast<std::size_t>(received)));
    return 0;
}

auto TcpStream::handle_output(ACE_HANDLE) -> int
{
    const auto self = shared_from_this();
    m_loop.socketReady();
    if (!m_connected) {
        int error = 0;
        socklen_t size = sizeof(error);
        ::getsockopt(m_handle, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            fail(false);
            return 0;
        }
        m_connected = true;
        if (m_handlers.onConnected)
            m_handlers.onConnected();
    }
    flush();
    updateInterest();
    return 0;
}

TcpListener::TcpListener(EventLoop &loop, Duration userTimeout, AcceptHandler onAccept)
    : m_loop(loop)
    , m_userTimeout(userTimeout)
    , m_onAccept(std::move(onAccept))
{
    reactor(&loop.reactor());
}

auto TcpListener::listen(EventLoop &loop, const Endpoint &at, Duration userTimeout,
                         AcceptHandler onAccept) -> Result<std::unique_ptr<TcpListener>>
{
    std::unique_ptr<TcpListener> listener(new TcpListener(loop, userTimeout, std::move(onAccept)));
    const ACE_INET_Addr address(at.port, at.host.c_str());
    if (listener->m_acceptor.open(address, 1, PF_INET, kListenBacklog) != 0)
        return heathergate::fail(Code::BadSetting, "cannot listen on " + at.text());
    listener->m_acceptor.enable(ACE_NONBLOCK);
    loop.reactor().register_handler(listener.get(), ACE_Event_Handler::ACCEPT_MASK);
    return listener;
}

TcpListener::~TcpListener()
{
    close();
}

auto TcpListener::close() -> void
{
    if (m_acceptor.get_handle() == ACE_INVALID_HANDLE)
        return;
    m_loop.reactor().remove_handler(this,
                                    ACE_Event_Handler::ACCEPT_MASK | ACE_Event_Handler::DONT_CALL);
    m_acceptor.close();
}

auto TcpListener::handle_input(ACE_HANDLE) -> int
{
    m_loop.socketReady();
    while (true) {
        ACE_SOCK_Stream socket;
        if (m_acceptor.accept(socket, nullptr, nullptr, true) != 0)
            return 0;
        if (socket.get_handle() >= m_loop.maxHandles()) {
            m_loop.countRefusedHandle();
            socket.close();
            continue;
        }
        m_onAccept(TcpStream::adopt(m_loop, socket.get_handle(), m_userTimeout));
    }
}

} // namespace heathergate::net
