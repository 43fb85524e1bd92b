#pragma once

#include <heathergate/net/peer_session.h>
#include <heathergate/net/tcp_stream.h>

#include <map>
#include <set>

namespace heathergate::net {

/// Authenticated connections to other instances. They are opened on the first send and closed when
/// the peer becomes unresponsive. Messages may be lost with a connection; on one connection they
/// are neither duplicated nor reordered.
class PeerLinks
{
public:
    struct Handlers
    {
        std::function<void(const InstanceId &from, std::string body)> onMessage;
        /// The last connection to an instance was closed, or none could be opened.
        std::function<void(const InstanceId &peer)> onLost;
    };

    /// Creates the links of an instance. `peerTimeout` is the maximum time without any byte from a
    /// peer after a message was sent to it; its connection is then closed.
    PeerLinks(EventLoop &loop, PeerIdentity identity, Duration peerTimeout, Handlers handlers);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    auto operator=(const PeerLinks &) -> PeerLinks & = delete;

    /// Accepts connections of other instances. Fails with `Code::BadSetting`.
    [[nodiscard]] auto listen(const Endpoint &at) -> Result<void>;
    /// Sends a message to the instance `to` that listens at `address`.
    auto send(const InstanceId &to, const Endpoint &address, const std::string &body) -> void;

    /// Unsent output of all connections.
    struct Backlog
    {
        std::size_t bytes = 0;
        /// The peer with the most unsent output, and its bytes.
        InstanceId largestPeer;
        std::size_t largestBytes = 0;
    };
    [[nodiscard]] auto backlog() const -> Backlog;

private:
    class Link;

    auto established(Link &link) -> void;
    auto lost(Link &link) -> void;
    auto closeUnresponsive() -> void;
    /// Closes the connections with the most unsent output until the rest is within the limit.
    auto limitBacklog() -> void;

    EventLoop &m_loop;
    PeerIdentity m_identity;
    Duration m_peerTimeout;
    Handlers m_handlers;
    std::unique_ptr<TcpListener> m_listener;
    std::set<std::shared_ptr<Link>> m_links;
    /// The most recently established connection to each peer.
    std::map<InstanceId, Link *> m_byPeer;
    /// Connections that are being opened.
    std::map<InstanceId, Link *> m_opening;
    /// Earliest time of the next attempt to open a connection to each instance.
    std::map<InstanceId, TimePoint> m_notBefore;
    /// Bytes sent since the total backlog was last checked.
    std::size_t m_uncheckedBytes = 0;
};

} // namespace heathergate::net
