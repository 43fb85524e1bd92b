#pragma once

#include <heathergate/core/core.h>

#include <unordered_map>

namespace heathergate::fleet {

/// Detects poison requests: requests that break every upstream that runs them, so that they are
/// rejected after a few failures. Requests are identified by a fingerprint of caller, path and
/// body.
class PoisonRegister
{
public:
    /// Records that an upstream broke off its response to a request.
    auto recordFailure(TimePoint now, std::uint64_t fingerprint) -> void;
    /// Records that a request received a complete response, which clears its failures.
    auto recordSuccess(std::uint64_t fingerprint) -> void;
    /// Returns whether a request must not run again.
    [[nodiscard]] auto isPoison(TimePoint now, std::uint64_t fingerprint) const -> bool;

private:
    struct Suspect
    {
        int failures = 0;
        TimePoint lastFailureAt{};
    };

    auto removeExpired(TimePoint now) -> void;

    std::unordered_map<std::uint64_t, Suspect> m_suspects;
    TimePoint m_nextSweep{};
};

} // namespace heathergate::fleet
