#include <heathergate/net/peer_links.h>

#include <algorithm>
#include <heathergate/core/hash.h>

namespace heathergate::net {

namespace {

constexpr std::size_t kNonceBytes = 16;
/// Maximum time until a connection is open and both sides are authenticated.
constexpr Duration kOpenTimeout = std::chrono::milliseconds(800);
/// Minimum time between attempts to open a connection to the same instance.
constexpr Duration kRedialDelay = std::chrono::milliseconds(100);
constexpr Duration kPeerCheckInterval = std::chrono::milliseconds(200);
/// Output buffered for a peer that does not read; beyond it the connection is closed.
constexpr std::size_t kMaxPendingOutputBytes = 8 * 1024 * 1024;
/// Output buffered for all peers together; beyond it the connection with most of it is closed.
constexpr std::size_t kMaxTotalOutputBytes = 24 * 1024 * 1024;
/// Bytes sent after which the total is checked again.
constexpr std::size_t kTotalCheckBytes = 1024 * 1024;
/// Accepted connections that have not been authenticated yet, beyond which further ones are closed:
/// more than the instances that dial a new leader at the same time.
constexpr std::ptrdiff_t kMaxUnauthenticated = 320;
/// Messages queued until a connection is established; further ones are discarded.
constexpr std::size_t kMaxQueuedMessages = 256;

} // namespace

/// One connection to another instance.
class PeerLinks::Link : public std::enable_shared_from_this<PeerLinks::Link>
{
public:
    Link(PeerLinks &links, std::optional<InstanceId> dialled)
        : m_links(links)
        , m_dialled(std::move(dialled))
        , m_session(links.m_identity, m_dialled, secureRandom(kNonceBytes))
    {
    }

    ~Link()
    {
        close();
    }

    Link(const Link &) = delete;
    auto operator=(const Link &) -> Link & = delete;

    auto open(std::shared_ptr<TcpStream> stream) -> void
    {
        m_stream = std::move(stream);
        m_stream->setHandlers({{},
                               [this](std::string_view bytes) { received(bytes); },
                               [this](bool) { m_links.lost(*this); },
                               {}});
        m_stream->write(m_session.takeOutput());
        m_openTimer =
            m_links.m_loop.at(m_links.m_loop.now() + kOpenTimeout, [this] { m_links.lost(*this); });
    }

    auto send(const std::string &body) -> void
    {
        if (!m_session.isEstablished()) {
            if (m_queued.size() < kMaxQueuedMessages
                && unsentBytes() + body.size() <= kMaxPendingOutputBytes) {
                m_queued.push_back(body);
                m_queuedBytes += body.size();
            }
            return;
        }
        m_session.send(body);
        m_stream->write(m_session.takeOutput());
        if (!m_unansweredSince)
            m_unansweredSince = m_links.m_loop.now();
        if (m_stream->pendingOutput() > kMaxPendingOutputBytes)
            m_links.m_loop.defer([self = shared_from_this()] {
                if (self->m_stream->isOpen())
                    self->m_links.lost(*self);
            });
    }

    auto close() -> void
    {
        m_links.m_loop.cancel(std::exchange(m_openTimer, 0));
        if (m_stream)
            m_stream->close();
    }

    [[nodiscard]] auto peer() const -> const InstanceId &
    {
        return m_session.isEstablished() || !m_dialled ? m_session.peer() : *m_dialled;
    }
    [[nodiscard]] auto isEstablished() const -> bool
    {
        return m_session.isEstablished();
    }
    /// Returns the bytes that wait to be written to the socket.
    [[nodiscard]] auto unsentBytes() const -> std::size_t
    {
        return m_queuedBytes + (m_stream ? m_stream->pendingOutput() : 0);
    }
    /// Returns whether the connection was accepted from a peer that is not authenticated yet.
    [[nodiscard]] auto isUnauthenticated() const -> bool
    {
        return !m_dialled && !m_session.isEstablished();
    }
    [[nodiscard]] auto isUnresponsive(TimePoint now, Duration timeout) const -> bool
    {
        return m_unansweredSince && now - *m_unansweredSince > timeout;
    }

private:
    auto received(std::string_view bytes) -> void
    {
        const auto self = shared_from_this();
        const auto wasEstablished = m_session.isEstablished();
        auto bodies = m_session.receive(bytes);
        m_unansweredSince.reset();
        if (!bodies)
            return m_links.lost(*this);
        m_stream->write(m_session.takeOutput());
        if (!wasEstablished && m_session.isEstablished()) {
            m_links.m_loop.cancel(std::exchange(m_openTimer, 0));
            m_links.established(*this);
            m_queuedBytes = 0;
            for (const auto &body : std::exchange(m_queued, {}))
                send(body);
        }
        for (auto &body : *bodies) {
            if (!body.empty() && m_stream->isOpen())
                m_links.m_handlers.onMessage(m_session.peer(), std::move(body));
        }
    }

