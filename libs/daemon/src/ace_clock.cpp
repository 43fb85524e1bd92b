#include <heathergate/daemon/ace_clock.h>

#include <ace/Monotonic_Time_Policy.h>

namespace heathergate::daemon {

auto AceClock::now() const -> TimePoint
{
    const ACE_Monotonic_Time_Policy policy;
    const auto value = policy();
    return TimePoint{std::chrono::seconds(value.sec()) + std::chrono::microseconds(value.usec())};
}

} // namespace heathergate::daemon
