#pragma once

#include <heathergate/core/core.h>

#include <unordered_map>
#include <vector>

namespace heathergate::fleet {

/// How often the responses to a request were broken off since its last complete response.
struct RequestFailures
{
    /// Identifies the request by its customer, target and body.
    std::uint64_t fingerprint = 0;
    /// 0 after a complete response.
    int failures = 0;
};

/// Detects poison requests: requests that break every upstream that runs them, so that they are
/// rejected after a few failures. Requests are identified by a fingerprint of customer, target and
/// body.
class PoisonRegister
{
public:
    /// Records that an upstream broke off its response to a request.
    auto recordFailure(TimePoint now, std::uint64_t fingerprint) -> void;
    /// Records that a request received a complete response, which clears its failures.
    auto recordSuccess(std::uint64_t fingerprint) -> void;
    /// Records the failures that a former leader has counted; the last one was at `lastFailureAt`.
    auto restore(const RequestFailures &known, TimePoint lastFailureAt) -> void;
    /// Returns whether a request must not run again.
    [[nodiscard]] auto isPoison(TimePoint now, std::uint64_t fingerprint) const -> bool;
    /// Returns the counts that have changed since the last call, for the replicated state.
    [[nodiscard]] auto takeChanges() -> std::vector<RequestFailures>
    {
        return std::exchange(m_changes, {});
    }

private:
    struct Suspect
    {
        int failures = 0;
        TimePoint lastFailureAt{};
    };

    auto removeExpired(TimePoint now) -> void;

    std::unordered_map<std::uint64_t, Suspect> m_suspects;
    std::vector<RequestFailures> m_changes;
    TimePoint m_nextSweep{};
};

} // namespace heathergate::fleet
