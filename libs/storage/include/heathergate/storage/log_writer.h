#pragma once

#include <heathergate/log/log.h>
#include <heathergate/storage/storage_step.h>

#include <atomic>
#include <functional>
#include <thread>

namespace heathergate::storage {

/// Recovers the state of each group from the data folder. Fails with `Code::DataDamaged` if a
/// record or snapshot is damaged, or with the error of a failed file operation.
template <log::FileLayer Files>
[[nodiscard]] auto recoverGroups(Files &files, std::uint32_t shards)
    -> Result<std::pair<log::WriteAheadLog<Files>, std::map<GroupId, consensus::RecoveredState>>>;

/// Returns the name of the file that contains a group's snapshot.
[[nodiscard]] inline auto snapshotName(GroupId group) -> std::string
{
    return "snapshot-" + std::to_string(group);
}

namespace internal {

/// Applies a stored record to the state being recovered.
inline auto applyRecord(consensus::RecoveredState &state, wire::StoredRecord record) -> void
{
    if (record.hardState)
        state.hardState = *record.hardState;
    const auto snapshotIndex = state.snapshot ? state.snapshot->meta.index : 0;
    if (record.installIndex > 0 && snapshotIndex >= record.installIndex)
        state.entries.clear();
    for (auto &entry : record.entries) {
        while (!state.entries.empty() && state.entries.back().index >= entry.index)
            state.entries.pop_back();
        state.entries.push_back(std::move(entry));
    }
}

} // namespace internal

template <log::FileLayer Files>
auto recoverGroups(Files &files, std::uint32_t shards)
    -> Result<std::pair<log::WriteAheadLog<Files>, std::map<GroupId, consensus::RecoveredState>>>
{
    std::map<GroupId, consensus::RecoveredState> states;
    for (GroupId group = 0; group <= shards; ++group) {
        const auto stored = log::readSnapshot(files, snapshotName(group));
        if (!stored)
            return tl::unexpected(stored.error());
        if (!*stored)
            continue;
        auto snapshot = wire::decodeSnapshot(**stored);
        if (!snapshot)
            return tl::unexpected(snapshot.error());
        states[group].snapshot = std::move(*snapshot);
    }
    auto wal = log::WriteAheadLog<Files>::open(
        files, [&states](std::uint64_t, std::string_view payload) -> Result<void> {
            auto record = wire::decodeRecord(payload);
            if (!record)
                return tl::unexpected(record.error());
            const auto group = record->group;
            internal::applyRecord(states[group], std::move(*record));
            return {};
        });
    if (!wal)
        return tl::unexpected(wal.error());
    return std::pair(std::move(*wal), std::move(states));
}

/// Makes storage steps durable, in order.
template <log::FileLayer Files>
class StorageSink
{
public:
    StorageSink(Files &files, log::WriteAheadLog<Files> wal)
        : m_files(files)
        , m_wal(std::move(wal))
    {
    }

    /// Applies a step. A write is durable once `commit` succeeds. On `Code::DiskFull` the step can
    /// be retried.
    [[nodiscard]] auto apply(const StorageStep &step) -> Result<void>
    {
        if (const auto *write = std::get_if<GroupWrite>(&step))
            return applyWrite(*write);
        return applyCompaction(std::get<Compaction>(step));
    }

    [[nodiscard]] auto commit() -> Result<void>
    {
        return m_wal.commit();
    }

private:
    [[nodiscard]] auto applyWrite(const GroupWrite &item) -> Result<void>
    {
        const auto &write = item.write;
        if (write.snapshot) {
            // The record with the install index is durable before the snapshot, so that recovery
            // does not restore entries that the snapshot replaces.
            m_wal.append(wire::encodeRecord({item.group, {}, {}, write.snapshot->meta.index}));
            auto status = m_wal.commit();
            if (status)
                status = log::writeSnapshot(m_files, snapshotName(item.group),
                                            wire::encodeSnapshot(*write.snapshot));
            if (!status)
                return status;
        }
        if (write.hardState || !write.entries.empty())
            m_wal.append(wire::encodeRecord({item.group, write.hardState, write.entries, 0}));
        return {};
    }

    [[nodiscard]] auto applyCompaction(const Compaction &compaction) -> Result<void>
    {
        if (auto pending = m_wal.commit(); !pending)
            return pending;
        for (const auto &[group, snapshot] : compaction.snapshots) {
            auto written =
                log::writeSnapshot(m_files, snapshotName(group), wire::encodeSnapshot(snapshot));
            if (!written)
                return written;
        }
        std::vector<std::string> records;
        for (const auto &record : compaction.records)
            records.push_back(wire::encodeRecord(record));
        return m_wal.replaceAll(records);
    }

    Files &m_files;
    log::WriteAheadLog<Files> m_wal;
};

/// States that the writes of a group up to and including `number` are durable.
struct SyncedUpTo
{
    GroupId group = 0;
    std::uint64_t number = 0;
};

/// A thread that makes storage steps durable. Steps that are queued at the same time share one
/// sync.
class LogWriter
{
public:
    using SyncedHandler = std::function<void(std::vector<SyncedUpTo>)>;
    using FailureHandler = std::function<void(const Error &)>;

    /// `files` must outlive the writer.
    LogWriter(log::PosixFiles &files, log::WriteAheadLog<log::PosixFiles> wal,
              SyncedHandler onSynced, FailureHandler onFailure);
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    auto operator=(const LogWriter &) -> LogWriter & = delete;

    /// Queues steps; must be called by one thread only. Blocks while the ring is full, because
    /// consensus requires every write.
    auto write(std::vector<StorageStep> steps) -> void;

private:
    auto run() -> void;
    [[nodiscard]] auto store(const std::vector<StorageStep> &steps) -> bool;
    [[nodiscard]] auto retryWhileDiskFull(const std::function<Result<void>()> &action) -> bool;

    StorageSink<log::PosixFiles> m_sink;
    SyncedHandler m_onSynced;
    FailureHandler m_onFailure;
    Notifier m_notifier;
    Ring<std::vector<StorageStep>> m_ring;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace heathergate::storage
