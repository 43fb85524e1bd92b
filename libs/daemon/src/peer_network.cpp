#include <heathergate/daemon/peer_network.h>

#include <heathergate/telemetry/logging.h>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/INET_Addr.h>
#include <ace/OS_NS_sys_socket.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <atomic>
#include <netinet/tcp.h>
#include <thread>

namespace heathergate::daemon {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kRingCapacity = 16'384;
constexpr std::size_t kReadBufferBytes = 64 * 1024;
/// Output buffered for a peer that does not read; beyond it the connection is closed.
constexpr std::size_t kMaxOutputBytes = 128 * 1024 * 1024;
/// Messages queued for a peer until a connection is established; further ones are discarded.
constexpr std::size_t kMaxQueuedMessages = 1024;
constexpr std::size_t kNonceBytes = 16;
/// Time without a sent message after which an empty one is sent.
constexpr std::chrono::milliseconds kPingInterval{1000};
/// Maximum time without a byte from an authenticated peer.
constexpr std::chrono::milliseconds kPeerTimeout{3500};
/// Maximum time without a byte from a peer that is not authenticated yet.
constexpr std::chrono::milliseconds kHandshakeTimeout{2000};
/// Minimum time between attempts to open a connection to the same instance.
constexpr std::chrono::milliseconds kRedialDelay{100};
constexpr int kPollMilliseconds = 100;

const telemetry::Logger kLog("peers");

class Connection;

/// Receives the events of a connection.
class ConnectionOwner
{
public:
    virtual ~ConnectionOwner() = default;
    virtual auto established(Connection &connection) -> void = 0;
    virtual auto received(Connection &connection, const std::string &body) -> void = 0;
    virtual auto closed(Connection &connection) -> void = 0;
};

/// One TCP connection to a peer.
class Connection final : public ACE_Event_Handler
{
public:
    Connection(ACE_Reactor &reactor, ConnectionOwner &owner, const net::PeerIdentity &identity,
               std::optional<InstanceId> dialled)
        : ACE_Event_Handler(&reactor)
        , m_owner(owner)
        , m_dialled(dialled)
        , m_session(identity, std::move(dialled), secureRandom(kNonceBytes))
    {
    }

    ~Connection() override
    {
        m_stream.close();
    }

    [[nodiscard]] auto stream() -> ACE_SOCK_Stream &
    {
        return m_stream;
    }

    [[nodiscard]] auto get_handle() const -> ACE_HANDLE override
    {
        return m_stream.get_handle();
    }

