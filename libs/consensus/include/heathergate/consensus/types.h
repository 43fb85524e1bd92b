#pragma once

#include <heathergate/core/core.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Replicated log based on Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
/// Algorithm", 2014), with pre-vote, leader lease, quorum check, learners and single-server
/// membership changes.
namespace heathergate::consensus {

/// Identifies a replica together with its disk. A replica whose disk was wiped gets a new
/// identifier.
using ReplicaId = TextId<struct ReplicaTag>;

using Index = std::uint64_t;
using Term = std::uint64_t;

/// The members of a group. Learners receive the log, but do not vote and do not count towards a
/// quorum.
struct Configuration
{
    std::vector<ReplicaId> voters;
    std::vector<ReplicaId> learners;

    [[nodiscard]] auto isVoter(const ReplicaId &id) const -> bool
    {
        return std::find(voters.begin(), voters.end(), id) != voters.end();
    }

    [[nodiscard]] auto isLearner(const ReplicaId &id) const -> bool
    {
        return std::find(learners.begin(), learners.end(), id) != learners.end();
    }

    /// Returns the number of voters that form a majority.
    [[nodiscard]] auto quorum() const -> std::size_t
    {
        return voters.size() / 2 + 1;
    }

    auto operator==(const Configuration &) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Configuration, voters, learners)

/// Content of an entry: a command for the state machine, a configuration, or nothing. A new leader
/// appends an empty entry to commit the entries of earlier terms.
enum class EntryKind : std::uint8_t { Command, Configuration, Empty };

/// An entry of the replicated log. `time` is the leader's group time when it was proposed.
struct Entry
{
    Index index = 0;
    Term term = 0;
    GroupTime time{};
    EntryKind kind = EntryKind::Command;
    std::string payload;

    auto operator==(const Entry &) const -> bool = default;
};

/// The election state that a replica must retain across restarts.
struct HardState
{
    Term term = 0;
    ReplicaId vote;

    auto operator==(const HardState &) const -> bool = default;
};

/// The log position up to which a snapshot covers the log, and the configuration there.
struct SnapshotMeta
{
    Index index = 0;
    Term term = 0;
    GroupTime time{};
    Configuration configuration;
};

/// A snapshot of the group's state machine.
struct Snapshot
{
    SnapshotMeta meta;
    std::shared_ptr<const std::string> state;
};

struct VoteRequest
{
    Term term = 0;
    Index lastIndex = 0;
    Term lastTerm = 0;
    /// Asks whether an election would succeed, without incrementing the term.
    bool preVote = false;
    /// The leader itself requested this election, so its lease does not prevent votes.
    bool transfer = false;
};

/// A reply to a vote request. A granted pre-vote repeats the requested term; every other reply
/// carries the voter's own term.
struct VoteReply
{
    Term term = 0;
    bool granted = false;
    bool preVote = false;
};

/// Entries after `previousIndex`, or a heartbeat if there are none. `commit` is the leader's commit
/// index. `round` is the leader's send time, which the reply repeats.
struct AppendRequest
{
    Term term = 0;
    Index previousIndex = 0;
    Term previousTerm = 0;
    Index commit = 0;
    GroupTime groupTime{};
    TimePoint round{};
    std::vector<Entry> entries;
};

/// On success `matchIndex` is the last index up to which the follower's durable log matches the
/// leader's; otherwise it is the index after which the leader should try next.
struct AppendReply
{
    Term term = 0;
    bool success = false;
    Index matchIndex = 0;
    TimePoint round{};
};

/// A piece of a snapshot whose state has `size` bytes and the hash `digest`.
struct SnapshotPiece
{
    Term term = 0;
    SnapshotMeta meta;
    std::uint64_t size = 0;
    std::uint64_t digest = 0;
    std::uint64_t offset = 0;
    TimePoint round{};
    std::string bytes;
};

/// Requests the piece at `offset`. A complete snapshot is acknowledged by an
/// `AppendReply` once it is durable.
struct SnapshotReply
{
    Term term = 0;
    Index index = 0;
    std::uint64_t offset = 0;
    TimePoint round{};
};

/// Requests that an up-to-date voter starts an election immediately.
struct TransferRequest
{
    Term term = 0;
};

using Message = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotPiece,
                             SnapshotReply, TransferRequest>;

/// A message with its sender and receiver.
struct Envelope
{
    ReplicaId from;
    ReplicaId to;
    Message message;
};

/// A write to be made durable, in the order of `number`. Its entries replace the stored entries of
/// the same index and remove all later ones.
struct StorageWrite
{
    std::uint64_t number = 0;
    std::optional<HardState> hardState;
    std::optional<Snapshot> snapshot;
    std::vector<Entry> entries;
};

/// The writes, messages and entries that the owner of a replica has to process after a step.
struct Effects
{
    std::vector<StorageWrite> writes;
    std::vector<Envelope> messages;
    /// A snapshot that replaces the state of the state machine, to be installed before `committed`
    /// is applied.
    std::optional<Snapshot> installed;
    std::vector<Entry> committed;
    bool leadershipChanged = false;
};

/// The state of a replica that was recovered from disk.
struct RecoveredState
{
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<Entry> entries;
};

/// Time intervals and size limits of a group.
struct Settings
{
    Duration heartbeatInterval = std::chrono::milliseconds(150);
    /// Minimum time without contact to a leader before an election starts. The actual timeout is
    /// random, up to twice this value. It is also the duration of the leader lease and the limit of
    /// the quorum check.
    Duration electionTimeout = std::chrono::milliseconds(700);
    /// Start time of the process, if it is known; otherwise the creation time of the replica is
    /// used. All lease confirmations that this replica sent before a restart were sent before this
    /// time.
    std::optional<TimePoint> processStart;
    /// Maximum size of the entries in one append request, unless a single entry is larger.
    std::size_t maxAppendBytes = 256 * 1024;
    /// Size of unacknowledged entries at which sending to a member pauses.
    std::size_t maxBytesInFlight = 1024 * 1024;
    /// Number of unacknowledged entries at which sending to a member pauses.
    std::size_t maxEntriesInFlight = 8192;
    std::size_t snapshotPieceBytes = 64 * 1024;
    /// Entries retained before the position of a snapshot, so that followers that lag slightly can
    /// catch up without a snapshot transfer.
    std::size_t retainedEntries = 2048;
    /// Limit of the size of the retained entries.
    std::size_t retainedBytes = 2 * 1024 * 1024;
};

enum class Role { Follower, Candidate, Leader };

} // namespace heathergate::consensus
