#include <heathergate/fleet/control_node.h>
#include <heathergate/fleet/history_set.h>

/// The replica set of the histories: it follows the members of the consensus group, and a member is
/// removed from the group only when the others have copied its turns.
namespace heathergate::fleet {

namespace {

using telemetry::LogImportance;

/// Bits of a set's version below the term of the leader that announced it.
constexpr int kVersionBits = 20;
/// Time after which an absent voter is removed even if its turns were not copied, because too many
/// disks were lost.
constexpr Duration kMaxCopyTime = std::chrono::seconds(30);

} // namespace

auto ControlNode::setHistoryProgress(HistoryProgress progress) -> void
{
    if (progress == m_historyProgress)
        return;
    m_historyProgress = std::move(progress);
    // The leader removes a voter only once it knows that the others hold its turns.
    m_nextPresence = TimePoint::min();
}

auto ControlNode::committedReplicas() const -> history::ReplicaSet
{
    history::ReplicaSet set;
    set.copies = static_cast<std::size_t>(m_settings.faultTolerance) + 1;
    for (const auto &voter : m_committedGroup.voters) {
        const auto instance = instanceOf(voter);
        const auto member = m_members.find(instance);
        const FailureDomainId domain(member == m_members.end() ? std::string()
                                                               : member->second.presence.domain);
        set.members.push_back({history::ReplicaId(voter.value), instance, domain,
                               !m_state.retiring().contains(instance)});
    }
    return set;
}

auto ControlNode::updateReplicas(TimePoint now) -> void
{
    if (!isLeader(now))
        return;
    auto set = committedReplicas();
    const auto sameDomains = std::equal(
        set.members.begin(), set.members.end(), m_replicas.members.begin(),
        m_replicas.members.end(), [](const auto &left, const auto &right) {
            return left.id == right.id && (left.domain.empty() || left.domain == right.domain);
        });
    if (m_replicas.version != 0 && set.digest() == m_replicas.digest() && sameDomains)
        return;
    set.version = std::max(m_replicas.version + 1, m_replica.term() << kVersionBits);
    m_log.add(now, LogImportance::Important, "histories", "replicas_announced",
              {{"version", set.version},
               {"members", set.members.size()},
               {"copies", set.copies},
               {"term", m_replica.term()}});
    m_replicas = std::move(set);
    pushFeeds(now, Role::Gateway);
    pushFeeds(now, Role::Control);
}

auto ControlNode::historyProgressOf(const consensus::ReplicaId &replica) const -> HistoryProgress
{
    if (replica == m_settings.replica)
        return m_historyProgress;
    const auto member = m_members.find(instanceOf(replica));
    if (member == m_members.end())
        return {};
    const auto &presence = member->second.presence;
    return {presence.historyVersion,
            presence.historyComplete,
            {presence.historySynced.begin(), presence.historySynced.end()}};
}

auto ControlNode::historiesCopied(TimePoint now, const consensus::ReplicaId &leaving) const -> bool
{
    if (now - silentSince(leaving) > kMaxCopyTime)
        return true;
    for (const auto &voter : m_committedGroup.voters) {
        if (voter == leaving || !isServing(now, voter) || shouldLeave(now, voter))
            continue;
        const auto progress = historyProgressOf(voter);
        if (progress.version != m_replicas.version || !progress.isComplete)
            return false;
        const history::ReplicaId source(leaving.value);
        const auto &synced = progress.synced;
        const auto copied = std::find(synced.begin(), synced.end(), source) != synced.end();
        if (!copied && isServing(now, leaving))
            return false;
    }
    return true;
}

} // namespace heathergate::fleet
