#pragma once

#include <heathergate/daemon/entry_node.h>
#include <heathergate/daemon/replica_host.h>

namespace heathergate::daemon {

/// Everything that has to be done outside after a step of an instance.
struct InstanceOutput
{
    std::vector<Effect> effects;
    std::vector<StorageStep> storage;
};

/// One instance: the entry role and, where there is a disk, the replicas. This is the interface
/// for embedding: events go in with the time, effects come out; no call does I/O or waits.
class Instance
{
public:
    /// Creates an instance. `host` is empty on an instance without a disk. `settings` must
    /// outlive it.
    Instance(const Settings &settings, std::uint64_t bootId, std::unique_ptr<ReplicaHost> host,
             Random random);

    void httpRequest(TimePoint now, http::Token token, const http::Request &request);
    void httpClosed(TimePoint now, http::Token token);
    void upstreamEvent(TimePoint now, const http::ClientEvent &event);
    void peerMessage(TimePoint now, const InstanceId &from, const wire::PeerMessage &message);
    void synced(TimePoint now, GroupId group, std::uint64_t number);
    void tick(TimePoint now);
    void drain(TimePoint now);
    [[nodiscard]] auto isDrained(TimePoint now) const -> bool;
    void leave(TimePoint now);

    /// Returns and forgets what has to be done outside.
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

    void route(TimePoint now, const InstanceId &to, wire::PeerMessage message,
               InstanceOutput &output, std::vector<std::pair<bool, wire::PeerMessage>> &local);
    void sendOrder(UpstreamOrder order, InstanceOutput &output);

    const Settings &m_settings;
    EntryNode m_entry;
    std::unique_ptr<ReplicaHost> m_host;
    std::map<std::uint64_t, OrderInFlight> m_orders;
    std::uint64_t m_lastOrder = 0;
    bool m_draining = false;
};

} // namespace heathergate::daemon
