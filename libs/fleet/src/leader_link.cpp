#include <heathergate/fleet/leader_link.h>

#include <algorithm>

namespace heathergate::fleet {

namespace {

/// Interval of presence to a leader, which answers each one; about three fit into `kLeaderTimeout`.
constexpr Duration kPresenceInterval = std::chrono::milliseconds(300);
/// Time without an answer after which the leader counts as lost.
constexpr Duration kLeaderTimeout = std::chrono::milliseconds(1000);
/// Time within which a control instance has to answer before another one is contacted.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(300);
/// Delay before the instance named in a redirect is contacted.
constexpr Duration kRedirectDelay = std::chrono::milliseconds(20);
/// Delay before another control instance is contacted when no leader is known.
constexpr Duration kRetryDelay = std::chrono::milliseconds(80);

} // namespace

auto instanceIds(const std::vector<std::string> &texts) -> std::vector<InstanceId>
{
    return {texts.begin(), texts.end()};
}

LeaderLink::LeaderLink(std::vector<InstanceId> seeds, std::size_t firstCandidate, TimePoint now)
    : m_candidates(seeds.begin(), seeds.end())
    , m_nextCandidate(firstCandidate)
    , m_lastAnswer(now - kStalenessTimeout)
    , m_nextPresence(now)
{
}

auto LeaderLink::target(TimePoint now) -> std::optional<InstanceId>
{
    const auto overdue = !m_contacted || now - m_contactedAt > kAnswerTimeout;
    if (!m_leader && overdue && !m_candidates.empty()) {
        auto next = m_candidates.begin();
        std::advance(next, static_cast<std::ptrdiff_t>(m_nextCandidate++ % m_candidates.size()));
        m_contacted = *next;
        m_contactedAt = now;
    }
    return m_contacted;
}

auto LeaderLink::presenceSent(TimePoint now) -> void
{
    m_nextPresence = now + (m_leader ? kPresenceInterval : kAnswerTimeout);
}

auto LeaderLink::answered(TimePoint now, const InstanceId &from, std::uint64_t term)
    -> std::optional<bool>
{
    if (term < m_term)
        return std::nullopt;
    m_lastAnswer = now;
    const auto isNew = m_leader != from || m_term != term;
    m_leader = from;
    m_contacted = from;
    m_term = term;
    return isNew;
}

auto LeaderLink::redirected(TimePoint now, const InstanceId &from, const std::string &leader)
    -> bool
{
    if (m_contacted != from)
        return false;
    const auto lost = m_leader == from;
    m_leader.reset();
    m_contacted.reset();
    if (!leader.empty()) {
        m_contacted = InstanceId(leader);
        m_candidates.insert(*m_contacted);
        m_contactedAt = now;
    }
    m_nextPresence = std::min(m_nextPresence, now + (m_contacted ? kRedirectDelay : kRetryDelay));
    return lost;
}

auto LeaderLink::connectionLost(TimePoint now, const InstanceId &peer) -> bool
{
    if (m_contacted != peer)
        return false;
    const auto lost = m_leader == peer;
    clearLeader(now);
    m_nextPresence = now + (lost ? Duration::zero() : kRetryDelay);
    return lost;
}

auto LeaderLink::expire(TimePoint now) -> bool
{
    if (!m_leader || now - m_lastAnswer <= kLeaderTimeout)
        return false;
    clearLeader(now);
    return true;
}

auto LeaderLink::clearLeader(TimePoint now) -> void
{
    m_leader.reset();
    m_contacted.reset();
    m_nextPresence = now;
}

auto LeaderLink::addCandidates(const std::vector<InstanceId> &controls) -> void
{
    m_candidates.insert(controls.begin(), controls.end());
}

} // namespace heathergate::fleet
