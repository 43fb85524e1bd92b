#pragma once

#include <heathergate/core/core.h>

#include <unordered_map>

namespace heathergate::fleet {

/// Recognises requests that break each upstream that runs them, so that they are stopped after a
/// few. Requests with the same caller, path and body count as the same.
class PoisonRegister
{
public:
    /// Notes that an upstream broke off while it worked on a request.
    auto recordFailure(TimePoint now, std::uint64_t fingerprint) -> void;
    /// Notes that a request was answered as a whole.
    auto recordSuccess(std::uint64_t fingerprint) -> void;
    /// Returns whether a request must not run any more.
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
