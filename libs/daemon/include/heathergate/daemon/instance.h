#pragma once

#include <heathergate/daemon/entry_node.h>
#include <heathergate/daemon/replica_host.h>

namespace heathergate::daemon {

/// Outputs of one step of an instance, which the embedding code carries out.
struct InstanceOutput
{
    std::vector<Effect> effects;
    std::vector<StorageStep> storage;
};

/// One instance: the entry role and, on an instance with a disk, the replicas. This is the
/// interface for embedding: it takes events with their time and produces effects. No call performs
/// I/O or blocks.
class Instance
{
public:
    /// Creates an instance. `host` is null on an instance without a disk. `settings` must outlive
    /// it.
    Instance(const Settings &settings, std::uint64_t bootId, std::unique_ptr<ReplicaHost> host,
             Random random);

    auto httpRequest(TimePoint now, http::Token token, const http::Request &request) -> void;
    auto httpClosed(TimePoint now, http::Token token) -> void;
    auto upstreamEvent(TimePoint now, const http::ClientEvent &event) -> void;
    auto peerMessage(TimePoint now, const InstanceId &from, const wire::PeerMessage &message)
        -> void;
    auto synced(TimePoint now, GroupId group, std::uint64_t number) -> void;
    auto tick(TimePoint now) -> void;
    auto drain(TimePoint now) -> void;
    [[nodiscard]] auto isDrained(TimePoint now) const -> bool;
    auto leave(TimePoint now) -> void;

    /// Moves out the outputs.
    [[nodiscard]] auto takeOutput(TimePoint now) -> InstanceOutput;
    [[nodiscard]] auto nextDeadline() const -> TimePoint;

    [[nodiscard]] auto entry() const -> const EntryNode &
    {
        return m_entry;
    }
    [[nodiscard]] auto host() const -> const ReplicaHost *
    {
        return m_host.get();
    }

private:
    struct OrderInFlight
    {
        UpstreamOrder order;
        int status = 0;
    };

    auto route(TimePoint now, const InstanceId &to, wire::PeerMessage message,
               InstanceOutput &output, std::vector<std::pair<bool, wire::PeerMessage>> &local)
        -> void;
    auto sendOrder(UpstreamOrder order, InstanceOutput &output) -> void;

    const Settings &m_settings;
    EntryNode m_entry;
    std::unique_ptr<ReplicaHost> m_host;
    std::map<std::uint64_t, OrderInFlight> m_orders;
    std::uint64_t m_lastOrder = 0;
    bool m_draining = false;
};

} // namespace heathergate::daemon
