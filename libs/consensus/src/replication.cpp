#include <heathergate/consensus/replica.h>

namespace heathergate::consensus {

auto Replica::handle(TimePoint now, const ReplicaId &from, const AppendRequest &request) -> void
{
    if (request.term < m_hardState.term) {
        send(from, AppendReply{m_hardState.term, false, m_log.lastIndex(), request.round});
        return;
    }
    if (request.term > m_hardState.term || m_leader != from || m_role != Role::Follower)
        becomeFollower(now, request.term, from);
    m_lastLeaderContact = now;
    m_hadLeaderContact = true;
    resetElectionTimer(now);
    m_clock.observe(request.groupTime, now);
    m_lastRound = request.round;
    const auto localPreviousTerm = m_log.termAt(request.previousIndex);
    const auto beforeSnapshot = request.previousIndex < m_log.firstIndex() - 1;
    if (!beforeSnapshot && (!localPreviousTerm || *localPreviousTerm != request.previousTerm)) {
        // Committed entries match the leader's log, so the leader need not go back any further.
        const auto hint =
            std::max(m_commitIndex, std::min(m_log.lastIndex(), request.previousIndex - 1));
        send(from, AppendReply{m_hardState.term, false, hint, request.round});
        return;
    }
    acceptEntries(request.entries);
    const auto last = request.previousIndex + request.entries.size();
    m_verifiedIndex = std::max(m_verifiedIndex, std::max(last, m_commitIndex));
    commitUpTo(std::min(request.commit, m_verifiedIndex));
    send(from, AppendReply{m_hardState.term, true, std::min(m_durableIndex, m_verifiedIndex),
                           request.round});
}

auto Replica::acceptEntries(const std::vector<Entry> &entries) -> void
{
    std::vector<Entry> added;
    for (const auto &entry : entries) {
        if (entry.index < m_log.firstIndex())
            continue;
        const auto term = m_log.termAt(entry.index);
        if (term && *term == entry.term)
            continue;
        // A conflicting entry and all later ones are removed (Raft, section 5.3).
        if (term) {
            m_log.truncateFrom(entry.index);
            truncateConfigurationsFrom(entry.index);
            m_durableIndex = std::min(m_durableIndex, entry.index - 1);
            m_verifiedIndex = std::min(m_verifiedIndex, entry.index - 1);
        }
        if (entry.kind == EntryKind::Configuration)
            applyConfiguration(entry.index,
                               decode<Configuration>(entry.payload).value_or(m_configuration));
        m_log.append(entry);
        added.push_back(entry);
    }
    if (!added.empty())
        writeEntries(std::move(added));
}

auto Replica::recordReply(TimePoint now, const ReplicaId &from, Term term, TimePoint round)
    -> internal::Progress *
{
    if (term > m_hardState.term) {
        becomeFollower(now, term, std::nullopt);
        return nullptr;
    }
    const auto member = m_progress.find(from);
    if (m_role != Role::Leader || term != m_hardState.term || member == m_progress.end())
        return nullptr;
    auto &progress = member->second;
    progress.acknowledgedRound = std::max(progress.acknowledgedRound, round);
    return &progress;
}

auto Replica::handle(TimePoint now, const ReplicaId &from, const AppendReply &reply) -> void
{
    auto *member = recordReply(now, from, reply.term, reply.round);
    if (member == nullptr)
        return;
    auto &progress = *member;
    if (!reply.success) {
        progress.next = std::max(progress.match, std::min(reply.matchIndex, m_log.lastIndex())) + 1;
        progress.probing = true;
        sendAppend(now, from, progress, false);
        return;
    }
    progress.probing = false;
    progress.snapshotIndex = 0;
    if (reply.matchIndex <= progress.match)
        return;
    progress.match = reply.matchIndex;
    progress.next = std::max(progress.next, progress.match + 1);
    advanceCommit();
}

auto Replica::sendAppend(TimePoint now, const ReplicaId &to, internal::Progress &progress,
                         bool withEntries) -> void
{
    const auto previousTerm = m_log.termAt(progress.next - 1);
    if (!previousTerm) {
        sendSnapshotPiece(now, to, progress);
        return;
    }
    AppendRequest request;
    request.term = m_hardState.term;
    request.previousIndex = progress.next - 1;
    request.previousTerm = *previousTerm;
    request.commit = m_commitIndex;
    request.groupTime = m_clock.at(now);
    request.round = now;
    if (withEntries) {
        request.entries = m_log.slice(progress.next, m_settings.maxAppendBytes);
        progress.next += request.entries.size();
    }
    progress.lastSent = now;
    send(to, std::move(request));
}

auto Replica::sendPendingEntries(TimePoint now) -> void
{
    for (auto &[id, progress] : m_progress) {
        while (!progress.probing && progress.next <= m_log.lastIndex()
               && m_log.termAt(progress.next - 1)
               && progress.next - progress.match <= m_settings.maxEntriesInFlight
               && m_log.bytesBetween(progress.match, progress.next - 1)
                      < m_settings.maxBytesInFlight)
            sendAppend(now, id, progress, true);
    }
}

auto Replica::sendHeartbeats(TimePoint now) -> void
{
    for (auto &[id, progress] : m_progress) {
        if (now - progress.lastSent < m_settings.heartbeatInterval)
            continue;
        // Without a reply for two intervals the messages in flight are assumed to be lost.
        if (progress.acknowledgedRound + 2 * m_settings.heartbeatInterval < now)
            progress.probing = true;
        sendAppend(now, id, progress, false);
    }
}

auto Replica::advanceCommit() -> void
{
    std::vector<Index> matches;
    for (const auto &voter : m_configuration.voters) {
        const auto member = m_progress.find(voter);
        if (voter == m_self)
            matches.push_back(m_durableIndex);
        else
            matches.push_back(member == m_progress.end() ? 0 : member->second.match);
    }
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const auto index = matches[m_configuration.quorum() - 1];
    const auto term = m_log.termAt(index);
    // Only entries of the leader's own term are committed by counting (Raft, section 5.4.2).
    if (index <= m_commitIndex || !term || *term != m_hardState.term)
        return;
    commitUpTo(index);
}

auto Replica::commitUpTo(Index index) -> void
{
    while (m_commitIndex < index) {
        ++m_commitIndex;
        m_effects.committed.push_back(m_log.at(m_commitIndex));
    }
    // A leader that is no longer a voter steps down once that configuration is committed.
    const auto removed = m_role == Role::Leader && !m_configuration.isVoter(m_self)
                         && !m_configurations.empty()
                         && m_configurations.back().index <= m_commitIndex;
    if (removed) {
        m_role = Role::Follower;
        m_leader.reset();
        m_progress.clear();
        m_effects.leadershipChanged = true;
    }
}

auto Replica::acknowledgeDurableEntries() -> void
{
    if (!m_leader || *m_leader == m_self)
        return;
    send(*m_leader, AppendReply{m_hardState.term, true, std::min(m_durableIndex, m_verifiedIndex),
                                m_lastRound});
}

auto Replica::appendLocal(TimePoint now, EntryKind kind, std::string payload) -> Index
{
    Entry entry;
    entry.index = m_log.lastIndex() + 1;
    entry.term = m_hardState.term;
    entry.time = std::max(m_log.lastTime(), m_clock.at(now));
    entry.kind = kind;
    entry.payload = std::move(payload);
    m_log.append(entry);
    const auto index = entry.index;
    writeEntries({std::move(entry)});
    return index;
}

auto Replica::newestQuorumRound(TimePoint now) const -> TimePoint
{
    std::vector<TimePoint> rounds;
    for (const auto &voter : m_configuration.voters) {
        const auto member = m_progress.find(voter);
        if (voter == m_self)
            rounds.push_back(now);
        else
            rounds.push_back(member == m_progress.end() ? TimePoint{}
                                                        : member->second.acknowledgedRound);
    }
    if (rounds.empty())
        return TimePoint{};
    std::sort(rounds.begin(), rounds.end(), std::greater<>());
    return rounds[m_configuration.quorum() - 1];
}

} // namespace heathergate::consensus
