#pragma once

#include <heathergate/fleet/fleet.h>
#include <heathergate/log/log.h>
#include <heathergate/node/history_host.h>
#include <heathergate/node/process.h>
#include <heathergate/storage/storage.h>

namespace heathergate::node {

/// Identity of the replica whose data a disk holds.
struct DiskIdentity
{
    consensus::ReplicaId replica;
    /// Replicas that formed the group; empty for a replica that was added later.
    consensus::Configuration genesis;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(DiskIdentity, replica, genesis)
};

/// Returns the identity on a disk. An empty disk gets a new identity. If the fleet starts for the
/// first time and the instance is one of the seeds, it is the identity of a founding replica.
/// Otherwise it is a random identity that has never voted, so that an instance with a wiped disk
/// cannot vote a second time under its previous identity.
[[nodiscard]] auto openIdentity(log::PosixFiles &files, const NodeSettings &settings)
    -> Result<DiskIdentity>;

/// Runs a control instance. `Adapter` connects it to operators, upstreams and callers of the
/// directory. It provides:
/// - `Adapter(Process &, fleet::ControlNode &)`
/// - `open() -> Result<void>`
/// - `answer(const fleet::CallAnswer &)`
template <typename Adapter>
class ControlProgram
{
public:
    ControlProgram(NodeSettings settings, const std::string &file)
        : m_process(std::move(settings), file)
    {
    }

    /// Recovers the state from the disk and starts listening on all addresses. Fails with the error
    /// of the disk or with `Code::BadSetting`.
    [[nodiscard]] auto open() -> Result<void>
    {
        if (auto opened = openNode(); !opened)
            return opened;
        Process::Hooks hooks;
        hooks.onFrame = [this](const InstanceId &from, const std::string &body) {
            auto frame = fleet::decodeFrame(body);
            if (frame)
                receive(from, std::move(*frame));
            else
                m_process.log().add(now(), telemetry::LogImportance::Important, "peers",
                                    "frame_unreadable",
                                    {{"from", from.value}, {"detail", frame.error().detail}});
        };
        hooks.onPeerLost = [this](const InstanceId &peer) { m_node->peerLost(now(), peer); };
        hooks.onStop = [this] {
            m_node->leave(now());
            m_stopDeadline = now() + kLeadershipTransferTimeout;
            m_replacementDeadline =
                now() + m_process.settings().shutdownGracePeriod / kReplacementGraceShare;
        };
        hooks.onReload = [this](const NodeSettings &) { m_node->addControls(m_process.seeds()); };
        hooks.onRound = [this](TimePoint at) { return round(at); };
        hooks.metrics = [this]() -> telemetry::Metrics & { return m_node->metrics(); };
        if (auto opened = m_process.open(std::move(hooks)); !opened)
            return opened;
        m_adapter = std::make_unique<Adapter>(m_process, *m_node);
        return m_adapter->open();
    }

    [[nodiscard]] auto run() -> int
    {
        return m_process.run();
    }

private:
    static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(80);
    /// Several heartbeat intervals, so that lost or late heartbeats do not start an election.
    static constexpr Duration kElectionTimeout = std::chrono::milliseconds(330);
    /// Number of log entries after which a snapshot is taken. After a restart at most this many
    /// entries are applied again, which takes about 20 ms; a snapshot takes a few milliseconds.
    static constexpr consensus::Index kCompactionThresholdEntries = 2000;
    /// Log entries that are retained for followers that lag slightly.
    static constexpr std::size_t kRetainedEntries = 500;
    /// Maximum time to wait for a successor to become leader.
    static constexpr Duration kLeadershipTransferTimeout = std::chrono::milliseconds(900);
    /// Part of the grace period for which a stopping instance waits for its replacement.
    static constexpr int kReplacementGraceShare = 2;

    [[nodiscard]] auto now() -> TimePoint
    {
        return m_process.loop().now();
    }

    auto receive(const InstanceId &from, fleet::PeerFrame frame) -> void
    {
        if (auto *message = std::get_if<history::Message>(&frame))
            m_history->receive(from, std::move(*message));
        else
            m_node->receive(now(), from, std::move(frame));
    }

