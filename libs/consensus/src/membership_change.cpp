#include <heathergate/consensus/replica.h>

namespace heathergate::consensus {

auto Replica::addLearner(TimePoint now, const ReplicaId &id) -> Result<Index>
{
    if (m_configuration.isVoter(id) || m_configuration.isLearner(id))
        return fail(Code::AlreadyExists, id.value + " is a member");
    auto next = m_configuration;
    next.learners.push_back(id);
    return proposeConfiguration(now, std::move(next));
}

auto Replica::promote(TimePoint now, const ReplicaId &id) -> Result<Index>
{
    if (m_configuration.isVoter(id))
        return fail(Code::AlreadyExists, id.value + " is a voter");
    const auto member = m_progress.find(id);
    if (!m_configuration.isLearner(id) || member == m_progress.end())
        return fail(Code::BadRequest, id.value + " is not a learner");
    // A voter that lacks committed entries would count towards a quorum without storing them.
    if (member->second.match < m_commitIndex)
        return fail(Code::OutOfOrder, id.value + " has not caught up");
    auto next = m_configuration;
    std::erase(next.learners, id);
    next.voters.push_back(id);
    return proposeConfiguration(now, std::move(next));
}

auto Replica::removeMember(TimePoint now, const ReplicaId &id) -> Result<Index>
{
    auto next = m_configuration;
    std::erase(next.learners, id);
    std::erase(next.voters, id);
    if (next == m_configuration)
        return fail(Code::BadRequest, id.value + " is not a member");
    if (next.voters.empty())
        return fail(Code::BadRequest, "the last voter cannot be removed");
    return proposeConfiguration(now, std::move(next));
}

auto Replica::proposeConfiguration(TimePoint now, Configuration next) -> Result<Index>
{
    if (auto allowed = checkMembershipChange(); !allowed)
        return tl::unexpected(allowed.error());
    const auto index = appendLocal(now, EntryKind::Configuration, encode(next));
    applyConfiguration(index, std::move(next));
    syncProgressWithMembers();
    return index;
}

auto Replica::checkMembershipChange() const -> Result<void>
{
    if (m_role != Role::Leader || m_transferDeadline)
        return fail(Code::NotLeader, "this replica does not lead the group");
    if (!termCommitted())
        return fail(Code::OutOfOrder, "the leader has not committed in its term yet");
    if (!m_configurations.empty() && m_configurations.back().index > m_commitIndex)
        return fail(Code::OutOfOrder, "another change of members is not committed yet");
    return {};
}

auto Replica::applyConfiguration(Index index, Configuration configuration) -> void
{
    m_configuration = configuration;
    m_configurations.push_back({index, std::move(configuration)});
    if (m_role == Role::Leader)
        syncProgressWithMembers();
}

auto Replica::truncateConfigurationsFrom(Index index) -> void
{
    while (m_configurations.size() > 1 && m_configurations.back().index >= index)
        m_configurations.pop_back();
    m_configuration = m_configurations.back().configuration;
}

auto Replica::syncProgressWithMembers() -> void
{
    const auto isMember = [this](const ReplicaId &id) {
        return m_configuration.isVoter(id) || m_configuration.isLearner(id);
    };
    std::erase_if(m_progress, [&](const auto &item) { return !isMember(item.first); });
    const auto add = [this](const ReplicaId &id) {
        if (id == m_self || m_progress.contains(id))
            return;
        internal::Progress progress;
        progress.next = m_log.lastIndex() + 1;
        m_progress.emplace(id, progress);
    };
    std::for_each(m_configuration.voters.begin(), m_configuration.voters.end(), add);
    std::for_each(m_configuration.learners.begin(), m_configuration.learners.end(), add);
}

auto Replica::configurationAt(Index index) const -> Configuration
{
    auto found = m_configurations.front().configuration;
    for (const auto &item : m_configurations) {
        if (item.index <= index)
            found = item.configuration;
    }
    return found;
}

} // namespace heathergate::consensus
