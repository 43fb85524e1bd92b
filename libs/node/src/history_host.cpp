#include <heathergate/node/history_host.h>

namespace heathergate::node {

namespace {

using telemetry::LogImportance;

constexpr const char *kFolder = "/histories";

} // namespace

HistoryHost::HistoryHost(Process &process, telemetry::Metrics &metrics)
    : m_process(process)
    , m_metrics(metrics)
{
}

auto HistoryHost::open(const consensus::ReplicaId &replica, bool isFounder) -> Result<void>
{
    auto files = log::PosixFiles::open(m_process.settings().folder + kFolder);
    if (!files)
        return tl::unexpected(files.error());
    m_files = std::make_unique<log::PosixFiles>(std::move(*files));
    auto recovered = history::recoverTurns(*m_files, isFounder);
    if (!recovered)
        return tl::unexpected(recovered.error());
    auto &loop = m_process.loop();
    m_process.log().add(loop.now(), LogImportance::Important, "history", "recovered",
                        {{"turns", recovered->second.turns.size()},
                         {"complete", recovered->second.isComplete ? 1 : 0}});
    history::ReplicaSettings settings;
    settings.self = history::ReplicaId(replica.value);
    settings.instance = m_process.self();
    settings.boot = randomNumber() | 1U;
    settings.wallOffset = m_process.wallOffset();
    m_replica = std::make_unique<history::HistoryReplica>(std::move(settings), recovered->second,
                                                          m_process.log(), m_metrics, loop.now());
    m_disk = std::make_unique<history::TurnDisk>(
        *m_files, std::move(recovered->first),
        [this](std::vector<history::DiskEvent> events) {
            m_process.loop().post([this, events = std::move(events)]() mutable {
                for (auto &event : events)
                    m_replica->diskDone(m_process.loop().now(), std::move(event));
            });
        },
        [this](const Error &error) {
            m_process.loop().post([this, error] { failed(error.detail); });
        });
    return {};
}

auto HistoryHost::receive(const InstanceId &from, history::Message message) -> void
{
    m_replica->receive(m_process.loop().now(), from, std::move(message));
}

auto HistoryHost::round(TimePoint now, const history::ReplicaSet &replicas) -> TimePoint
{
    m_replica->setReplicas(now, replicas);
    m_replica->tick(now);
    auto output = m_replica->takeOutput();
    for (auto &out : output.messages)
        m_process.send(out.to, fleet::encodeFrame(fleet::PeerFrame(std::move(out.message))));
    if (!output.steps.empty() && !m_disk->submit(std::move(output.steps)))
        failed("the queue of the disk is full");
    return m_replica->nextDeadline();
}

auto HistoryHost::progress() const -> fleet::HistoryProgress
{
    return {m_replica->replicas().version, m_replica->isComplete(), m_replica->syncedMembers()};
}

auto HistoryHost::failed(const std::string &detail) -> void
{
    m_process.log().add(m_process.loop().now(), LogImportance::Important, "history", "failed",
                        {{"detail", detail}});
    m_process.stop(1);
}

} // namespace heathergate::node
