#pragma once

#include <heathergate/consensus/consensus.h>
#include <heathergate/testing/fake_link.h>
#include <heathergate/testing/manual_clock.h>

#include <memory>

namespace heathergate::testing {

/// A group of replicas with fake disks and links under one paused clock. A replica that crashes
/// loses what was not synced; its clock may run at a rate of its own.
class ConsensusGroup
{
public:
    ConsensusGroup(std::uint64_t seed, const std::vector<std::string> &voters,
                   consensus::Settings settings = {});

    /// Lets time pass in steps of one millisecond.
    auto run(Duration time) -> void;
    /// Runs until a replica may serve reads, at most `limit`. Returns its name; empty if none does.
    [[nodiscard]] auto runUntilLeader(Duration limit) -> std::string;
    /// Runs until every live replica has applied `index`. Returns whether that came to be.
    [[nodiscard]] auto runUntilApplied(consensus::Index index, Duration limit) -> bool;

    /// Proposes at the current leader. Returns the index; 0 if there is no leader.
    auto propose(const std::string &payload) -> consensus::Index;

    auto crash(const std::string &name) -> void;
    /// Starts a replica again; its process has run for `startup` by then.
    auto restart(const std::string &name, Duration startup = {}) -> void;
    /// Freezes a replica without crashing it, or thaws it.
    auto setSuspended(const std::string &name, bool suspended) -> void;
    /// Adds a replica with an empty disk that waits to be added.
    auto addEmptyReplica(const std::string &name) -> void;
    /// Cuts a replica off in both directions, or heals it.
    auto setIsolated(const std::string &name, bool isolated) -> void;
    /// Sets the rate of a replica's clock in parts per million above or below true time.
    auto setClockError(const std::string &name, std::int64_t ppm) -> void;
    /// Stops or resumes syncing at a replica.
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
    /// Returns the local time of a replica.
    [[nodiscard]] auto localTime(const std::string &name) const -> TimePoint;
    /// Returns the first violation of an invariant seen so far; empty if none.
    [[nodiscard]] auto violation() const -> const std::string &
    {
        return m_violation;
    }
    /// Takes a snapshot of what a replica has applied.
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
    FakeLink<consensus::Envelope> m_link;
    std::map<std::string, Node> m_nodes;
    std::map<consensus::Index, consensus::Entry> m_committed;
    std::string m_violation;
};

} // namespace heathergate::testing
