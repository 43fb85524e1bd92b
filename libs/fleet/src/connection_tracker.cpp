#include <heathergate/fleet/connection_tracker.h>

namespace heathergate::fleet {

namespace {

/// Deducted from the idle time, because the request arrives later than it is placed.
constexpr Duration kArrivalMargin = std::chrono::milliseconds(100);
constexpr Duration kReusableTime = kMaxIdleIfRunsOnce - kArrivalMargin;

} // namespace

auto ConnectionTracker::hasIdle(TimePoint now, const InstanceId &gateway,
                                const UpstreamId &upstream) const -> bool
{
    const auto connections = m_idle.find(gateway);
    if (connections == m_idle.end())
        return false;
    const auto idle = connections->second.find(upstream);
    return idle != connections->second.end() && !idle->second.empty()
           && now - idle->second.back() < kReusableTime;
}

auto ConnectionTracker::used(TimePoint now, const InstanceId &gateway, const UpstreamId &upstream)
    -> bool
{
    auto &idle = m_idle[gateway][upstream];
    std::erase_if(idle, [&](TimePoint since) { return now - since >= kReusableTime; });
    if (idle.empty())
        return true;
    idle.pop_back();
    return false;
}

auto ConnectionTracker::released(TimePoint now, const InstanceId &gateway,
                                 const UpstreamId &upstream) -> void
{
    auto &idle = m_idle[gateway][upstream];
    std::erase_if(idle, [&](TimePoint since) { return now - since >= kReusableTime; });
    idle.push_back(now);
}

auto ConnectionTracker::dropGateway(const InstanceId &gateway) -> void
{
    m_idle.erase(gateway);
}

auto ConnectionTracker::dropUpstream(const UpstreamId &upstream) -> void
{
    for (auto &[gateway, connections] : m_idle)
        connections.erase(upstream);
}

} // namespace heathergate::fleet
