#pragma once

#include <heathergate/core/core.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heathergate::fleet {

/// Finds the leader among the control instances and detects its loss. Used by the roles that report
/// to the leader without hosting a replica.
class LeaderLink
{
public:
    LeaderLink(std::vector<InstanceId> seeds, std::size_t firstCandidate, TimePoint now);

    /// Returns the instance to send a presence to; nothing while no control instance is known.
    /// Selects another one if the last did not answer in time.
    [[nodiscard]] auto target(TimePoint now) -> std::optional<InstanceId>;
    /// Records that a presence was sent and schedules the next one.
    auto presenceSent(TimePoint now) -> void;
    /// Schedules the next presence immediately.
    auto requestPresenceNow(TimePoint now) -> void
    {
        m_nextPresence = now;
    }

    /// Handles an answer of a leader. Returns whether this leader or its term is new, or whether it
    /// answers again after it was lost; returns nothing if its term is outdated.
    [[nodiscard]] auto answered(TimePoint now, const InstanceId &from, std::uint64_t term)
        -> std::optional<bool>;
    /// Handles a redirect from `from`, which does not lead; `leader` is empty if it knows none.
    /// Returns whether `from` was the leader.
    auto redirected(TimePoint now, const InstanceId &from, const std::string &leader) -> bool;
    /// Handles the loss of the connection to an instance. Returns whether it was the leader.
    auto connectionLost(TimePoint now, const InstanceId &peer) -> bool;
    /// Discards the leader if it has not answered in time. Returns whether it was discarded.
    auto expire(TimePoint now) -> bool;
    auto addCandidates(const std::vector<InstanceId> &controls) -> void;

    [[nodiscard]] auto leader() const -> const std::optional<InstanceId> &
    {
        return m_leader;
    }
    [[nodiscard]] auto term() const -> std::uint64_t
    {
        return m_term;
    }
    /// Returns the time of the last answer of a leader.
    [[nodiscard]] auto lastAnswer() const -> TimePoint
    {
        return m_lastAnswer;
    }
    [[nodiscard]] auto nextPresence() const -> TimePoint
    {
        return m_nextPresence;
    }

private:
    auto clearLeader(TimePoint now) -> void;

    std::set<InstanceId> m_candidates;
    /// Instance that presence is sent to; the leader once it has answered.
    std::optional<InstanceId> m_contacted;
    std::optional<InstanceId> m_leader;
    std::uint64_t m_term = 0;
    std::size_t m_nextCandidate;
    TimePoint m_lastAnswer;
    TimePoint m_contactedAt{};
    TimePoint m_nextPresence;
};

/// Time without an answer of a leader after which the configuration received from it may be stale.
constexpr Duration kStalenessTimeout = std::chrono::milliseconds(2500);

/// Converts texts to instance identifiers.
[[nodiscard]] auto instanceIds(const std::vector<std::string> &texts) -> std::vector<InstanceId>;

} // namespace heathergate::fleet
