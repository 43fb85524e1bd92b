#pragma once

#include <heathergate/consensus/internal/entry_log.h>
#include <heathergate/consensus/internal/group_clock.h>
#include <heathergate/consensus/internal/progress.h>
#include <heathergate/consensus/types.h>

#include <deque>
#include <map>
#include <set>

namespace heathergate::consensus {

/// A replica of a consensus group, implemented as a state machine without I/O. Its methods change
/// the state and collect the resulting writes, messages and committed entries, which `takeEffects`
/// returns.
///
/// Safety requires that writes become durable in the order of their numbers and that `synced` is
/// called only for durable writes. Messages from `takeEffects` may be sent immediately, because a
/// message that depends on a write is deferred until that write is durable.
class Replica
{
public:
    /// Creates a replica from the state recovered from its disk. `genesis` is the first
    /// configuration of the group and is used only if the disk contains none. With an empty one the
    /// replica waits until it is added to a group.
    Replica(ReplicaId self, Settings settings, Configuration genesis, RecoveredState recovered,
            Random random, TimePoint now);

    /// Handles a message from another replica.
    auto receive(TimePoint now, const Envelope &envelope) -> void;
    /// Runs the timers for elections, heartbeats and the quorum check. Must be called at
    /// `nextDeadline`.
    auto tick(TimePoint now) -> void;
    /// Reports that all writes up to and including `number` are durable.
    auto synced(TimePoint now, std::uint64_t number) -> void;

    /// Appends a command and returns its index. The command takes effect only once it is committed.
    /// Fails with `Code::NotLeader`.
    [[nodiscard]] auto propose(TimePoint now, std::string payload) -> Result<Index>;
    /// Adds a member that receives the log without voting.
    [[nodiscard]] auto addLearner(TimePoint now, const ReplicaId &id) -> Result<Index>;
    /// Promotes a learner to a voter. Fails with `Code::OutOfOrder` until it has caught up.
    [[nodiscard]] auto promote(TimePoint now, const ReplicaId &id) -> Result<Index>;
    /// Removes a voter or learner.
    [[nodiscard]] auto removeMember(TimePoint now, const ReplicaId &id) -> Result<Index>;
    /// Transfers leadership to the most up-to-date voter. Proposals are refused during the
    /// transfer.
    auto transferLeadership(TimePoint now) -> void;

    /// Replaces the entries up to `index`, which must be applied, with a snapshot. Returns the
    /// position of the snapshot.
    [[nodiscard]] auto compact(Index index, std::shared_ptr<const std::string> state)
        -> SnapshotMeta;

    /// Returns the effects collected since the last call and clears them.
    [[nodiscard]] auto takeEffects(TimePoint now) -> Effects;

    /// Returns whether this replica is the leader and may serve reads without contacting others:
    /// its lease is valid, and all entries that were committed in earlier terms have been handed
    /// over by `takeEffects`, so that the state into which the caller applies them is current.
    [[nodiscard]] auto canServeReads(TimePoint now) const -> bool;
    [[nodiscard]] auto role() const -> Role
    {
        return m_role;
    }
    /// Returns the leader of the current term; nothing if it is unknown.
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
    /// Returns the bytes of the entries that are held in memory.
    [[nodiscard]] auto logBytes() const -> std::size_t
    {
        return m_log.bytes();
    }
    [[nodiscard]] auto groupTime(TimePoint now) const -> GroupTime
    {
        return m_clock.at(now);
    }
    /// Returns the hard state, the snapshot and all entries in memory, for rewriting the stored
    /// log.
    [[nodiscard]] auto retainedState() const -> RecoveredState;
    /// Returns the latest time by which `tick` has to be called.
    [[nodiscard]] auto nextDeadline() const -> TimePoint;

private:
    struct DeferredMessage
    {
        std::uint64_t afterWrite = 0;
        Envelope envelope;
    };

    /// A write that is not durable yet, and the last log position that it stores (index 0 if it
    /// stores none).
    struct PendingWrite
    {
        std::uint64_t number = 0;
        Index lastIndex = 0;
        Term lastTerm = 0;
    };

