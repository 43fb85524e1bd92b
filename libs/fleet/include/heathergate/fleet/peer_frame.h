#pragma once

#include <heathergate/consensus/consensus.h>
#include <heathergate/fleet/messages.h>

namespace heathergate::fleet {

/// What travels on a link between two instances: a message of the consensus group, or one
/// between a gateway and a control instance.
using PeerFrame = std::variant<consensus::Envelope, Message>;

[[nodiscard]] auto encodeFrame(PeerFrame frame) -> std::string;
/// Decodes a frame. Fails with `Code::BadFrame`.
[[nodiscard]] auto decodeFrame(std::string_view bytes) -> Result<PeerFrame>;

/// A frame for another instance.
struct PeerOut
{
    InstanceId to;
    PeerFrame frame;
};

} // namespace heathergate::fleet