    /// Starts reading and writing; the socket may still be connecting.
    auto open() -> bool
    {
        m_stream.enable(ACE_NONBLOCK);
        int enabled = 1;
        m_stream.set_option(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        m_pending = m_session.takeOutput();
        m_writing = true;
        return reactor()->register_handler(this, READ_MASK | WRITE_MASK) == 0;
    }

    auto send(std::string_view body) -> void
    {
        m_session.send(body);
        m_lastSent = SteadyClock::now();
        flush();
    }

    auto handle_input(ACE_HANDLE) -> int override
    {
        std::string buffer(kReadBufferBytes, '\0');
        const auto count = m_stream.recv(buffer.data(), buffer.size());
        if (count < 0 && (errno == EWOULDBLOCK || errno == EAGAIN || errno == EINTR))
            return 0;
        if (count <= 0) {
            fail();
            return 0;
        }
        m_lastReceived = SteadyClock::now();
        const auto wasEstablished = m_session.isEstablished();
        const auto bodies =
            m_session.receive(std::string_view(buffer).substr(0, static_cast<std::size_t>(count)));
        if (!bodies) {
            kLog.warning("Closed a peer connection: " + bodies.error().detail + ".");
            fail();
            return 0;
        }
        if (!wasEstablished && m_session.isEstablished())
            m_owner.established(*this);
        for (const auto &body : *bodies) {
            if (!m_closed && !body.empty())
                m_owner.received(*this, body);
        }
        if (!m_closed)
            flush();
        return 0;
    }

    auto handle_output(ACE_HANDLE) -> int override
    {
        int socketError = 0;
        int size = sizeof(socketError);
        m_stream.get_option(SOL_SOCKET, SO_ERROR, &socketError, &size);
        if (socketError != 0)
            fail();
        else
            flush();
        return 0;
    }

    auto handle_close(ACE_HANDLE, ACE_Reactor_Mask) -> int override
    {
        return 0;
    }

    /// Sends a keep-alive if nothing was sent during the ping interval, and closes an unresponsive
    /// connection.
    auto checkLiveness(SteadyClock::time_point now) -> void
    {
        const auto timeout = m_session.isEstablished() ? SteadyClock::duration(kPeerTimeout)
                                                       : SteadyClock::duration(kHandshakeTimeout);
        if (now - m_lastReceived > timeout) {
            fail();
            return;
        }
        if (m_session.isEstablished() && now - m_lastSent > kPingInterval)
            send({});
    }

    auto fail() -> void
    {
        if (std::exchange(m_closed, true))
            return;
        reactor()->remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
        m_owner.closed(*this);
    }

    [[nodiscard]] auto isClosed() const -> bool
    {
        return m_closed;
    }

    [[nodiscard]] auto isEstablished() const -> bool
    {
        return m_session.isEstablished() && !m_closed;
    }

    [[nodiscard]] auto peer() const -> const InstanceId &
    {
        return m_session.peer();
    }

    [[nodiscard]] auto dialled() const -> const std::optional<InstanceId> &
    {
        return m_dialled;
    }

private:
    auto flush() -> void
    {
        m_pending += m_session.takeOutput();
        while (!m_pending.empty()) {
            const auto count = m_stream.send(m_pending.data(), m_pending.size());
            if (count > 0) {
                m_pending.erase(0, static_cast<std::size_t>(count));
                continue;
            }
            if (errno == EINTR)
                continue;
            if (errno != EWOULDBLOCK && errno != EAGAIN && errno != ENOTCONN) {
                fail();
                return;
            }
            break;
        }
        if (m_pending.size() > kMaxOutputBytes) {
            fail();
            return;
        }
        watchWriting(!m_pending.empty());
    }

    auto watchWriting(bool wanted) -> void
    {
        if (wanted == std::exchange(m_writing, wanted))
            return;
        const auto operation = wanted ? ACE_Reactor::ADD_MASK : ACE_Reactor::CLR_MASK;
        reactor()->mask_ops(this, WRITE_MASK, operation);
    }

    ConnectionOwner &m_owner;
    std::optional<InstanceId> m_dialled;
    net::PeerSession m_session;
    ACE_SOCK_Stream m_stream;
    std::string m_pending;
    bool m_writing = false;
    bool m_closed = false;
    SteadyClock::time_point m_lastReceived = SteadyClock::now();
    SteadyClock::time_point m_lastSent = SteadyClock::now();
};

class AcePeerNetwork final : public PeerNetwork, public ConnectionOwner, public ACE_Event_Handler
{
public:
    AcePeerNetwork(net::PeerIdentity identity, MessageHandler onMessage)
        : m_identity(std::move(identity))
        , m_onMessage(std::move(onMessage))
        , m_reactor(new ACE_Dev_Poll_Reactor, true)
        , m_ring(kRingCapacity, [this] { wake(); })
    {
    }

    ~AcePeerNetwork() override
    {
        m_stopping = true;
        m_reactor.notify();
        if (m_thread.joinable())
            m_thread.join();
        m_reactor.remove_handler(this, ACCEPT_MASK | DONT_CALL);
        m_acceptor.close();
    }

    auto listen(const Endpoint &endpoint) -> Result<void>
    {
        if (endpoint.port != 0) {
            const ACE_INET_Addr address(endpoint.port, endpoint.host.c_str());
            if (m_acceptor.open(address, 1) != 0)
                return fail(Code::BadSetting, "cannot listen for peers on " + endpoint.text());
            m_acceptor.enable(ACE_NONBLOCK);
            m_reactor.register_handler(this, ACCEPT_MASK);
        }
        m_thread = std::thread([this] { run(); });
        return {};
    }

    auto send(PeerOutgoing outgoing) -> void override
    {
        // A dropped message is like one lost in the network: senders retry where needed.
        static_cast<void>(m_ring.push(std::move(outgoing)));
    }

private:
    struct PendingDial
    {
        std::vector<std::string> queued;
        SteadyClock::time_point notBefore{};
    };

    auto wake() -> void
    {
        if (!m_wakePending.exchange(true))
            m_reactor.notify();
    }

    auto run() -> void
    {
        m_reactor.owner(ACE_OS::thr_self());
        auto nextCheck = SteadyClock::now();
        while (!m_stopping) {
            ACE_Time_Value wait(0, kPollMilliseconds * 1000);
            m_reactor.handle_events(&wait);
            m_wakePending = false;
            while (auto outgoing = m_ring.pop())
                deliver(*outgoing);
            const auto now = SteadyClock::now();
            if (now >= nextCheck) {
                nextCheck = now + std::chrono::milliseconds(kPollMilliseconds);
                checkConnections(now);
            }
            std::erase_if(m_connections, [](const auto &item) { return item->isClosed(); });
        }
        for (const auto &connection : m_connections)
            connection->fail();
        m_connections.clear();
    }

