#include <heathergate/testing/consensus_group.h>

namespace heathergate::testing {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(1);

} // namespace

ConsensusGroup::ConsensusGroup(std::uint64_t seed, const std::vector<std::string> &voters,
                               consensus::Settings settings)
    : m_settings(settings)
    , m_random(seed)
    , m_startedAt(m_clock.now())
    , m_link(seed + 1)
{
    for (const auto &name : voters)
        m_genesis.voters.emplace_back(name);
    for (const auto &name : voters)
        start(name, m_nodes[name]);
}

auto ConsensusGroup::setSyncTime(Duration syncTime) -> void
{
    m_syncTime = syncTime;
}

auto ConsensusGroup::run(Duration time) -> void
{
    const auto end = m_clock.now() + time;
    while (m_clock.now() < end) {
        m_clock.advance(kStep);
        for (auto &delivery : m_link.arrived(m_clock.now())) {
            auto &node = m_nodes[delivery.to];
            if (node.replica && !node.suspended)
                node.replica->receive(localTimeOf(node), delivery.message);
        }
        for (auto &[name, node] : m_nodes)
            step(name, node);
        checkSingleLeaseHolder();
        checkGroupTime();
    }
}

auto ConsensusGroup::runUntilLeader(Duration limit) -> std::string
{
    const auto end = m_clock.now() + limit;
    while (m_clock.now() < end) {
        run(kStep);
        for (const auto &[name, node] : m_nodes) {
            if (node.replica && !node.suspended && node.replica->canServeReads(localTimeOf(node)))
                return name;
        }
    }
    return {};
}

auto ConsensusGroup::runUntilApplied(consensus::Index index, Duration limit) -> bool
{
    const auto end = m_clock.now() + limit;
    const auto done = [&] {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &item) {
            const auto &node = item.second;
            return !node.replica || node.suspended || node.replica->commitIndex() >= index;
        });
    };
    while (m_clock.now() < end && !done())
        run(kStep);
    return done();
}

auto ConsensusGroup::propose(const std::string &payload) -> consensus::Index
{
    for (auto &[name, node] : m_nodes) {
        if (!node.replica || node.suspended || !node.replica->canServeReads(localTimeOf(node)))
            continue;
        const auto index = node.replica->propose(localTimeOf(node), payload);
        collectEffects(name, node);
        return index.value_or(0);
    }
    return 0;
}

auto ConsensusGroup::crash(const std::string &name) -> void
{
    auto &node = m_nodes.at(name);
    node.replica.reset();
    node.unsynced.clear();
}

auto ConsensusGroup::restart(const std::string &name, Duration startup) -> void
{
    auto &node = m_nodes.at(name);
    if (!node.replica)
        start(name, node, startup);
}

auto ConsensusGroup::setSuspended(const std::string &name, bool suspended) -> void
{
    m_nodes.at(name).suspended = suspended;
}

auto ConsensusGroup::addEmptyReplica(const std::string &name) -> void
{
    auto &node = m_nodes[name];
    node.isGenesis = false;
    start(name, node);
}

auto ConsensusGroup::setIsolated(const std::string &name, bool isolated) -> void
{
    for (const auto &[other, node] : m_nodes) {
        m_link.setPartitioned(name, other, isolated);
        m_link.setPartitioned(other, name, isolated);
    }
}

auto ConsensusGroup::setClockError(const std::string &name, std::int64_t ppm) -> void
{
    m_nodes.at(name).clockErrorPpm = ppm;
}

auto ConsensusGroup::setDiskStalled(const std::string &name, bool diskStalled) -> void
{
    m_nodes.at(name).diskStalled = diskStalled;
}

auto ConsensusGroup::replica(const std::string &name) -> consensus::Replica &
{
    return *m_nodes.at(name).replica;
}

auto ConsensusGroup::applied(const std::string &name) const -> const std::vector<consensus::Entry> &
{
    return m_nodes.at(name).applied;
}

auto ConsensusGroup::localTime(const std::string &name) const -> TimePoint
{
    return localTimeOf(m_nodes.at(name));
}

