#pragma once

#include <heathergate/daemon/settings.h>
#include <heathergate/net/peer_session.h>
#include <heathergate/wire/wire.h>

#include <functional>
#include <memory>

namespace heathergate::daemon {

/// A message to an instance, with the address to dial if there is no connection.
struct PeerOutgoing
{
    InstanceId to;
    std::optional<Endpoint> address;
    wire::PeerMessage message;
};

/// Connections between instances, on a reactor thread of their own. Messages may be lost; a
/// connection that goes silent is closed and a new one made at the next message.
class PeerNetwork
{
public:
    /// Called on the network's thread.
    using MessageHandler = std::function<void(InstanceId from, wire::PeerMessage message)>;

    /// Starts to listen at `listen`; a port of 0 listens nowhere. Fails with `Code::BadSetting`.
    [[nodiscard]] static auto start(net::PeerIdentity identity, const Endpoint &listen,
                                    MessageHandler onMessage)
        -> Result<std::unique_ptr<PeerNetwork>>;

    virtual ~PeerNetwork() = default;

    /// Sends a message; called by one thread. It is dropped if the ring is full.
    virtual auto send(PeerOutgoing outgoing) -> void = 0;
};

} // namespace heathergate::daemon
