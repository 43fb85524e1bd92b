#pragma once

#include <heathergate/core/time.h>

namespace heathergate::daemon {

/// The runtime's clock: ACE's monotonic time policy.
class AceClock
{
public:
    [[nodiscard]] auto now() const -> TimePoint;
};

static_assert(Clock<AceClock>);

} // namespace heathergate::daemon
