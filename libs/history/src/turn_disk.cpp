#include <heathergate/history/turn_disk.h>

#include <heathergate/telemetry/logging.h>

namespace heathergate::history {

namespace {

/// Capacity of the ring, in calls of `submit`. A replica limits its pending writes and reads to
/// less.
constexpr std::size_t kRingCapacity = 4096;
constexpr std::size_t kMaxBatchesPerSync = 64;
/// A notification ends the wait earlier. The limit only bounds the delay after a lost notification.
constexpr Duration kMaxIdleWait = std::chrono::seconds(10);
constexpr std::chrono::milliseconds kDiskFullRetryInterval{200};
constexpr const char *kCompletenessFile = "turns.complete";
constexpr std::string_view kComplete = "yes";
constexpr std::string_view kIncomplete = "no";

const telemetry::Logger kLog("history");

} // namespace

auto recoverTurns(log::PosixFiles &files, bool isFounder)
    -> Result<std::pair<TurnLog<log::PosixFiles>, RecoveredTurns>>
{
    RecoveredTurns recovered;
    bool isDamaged = false;
    auto turnLog = TurnLog<log::PosixFiles>::open(
        files, [&](const Location &location, std::string_view payload) {
            const auto turn = decodeTurn(payload);
            if (!turn) {
                isDamaged = true;
                return;
            }
            recovered.turns.push_back({fromTable(turn->key), TurnId(turn->previous), location,
                                       contentDigest(*turn), WallTime(Duration(turn->storedAt)),
                                       Duration(turn->retention)});
        });
    if (!turnLog)
        return tl::unexpected(turnLog.error());
    const auto stored = log::readSnapshot(files, kCompletenessFile);
    if (!stored)
        return tl::unexpected(stored.error());
    recovered.isComplete = *stored ? **stored == kComplete : isFounder;
    recovered.isComplete = recovered.isComplete && !isDamaged && !turnLog->wasDamaged();
    recovered.currentSegment = turnLog->currentSegment();
    return std::pair(std::move(*turnLog), std::move(recovered));
}

TurnDisk::TurnDisk(log::PosixFiles &files, TurnLog<log::PosixFiles> turnLog, EventHandler onEvents,
                   FailureHandler onFailure)
    : m_files(files)
    , m_turnLog(std::move(turnLog))
    , m_onEvents(std::move(onEvents))
    , m_onFailure(std::move(onFailure))
    , m_ring(kRingCapacity, [this] { m_notifier.notify(); })
{
    m_thread = std::thread([this] { run(); });
}

TurnDisk::~TurnDisk()
{
    m_stopping = true;
    m_notifier.notify();
    m_thread.join();
}

auto TurnDisk::submit(std::vector<DiskStep> steps) -> bool
{
    return m_ring.push(std::move(steps));
}

auto TurnDisk::run() -> void
{
    while (true) {
        std::vector<DiskStep> steps;
        for (std::size_t batches = 0; batches < kMaxBatchesPerSync; ++batches) {
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
        if (const auto status = carryOut(steps); !status) {
            kLog.error("The history disk failed; no further turns are stored: "
                       + status.error().detail);
            m_onFailure(status.error());
            return;
        }
    }
}

auto TurnDisk::carryOut(const std::vector<DiskStep> &steps) -> Result<void>
{
    m_status = {};
    for (const auto &step : steps) {
        std::visit([this](const auto &item) { apply(item); }, step);
        if (!m_status)
            return m_status;
    }
    if (auto committed = commit(); !committed)
        return committed;
    if (!m_events.empty())
        m_onEvents(std::exchange(m_events, {}));
    return {};
}

auto TurnDisk::apply(const AppendTurn &step) -> void
{
    m_events.emplace_back(TurnDurable{step.number, m_turnLog.append(step.content)});
}

auto TurnDisk::apply(const MoveTurn &step) -> void
{
    const auto content = m_turnLog.read(step.from);
    if (content)
        m_events.emplace_back(TurnDurable{step.number, m_turnLog.append(*content)});
    else
        m_events.emplace_back(MoveFailed{step.number});
}

auto TurnDisk::apply(const ReadTurns &step) -> void
{
    std::vector<std::string> turns;
    for (const auto &location : step.locations) {
        auto turn = m_turnLog.read(location);
        if (!turn) {
            m_events.emplace_back(TurnsRead{step.number, tl::unexpected(turn.error())});
            return;
        }
        turns.push_back(std::move(*turn));
    }
    m_events.emplace_back(TurnsRead{step.number, std::move(turns)});
}

auto TurnDisk::apply(const RemoveSegment &step) -> void
{
    // A segment that remains is removed after the next start, because its turns have expired.
    if (const auto removed = m_turnLog.remove(step.segment); !removed)
        kLog.error("A segment of expired turns could not be removed: " + removed.error().detail);
}

auto TurnDisk::apply(const StoreCompleteness &step) -> void
{
    const auto content = step.isComplete ? kComplete : kIncomplete;
    const auto stored = log::writeSnapshot(m_files, kCompletenessFile, content);
    if (!stored && stored.error().code != Code::DiskFull)
        m_status = stored;
    else if (!stored)
        kLog.error("The disk is full; the state of the turns was not recorded.");
}

/// Makes the appended turns durable, however long the disk is full. No turn is acknowledged
/// meanwhile.
auto TurnDisk::commit() -> Result<void>
{
    bool isReported = false;
    while (true) {
        auto status = m_turnLog.commit();
        if (status || status.error().code != Code::DiskFull)
            return status;
        if (!std::exchange(isReported, true))
            kLog.error("The disk is full; retrying the write until there is space.");
        if (m_stopping)
            return status;
        std::this_thread::sleep_for(kDiskFullRetryInterval);
    }
}

} // namespace heathergate::history
