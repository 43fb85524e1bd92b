#pragma once

#include <heathergate/history/disk_step.h>
#include <heathergate/history/messages.h>
#include <heathergate/history/repair.h>
#include <heathergate/history/replica_set.h>
#include <heathergate/telemetry/telemetry.h>

namespace heathergate::history {

/// Identity of a replica.
struct ReplicaSettings
{
    ReplicaId self;
    InstanceId instance;
    /// Identifies this run of the process.
    std::uint64_t boot = 0;
    /// Difference between the time since the Unix epoch and the clock of the runtime.
    Duration wallOffset{};
};

/// A stored turn that was found on the disk at the start.
struct RecoveredTurn
{
    TurnKey key;
    TurnId previous;
    Location location;
    std::uint64_t digest = 0;
    WallTime storedAt{};
    Duration retention{};
};

/// State of a replica's disk at the start of the process.
struct RecoveredTurns
{
    std::vector<RecoveredTurn> turns;
    /// Number of the first segment that was not there at the start.
    std::uint64_t currentSegment = 1;
    /// The replica holds every turn that it should hold.
    bool isComplete = false;
};

/// Output of a step of a replica, to be carried out by its environment.
struct ReplicaOutput
{
    std::vector<Outgoing> messages;
    std::vector<DiskStep> steps;
};

/// A replica of the history store: stores turns on its disk, serves chains of them, and copies from
/// the other replicas what it lacks. A state machine without I/O.
class HistoryReplica
{
public:
    HistoryReplica(ReplicaSettings settings, const RecoveredTurns &recovered,
                   telemetry::EventLog &log, telemetry::Metrics &metrics, TimePoint now);
    HistoryReplica(const HistoryReplica &) = delete;
    auto operator=(const HistoryReplica &) -> HistoryReplica & = delete;

    /// Announces the replica set. Older versions are ignored.
    auto setReplicas(TimePoint now, const ReplicaSet &set) -> void;
    auto receive(TimePoint now, const InstanceId &from, Message message) -> void;
    auto diskDone(TimePoint now, DiskEvent event) -> void;
    auto tick(TimePoint now) -> void;

    [[nodiscard]] auto takeOutput() -> ReplicaOutput
    {
        return std::exchange(m_output, {});
    }
    [[nodiscard]] auto nextDeadline() const -> TimePoint;
    /// Returns whether the replica holds every turn that it should hold.
    [[nodiscard]] auto isComplete() const -> bool
    {
        return m_isComplete;
    }
    [[nodiscard]] auto replicas() const -> const ReplicaSet &
    {
        return m_set;
    }
    /// Returns the members whose turns were copied since the current set was announced.
    [[nodiscard]] auto syncedMembers() const -> std::vector<ReplicaId>
    {
        return m_repair.syncedMembers();
    }
    [[nodiscard]] auto index() const -> const TurnIndex &
    {
        return m_index;
    }

private:
    /// A turn that is being written, or moved to another segment.
    struct PendingTurn
    {
        TurnKey key;
        TurnId previous;
        std::uint64_t digest = 0;
        WallTime expiresAt{};
        bool isMove = false;
        /// Requests to answer when the turn is durable.
        std::vector<std::pair<InstanceId, std::uint64_t>> waiting;
    };
    /// A read whose result is sent to another instance.
    struct PendingRead
    {
        InstanceId from;
        /// Request of a client; 0 if the turns are copied by another replica.
        std::uint64_t request = 0;
        std::vector<TurnKey> keys;
        std::vector<TurnKey> missing;
    };

    auto handle(TimePoint now, const InstanceId &from, fb::StoreTurnT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::ReadChainT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::ListTurnsT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::TurnListT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::FetchTurnsT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::FetchedTurnsT &message) -> void;
    template <typename Other>
    auto handle(TimePoint, const InstanceId &, Other &) -> void
    {
        // Ignores replies that only clients handle.
    }

    auto store(const fb::TurnT &turn) -> PendingTurn &;
    auto turnDurable(TimePoint now, const TurnDurable &event) -> void;
    auto moveFailed(TimePoint now, const MoveFailed &event) -> void;
    auto turnsRead(TimePoint now, const TurnsRead &event) -> void;
    auto sendChain(const PendingRead &read, const std::vector<std::string> &turns) -> void;
    auto sendCopies(const PendingRead &read, const std::vector<std::string> &turns) -> void;
    auto readFailed(TimePoint now, const PendingRead &read, const Error &error) -> void;
    auto answerStore(const InstanceId &to, std::uint64_t request, StoreOutcome outcome) -> void;
    auto answerRead(const InstanceId &to, std::uint64_t request, ReadOutcome outcome) -> void;
    auto updateCompleteness(TimePoint now) -> void;
    auto setComplete(TimePoint now, bool isComplete, std::string_view why) -> void;
    auto reclaim(TimePoint now) -> void;
    [[nodiscard]] auto isMember() const -> bool;
    [[nodiscard]] auto holds(const TurnKey &key) const -> bool;
    [[nodiscard]] auto wallTime(TimePoint now) const -> WallTime;

    ReplicaSettings m_settings;
    telemetry::EventLog &m_log;
    telemetry::Metrics &m_metrics;
    ReplicaSet m_set;
    TurnIndex m_index;
    Repair m_repair;
    bool m_isComplete;
    std::uint64_t m_lastStep = 0;
    std::map<std::uint64_t, PendingTurn> m_pendingTurns;
    std::unordered_map<TurnKey, std::uint64_t> m_pendingByKey;
    std::map<std::uint64_t, PendingRead> m_pendingReads;
    /// The segment that is written; it is never removed.
    std::uint64_t m_currentSegment;
    TimePoint m_nextReclaim;
    ReplicaOutput m_output;
};

} // namespace heathergate::history
