#pragma once

#include <heathergate/daemon/settings.h>
#include <heathergate/net/peer_session.h>
#include <heathergate/wire/wire.h>

#include <functional>
#include <memory>

namespace heathergate::daemon {

/// A message to an instance, with the address to connect to if there is no connection.
struct PeerOutgoing
{
    InstanceId to;
    std::optional<Endpoint> address;
    wire::PeerMessage message;
};

/// Connections between instances, on a dedicated reactor thread. Messages may be lost. An
/// unresponsive connection is closed, and the next message opens a new one.
class PeerNetwork
{
public:
    /// Called on the network's thread.
    using MessageHandler = std::function<void(InstanceId from, wire::PeerMessage message)>;

    /// Starts the thread and listens on `listen`; with port 0 it does not listen. Fails with
    /// `Code::BadSetting`.
    [[nodiscard]] static auto start(net::PeerIdentity identity, const Endpoint &listen,
                                    MessageHandler onMessage)
        -> Result<std::unique_ptr<PeerNetwork>>;

    virtual ~PeerNetwork() = default;

    /// Sends a message. Must be called from one thread only. The message is dropped if the ring is
    /// full.
    virtual auto send(PeerOutgoing outgoing) -> void = 0;
};

} // namespace heathergate::daemon
