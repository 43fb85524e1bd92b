#pragma once

#include <heathergate/core/core.h>

namespace heathergate::fleet {

/// Settings of how the leader places requests. The defaults switch every optional behaviour off.
struct PlacementSettings
{
    /// Finds the pace of upstreams that have started or recovered from how they respond.
    bool measuredPace = false;
    /// Cost of a new connection from a gateway to an upstream; zero ignores connections.
    Duration connectionCost{};
};

} // namespace heathergate::fleet