    /// A configuration and the index of its entry.
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
    /// Restarts the election timer. `writeTime` is the time that the last write of the hard state
    /// took if it has just ended: the replies to a candidate wait for such writes at the others.
    auto resetElectionTimer(TimePoint now, Duration writeTime = {}) -> void;
    [[nodiscard]] auto hasLeaderContact(TimePoint now) const -> bool;
    [[nodiscard]] auto isUpToDate(Index lastIndex, Term lastTerm) const -> bool;

    // Replication.
    auto handle(TimePoint now, const ReplicaId &from, const AppendRequest &request) -> void;
    auto handle(TimePoint now, const ReplicaId &from, const AppendReply &reply) -> void;
    /// Records a member's reply to this leader and returns the member's progress. Returns null if
    /// the sender is not a member, this replica does not lead or the reply is of another term; a
    /// newer term makes this replica a follower.
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
    /// Returns the latest time such that a quorum has answered a request sent then or later. The
    /// leader lease starts at this time.
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
    auto writeHardState(TimePoint now) -> void;
    /// Returns whether a term or a vote is not durable yet. Until then this replica sends nothing,
    /// so that its election timer stands still.
    [[nodiscard]] auto isWritingHardState() const -> bool;
    auto writeEntries(std::vector<Entry> entries) -> void;
    auto addWrite(StorageWrite write) -> std::uint64_t;
    [[nodiscard]] auto termCommitted() const -> bool;
    /// Returns whether `takeEffects` has handed over the entries that were committed before this
    /// term.
    [[nodiscard]] auto earlierTermsTaken() const -> bool;

    ReplicaId m_self;
    Settings m_settings;
    Random m_random;

    HardState m_hardState;
    internal::EntryLog m_log;
    std::optional<Snapshot> m_snapshot;
    /// Oldest first; the last one is in effect.
    std::vector<ConfigurationAt> m_configurations;
    /// The latest configuration in the log, which is in effect even before it is committed.
    Configuration m_configuration;
    internal::GroupClock m_clock;

    Role m_role = Role::Follower;
    std::optional<ReplicaId> m_leader;
    Index m_commitIndex = 0;
    /// The last committed entry that `takeEffects` has handed over.
    Index m_takenIndex = 0;
    /// Highest index up to which the log is known to match the current leader's log.
    Index m_verifiedIndex = 0;
    /// Highest index up to which the local log is known to be durable.
    Index m_durableIndex = 0;
    /// Index of the empty entry that this replica appended when it last became leader.
    Index m_termStartIndex = 0;

    TimePoint m_electionDeadline{};
    TimePoint m_lastLeaderContact{};
    /// Whether this replica has received a leader's message or led itself since it started.
    bool m_hadLeaderContact = false;
    /// Round of the leader's last request, which later acknowledgements repeat.
    TimePoint m_lastRound{};
    /// Votes of the current term. A candidate counts them until its term ends, also while it asks
    /// for pre-votes, because voters reply as late as their disks are slow.
    std::set<ReplicaId> m_votes;
    /// Pre-votes for the next term.
    std::set<ReplicaId> m_preVotes;
    bool m_isPreVoting = false;

    std::map<ReplicaId, internal::Progress> m_progress;
    TimePoint m_leaderElectedAt{};
    /// Time at which the leader steps down if the transfer in progress has not ended its term.
    std::optional<TimePoint> m_transferDeadline;

    std::optional<IncomingSnapshot> m_incomingSnapshot;

    std::uint64_t m_lastWrite = 0;
    /// Messages are deferred until this write is durable.
    std::uint64_t m_lastHardStateWrite = 0;
    /// Start of the earliest write of the hard state that is not durable yet.
    TimePoint m_hardStateWriteBegunAt{};
    std::uint64_t m_syncedWrite = 0;
    std::deque<PendingWrite> m_pendingWrites;
    std::deque<DeferredMessage> m_deferredMessages;
    Effects m_effects;
};

} // namespace heathergate::consensus
