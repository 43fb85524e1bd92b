#include <heathergate/consensus/replica.h>

namespace heathergate::consensus {

namespace {

/// Until a replica has had contact with a leader since its start, its election timeout is divided
/// by this number.
constexpr int kStartTimeoutDivisor = 4;

} // namespace

auto Replica::startPreVote(TimePoint now) -> void
{
    m_leader.reset();
    m_isPreVoting = true;
    m_preVotes = {m_self};
    if (m_preVotes.size() >= m_configuration.quorum()) {
        startElection(now, false);
        return;
    }
    requestVotes(true, false);
}

auto Replica::startElection(TimePoint now, bool transfer) -> void
{
    m_isPreVoting = false;
    m_role = Role::Candidate;
    m_leader.reset();
    ++m_hardState.term;
    m_hardState.vote = m_self;
    writeHardState(now);
    m_votes = {m_self};
    resetElectionTimer(now);
    if (m_votes.size() >= m_configuration.quorum())
        becomeLeader(now);
    else
        requestVotes(false, transfer);
}

auto Replica::requestVotes(bool preVote, bool transfer) -> void
{
    VoteRequest request;
    request.term = m_hardState.term + (preVote ? 1 : 0);
    request.lastIndex = m_log.lastIndex();
    request.lastTerm = m_log.lastTerm();
    request.preVote = preVote;
    request.transfer = transfer;
    for (const auto &voter : m_configuration.voters) {
        if (voter != m_self)
            send(voter, request);
    }
}

auto Replica::handle(TimePoint now, const ReplicaId &from, const VoteRequest &request) -> void
{
    if (!m_configuration.isVoter(from))
        return;
    // A replica in contact with its leader has confirmed the leader's lease, so it must not vote
    // for another replica before the lease expires. It also keeps its term, so that a rejoining
    // replica with a higher term does not depose the leader.
    if (!request.transfer && hasLeaderContact(now))
        return;
    const auto upToDate = isUpToDate(request.lastIndex, request.lastTerm);
    if (request.preVote) {
        const auto granted = request.term > m_hardState.term && upToDate;
        send(from, VoteReply{granted ? request.term : m_hardState.term, granted, true});
        return;
    }
    if (request.term > m_hardState.term)
        becomeFollower(now, request.term, std::nullopt);
    const auto voteAvailable = m_hardState.vote.empty() || m_hardState.vote == from;
    const auto granted = request.term == m_hardState.term && voteAvailable && upToDate
                         && m_configuration.isVoter(m_self);
    if (granted && m_hardState.vote.empty()) {
        m_hardState.vote = from;
        writeHardState(now);
    }
    if (granted)
        resetElectionTimer(now);
    send(from, VoteReply{m_hardState.term, granted, false});
}

auto Replica::handle(TimePoint now, const ReplicaId &from, const VoteReply &reply) -> void
{
    if (reply.term > m_hardState.term && !reply.preVote) {
        becomeFollower(now, reply.term, std::nullopt);
        return;
    }
    const auto awaited = reply.preVote
                             ? m_isPreVoting && reply.term == m_hardState.term + 1
                             : m_role == Role::Candidate && reply.term == m_hardState.term;
    if (!awaited || !reply.granted || !m_configuration.isVoter(from))
        return;
    auto &votes = reply.preVote ? m_preVotes : m_votes;
    votes.insert(from);
    if (votes.size() < m_configuration.quorum())
        return;
    if (reply.preVote)
        startElection(now, false);
    else
        becomeLeader(now);
}

auto Replica::handle(TimePoint now, const ReplicaId &from, const TransferRequest &request) -> void
{
    if (request.term == m_hardState.term && m_leader == from && m_configuration.isVoter(m_self))
        startElection(now, true);
}

auto Replica::becomeFollower(TimePoint now, Term term, std::optional<ReplicaId> leader) -> void
{
    if (m_role == Role::Leader || m_leader != leader)
        m_effects.leadershipChanged = true;
    if (m_role == Role::Leader)
        resetElectionTimer(now);
    if (term != m_hardState.term || m_leader != leader)
        m_verifiedIndex = std::min(m_commitIndex, m_log.lastIndex());
    m_role = Role::Follower;
    m_leader = std::move(leader);
    m_isPreVoting = false;
    m_progress.clear();
    m_transferDeadline.reset();
    if (term == m_hardState.term)
        return;
    m_hardState = HardState{term, ReplicaId{}};
    writeHardState(now);
}

auto Replica::becomeLeader(TimePoint now) -> void
{
    m_role = Role::Leader;
    m_isPreVoting = false;
    m_leader = m_self;
    m_leaderElectedAt = now;
    m_hadLeaderContact = true;
    m_transferDeadline.reset();
    m_incomingSnapshot.reset();
    m_effects.leadershipChanged = true;
    m_progress.clear();
    syncProgressWithMembers();
    // Once an entry of the new term is committed, all earlier entries are known to be committed.
    m_termStartIndex = appendLocal(now, EntryKind::Empty, {});
}

auto Replica::resetElectionTimer(TimePoint now, Duration writeTime) -> void
{
    // After a start the group may have no leader. An early pre-vote cannot depose an existing
    // leader, because replicas in contact with it do not answer.
    const auto divisor = m_hadLeaderContact ? 1 : kStartTimeoutDivisor;
    const auto timeout = m_settings.electionTimeout / divisor + writeTime;
    const auto jitter = m_random.below(static_cast<std::uint64_t>(timeout.count()));
    m_electionDeadline = now + timeout + Duration(static_cast<std::int64_t>(jitter));
}

auto Replica::hasLeaderContact(TimePoint now) const -> bool
{
    if (m_role == Role::Leader)
        return newestQuorumRound(now) + m_settings.electionTimeout > now;
    return now < m_lastLeaderContact + m_settings.electionTimeout;
}

auto Replica::isUpToDate(Index lastIndex, Term lastTerm) const -> bool
{
    if (lastTerm != m_log.lastTerm())
        return lastTerm > m_log.lastTerm();
    return lastIndex >= m_log.lastIndex();
}

} // namespace heathergate::consensus