    auto checkConnections(SteadyClock::time_point now) -> void
    {
        const auto count = m_connections.size();
        for (std::size_t i = 0; i < count; ++i) {
            if (!m_connections[i]->isClosed())
                m_connections[i]->checkLiveness(now);
        }
    }

    auto deliver(const PeerOutgoing &outgoing) -> void
    {
        const auto body = wire::encodeMessage(outgoing.message);
        const auto known = m_byPeer.find(outgoing.to);
        if (known != m_byPeer.end() && known->second->isEstablished()) {
            known->second->send(body);
            return;
        }
        if (!outgoing.address)
            return;
        auto &pendingDial = m_pendingDials[outgoing.to];
        if (pendingDial.queued.size() < kMaxQueuedMessages)
            pendingDial.queued.push_back(body);
        dial(outgoing.to, *outgoing.address, pendingDial);
    }

    auto dial(const InstanceId &to, const Endpoint &endpoint, PendingDial &pendingDial) -> void
    {
        const auto now = SteadyClock::now();
        const auto isDialling =
            std::any_of(m_connections.begin(), m_connections.end(), [&](const auto &item) {
                return !item->isClosed() && item->dialled() == to;
            });
        if (isDialling || now < pendingDial.notBefore)
            return;
        pendingDial.notBefore = now + kRedialDelay;
        auto connection = std::make_unique<Connection>(m_reactor, *this, m_identity, to);
        ACE_SOCK_Connector connector;
        const ACE_INET_Addr address(endpoint.port, endpoint.host.c_str());
        const auto status = connector.connect(connection->stream(), address, &ACE_Time_Value::zero);
        if (status != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
            pendingDial.queued.clear();
            return;
        }
        if (connection->open())
            m_connections.push_back(std::move(connection));
    }

    auto handle_input(ACE_HANDLE) -> int override
    {
        auto connection = std::make_unique<Connection>(m_reactor, *this, m_identity, std::nullopt);
        if (m_acceptor.accept(connection->stream()) == 0 && connection->open())
            m_connections.push_back(std::move(connection));
        return 0;
    }

    [[nodiscard]] auto get_handle() const -> ACE_HANDLE override
    {
        return m_acceptor.get_handle();
    }

    auto established(Connection &connection) -> void override
    {
        m_byPeer[connection.peer()] = &connection;
        kLog.info("Connected to " + connection.peer().value + ".");
        const auto pendingDial = m_pendingDials.find(connection.peer());
        if (pendingDial == m_pendingDials.end())
            return;
        const auto queued = std::move(pendingDial->second.queued);
        m_pendingDials.erase(pendingDial);
        for (const auto &body : queued)
            connection.send(body);
    }

    auto received(Connection &connection, const std::string &body) -> void override
    {
        auto message = wire::decodeMessage(body);
        if (message)
            m_onMessage(connection.peer(), std::move(*message));
        else
            kLog.warning("Dropped a message from " + connection.peer().value + ": "
                         + message.error().detail + ".");
    }

    auto closed(Connection &connection) -> void override
    {
        const auto known = m_byPeer.find(connection.peer());
        if (known != m_byPeer.end() && known->second == &connection) {
            m_byPeer.erase(known);
            kLog.info("Lost the connection to " + connection.peer().value + ".");
        }
        if (!connection.dialled())
            return;
        const auto pendingDial = m_pendingDials.find(*connection.dialled());
        if (pendingDial != m_pendingDials.end())
            pendingDial->second.queued.clear();
    }

    net::PeerIdentity m_identity;
    MessageHandler m_onMessage;
    ACE_Reactor m_reactor;
    ACE_SOCK_Acceptor m_acceptor;
    Ring<PeerOutgoing> m_ring;
    std::atomic<bool> m_wakePending = false;
    std::atomic<bool> m_stopping = false;
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::map<InstanceId, Connection *> m_byPeer;
    std::map<InstanceId, PendingDial> m_pendingDials;
    std::thread m_thread;
};

} // namespace

auto PeerNetwork::start(net::PeerIdentity identity, const Endpoint &listen,
                        MessageHandler onMessage) -> Result<std::unique_ptr<PeerNetwork>>
{
    auto network = std::make_unique<AcePeerNetwork>(std::move(identity), std::move(onMessage));
    if (auto listening = network->listen(listen); !listening)
        return tl::unexpected(listening.error());
    return network;
}

} // namespace heathergate::daemon
