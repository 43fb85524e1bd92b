#pragma once

#include <heathergate/history/history_replica.h>
#include <heathergate/history/turn_log.h>

#include <atomic>
#include <functional>
#include <thread>

namespace heathergate::history {

/// Recovers the turns on a replica's disk. `isFounder` states that the replica formed the fleet, so
/// that an empty disk lacks nothing. Fails with the error of a file operation.
[[nodiscard]] auto recoverTurns(log::PosixFiles &files, bool isFounder)
    -> Result<std::pair<TurnLog<log::PosixFiles>, RecoveredTurns>>;

/// A thread that carries out the disk steps of a replica. Turns that are queued at the same time
/// share one sync.
class TurnDisk
{
public:
    using EventHandler = std::function<void(std::vector<DiskEvent>)>;
    using FailureHandler = std::function<void(const Error &)>;

    /// `files` must outlive the disk. The handlers are called on the disk's thread. `onFailure` is
    /// called at most once; no further step is carried out after it.
    TurnDisk(log::PosixFiles &files, TurnLog<log::PosixFiles> turnLog, EventHandler onEvents,
             FailureHandler onFailure);
    ~TurnDisk();
    TurnDisk(const TurnDisk &) = delete;
    auto operator=(const TurnDisk &) -> TurnDisk & = delete;

    /// Queues steps; must be called by one thread only. Returns false and drops them if the queue
    /// is full: turns that are not stored are not acknowledged, and reads are repeated.
    [[nodiscard]] auto submit(std::vector<DiskStep> steps) -> bool;

private:
    auto run() -> void;
    [[nodiscard]] auto carryOut(const std::vector<DiskStep> &steps) -> Result<void>;
    auto apply(const AppendTurn &step) -> void;
    auto apply(const MoveTurn &step) -> void;
    auto apply(const ReadTurns &step) -> void;
    auto apply(const RemoveSegment &step) -> void;
    auto apply(const StoreCompleteness &step) -> void;
    [[nodiscard]] auto commit() -> Result<void>;

    log::PosixFiles &m_files;
    TurnLog<log::PosixFiles> m_turnLog;
    EventHandler m_onEvents;
    FailureHandler m_onFailure;
    Notifier m_notifier;
    Ring<std::vector<DiskStep>> m_ring;
    std::atomic<bool> m_stopping = false;
    /// Events of the steps that are being carried out.
    std::vector<DiskEvent> m_events;
    Result<void> m_status;
    std::thread m_thread;
};

} // namespace heathergate::history
