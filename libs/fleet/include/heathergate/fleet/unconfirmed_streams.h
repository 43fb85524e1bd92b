#pragma once

#include <heathergate/fleet/stream_origins.h>

#include <unordered_map>
#include <vector>

namespace heathergate::fleet {

/// Streams that began at upstreams which may have been replaced by other incarnations, until the
/// next heartbeat of their upstreams tells. Holds at most 65,536.
class UnconfirmedStreams
{
public:
    /// Adds a stream that is placed at an upstream, or replaces its upstream.
    auto add(const UpstreamId &upstream, StreamId stream) -> void;
    /// Forgets a stream that is placed at an upstream whose incarnation is known.
    auto remove(StreamId stream) -> void;
    /// Returns and forgets the streams that were last placed at an upstream.
    [[nodiscard]] auto take(const UpstreamId &upstream) -> std::vector<StreamId>;
    auto clear() -> void;

private:
    static constexpr std::size_t kMaxStreams = 65'536;

    std::unordered_map<StreamId, UpstreamId> m_placedAt;
    /// In the order of their placement; includes streams that were placed elsewhere later.
    std::unordered_map<UpstreamId, std::vector<StreamId>> m_streams;
};

} // namespace heathergate::fleet