    auto openNode() -> Result<void>
    {
        const auto &settings = m_process.settings();
        auto files = log::PosixFiles::open(settings.folder);
        if (!files)
            return tl::unexpected(files.error());
        m_files = std::make_unique<log::PosixFiles>(std::move(*files));
        auto identity = openIdentity(*m_files, settings);
        if (!identity)
            return tl::unexpected(identity.error());
        auto recovered = storage::recoverGroups(*m_files, kControlGroup);
        if (!recovered)
            return tl::unexpected(recovered.error());
        auto state = std::move(recovered->second[kControlGroup]);
        m_process.log().add(now(), telemetry::LogImportance::Important, "storage", "recovered",
                            {{"replica", identity->replica.value},
                             {"founder", identity->genesis.voters.empty() ? 0 : 1},
                             {"term", state.hardState.term},
                             {"entries", state.entries.size()},
                             {"snapshot", state.snapshot ? state.snapshot->meta.index : 0}});
        m_node =
            std::make_unique<fleet::ControlNode>(controlSettings(*identity), std::move(state),
                                                 Random(randomNumber()), m_process.log(), now());
        m_writer = std::make_unique<storage::LogWriter>(
            *m_files, std::move(recovered->first),
            [this](const std::vector<storage::SyncedUpTo> &synced) {
                m_process.loop().post(
                    [this, number = synced.back().number] { m_node->synced(now(), number); });
            },
            [this](const Error &error) {
                m_process.loop().post([this, error] {
                    m_process.log().add(now(), telemetry::LogImportance::Important, "storage",
                                        "failed", {{"detail", error.detail}});
                    m_process.stop(1);
                });
            });
        m_history = std::make_unique<HistoryHost>(m_process, m_node->metrics());
        if (auto opened = m_history->open(identity->replica, !identity->genesis.voters.empty());
            !opened)
            return opened;
        return m_files->syncFolder();
    }

    [[nodiscard]] auto controlSettings(const DiskIdentity &identity) -> fleet::ControlSettings
    {
        const auto &settings = m_process.settings();
        fleet::ControlSettings result;
        result.self = m_process.self();
        result.replica = identity.replica;
        result.genesis = identity.genesis;
        result.name = settings.name;
        result.domain = settings.domain;
        result.controlAddress = settings.control->text();
        result.boot = randomNumber() | 1U;
        result.consensus.heartbeatInterval = kHeartbeatInterval;
        result.consensus.electionTimeout = kElectionTimeout;
        result.consensus.retainedEntries = kRetainedEntries;
        result.consensus.processStart = processStart();
        result.compactAfter = kCompactionThresholdEntries;
        result.seeds = m_process.seeds();
        result.faultTolerance = settings.faultTolerance;
        result.quotaWindow = settings.quotaWindow;
        result.placement = settings.placement;
        return result;
    }

    auto round(TimePoint at) -> TimePoint
    {
        m_node->tick(at);
        auto output = m_node->takeOutput(at);
        if (!output.storage.empty())
            m_writer->write(std::move(output.storage));
        for (auto &out : output.messages)
            m_process.send(out.to, fleet::encodeFrame(std::move(out.frame)));
        for (const auto &answer : output.answers)
            m_adapter->answer(answer);
        const auto historyDeadline = m_history->round(at, m_node->historyReplicas());
        m_node->setHistoryProgress(m_history->progress());
        auto next = std::min(m_node->nextDeadline(at), historyDeadline);
        if (m_stopDeadline) {
            const auto leadershipTransferred =
                m_node->replica().role() != consensus::Role::Leader && m_node->replica().leader();
            const auto replaced = m_node->isReplaced() || at >= m_replacementDeadline;
            if ((at >= *m_stopDeadline || leadershipTransferred) && replaced)
                m_process.stop(0);
            next = std::min(next, at < *m_stopDeadline ? *m_stopDeadline : m_replacementDeadline);
        }
        return next;
    }

    Process m_process;
    std::unique_ptr<log::PosixFiles> m_files;
    std::unique_ptr<fleet::ControlNode> m_node;
    std::unique_ptr<HistoryHost> m_history;
    std::unique_ptr<Adapter> m_adapter;
    /// Time at which a stopping instance ends even if no successor leads.
    std::optional<TimePoint> m_stopDeadline;
    /// Time at which a stopping instance ends even if no other one has taken its place in the
    /// group.
    TimePoint m_replacementDeadline{};
    /// Declared last so that it is destroyed first, because its thread posts to the loop.
    std::unique_ptr<storage::LogWriter> m_writer;
};

} // namespace heathergate::node
