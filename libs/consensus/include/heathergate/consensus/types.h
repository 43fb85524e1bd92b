#pragma once

#include <heathergate/core/core.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Replicated log after Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
/// Algorithm", 2014), with pre-vote, leader lease, check of quorum, learners and single-server
/// membership changes.
namespace heathergate::consensus {

/// Identifies a replica together with its disk: a disk that was wiped gets another identifier.
using ReplicaId = TextId<struct ReplicaTag>;

using Index = std::uint64_t;
using Term = std::uint64_t;

/// The members of a group. Learners receive the log but neither vote nor count.
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

    /// Returns the number of voters that decide.
    [[nodiscard]] auto quorum() const -> std::size_t
    {
        return voters.size() / 2 + 1;
    }

    auto operator==(const Configuration &) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Configuration, voters, learners)

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

/// What a replica must remember of elections across restarts.
struct HardState
{
    Term term = 0;
    ReplicaId vote;

    auto operator==(const HardState &) const -> bool = default;
};

/// The position a snapshot stands for.
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
    /// Asks whether an election would succeed, without starting one.
    bool preVote = false;
    /// Sent at the request of the leader itself, so that its lease does not stand against it.
    bool transfer = false;
};

struct VoteReply
{
    Term term = 0;
    bool granted = false;
    bool preVote = false;
};

/// Entries after `previousIndex`, or a heartbeat if there are none. `round` is the leader's time
/// of sending and comes back in the reply.
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

/// On success `matchIndex` is the last index durably equal to the leader's log; otherwise it is
/// the index after which the leader should try.
struct AppendReply
{
    Term term = 0;
    bool success = false;
    Index matchIndex = 0;
    TimePoint round{};
};

/// A piece of a snapshot of `size` bytes, whose state has the hash `digest`.
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

/// Asks for the piece at `offset`; an offset equal to the size says that the snapshot is whole.
struct SnapshotReply
{
    Term term = 0;
    Index index = 0;
    std::uint64_t offset = 0;
    TimePoint round{};
};

/// Tells an up-to-date voter to start an election at once.
struct TransferRequest
{
    Term term = 0;
};

using Message = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotPiece,
                             SnapshotReply, TransferRequest>;

/// A message on its way between two replicas.
struct Envelope
{
    ReplicaId from;
    ReplicaId to;
    Message message;
};

/// Something to be made durable, in order of `number`. Entries replace any stored entry of the
/// same index and remove all later ones.
struct StorageWrite
{
    std::uint64_t number = 0;
    std::optional<HardState> hardState;
    std::optional<Snapshot> snapshot;
    std::vector<Entry> entries;
};

/// What the caller of a replica has to do after a step.
struct Effects
{
    std::vector<StorageWrite> writes;
    std::vector<Envelope> messages;
    /// A snapshot that replaces the state machine; it precedes `committed`.
    std::optional<Snapshot> installed;
    std::vector<Entry> committed;
    bool leadershipChanged = false;
};

/// What was found on disk at start.
struct RecoveredState
{
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<Entry> entries;
};

/// Timing and sizes of a group.
struct Settings
{
    Duration heartbeatInterval = std::chrono::milliseconds(150);
    /// Shortest time without a leader after which an election starts; the longest is twice that.
    Duration electionTimeout = std::chrono::milliseconds(700);
    /// When the process began, if that is known: whatever this replica confirmed before its
    /// restart, it confirmed before then.
    std::optional<TimePoint> processStart;
    std::size_t maxAppendBytes = 1024 * 1024;
    std::size_t maxEntriesInFlight = 8192;
    std::size_t snapshotPieceBytes = 256 * 1024;
    /// Entries kept behind a snapshot for followers that lag a little.
    std::size_t retainedEntries = 2048;
};

enum class Role { Follower, Candidate, Leader };

} // namespace heathergate::consensus
