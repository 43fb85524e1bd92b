#pragma once

#include <heathergate/core/core.h>

#include <optional>

namespace heathergate::net {

/// Identity and secrets that an instance presents to its peers.
struct PeerIdentity
{
    std::string cluster;
    InstanceId self;
    /// The first authenticates this instance; all are accepted from peers, so that a secret can be
    /// rotated without downtime.
    std::vector<std::string> secrets;
};

/// Framing and mutual authentication of one connection, without I/O.
///
/// Each side sends its name and a nonce, then a proof (HMAC-SHA-256 over names and nonces, keyed
/// with a fleet secret). Every later frame carries a message authentication code that covers its
/// position in the session, so that injected, replayed and omitted frames are detected.
class PeerSession
{
public:
    /// Creates a session. `expected` is the dialled peer, if this side opened the connection.
    PeerSession(const PeerIdentity &identity, std::optional<InstanceId> expected,
                const std::string &nonce);

    /// Processes received bytes and returns the bodies of the frames that they complete. An empty
    /// body is a keep-alive. Fails with `Code::PeerRejected` or `Code::BadFrame`; the connection
    /// must then be closed.
    [[nodiscard]] auto receive(std::string_view bytes) -> Result<std::vector<std::string>>;

    /// Appends a frame to the output. Requires `isEstablished`.
    auto send(std::string_view body) -> void;

    /// Moves out the bytes to send.
    [[nodiscard]] auto takeOutput() -> std::string
    {
        return std::exchange(m_output, {});
    }

    /// Returns whether the peer is authenticated.
    [[nodiscard]] auto isEstablished() const -> bool
    {
        return m_established;
    }

    /// Returns the peer's identity. It is authenticated only if `isEstablished`.
    [[nodiscard]] auto peer() const -> const InstanceId &
    {
        return m_peer;
    }

private:
    [[nodiscard]] auto receiveHello(const std::string &body) -> Result<void>;
    [[nodiscard]] auto receiveProof(const std::string &body) -> Result<void>;
    [[nodiscard]] auto verifyFrame(const std::string &frame) -> Result<std::string>;
    auto appendFrame(std::string_view frame) -> void;

    const PeerIdentity &m_identity;
    std::optional<InstanceId> m_expected;
    std::string m_nonce;
    std::string m_peerNonce;
    InstanceId m_peer;
    std::string m_sendKey;
    std::string m_receiveKey;
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
    bool m_helloReceived = false;
    bool m_established = false;
    std::string m_input;
    std::string m_output;
};

} // namespace heathergate::net
