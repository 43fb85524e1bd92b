#include <heathergate/consensus/replica.h>

namespace heathergate::consensus {

namespace {

/// A replica whose tick is late by more than the election timeout divided by this number was
/// suspended in the meantime.
constexpr int kLateTickDivisor = 4;
/// Length of a suspension, in election timeouts, after which the recorded state of the other
/// replicas is stale.
constexpr int kStaleStateTimeouts = 2;

} // namespace

Replica::Replica(ReplicaId self, Settings settings, Configuration genesis, RecoveredState recovered,
                 Random random, TimePoint now)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(random)
    , m_hardState(recovered.hardState)
    , m_snapshot(std::move(recovered.snapshot))
{
    applyConfiguration(0, std::move(genesis));
    if (m_snapshot) {
        const auto &meta = m_snapshot->meta;
        m_log.reset(meta.index, meta.term, meta.time);
        m_configurations.clear();
        applyConfiguration(meta.index, meta.configuration);
        m_commitIndex = meta.index;
        m_effects.installed = m_snapshot;
    }
    for (auto &entry : recovered.entries) {
        if (entry.index != m_log.lastIndex() + 1)
            continue;
        if (entry.kind == EntryKind::Configuration)
            applyConfiguration(entry.index,
                               decode<Configuration>(entry.payload).value_or(m_configuration));
        m_log.append(std::move(entry));
    }
    m_durableIndex = m_log.lastIndex();
    m_clock.observe(m_log.lastTime(), now);
    // Before the restart this replica may have confirmed a leader's lease, so it neither votes nor
    // becomes a candidate until such a lease has expired.
    m_lastLeaderContact = std::min(settings.processStart.value_or(now), now);
    const auto timerStart = std::max(now, m_lastLeaderContact + m_settings.electionTimeout);
    resetElectionTimer(timerStart);
}

auto Replica::receive(TimePoint now, const Envelope &envelope) -> void
{
    if (envelope.to != m_self)
        return;
    std::visit([&](const auto &message) { handle(now, envelope.from, message); }, envelope.message);
}

auto Replica::tick(TimePoint now) -> void
{
    // Messages that arrived while this replica was suspended have not been handled yet, so missing
    // messages do not indicate a failure of the others. After a long suspension the usual checks
    // apply, because the recorded state of the others is stale in any case.
    const auto delay = now - nextDeadline();
    const auto wasSuspended = delay > m_settings.electionTimeout / kLateTickDivisor
                              && delay < m_settings.electionTimeout * kStaleStateTimeouts;
    if (m_role == Role::Leader) {
        const auto quorumLost = now - newestQuorumRound(now) > m_settings.electionTimeout;
        if (quorumLost && !wasSuspended && now - m_leaderElectedAt > m_settings.electionTimeout) {
            becomeFollower(now, m_hardState.term, std::nullopt);
            return;
        }
        // The target may still win an election that ignores this leader's lease, so the lease must
        // not become valid again in this term.
        if (m_transferDeadline && now >= *m_transferDeadline) {
            becomeFollower(now, m_hardState.term, std::nullopt);
            return;
        }
        sendHeartbeats(now);
        return;
    }
    if (now < nextDeadline())
        return;
    if (wasSuspended) {
        m_electionDeadline = now + m_settings.heartbeatInterval;
        return;
    }
    resetElectionTimer(now);
    if (m_configuration.isVoter(m_self))
        startPreVote(now);
}

auto Replica::synced(TimePoint now, std::uint64_t number) -> void
{
    const auto wasWritingHardState = isWritingHardState();
    m_syncedWrite = std::max(m_syncedWrite, number);
    const auto hasVoted = !m_hardState.vote.empty();
    if (wasWritingHardState && !isWritingHardState() && hasVoted)
        resetElectionTimer(now, now - m_hardStateWriteBegunAt);
    while (!m_pendingWrites.empty() && m_pendingWrites.front().number <= number) {
        const auto &write = m_pendingWrites.front();
        // The entry may have been truncated or replaced after the write was queued.
        const auto term = m_log.termAt(write.lastIndex);
        if (write.lastIndex > 0 && term && *term == write.lastTerm)
            m_durableIndex = std::max(m_durableIndex, write.lastIndex);
        m_pendingWrites.pop_front();
    }
    while (!m_deferredMessages.empty() && m_deferredMessages.front().afterWrite <= m_syncedWrite) {
        m_effects.messages.push_back(std::move(m_deferredMessages.front().envelope));
        m_deferredMessages.pop_front();
    }
    if (m_role == Role::Leader)
        advanceCommit();
    else
        acknowledgeDurableEntries();
}

auto Replica::propose(TimePoint now, std::string payload) -> Result<Index>
{
    if (m_role != Role::Leader || m_transferDeadline)
        return fail(Code::NotLeader, "this replica does not lead the group");
    return appendLocal(now, EntryKind::Command, std::move(payload));
}

auto Replica::transferLeadership(TimePoint now) -> void
{
    if (m_role != Role::Leader || m_configuration.voters.size() < 2)
        return;
    const ReplicaId *target = nullptr;
    Index best = 0;
    for (const auto &[id, progress] : m_progress) {
        if (!m_configuration.isVoter(id) || progress.match < best)
            continue;
        target = &id;
        best = progress.match;
    }
    if (target == nullptr)
        return;
    // From here on the lease is not valid, because the target may win an election immediately.
    m_transferDeadline = now + m_settings.electionTimeout;
    sendAppend(now, *target, m_progress[*target], true);
    send(*target, TransferRequest{m_hardState.term});
}

auto Replica::compact(Index index, std::shared_ptr<const std::string> state) -> SnapshotMeta
{
    SnapshotMeta meta{index, m_log.termAt(index).value_or(0), m_log.lastTime(),
                      configurationAt(index)};
    if (index >= m_log.firstIndex())
        meta.time = m_log.at(index).time;
    m_snapshot = Snapshot{meta, std::move(state)};
    const auto oldest = m_log.oldestOf(index, m_settings.retainedBytes);
    const auto retained = std::min<Index>(m_settings.retainedEntries, index - oldest);
    m_log.discardUpTo(index - retained);
    return meta;
}

auto Replica::takeEffects(TimePoint now) -> Effects
{
    if (m_role == Role::Leader)
        sendPendingEntries(now);
    m_takenIndex = m_commitIndex;
    return std::exchange(m_effects, {});
}

auto Replica::canServeReads(TimePoint now) const -> bool
{
    if (m_role != Role::Leader || m_transferDeadline || !earlierTermsTaken())
        return false;
    return now < newestQuorumRound(now) + elapsedLowerBound(m_settings.electionTimeout);
}

auto Replica::retainedState() const -> RecoveredState
{
    RecoveredState state;
    state.hardState = m_hardState;
    state.snapshot = m_snapshot;
    for (auto index = m_log.firstIndex(); index <= m_log.lastIndex(); ++index)
        state.entries.push_back(m_log.at(index));
    return state;
}

auto Replica::nextDeadline() const -> TimePoint
{
    if (m_role != Role::Leader)
        return isWritingHardState() ? TimePoint::max() : m_electionDeadline;
    auto deadline = TimePoint::max();
    for (const auto &[id, progress] : m_progress)
        deadline = std::min(deadline, progress.lastSent + m_settings.heartbeatInterval);
    return deadline;
}

auto Replica::send(const ReplicaId &to, Message message) -> void
{
    if (isWritingHardState())
        m_deferredMessages.push_back({m_lastHardStateWrite, {m_self, to, std::move(message)}});
    else
        m_effects.messages.push_back({m_self, to, std::move(message)});
}

auto Replica::writeHardState(TimePoint now) -> void
{
    if (!isWritingHardState())
        m_hardStateWriteBegunAt = now;
    StorageWrite write;
    write.hardState = m_hardState;
    m_lastHardStateWrite = addWrite(std::move(write));
}

auto Replica::isWritingHardState() const -> bool
{
    return m_lastHardStateWrite > m_syncedWrite;
}

auto Replica::writeEntries(std::vector<Entry> entries) -> void
{
    StorageWrite write;
    write.entries = std::move(entries);
    addWrite(std::move(write));
}

auto Replica::addWrite(StorageWrite write) -> std::uint64_t
{
    write.number = ++m_lastWrite;
    PendingWrite pending{write.number, 0, 0};
    if (!write.entries.empty()) {
        pending.lastIndex = write.entries.back().index;
        pending.lastTerm = write.entries.back().term;
    } else if (write.snapshot) {
        pending.lastIndex = write.snapshot->meta.index;
        pending.lastTerm = write.snapshot->meta.term;
    }
    m_pendingWrites.push_back(pending);
    m_effects.writes.push_back(std::move(write));
    return m_lastWrite;
}

auto Replica::termCommitted() const -> bool
{
    return m_commitIndex >= m_termStartIndex;
}

auto Replica::earlierTermsTaken() const -> bool
{
    return m_takenIndex >= m_termStartIndex;
}

} // namespace heathergate::consensus
