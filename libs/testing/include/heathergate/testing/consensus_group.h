#pragma once

#include <heathergate/consensus/consensus.h>
#include <heathergate/testing/fake_link.h>
#include <heathergate/testing/manual_clock.h>

#include <memory>

namespace heathergate::testing {

/// A group of replicas with fake disks and links, driven by one manual clock. A replica that
/// crashes loses its unsynced writes. The clock of each replica may deviate from true time.
class ConsensusGroup
{
public:
    ConsensusGroup(std::uint64_t seed, const std::vector<std::string> &voters,
                   consensus::Settings settings = {});

    /// Advances the clock by `time` in steps of one millisecond.
    auto run(Duration time) -> void;
    /// Runs until a replica can serve reads, for at most `limit`. Returns its name, or an empty
    /// string on timeout.
    [[nodiscard]] auto runUntilLeader(Duration limit) -> std::string;
    /// Runs until every running replica has committed `index`, for at most `limit`. Returns false
    /// on timeout.
    [[nodiscard]] auto runUntilApplied(consensus::Index index, Duration limit) -> bool;

    /// Proposes an entry at the current leader. Returns its index, or 0 without a leader.
    auto propose(const std::string &payload) -> consensus::Index;

    /// Stops a replica and discards its unsynced writes.
    auto crash(const std::string &name) -> void;
    /// Restarts a crashed replica whose process started `startup` earlier.
    auto restart(const std::string &name, Duration startup = {}) -> void;
    /// Suspends a replica, as SIGSTOP does, or resumes it. Its memory and lease are kept.
    auto setSuspended(const std::string &name, bool suspended) -> void;
    /// Starts a replica with an empty disk that is not a member of the group yet.
    auto addEmptyReplica(const std::string &name) -> void;
    /// Partitions a replica from all others in both directions, or heals the partition.
    auto setIsolated(const std::string &name, bool isolated) -> void;
    /// Sets the drift of a replica's clock in parts per million of true time.
    auto setClockError(const std::string &name, std::int64_t ppm) -> void;
    /// Sets the time that a disk sync takes at all replicas from the next one on.
    auto setSyncTime(Duration syncTime) -> void;
    /// Stops or resumes disk syncs at a replica.
    auto setDiskStalled(const std::string &name, bool diskStalled) -> void;

    [[nodiscard]] auto replica(const std::string &name) -> consensus::Replica &;
    [[nodiscard]] auto applied(const std::string &name) const
        -> const std::vector<consensus::Entry> &;
    [[nodiscard]] auto clock() -> ManualClock &
    {
        return m_clock;
    }
    [[nodiscard]] auto link() -> FakeLink<consensus::Envelope> &
    {
        return m_link;
    }
    /// Returns the time that the clock of a replica shows.
    [[nodiscard]] auto localTime(const std::string &name) const -> TimePoint;
    /// Returns the first violation of an invariant so far; empty if there is none.
    [[nodiscard]] auto violation() const -> const std::string &
    {
        return m_violation;
    }
    /// Replaces the committed entries of a replica by a snapshot.
    auto compact(const std::string &name) -> void;

private:
    struct Node
    {
        std::unique_ptr<consensus::Replica> replica;
        consensus::RecoveredState disk;
        std::vector<consensus::StorageWrite> unsynced;
        std::vector<consensus::Entry> applied;
        TimePoint syncAt{};
        bool suspended = false;
        bool diskStalled = false;
        std::int64_t clockErrorPpm = 0;
        bool isGenesis = true;
    };

    auto start(const std::string &name, Node &node, Duration startup = {}) -> void;
    auto step(const std::string &name, Node &node) -> void;
    auto collectEffects(const std::string &name, Node &node) -> void;
    auto syncDisk(const std::string &name, Node &node) -> void;
    static auto store(consensus::RecoveredState &disk, const consensus::StorageWrite &write)
        -> void;
    auto checkAgreement(const std::string &name, const consensus::Entry &entry) -> void;
    auto checkSingleLeaseHolder() -> void;
    auto checkGroupTime() -> void;
    [[nodiscard]] auto localTimeOf(const Node &node) const -> TimePoint;
    auto recordViolation(const std::string &violation) -> void;

    consensus::Settings m_settings;
    consensus::Configuration m_genesis;
    Random m_random;
    ManualClock m_clock;
    TimePoint m_startedAt{};
    Duration m_syncTime = std::chrono::milliseconds(2);
    FakeLink<consensus::Envelope> m_link;
    std::map<std::string, Node> m_nodes;
    std::map<consensus::Index, consensus::Entry> m_committed;
    std::string m_violation;
};

} // namespace heathergate::testing