auto ConsensusGroup::compact(const std::string &name) -> void
{
    auto &node = m_nodes.at(name);
    const auto index = node.replica->commitIndex();
    auto state = std::make_shared<const std::string>(encode(node.applied.size()));
    const auto meta = node.replica->compact(index, state);
    const auto retained = node.replica->retainedState();
    node.disk.snapshot = consensus::Snapshot{meta, state};
    node.disk.entries = retained.entries;
    node.disk.hardState = retained.hardState;
}

auto ConsensusGroup::start(const std::string &name, Node &node, Duration startup) -> void
{
    node.applied.clear();
    auto settings = m_settings;
    settings.processStart = localTimeOf(node) - startup;
    node.replica = std::make_unique<consensus::Replica>(
        consensus::ReplicaId(name), settings,
        node.isGenesis ? m_genesis : consensus::Configuration{}, node.disk, Random(m_random.next()),
        localTimeOf(node));
    collectEffects(name, node);
}

auto ConsensusGroup::step(const std::string &name, Node &node) -> void
{
    if (!node.replica || node.suspended)
        return;
    const auto now = localTimeOf(node);
    if (now >= node.replica->nextDeadline())
        node.replica->tick(now);
    if (!node.unsynced.empty() && m_clock.now() >= node.syncAt && !node.diskStalled)
        syncDisk(name, node);
    collectEffects(name, node);
}

auto ConsensusGroup::collectEffects(const std::string &name, Node &node) -> void
{
    auto effects = node.replica->takeEffects(localTimeOf(node));
    if (effects.installed)
        node.applied.clear();
    for (const auto &entry : effects.committed) {
        node.applied.push_back(entry);
        checkAgreement(name, entry);
    }
    if (node.unsynced.empty() && !effects.writes.empty())
        node.syncAt = m_clock.now() + m_syncTime;
    for (auto &write : effects.writes)
        node.unsynced.push_back(std::move(write));
    for (auto &envelope : effects.messages) {
        const auto to = envelope.to.value;
        m_link.send(m_clock.now(), name, to, std::move(envelope));
    }
}

auto ConsensusGroup::syncDisk(const std::string &, Node &node) -> void
{
    for (const auto &write : node.unsynced)
        store(node.disk, write);
    const auto number = node.unsynced.back().number;
    node.unsynced.clear();
    node.replica->synced(localTimeOf(node), number);
}

auto ConsensusGroup::store(consensus::RecoveredState &disk, const consensus::StorageWrite &write)
    -> void
{
    if (write.hardState)
        disk.hardState = *write.hardState;
    if (write.snapshot) {
        disk.snapshot = write.snapshot;
        disk.entries.clear();
    }
    for (const auto &entry : write.entries) {
        while (!disk.entries.empty() && disk.entries.back().index >= entry.index)
            disk.entries.pop_back();
        disk.entries.push_back(entry);
    }
}

auto ConsensusGroup::checkAgreement(const std::string &name, const consensus::Entry &entry) -> void
{
    const auto [known, added] = m_committed.emplace(entry.index, entry);
    if (!added && known->second != entry)
        recordViolation(name + " applied another entry at index " + std::to_string(entry.index));
}

auto ConsensusGroup::checkSingleLeaseHolder() -> void
{
    std::string holder;
    for (const auto &[name, node] : m_nodes) {
        // Suspended replicas are included: their lease has to expire as well.
        if (!node.replica || !node.replica->canServeReads(localTimeOf(node)))
            continue;
        if (!holder.empty())
            recordViolation(holder + " and " + name + " hold the lease at the same time");
        holder = name;
    }
}

auto ConsensusGroup::checkGroupTime() -> void
{
    const auto trueTime = m_clock.now() - m_startedAt;
    for (const auto &[name, node] : m_nodes) {
        if (node.replica && node.replica->groupTime(localTimeOf(node)) > trueTime + kStep)
            recordViolation(name + " is ahead of true time");
    }
}

auto ConsensusGroup::localTimeOf(const Node &node) const -> TimePoint
{
    const auto elapsed = m_clock.now() - m_startedAt;
    return m_clock.now() + Duration(elapsed.count() * node.clockErrorPpm / 1'000'000);
}

auto ConsensusGroup::recordViolation(const std::string &violation) -> void
{
    if (m_violation.empty())
        m_violation = violation;
}

} // namespace heathergate::testing
