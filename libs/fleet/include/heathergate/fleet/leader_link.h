#pragma once

#include <heathergate/core/core.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heathergate::fleet {

/// Finds the leader among the control instances and notices when it is lost. Shared by the roles
/// that report to the leader without being replicas.
class LeaderLink
{
public:
    LeaderLink(std::vector<InstanceId> seeds, std::size_t firstCandidate, TimePoint now);

    /// Returns whom to send a presence to; nothing while no control instance is known. Asks
    /// another one if the last did not answer.
    [[nodiscard]] auto target(TimePoint now) -> std::optional<InstanceId>;
    /// Notes that a presence was sent.
    auto presenceSent(TimePoint now) -> void;
    /// Has the next presence sent at once.
    auto requestPresenceNow(TimePoint now) -> void
    {
        m_nextPresence = now;
    }

    /// Takes in a leader's answer. Returns whether the leader is new, or is connected anew;
    /// nothing of an answer from a leader that has been replaced.
    [[nodiscard]] auto answered(TimePoint now, const InstanceId &from, std::uint64_t term)
        -> std::optional<bool>;
    /// Takes in that `from` does not lead. Returns whether a leader was lost by this.
    auto redirected(TimePoint now, const InstanceId &from, const std::string &leader) -> bool;
    /// Takes in that the connection with an instance is gone. Returns whether it was the leader.
    auto connectionLost(TimePoint now, const InstanceId &peer) -> bool;
    /// Returns whether the leader was lost because it is silent.
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
    /// Returns when a leader answered last.
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
    /// Where presence goes; the leader once it has answered.
    std::optional<InstanceId> m_contacted;
    std::optional<InstanceId> m_leader;
    std::uint64_t m_term = 0;
    std::size_t m_nextCandidate;
    TimePoint m_lastAnswer;
    TimePoint m_contactedAt{};
    TimePoint m_nextPresence;
};

/// Silence of all control instances after which what was learnt from them may be out of date.
constexpr Duration kStalenessTimeout = std::chrono::milliseconds(2500);

/// Returns identifiers for their texts.
[[nodiscard]] auto instanceIds(const std::vector<std::string> &texts) -> std::vector<InstanceId>;

} // namespace heathergate::fleet
