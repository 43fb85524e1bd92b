#include <heathergate/fleet/unconfirmed_streams.h>

namespace heathergate::fleet {

auto UnconfirmedStreams::add(const UpstreamId &upstream, StreamId stream) -> void
{
    if (m_placedAt.size() >= kMaxStreams && !m_placedAt.contains(stream))
        return;
    auto &placedAt = m_placedAt[stream];
    if (placedAt == upstream)
        return;
    placedAt = upstream;
    m_streams[upstream].push_back(stream);
}

auto UnconfirmedStreams::remove(StreamId stream) -> void
{
    m_placedAt.erase(stream);
}

auto UnconfirmedStreams::take(const UpstreamId &upstream) -> std::vector<StreamId>
{
    std::vector<StreamId> streams;
    const auto node = m_streams.extract(upstream);
    if (!node)
        return streams;
    for (const auto stream : node.mapped()) {
        const auto placedAt = m_placedAt.find(stream);
        if (placedAt == m_placedAt.end() || placedAt->second != upstream)
            continue;
        m_placedAt.erase(placedAt);
        streams.push_back(stream);
    }
    return streams;
}

auto UnconfirmedStreams::clear() -> void
{
    m_placedAt.clear();
    m_streams.clear();
}

} // namespace heathergate::fleet
