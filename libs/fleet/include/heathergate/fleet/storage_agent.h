#pragma once

#include <heathergate/fleet/leader_link.h>
#include <heathergate/fleet/peer_frame.h>
#include <heathergate/telemetry/telemetry.h>

namespace heathergate::fleet {

/// An instance that only makes itself known, so that operators can empty it.
class StorageAgent
{
public:
    StorageAgent(InstanceId self, std::string name, FailureDomainId domain, std::uint64_t boot,
                 std::vector<InstanceId> seeds, telemetry::EventLog &log, TimePoint now);

    auto receive(TimePoint now, const InstanceId &from, PeerFrame frame) -> void;
    auto peerLost(TimePoint now, const InstanceId &peer) -> void;
    /// Lets time pass; returns a frame to send, if one is due.
    [[nodiscard]] auto tick(TimePoint now) -> std::optional<PeerOut>;
    auto addControls(const std::vector<InstanceId> &controls) -> void
    {
        m_link.learn(controls);
    }
    [[nodiscard]] auto nextDeadline() const -> TimePoint
    {
        return m_link.nextPresence();
    }

private:
    InstanceId m_self;
    std::string m_name;
    FailureDomainId m_domain;
    std::uint64_t m_boot;
    telemetry::EventLog &m_log;
    LeaderLink m_link;
};

} // namespace heathergate::fleet