    PeerLinks &m_links;
    /// The instance that this side connects to; empty for an accepted connection.
    std::optional<InstanceId> m_dialled;
    PeerSession m_session;
    std::shared_ptr<TcpStream> m_stream;
    std::vector<std::string> m_queued;
    std::size_t m_queuedBytes = 0;
    /// Time of the first message that was sent after the last byte from the peer; empty if there is
    /// none.
    std::optional<TimePoint> m_unansweredSince;
    TimerId m_openTimer = 0;
};

PeerLinks::PeerLinks(EventLoop &loop, PeerIdentity identity, Duration peerTimeout,
                     Handlers handlers)
    : m_loop(loop)
    , m_identity(std::move(identity))
    , m_peerTimeout(peerTimeout)
    , m_handlers(std::move(handlers))
{
    closeUnresponsive();
}

PeerLinks::~PeerLinks() = default;

auto PeerLinks::listen(const Endpoint &at) -> Result<void>
{
    auto listener =
        TcpListener::listen(m_loop, at, m_peerTimeout, [this](std::shared_ptr<TcpStream> stream) {
            const auto unauthenticated =
                std::count_if(m_links.begin(), m_links.end(),
                              [](const auto &known) { return known->isUnauthenticated(); });
            if (unauthenticated >= kMaxUnauthenticated)
                return; // Closes the connection.
            auto link = std::make_shared<Link>(*this, std::nullopt);
            m_links.insert(link);
            link->open(std::move(stream));
        });
    if (!listener)
        return tl::unexpected(listener.error());
    m_listener = std::move(*listener);
    return {};
}

auto PeerLinks::send(const InstanceId &to, const Endpoint &address, const std::string &body) -> void
{
    m_uncheckedBytes += body.size();
    if (m_uncheckedBytes >= kTotalCheckBytes) {
        m_uncheckedBytes = 0;
        m_loop.defer([this] { limitBacklog(); });
    }
    if (const auto known = m_byPeer.find(to); known != m_byPeer.end())
        return known->second->send(body);
    if (const auto opening = m_opening.find(to); opening != m_opening.end())
        return opening->second->send(body);
    auto &notBefore = m_notBefore[to];
    if (m_loop.now() < notBefore)
        return;
    notBefore = m_loop.now() + kRedialDelay;
    auto stream = TcpStream::connect(m_loop, address, m_peerTimeout);
    if (!stream)
        return m_loop.defer([this, to] { m_handlers.onLost(to); });
    auto link = std::make_shared<Link>(*this, to);
    m_links.insert(link);
    m_opening[to] = link.get();
    link->open(std::move(stream));
    link->send(body);
}

auto PeerLinks::backlog() const -> Backlog
{
    Backlog total;
    for (const auto &link : m_links) {
        const auto bytes = link->unsentBytes();
        total.bytes += bytes;
        if (bytes <= total.largestBytes)
            continue;
        total.largestPeer = link->peer();
        total.largestBytes = bytes;
    }
    return total;
}

auto PeerLinks::limitBacklog() -> void
{
    const auto isSmaller = [](const auto &left, const auto &right) {
        return left->unsentBytes() < right->unsentBytes();
    };
    while (backlog().bytes > kMaxTotalOutputBytes) {
        const auto largest = *std::max_element(m_links.begin(), m_links.end(), isSmaller);
        lost(*largest);
    }
}

auto PeerLinks::established(Link &link) -> void
{
    const auto opening = m_opening.find(link.peer());
    if (opening != m_opening.end() && opening->second == &link)
        m_opening.erase(opening);
    m_byPeer[link.peer()] = &link;
}

auto PeerLinks::lost(Link &link) -> void
{
    const auto self = link.shared_from_this();
    const auto peer = link.peer();
    link.close();
    m_links.erase(self);
    m_loop.defer([self] {});
    const auto opening = m_opening.find(peer);
    if (opening != m_opening.end() && opening->second == &link)
        m_opening.erase(opening);
    const auto known = m_byPeer.find(peer);
    if (known != m_byPeer.end() && known->second == &link) {
        m_byPeer.erase(known);
        // Another connection to the same peer may still be established.
        for (const auto &other : m_links) {
            if (other->isEstablished() && other->peer() == peer)
                m_byPeer[peer] = other.get();
        }
    }
    if (!peer.empty() && !m_byPeer.contains(peer))
        m_handlers.onLost(peer);
}

auto PeerLinks::closeUnresponsive() -> void
{
    std::vector<std::shared_ptr<Link>> unresponsive;
    for (const auto &link : m_links) {
        if (link->isUnresponsive(m_loop.now(), m_peerTimeout))
            unresponsive.push_back(link);
    }
    for (const auto &link : unresponsive)
        lost(*link);
    m_loop.at(m_loop.now() + kPeerCheckInterval, [this] { closeUnresponsive(); });
}

} // namespace heathergate::net
