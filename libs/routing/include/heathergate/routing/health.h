#pragma once

#include <heathergate/core/core.h>

namespace heathergate::routing {

/// Health of one upstream as an instance sees it: ejects it after failures in a row and lets it
/// in again slowly.
class Health
{
public:
    auto succeeded(TimePoint now) -> void;
    auto failed(TimePoint now) -> void;
    /// Takes in that the upstream was silent until a time-out, which ejects it at once: each
    /// further try would cost a time-out too.
    auto timedOut(TimePoint now) -> void;

    /// Returns whether requests may be sent now.
    [[nodiscard]] auto isAvailable(TimePoint now) const -> bool
    {
        return now >= m_ejectedUntil;
    }

    /// Returns the share of its usual traffic that the upstream should get, from 0 to 1.
    [[nodiscard]] auto share(TimePoint now) const -> double;

private:
    auto eject(TimePoint now) -> void;

    int m_failures = 0;
    int m_ejections = 0;
    TimePoint m_ejectedUntil{};
};

} // namespace heathergate::routing
