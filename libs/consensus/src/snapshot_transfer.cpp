#include <heathergate/consensus/replica.h>

namespace heathergate::consensus {

auto Replica::sendSnapshotPiece(TimePoint now, const ReplicaId &to, internal::Progress &progress)
    -> void
{
    progress.lastSent = now;
    if (!m_snapshot)
        return;
    const auto &state = *m_snapshot->state;
    if (progress.snapshotIndex != m_snapshot->meta.index) {
        progress.snapshotIndex = m_snapshot->meta.index;
        progress.snapshotOffset = 0;
    }
    SnapshotPiece piece;
    piece.term = m_hardState.term;
    piece.meta = m_snapshot->meta;
    piece.size = state.size();
    piece.digest = hash64(state);
    piece.offset = std::min<std::uint64_t>(progress.snapshotOffset, state.size());
    piece.round = now;
    piece.bytes = state.substr(piece.offset, m_settings.snapshotPieceBytes);
    send(to, std::move(piece));
}

auto Replica::handle(TimePoint now, const ReplicaId &from, const SnapshotPiece &piece) -> void
{
    if (piece.term < m_hardState.term) {
        send(from, AppendReply{m_hardState.term, false, m_log.lastIndex(), piece.round});
        return;
    }
    if (piece.term > m_hardState.term || m_leader != from || m_role != Role::Follower)
        becomeFollower(now, piece.term, from);
    m_lastLeaderContact = now;
    m_hadLeaderContact = true;
    m_lastRound = piece.round;
    resetElectionTimer(now);
    if (piece.meta.index <= m_commitIndex) {
        m_verifiedIndex = std::max(m_verifiedIndex, m_commitIndex);
        send(from, AppendReply{m_hardState.term, true, std::min(m_durableIndex, m_commitIndex),
                               piece.round});
        return;
    }
    // A transfer resumes after a change of leader only if the digest shows that the new leader's
    // snapshot has the same bytes.
    const auto isSameSnapshot =
        m_incomingSnapshot && m_incomingSnapshot->meta.index == piece.meta.index
        && m_incomingSnapshot->digest == piece.digest && m_incomingSnapshot->size == piece.size;
    if (!isSameSnapshot)
        m_incomingSnapshot = IncomingSnapshot{piece.meta, piece.size, piece.digest, {}};
    if (piece.offset == m_incomingSnapshot->bytes.size())
        m_incomingSnapshot->bytes.append(piece.bytes);
    const auto received = m_incomingSnapshot->bytes.size();
    if (received < m_incomingSnapshot->size) {
        send(from, SnapshotReply{m_hardState.term, piece.meta.index, received, piece.round});
        return;
    }
    const auto incoming = *std::exchange(m_incomingSnapshot, std::nullopt);
    if (hash64(incoming.bytes) == incoming.digest)
        install(incoming);
}

auto Replica::install(const IncomingSnapshot &incoming) -> void
{
    Snapshot snapshot{incoming.meta, std::make_shared<const std::string>(incoming.bytes)};
    const auto &meta = snapshot.meta;
    m_log.reset(meta.index, meta.term, meta.time);
    m_configurations.clear();
    applyConfiguration(meta.index, meta.configuration);
    m_commitIndex = meta.index;
    m_verifiedIndex = meta.index;
    m_durableIndex = 0;
    m_snapshot = snapshot;
    m_effects.committed.clear();
    m_effects.installed = snapshot;
    StorageWrite write;
    write.snapshot = std::move(snapshot);
    addWrite(std::move(write));
}

auto Replica::handle(TimePoint now, const ReplicaId &from, const SnapshotReply &reply) -> void
{
    auto *member = recordReply(now, from, reply.term, reply.round);
    if (member == nullptr)
        return;
    auto &progress = *member;
    if (progress.snapshotIndex != reply.index)
        return;
    progress.snapshotOffset = reply.offset;
    sendSnapshotPiece(now, from, progress);
}

} // namespace heathergate::consensus
