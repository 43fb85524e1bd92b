#pragma once

#include <heathergate/consensus/consensus.h>
#include <heathergate/fleet/messages.h>
#include <heathergate/history/messages.h>

namespace heathergate::fleet {

/// Unit of transmission between two instances: a message of the consensus group, a message between
/// an instance and a control instance, or a message of the history store.
using PeerFrame = std::variant<consensus::Envelope, Message, history::Message>;

[[nodiscard]] auto encodeFrame(PeerFrame frame) -> std::string;
/// Fails with `Code::BadFrame`.
[[nodiscard]] auto decodeFrame(std::string_view bytes) -> Result<PeerFrame>;

/// A frame to be sent to another instance.
struct PeerOut
{
    InstanceId to;
    PeerFrame frame;
};

} // namespace heathergate::fleet
