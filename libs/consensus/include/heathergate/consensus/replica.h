#pragma once

#include <heathergate/consensus/internal/entry_log.h>
#include <heathergate/consensus/internal/group_clock.h>
#include <heathergate/consensus/internal/progress.h>
#include <heathergate/consensus/types.h>

#include <deque>
#include <map>
#include <set>

namespace heathergate::consensus {

/// One replica of a group, as a state machine without I/O. Calls change its state; what is to be
/// done outside is collected and handed over by `takeEffects`.
///
/// Safety rests on this contract: writes become durable in the order of their numbers, `synced`
/// is called only for durable ones, and messages from `takeEffects` may be sent at once, because
/// those that depend on a write are held back until it is durable.
class Replica
{
public:
    /// Creates a replica from what its disk held. `genesis` is the first configuration of the
    /// group, used only if the disk holds none; an empty one makes a replica that waits to be
    /// added.
    Replica(ReplicaId self, Settings settings, Configuration genesis, RecoveredState recovered,
            Random random, TimePoint now);

    /// Takes in a message from another replica.
    auto receive(TimePoint now, const Envelope &envelope) -> void;
    /// Lets time pass: elections, heartbeats, check of quorum. Called at `nextDeadline`.
    auto tick(TimePoint now) -> void;
    /// Says that all writes up to `number` are durable.
    auto synced(TimePoint now, std::uint64_t number) -> void;

    /// Appends a command. Returns its index; it counts only once it is committed. Fails with
    /// `Code::NotLeader`.
    [[nodiscard]] auto propose(TimePoint now, std::string payload) -> Result<Index>;
    /// Adds a member that receives the log without voting.
    [[nodiscard]] auto addLearner(TimePoint now, const ReplicaId &id) -> Result<Index>;
    /// Turns a learner into a voter. Fails with `Code::OutOfOrder` until it has caught up.
    [[nodiscard]] auto promote(TimePoint now, const ReplicaId &id) -> Result<Index>;
    /// Removes a voter or learner.
    [[nodiscard]] auto removeMember(TimePoint now, const ReplicaId &id) -> Result<Index>;
    /// Hands leadership to the voter that is most up to date. Proposals are refused meanwhile.
    auto transferLeadership(TimePoint now) -> void;

    /// Replaces entries up to `index`, which must be applied, by a snapshot. Returns its position.
    [[nodiscard]] auto compact(Index index, std::shared_ptr<const std::string> state)
        -> SnapshotMeta;

    /// Returns and forgets what is to be done outside.
    [[nodiscard]] auto takeEffects(TimePoint now) -> Effects;

    /// Returns whether this replica leads and may answer reads by itself: its lease holds and its
    /// state contains everything committed before its term.
    [[nodiscard]] auto canServeReads(TimePoint now) const -> bool;
    [[nodiscard]] auto role() const -> Role
    {
        return m_role;
    }
    /// Returns the leader, if one is known.
    [[nodiscard]] auto leader() const -> const std::optional<ReplicaId> &
    {
        return m_leader;
    }
    [[nodiscard]] auto term() const -> Term
    {
        return m_hardState.term;
    }
    [[nodiscard]] auto commitIndex() const -> Index
    {
        return m_commitIndex;
    }
    [[nodiscard]] auto lastIndex() const -> Index
    {
        return m_log.lastIndex();
    }
    [[nodiscard]] auto configuration() const -> const Configuration &
    {
        return m_configuration;
    }
    [[nodiscard]] auto groupTime(TimePoint now) const -> GroupTime
    {
        return m_clock.at(now);
    }
    /// Returns the hard state and the entries behind the snapshot, for rewriting the stored log.
    [[nodiscard]] auto retainedState() const -> RecoveredState;
    /// Returns the latest time by which `tick` has to be called.
    [[nodiscard]] auto nextDeadline() const -> TimePoint;

private:
    struct DeferredMessage
    {
        std::uint64_t afterWrite = 0;
        Envelope envelope;
    };

    struct PendingWrite
    {
        std::uint64_t number = 0;
        Index lastIndex = 0;
        Term lastTerm = 0;
    };

    struct ConfigurationAt
    {
        Index index = 0;
        Configuration configuration;
    };

    struct IncomingSnapshot
    {
        SnapshotMeta meta;
        std::uint64_t size = 0;
        std::uint64_t digest = 0;
        std::string bytes;
    };

