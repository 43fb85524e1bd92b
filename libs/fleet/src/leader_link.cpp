#include <heathergate/fleet/leader_link.h>

#include <algorithm>

namespace heathergate::fleet {

namespace {

constexpr Duration kPresenceInterval = std::chrono::milliseconds(300);
/// Silence after which the leader counts as lost.
constexpr Duration kLeaderSilence = std::chrono::milliseconds(1000);
/// Time that a control instance may take to answer.
constexpr Duration kAnswerWait = std::chrono::milliseconds(300);
/// Pause before the instance that was named as leader is asked.
constexpr Duration kRedirectPause = std::chrono::milliseconds(20);
/// Pause before another control instance is asked.
constexpr Duration kNoLeaderPause = std::chrono::milliseconds(80);

} // namespace

auto instanceIds(const std::vector<std::string> &texts) -> std::vector<InstanceId>
{
    return {texts.begin(), texts.end()};
}

LeaderLink::LeaderLink(std::vector<InstanceId> seeds, std::size_t firstAsked, TimePoint now)
    : m_controls(seeds.begin(), seeds.end())
    , m_nextControl(firstAsked)
    , m_lastAnswer(now - kFreshness)
    , m_nextPresence(now)
{
}

auto LeaderLink::target(TimePoint now) -> std::optional<InstanceId>
{
    const auto overdue = !m_asked || now - m_askedSince > kAnswerWait;
    if (!m_leader && overdue && !m_controls.empty()) {
        auto next = m_controls.begin();
        std::advance(next, static_cast<std::ptrdiff_t>(m_nextControl++ % m_controls.size()));
        m_asked = *next;
        m_askedSince = now;
    }
    return m_asked;
}

auto LeaderLink::presenceSent(TimePoint now) -> void
{
    m_nextPresence = now + (m_leader ? kPresenceInterval : kAnswerWait);
}

auto LeaderLink::answered(TimePoint now, const InstanceId &from, std::uint64_t term)
    -> std::optional<bool>
{
    if (term < m_term)
        return std::nullopt;
    m_lastAnswer = now;
    const auto isNew = m_leader != from || m_term != term;
    m_leader = from;
    m_asked = from;
    m_term = term;
    return isNew;
}

auto LeaderLink::redirected(TimePoint now, const InstanceId &from, const std::string &leader)
    -> bool
{
    if (m_asked != from)
        return false;
    const auto lost = m_leader == from;
    m_leader.reset();
    m_asked.reset();
    if (!leader.empty()) {
        m_asked = InstanceId(leader);
        m_controls.insert(*m_asked);
        m_askedSince = now;
    }
    m_nextPresence = std::min(m_nextPresence, now + (m_asked ? kRedirectPause : kNoLeaderPause));
    return lost;
}

auto LeaderLink::connectionLost(TimePoint now, const InstanceId &peer) -> bool
{
    if (m_asked != peer)
        return false;
    const auto lost = m_leader == peer;
    forgetLeader(now);
    m_nextPresence = now + (lost ? Duration::zero() : kNoLeaderPause);
    return lost;
}

auto LeaderLink::expire(TimePoint now) -> bool
{
    if (!m_leader || now - m_lastAnswer <= kLeaderSilence)
        return false;
    forgetLeader(now);
    return true;
}

auto LeaderLink::forgetLeader(TimePoint now) -> void
{
    m_leader.reset();
    m_asked.reset();
    m_nextPresence = now;
}

auto LeaderLink::learn(const std::vector<InstanceId> &controls) -> void
{
    m_controls.insert(controls.begin(), controls.end());
}

} // namespace heathergate::fleet
