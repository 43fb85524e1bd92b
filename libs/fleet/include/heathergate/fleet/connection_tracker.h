#pragma once

#include <heathergate/core/core.h>

#include <unordered_map>
#include <vector>

namespace heathergate::fleet {

/// Maximum idle time of a connection that is reused for a request that must not run twice. The
/// upstream may close a connection without notice, and the request would be lost then.
constexpr Duration kMaxIdleIfRunsOnce = std::chrono::milliseconds(1500);

/// Estimates which gateway has an idle connection to which upstream that the next request can use.
/// Designed for this load: tens of gateways that each send a few requests a second to tens of
/// upstreams, so that requests that are spread evenly would need a new connection nearly each time.
///
/// It follows the placements and their ends, so that gateways report nothing. A wrong estimate
/// costs a new connection.
class ConnectionTracker
{
public:
    /// Returns whether a request from the gateway to the upstream is expected to find an idle
    /// connection.
    [[nodiscard]] auto hasIdle(TimePoint now, const InstanceId &gateway,
                               const UpstreamId &upstream) const -> bool;
    /// Notes that a request uses a connection: the one that became idle last, or a new one. Returns
    /// whether it is expected to be a new one.
    auto used(TimePoint now, const InstanceId &gateway, const UpstreamId &upstream) -> bool;
    /// Notes that a request has ended so that its connection can be reused.
    auto released(TimePoint now, const InstanceId &gateway, const UpstreamId &upstream) -> void;
    auto dropGateway(const InstanceId &gateway) -> void;
    /// Forgets the connections to an upstream that has restarted or is gone.
    auto dropUpstream(const UpstreamId &upstream) -> void;

private:
    /// Times at which the idle connections became idle, the earliest first.
    using IdleSince = std::vector<TimePoint>;
    using ByUpstream = std::unordered_map<UpstreamId, IdleSince>;

    std::unordered_map<InstanceId, ByUpstream> m_idle;
};

} // namespace heathergate::fleet
