#include <heathergate/fleet/peer_frame.h>

#include <heathergate/wire/wire.h>

namespace heathergate::fleet {

namespace {

/// The first byte of a frame selects the encoding of the rest.
constexpr char kConsensusTag = 'c';
constexpr char kFleetTag = 'f';
constexpr char kHistoryTag = 'h';

} // namespace

auto encodeFrame(PeerFrame frame) -> std::string
{
    if (const auto *envelope = std::get_if<consensus::Envelope>(&frame))
        return kConsensusTag
               + wire::encodeMessage(wire::ConsensusMessage{kControlGroup, *envelope});
    if (auto *message = std::get_if<history::Message>(&frame))
        return kHistoryTag + history::encodeMessage(std::move(*message));
    return kFleetTag + encodeMessage(std::move(std::get<Message>(frame)));
}

auto decodeFrame(std::string_view bytes) -> Result<PeerFrame>
{
    if (bytes.empty())
        return fail(Code::BadFrame, "an empty frame");
    if (bytes.front() == kHistoryTag) {
        auto message = history::decodeMessage(bytes.substr(1));
        if (!message)
            return tl::unexpected(message.error());
        return PeerFrame(std::move(*message));
    }
    // The copy has the alignment that the decoders require.
    const std::string body(bytes.substr(1));
    if (bytes.front() == kFleetTag) {
        auto message = decodeMessage(body);
        if (!message)
            return tl::unexpected(message.error());
        return PeerFrame(std::move(*message));
    }
    auto message = wire::decodeMessage(body);
    if (!message)
        return tl::unexpected(message.error());
    auto *consensusMessage = std::get_if<wire::ConsensusMessage>(&*message);
    if (consensusMessage == nullptr)
        return fail(Code::BadFrame, "a frame of another protocol");
    return PeerFrame(std::move(consensusMessage->envelope));
}

} // namespace heathergate::fleet
