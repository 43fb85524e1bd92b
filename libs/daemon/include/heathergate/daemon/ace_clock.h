#pragma once

#include <heathergate/core/time.h>

namespace heathergate::daemon {

/// The clock of the running process, based on ACE's monotonic time policy.
class AceClock
{
public:
    [[nodiscard]] auto now() const -> TimePoint;
};

static_assert(Clock<AceClock>);

} // namespace heathergate::daemon
