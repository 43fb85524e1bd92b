#include <heathergate/net/peer_session.h>

namespace heathergate::net {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kMaxFrameBytes = 64 * 1024 * 1024;
/// Maximum size of a frame from a peer that is not authenticated yet.
constexpr std::size_t kMaxHandshakeBytes = 4096;

struct Hello
{
    std::string cluster;
    InstanceId instance;
    std::string nonce;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(Hello, cluster, instance, nonce)
};

auto numberBytes(std::uint64_t value, std::size_t count) -> std::string
{
    std::string bytes;
    for (std::size_t i = 0; i < count; ++i)
        bytes.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
    return bytes;
}

auto readLength(std::string_view bytes) -> std::size_t
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return length;
}

/// Returns the input of the MAC for a proof or key. Length prefixes separate the parts.
auto transcript(std::initializer_list<std::string_view> parts) -> std::string
{
    std::string text;
    for (const auto part : parts) {
        text += numberBytes(part.size(), kLengthBytes);
        text += part;
    }
    return text;
}

/// Returns the truncated MAC of a frame. `position` is the frame's number in its direction, so that
/// a repeated or reordered frame is rejected.
auto frameMac(const std::string &key, std::uint64_t position, std::string_view body) -> std::string
{
    auto text = numberBytes(position, sizeof(position));
    text += body;
    return hmacSha256(key, text).substr(0, kMacBytes);
}

} // namespace

PeerSession::PeerSession(const PeerIdentity &identity, std::optional<InstanceId> expected,
                         const std::string &nonce)
    : m_identity(identity)
    , m_expected(std::move(expected))
    , m_nonce(toHex(nonce))
{
    appendFrame(encode(Hello{identity.cluster, identity.self, m_nonce}));
}

auto PeerSession::receive(std::string_view bytes) -> Result<std::vector<std::string>>
{
    m_input.append(bytes);
    std::vector<std::string> bodies;
    std::size_t start = 0;
    while (m_input.size() - start >= kLengthBytes) {
        const auto length = readLength(std::string_view(m_input).substr(start));
        const auto maxBytes = m_established ? kMaxFrameBytes : kMaxHandshakeBytes;
        if (length > maxBytes)
            return fail(Code::BadFrame, "a frame of " + std::to_string(length) + " bytes");
        if (m_input.size() - start - kLengthBytes < length)
            break;
        const auto frame = m_input.substr(start + kLengthBytes, length);
        start += kLengthBytes + length;
        if (m_established) {
            auto body = verifyFrame(frame);
            if (!body)
                return tl::unexpected(body.error());
            bodies.push_back(std::move(*body));
            continue;
        }
        const auto accepted = m_helloReceived ? receiveProof(frame) : receiveHello(frame);
        if (!accepted)
            return tl::unexpected(accepted.error());
    }
    m_input.erase(0, start);
    return bodies;
}

auto PeerSession::send(std::string_view body) -> void
{
    auto frame = frameMac(m_sendKey, m_sent++, body);
    frame += body;
    appendFrame(frame);
}

auto PeerSession::receiveHello(const std::string &body) -> Result<void>
{
    const auto hello = decode<Hello>(body);
    if (!hello)
        return fail(Code::PeerRejected, "the peer does not speak the protocol");
    if (hello->cluster != m_identity.cluster)
        return fail(Code::PeerRejected, "the peer belongs to another fleet");
    if (m_expected && hello->instance != *m_expected)
        return fail(Code::PeerRejected,
                    "another instance answers at the address of " + m_expected->value);
    if (hello->nonce.size() != m_nonce.size() || hello->nonce == m_nonce
        || hello->instance == m_identity.self)
        return fail(Code::PeerRejected, "the peer reflects this instance");
    m_helloReceived = true;
    m_peer = hello->instance;
    m_peerNonce = hello->nonce;
    const auto &secret = m_identity.secrets.front();
    appendFrame(hmacSha256(secret, transcript({"proof", m_identity.cluster, m_identity.self.value,
                                               m_peer.value, m_nonce, m_peerNonce})));
    m_sendKey = hmacSha256(
        secret, transcript({"session", m_identity.self.value, m_peer.value, m_nonce, m_peerNonce}));
    return {};
}

auto PeerSession::receiveProof(const std::string &body) -> Result<void>
{
    for (const auto &secret : m_identity.secrets) {
        const auto proof =
            hmacSha256(secret, transcript({"proof", m_identity.cluster, m_peer.value,
                                           m_identity.self.value, m_peerNonce, m_nonce}));
        if (!equalInConstantTime(proof, body))
            continue;
        m_receiveKey = hmacSha256(
            secret,
            transcript({"session", m_peer.value, m_identity.self.value, m_peerNonce, m_nonce}));
        m_established = true;
        return {};
    }
    return fail(Code::PeerRejected, m_peer.value + " does not know the fleet's secret");
}

auto PeerSession::verifyFrame(const std::string &frame) -> Result<std::string>
{
    if (frame.size() < kMacBytes)
        return fail(Code::BadFrame, "a frame without message code");
    const auto body = std::string_view(frame).substr(kMacBytes);
    const auto mac = frameMac(m_receiveKey, m_received++, body);
    if (!equalInConstantTime(mac, std::string_view(frame).substr(0, kMacBytes)))
        return fail(Code::BadFrame, "a frame's message code does not match");
    return std::string(body);
}

auto PeerSession::appendFrame(std::string_view frame) -> void
{
    m_output += numberBytes(frame.size(), kLengthBytes);
    m_output += frame;
}

} // namespace heathergate::net
