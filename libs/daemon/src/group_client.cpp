#include <heathergate/daemon/group_client.h>

namespace heathergate::daemon {

namespace {

/// Time without a reply after which a request is sent again, to the next host if the leader is
/// unchanged.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(600);
/// Delay before a request is sent again after a replica that does not know the leader refused it.
constexpr Duration kNoLeaderRetryDelay = std::chrono::milliseconds(50);

} // namespace

auto GroupClient::call(TimePoint now, GroupId group, wire::RequestKind kind, std::string body,
                       TimePoint deadline, Callback callback) -> void
{
    const auto id = ++m_lastId;
    auto &pending = m_pending[id];
    pending.request = wire::Request{id, group, kind, std::move(body)};
    pending.deadline = deadline;
    pending.callback = std::move(callback);
    send(now, pending);
}

auto GroupClient::receive(TimePoint now, const InstanceId &from, const wire::Reply &reply) -> void
{
    const auto found = m_pending.find(reply.id);
    if (found == m_pending.end())
        return;
    auto &pending = found->second;
    const auto group = pending.request.group;
    if (reply.error && reply.error->code == Code::NotLeader) {
        if (pending.sentTo != from)
            return;
        const auto hinted = !reply.leader.empty() && reply.leader != from;
        if (hinted)
            m_leaders[group] = reply.leader;
        else if (m_leaders[group] == from)
            suspectLeader(group);
        pending.awaitsReply = false;
        pending.retryAt = now + (hinted ? Duration(1000) : kNoLeaderRetryDelay);
        return;
    }
    m_leaders[group] = from;
    const auto callback = std::move(pending.callback);
    m_pending.erase(found);
    if (reply.error)
        callback(now, tl::unexpected(*reply.error));
    else
        callback(now, reply.body);
}

auto GroupClient::tick(TimePoint now) -> void
{
    std::vector<std::uint64_t> due;
    for (const auto &[id, pending] : m_pending) {
        if (now >= std::min(pending.retryAt, pending.deadline))
            due.push_back(id);
    }
    for (const auto id : due) {
        const auto found = m_pending.find(id);
        if (found == m_pending.end())
            continue;
        auto &pending = found->second;
        if (now >= pending.deadline) {
            const auto callback = std::move(pending.callback);
            const auto group = pending.request.group;
            m_pending.erase(found);
            callback(now, fail(Code::NoQuorum,
                               "group " + std::to_string(group) + " did not answer in time",
                               Ran::No, std::chrono::seconds(1)));
            continue;
        }
        if (pending.awaitsReply && m_leaders[pending.request.group] == pending.sentTo)
            suspectLeader(pending.request.group);
        send(now, pending);
    }
}

auto GroupClient::leaderOf(GroupId group) -> InstanceId
{
    auto &leader = m_leaders[group];
    if (leader.empty() && !m_hosts.empty())
        leader = m_hosts[m_random.below(m_hosts.size())];
    return leader;
}

auto GroupClient::suspectLeader(GroupId group) -> void
{
    if (m_hosts.empty())
        return;
    const auto current = std::find(m_hosts.begin(), m_hosts.end(), m_leaders[group]);
    if (current == m_hosts.end() || std::next(current) == m_hosts.end())
        m_leaders[group] = m_hosts.front();
    else
        m_leaders[group] = *std::next(current);
}

auto GroupClient::setLeader(GroupId group, const InstanceId &leader) -> void
{
    m_leaders[group] = leader;
}

auto GroupClient::nextDeadline() const -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto &[id, pending] : m_pending)
        next = std::min(next, std::min(pending.retryAt, pending.deadline));
    return next;
}

auto GroupClient::send(TimePoint now, Pending &pending) -> void
{
    pending.sentTo = leaderOf(pending.request.group);
    pending.awaitsReply = true;
    pending.retryAt = now + kReplyTimeout;
    m_messages.emplace_back(pending.sentTo, pending.request);
}

} // namespace heathergate::daemon
