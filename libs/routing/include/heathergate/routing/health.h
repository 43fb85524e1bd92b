#pragma once

#include <heathergate/core/core.h>

namespace heathergate::routing {

/// Health of one upstream as observed by one instance. An upstream is ejected after consecutive
/// failures and readmitted with a slow start.
class Health
{
public:
    /// How a request failed: with a wrong answer or a broken connection, or without any answer.
    enum class Failure { Broken, Silent };

    auto succeeded(TimePoint now) -> void;
    auto failed(TimePoint now, Failure failure = Failure::Broken) -> void;
    /// Records that the upstream sent nothing before a timeout. It is ejected immediately, because
    /// each further attempt would also cost a timeout.
    auto timedOut(TimePoint now) -> void;

    /// Returns whether requests may be sent now.
    [[nodiscard]] auto isAvailable(TimePoint now) const -> bool
    {
        return now >= m_ejectedUntil;
    }

    /// Returns whether the last request failed because nothing was sent before a timeout.
    [[nodiscard]] auto isSilent() const -> bool
    {
        return m_isSilent;
    }

    /// Returns the fraction of its usual traffic that the upstream should receive, from 0 to 1.
    [[nodiscard]] auto share(TimePoint now) const -> double;

private:
    auto eject(TimePoint now) -> void;

    int m_failures = 0;
    int m_ejections = 0;
    bool m_isSilent = false;
    TimePoint m_ejectedUntil{};
};

} // namespace heathergate::routing