    // Elections.
    auto startPreVote(TimePoint now) -> void;
    auto startElection(TimePoint now, bool transfer) -> void;
    auto requestVotes(bool preVote, bool transfer) -> void;
    auto handle(TimePoint now, const ReplicaId &from, const VoteRequest &request) -> void;
    auto handle(TimePoint now, const ReplicaId &from, const VoteReply &reply) -> void;
    auto handle(TimePoint now, const ReplicaId &from, const TransferRequest &request) -> void;
    auto becomeFollower(TimePoint now, Term term, std::optional<ReplicaId> leader) -> void;
    auto becomeLeader(TimePoint now) -> void;
    auto resetElectionTimer(TimePoint now) -> void;
    [[nodiscard]] auto hasLeaderContact(TimePoint now) const -> bool;
    [[nodiscard]] auto isUpToDate(Index lastIndex, Term lastTerm) const -> bool;

    // Replication.
    auto handle(TimePoint now, const ReplicaId &from, const AppendRequest &request) -> void;
    auto handle(TimePoint now, const ReplicaId &from, const AppendReply &reply) -> void;
    /// Notes a member's answer to this leader; null if it is not one, or shows a newer term.
    [[nodiscard]] auto recordReply(TimePoint now, const ReplicaId &from, Term term, TimePoint round)
        -> internal::Progress *;
    auto acceptEntries(const std::vector<Entry> &entries) -> void;
    auto sendAppend(TimePoint now, const ReplicaId &to, internal::Progress &progress,
                    bool withEntries) -> void;
    auto sendPendingEntries(TimePoint now) -> void;
    auto sendHeartbeats(TimePoint now) -> void;
    auto advanceCommit() -> void;
    auto commitUpTo(Index index) -> void;
    auto acknowledgeDurableEntries() -> void;
    [[nodiscard]] auto appendLocal(TimePoint now, EntryKind kind, std::string payload) -> Index;
    [[nodiscard]] auto newestQuorumRound(TimePoint now) const -> TimePoint;

    // Snapshot transfer.
    auto handle(TimePoint now, const ReplicaId &from, const SnapshotPiece &piece) -> void;
    auto handle(TimePoint now, const ReplicaId &from, const SnapshotReply &reply) -> void;
    auto sendSnapshotPiece(TimePoint now, const ReplicaId &to, internal::Progress &progress)
        -> void;
    auto install(const IncomingSnapshot &incoming) -> void;

    // Membership.
    [[nodiscard]] auto proposeConfiguration(TimePoint now, Configuration next) -> Result<Index>;
    [[nodiscard]] auto checkMembershipChange() const -> Result<void>;
    auto applyConfiguration(Index index, Configuration configuration) -> void;
    auto truncateConfigurationsFrom(Index index) -> void;
    auto syncProgressWithMembers() -> void;
    [[nodiscard]] auto configurationAt(Index index) const -> Configuration;

    // Output.
    auto send(const ReplicaId &to, Message message) -> void;
    auto sendAfterWrites(const ReplicaId &to, Message message) -> void;
    auto writeHardState() -> void;
    auto writeEntries(std::vector<Entry> entries) -> void;
    auto addWrite(StorageWrite write) -> std::uint64_t;
    [[nodiscard]] auto termCommitted() const -> bool;

    ReplicaId m_self;
    Settings m_settings;
    Random m_random;

    HardState m_hardState;
    internal::EntryLog m_log;
    std::optional<Snapshot> m_snapshot;
    std::vector<ConfigurationAt> m_configurations;
    Configuration m_configuration;
    internal::GroupClock m_clock;

    Role m_role = Role::Follower;
    std::optional<ReplicaId> m_leader;
    Index m_commitIndex = 0;
    /// Highest index known to equal the current leader's log.
    Index m_verifiedIndex = 0;
    Index m_durableIndex = 0;
    Index m_termStartIndex = 0;

    TimePoint m_electionDeadline{};
    TimePoint m_lastLeaderContact{};
    /// A leader was heard, or this replica led, since the start.
    bool m_hadLeaderContact = false;
    TimePoint m_lastRound{};
    std::set<ReplicaId> m_votes;
    bool m_isPreVoting = false;

    std::map<ReplicaId, internal::Progress> m_progress;
    TimePoint m_leaderElectedAt{};
    std::optional<TimePoint> m_transferDeadline;

    std::optional<IncomingSnapshot> m_incomingSnapshot;

    std::uint64_t m_lastWrite = 0;
    std::uint64_t m_lastHardStateWrite = 0;
    std::uint64_t m_syncedWrite = 0;
    std::deque<PendingWrite> m_pendingWrites;
    std::deque<DeferredMessage> m_deferredMessages;
    Effects m_effects;
};

} // namespace heathergate::consensus
