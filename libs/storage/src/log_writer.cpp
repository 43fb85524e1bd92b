#include <heathergate/storage/log_writer.h>

#include <heathergate/telemetry/logging.h>

namespace heathergate::storage {

namespace {

/// Capacity of the ring, in calls of `write`.
constexpr std::size_t kRingCapacity = 4096;
constexpr std::size_t kMaxRingItemsPerSync = 512;
/// A notification ends the wait earlier. The limit only bounds the delay after a lost notification.
constexpr Duration kMaxIdleWait = std::chrono::seconds(10);
constexpr std::chrono::milliseconds kDiskFullRetryInterval{200};
constexpr std::chrono::microseconds kRingFullRetryInterval{100};

const telemetry::Logger kLog("log");

} // namespace

LogWriter::LogWriter(log::PosixFiles &files, log::WriteAheadLog<log::PosixFiles> wal,
                     SyncedHandler onSynced, FailureHandler onFailure)
    : m_sink(files, std::move(wal))
    , m_onSynced(std::move(onSynced))
    , m_onFailure(std::move(onFailure))
    , m_ring(kRingCapacity, [this] { m_notifier.notify(); })
{
    m_thread = std::thread([this] { run(); });
}

LogWriter::~LogWriter()
{
    m_stopping = true;
    m_notifier.notify();
    m_thread.join();
}

auto LogWriter::write(std::vector<StorageStep> steps) -> void
{
    // A failed push leaves its argument unchanged.
    while (!m_ring.push(std::move(steps))) // NOLINT(bugprone-use-after-move)
        std::this_thread::sleep_for(kRingFullRetryInterval);
}

auto LogWriter::run() -> void
{
    while (true) {
        std::vector<StorageStep> steps;
        for (std::size_t items = 0; items < kMaxRingItemsPerSync; ++items) {
            auto batch = m_ring.pop();
            if (!batch)
                break;
            std::move(batch->begin(), batch->end(), std::back_inserter(steps));
        }
        if (steps.empty() && m_stopping)
            return;
        if (steps.empty()) {
            m_notifier.wait(kMaxIdleWait);
            continue;
        }
        if (!store(steps))
            return;
    }
}

auto LogWriter::store(const std::vector<StorageStep> &steps) -> bool
{
    std::map<GroupId, std::uint64_t> numbers;
    for (const auto &step : steps) {
        if (!retryWhileDiskFull([&] { return m_sink.apply(step); }))
            return false;
        if (const auto *write = std::get_if<GroupWrite>(&step))
            numbers[write->group] = write->write.number;
    }
    if (!retryWhileDiskFull([&] { return m_sink.commit(); }))
        return false;
    std::vector<SyncedUpTo> synced;
    for (const auto &[group, number] : numbers)
        synced.push_back({group, number});
    if (!synced.empty())
        m_onSynced(std::move(synced));
    return true;
}

auto LogWriter::retryWhileDiskFull(const std::function<Result<void>()> &action) -> bool
{
    bool reported = false;
    while (true) {
        const auto status = action();
        if (status)
            return true;
        if (status.error().code != Code::DiskFull) {
            kLog.error("Writing failed permanently; no further writes are stored: "
                       + status.error().detail);
            m_onFailure(status.error());
            return false;
        }
        // No write is acknowledged while the disk is full, so no acknowledged write is lost.
        if (!std::exchange(reported, true))
            kLog.error("The disk is full; retrying the write until there is space.");
        if (m_stopping)
            return false;
        std::this_thread::sleep_for(kDiskFullRetryInterval);
    }
}

} // namespace heathergate::storage
