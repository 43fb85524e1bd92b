#pragma once

#include <heathergate/core/time.h>

namespace heathergate::testing {

/// A clock that advances only when a test calls `advance`.
class ManualClock
{
public:
    [[nodiscard]] auto now() const -> TimePoint
    {
        return m_now;
    }

    auto advance(Duration by) -> void
    {
        m_now += by;
    }

private:
    TimePoint m_now{std::chrono::hours(1)};
};

static_assert(Clock<ManualClock>);

} // namespace heathergate::testing
