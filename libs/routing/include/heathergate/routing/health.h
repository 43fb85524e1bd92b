#pragma once

#include <heathergate/core/core.h>

namespace heathergate::routing {

/// Health of one upstream as observed by one instance. An upstream is ejected after consecutive
/// failures and readmitted with a slow start.
class Health
{
public:
    auto succeeded(TimePoint now) -> void;
    auto failed(TimePoint now) -> void;
    /// Records that the upstream sent nothing before a timeout. It is ejected immediately, because
    /// each further attempt would also cost a timeout.
    auto timedOut(TimePoint now) -> void;

    /// Returns whether requests may be sent now.
    [[nodiscard]] auto isAvailable(TimePoint now) const -> bool
    {
        return now >= m_ejectedUntil;
    }

    /// Returns the fraction of its usual traffic that the upstream should receive, from 0 to 1.
    [[nodiscard]] auto share(TimePoint now) const -> double;

private:
    auto eject(TimePoint now) -> void;

    int m_failures = 0;
    int m_ejections = 0;
    TimePoint m_ejectedUntil{};
};

} // namespace heathergate::routing
