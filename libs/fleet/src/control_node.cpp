#include <heathergate/fleet/control_node.h>

namespace heathergate::fleet {

namespace {

/// Maximum delay of a settlement, so that it shares a disk sync with other commands.
constexpr Duration kSettleDelay = std::chrono::milliseconds(150);
constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(500);

} // namespace

auto instanceOf(const consensus::ReplicaId &replica) -> InstanceId
{
    return InstanceId(replica.value.substr(0, replica.value.find('~')));
}

ControlNode::ControlNode(ControlSettings settings, consensus::RecoveredState recovered,
                         Random random, telemetry::EventLog &log, TimePoint now)
    : m_settings(std::move(settings))
    , m_log(log)
    , m_replica(m_settings.replica, m_settings.consensus, m_settings.genesis, std::move(recovered),
                random, now)
    , m_committedGroup(m_settings.genesis)
{
    addControls(m_settings.seeds);
    collect(now);
}

auto ControlNode::receive(TimePoint now, const InstanceId &from, PeerFrame frame) -> void
{
    if (const auto *envelope = std::get_if<consensus::Envelope>(&frame)) {
        // Envelopes are accepted only from the instance that hosts the sending replica.
        if (instanceOf(envelope->from) == from && envelope->to == m_settings.replica)
            m_replica.receive(now, *envelope);
        return;
    }
    if (auto *message = std::get_if<Message>(&frame))
        std::visit([&](auto &body) { handle(now, from, body); }, *message);
}

auto ControlNode::synced(TimePoint now, std::uint64_t number) -> void
{
    m_replica.synced(now, number);
}

auto ControlNode::tick(TimePoint now) -> void
{
    if (now >= m_replica.nextDeadline())
        m_replica.tick(now);
    if (now >= m_nextPresence)
        sendPresence(now);
    if (!isLeader(now))
        return;
    admitDelayed(now);
    m_dispatcher.tick(now);
    if (now >= m_directoryPushAt) {
        m_directoryPushAt = TimePoint::max();
        pushFeeds(now, Role::Control);
    }
    if (now < m_nextMaintenance)
        return;
    m_nextMaintenance = now + kMaintenanceInterval;
    expireMembers(now);
    maintainGroup(now);
    updateReplicas(now);
    reportPaces(now);
}

auto ControlNode::leave(TimePoint now) -> void
{
    m_awaitsReplacement = hasSpare(now);
    m_leaving = true;
    m_log.add(now, telemetry::LogImportance::Important, "group", "leaving",
              {{"replica", m_settings.replica.value},
               {"awaits_replacement", m_awaitsReplacement ? 1 : 0},
               {"voters", m_committedGroup.voters.size()},
               {"term", m_replica.term()}});
    handOver(now);
    sendPresence(now);
}

auto ControlNode::handOver(TimePoint now) -> void
{
    // Proposals are refused during the transfer, and the successor counts only what is recorded.
    if (m_replica.role() == consensus::Role::Leader)
        proposeBatch(now);
    m_replica.transferLeadership(now);
}

auto ControlNode::takeOutput(TimePoint now) -> ControlOutput
{
    collect(now);
    if (isLeader(now)) {
        takeDispatcherOutput(now);
        sendConfiguration(now);
    }
    flushProposals(now);
    collect(now);
    compactIfNeeded();
    return std::exchange(m_output, {});
}

auto ControlNode::nextDeadline(TimePoint now) const -> TimePoint
{
    auto next = std::min(m_replica.nextDeadline(), m_nextPresence);
    if (m_wasServing) {
        next = std::min(
            {next, m_nextMaintenance, m_directoryPushAt, m_configurationSender.nextDeadline()});
        if (!m_delayed.empty())
            next = std::min(next, m_delayed.begin()->first);
        next = std::min(next, m_dispatcher.nextDeadline(now));
    }
    if (m_oldestCommand && m_inFlight.empty())
        next = std::min(next, *m_oldestCommand + kSettleDelay);
    return next;
}

auto ControlNode::propose(CommandPtr command, bool urgent, CommitHandler handler) -> void
{
    m_commands.push_back(std::move(command));
    m_urgent = m_urgent || urgent;
    if (handler)
        m_commandHandlers.push_back(std::move(handler));
}

auto ControlNode::flushProposals(TimePoint now) -> void
{
    if (m_commands.empty() && m_pendingUse.empty() && !m_pendingConfiguration)
        return;
    if (!m_oldestCommand)
        m_oldestCommand = now;
    // At most one batch is in flight, so that commands are batched while a disk sync runs.
    if (!m_inFlight.empty() && m_replica.role() == consensus::Role::Leader)
        return;
    if (!m_urgent && now - *m_oldestCommand < kSettleDelay)
        return;
    proposeBatch(now);
}

auto ControlNode::proposeBatch(TimePoint now) -> void
{
    if (m_commands.empty() && m_commandHandlers.empty() && m_pendingUse.empty())
        return;
    fb::CommandBatchT batch;
    batch.commands = std::exchange(m_commands, {});
    addPendingConfiguration(batch);
    auto uses = std::exchange(m_pendingUse, {});
    for (const auto &[customer, requests] : uses) {
        auto used = std::make_unique<fb::CustomerUseT>();
        used->customer = customer.value;
        used->count = static_cast<std::uint32_t>(requests.size());
        used->requests = requests;
        batch.used.push_back(std::move(used));
    }
    auto handlers = std::exchange(m_commandHandlers, {});
    m_oldestCommand.reset();
    m_urgent = false;
    const auto index = m_replica.propose(now, pack(batch));
    if (!index) {
        for (const auto &handler : handlers)
            handler(now, false);
        return;
    }
    m_inFlight[*index] = Batch{m_replica.term(), std::move(handlers), std::move(uses)};
}

auto ControlNode::addPendingConfiguration(fb::CommandBatchT &batch) -> void
{
    if (!m_inFlight.empty())
        return;
    const auto pending = std::exchange(m_pendingConfiguration, std::nullopt);
    if (!pending || pending->configuration.version <= m_state.configuration().version())
        return;
    // No other command is in flight, so that the active version is also that at the end of the log.
    auto command = std::make_unique<fb::CommandT>();
    command->configuration = std::make_unique<fb::SetConfigurationT>(
        m_state.commandFor(pending->configuration, pending->document));
    batch.commands.push_back(std::move(command));
}

auto ControlNode::collect(TimePoint now) -> void
{
    auto effects = m_replica.takeEffects(now);
    for (auto &write : effects.writes)
        m_output.storage.emplace_back(storage::GroupWrite{kControlGroup, std::move(write)});
    for (auto &envelope : effects.messages) {
        const auto to = instanceOf(envelope.to);
        m_output.messages.push_back({to, PeerFrame(std::move(envelope))});
    }
    if (effects.installed) {
        if (const auto restored = m_state.restore(*effects.installed->state); !restored)
            m_log.add(now, telemetry::LogImportance::Important, "state", "snapshot_unreadable",
                      {{"detail", restored.error().detail}});
        m_committedGroup = effects.installed->meta.configuration;
        m_applied = effects.installed->meta.index;
        m_snapshotAt = m_applied;
        m_bytesSinceSnapshot = 0;
    }
    for (const auto &entry : effects.committed)
        applyEntry(now, entry);
    // A restarted leader applies old changes first, which must not be announced.
    if (std::exchange(m_groupChanged, false)) {
        updateReplicas(now);
        m_nextMaintenance = now;
    }
    const auto leads = m_replica.role() == consensus::Role::Leader;
    if (leads != std::exchange(m_wasLeader, leads))
        leadershipChanged(now);
    const auto serves = isLeader(now);
    if (!serves)
        static_cast<void>(m_dispatcher.takePaceChanges());
    if (serves && !std::exchange(m_wasServing, serves)) {
        m_log.add(now, telemetry::LogImportance::Important, "control", "serving",
                  {{"term", m_replica.term()}, {"version", m_state.configuration().version()}});
        if (!m_quotas) {
            // Entries of former leaders were applied since the election.
            rebuildDispatcher(now);
            restoreQuotas(now);
            restoreFailures(now);
        }
        updateReplicas(now);
        announceLeadership();
        m_nextPresence = now;
        m_nextMaintenance = now + kMaintenanceInterval;
    }
    m_wasServing = serves;
    refreshUpstreams(now);
}

auto ControlNode::applyEntry(TimePoint now, const consensus::Entry &entry) -> void
{
    m_applied = entry.index;
    const auto version = m_state.configuration().version();
    m_bytesSinceSnapshot += entry.payload.size();
    AppliedBatch applied;
    if (entry.kind == consensus::EntryKind::Command) {
        const auto batch = unpack<fb::CommandBatchT>(entry.payload);
        if (batch)
            applied = m_state.apply(entry.time, *batch);
        else
            m_log.add(now, telemetry::LogImportance::Important, "state", "entry_unreadable",
                      {{"index", entry.index}, {"detail", batch.error().detail}});
    }
    if (applied.configurationError)
        m_log.add(now, telemetry::LogImportance::Important, "state", "configuration_unreadable",
                  {{"index", entry.index}, {"detail", applied.configurationError->detail}});
    if (entry.kind == consensus::EntryKind::Configuration) {
        if (auto group = decode<consensus::Configuration>(entry.payload)) {
            m_committedGroup = std::move(*group);
            m_groupChanged = true;
        }
    }
    if (m_state.configuration().version() != version) {
        m_log.add(now, telemetry::LogImportance::Important, "state", "configuration_in_force",
                  {{"version", m_state.configuration().version()},
                   {"before", version},
                   {"entry_bytes", entry.payload.size()},
                   {"log_bytes", m_replica.logBytes()}});
        // One entry may both change the configuration and evacuate a domain.
        applyEvacuations(now);
        m_dispatcher.setUpstreams(now, m_state.upstreams(), m_state.configuration(),
                                  m_replica.groupTime(now));
        m_configurationSender.activate(m_state.configuration().version());
    }
    refreshUpstreams(now);
    const auto batch = m_inFlight.find(entry.index);
    if (batch == m_inFlight.end())
        return;
    const auto isOwn = batch->second.term == entry.term;
    const auto handlers = std::move(batch->second.handlers);
    const auto uses = std::move(batch->second.uses);
    m_inFlight.erase(batch);
    if (isOwn) {
        usesRecorded(now, uses);
        for (const auto &outcome : applied.reservations)
            reserved(now, outcome);
    }
    for (const auto &handler : handlers)
        handler(now, isOwn);
}

auto ControlNode::leadershipChanged(TimePoint now) -> void
{
    const auto leads = m_replica.role() == consensus::Role::Leader;
    m_log.add(now, telemetry::LogImportance::Important, "control", leads ? "elected" : "deposed",
              {{"term", m_replica.term()}});
    m_leaderSince = now;
    // Proposed commands may still be committed; only the later state shows whether they were.
    auto handlers = std::exchange(m_commandHandlers, {});
    m_commands.clear();
    m_pendingConfiguration.reset();
    m_oldestCommand.reset();
    m_urgent = false;
    for (auto &[index, batch] : std::exchange(m_inFlight, {}))
        std::move(batch.handlers.begin(), batch.handlers.end(), std::back_inserter(handlers));
    for (const auto &handler : handlers)
        handler(now, false);
    // Gateways resubmit their open requests to the new leader.
    rebuildDispatcher(now);
    m_admissions.clear();
    m_openStreamRecords.clear();
    m_unconfirmedStreams.clear();
    m_doubtedStreams.clear();
    m_delayed.clear();
    m_members.clear();
    m_configurationSender = ConfigurationSender();
    m_configurationSender.activate(m_state.configuration().version());
    m_replicaSeenAt.clear();
    m_upstreams = UpstreamRegistry();
    m_pendingUse.clear();
    m_unrecorded.clear();
    m_quotas.reset();
}

auto ControlNode::compactIfNeeded() -> void
{
    if (m_applied < m_snapshotAt + m_settings.compactAfter
        && m_bytesSinceSnapshot < m_settings.compactAfterBytes)
        return;
    m_snapshotAt = m_applied;
    m_bytesSinceSnapshot = 0;
    const auto state = std::make_shared<const std::string>(m_state.snapshot());
    const auto meta = m_replica.compact(m_applied, state);
    storage::Compaction compaction;
    compaction.snapshots.emplace_back(kControlGroup, consensus::Snapshot{meta, state});
    auto retained = m_replica.retainedState();
    wire::StoredRecord record;
    record.group = kControlGroup;
    record.hardState = retained.hardState;
    record.entries = std::move(retained.entries);
    compaction.records.push_back(std::move(record));
    m_output.storage.emplace_back(std::move(compaction));
}

} // namespace heathergate::fleet
