#pragma once

#include <heathergate/core/core.h>

#include <optional>

namespace heathergate::net {

/// Identity and secrets of an instance towards its peers.
struct PeerIdentity
{
    std::string cluster;
    InstanceId self;
    /// The first proves this instance; all are accepted from others, so that a secret can be
    /// replaced step by step without a stop.
    std::vector<std::string> secrets;
};

/// One connection's framing and mutual proof of identity, without I/O.
///
/// Each side sends its name and a nonce, then a proof (HMAC-SHA-256 over names and nonces under
/// a fleet secret). After that every frame carries a message code bound to its position in the
/// session, so that nothing can be injected, repeated or left out.
class PeerSession
{
public:
    /// Creates a session; `expected` is the peer that was dialled, if this side dialled.
    PeerSession(const PeerIdentity &identity, std::optional<InstanceId> expected,
                const std::string &nonce);

    /// Takes in bytes and returns the bodies of the frames that they complete. An empty body is a
    /// sign of life. Fails with `Code::PeerRejected` or `Code::BadFrame`; the connection must then
    /// be closed.
    [[nodiscard]] auto receive(std::string_view bytes) -> Result<std::vector<std::string>>;

    /// Adds a frame to the output. Requires `isEstablished`.
    auto send(std::string_view body) -> void;

    /// Returns and forgets the bytes to send.
    [[nodiscard]] auto takeOutput() -> std::string
    {
        return std::exchange(m_output, {});
    }

    /// Returns whether the peer has proved its identity.
    [[nodiscard]] auto isEstablished() const -> bool
    {
        return m_established;
    }

    /// Returns the peer's proved identity.
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
