#include <heathergate/core/json_text.h>
#include <heathergate/daemon/replica_host.h>

/// Tasks of a host that leads the control group.
namespace heathergate::daemon {

namespace {

/// Time since a follower's last request after which changes are no longer pushed to it.
constexpr Duration kFollowerTimeout = std::chrono::seconds(3);
constexpr Duration kOrderRetryInterval = std::chrono::seconds(2);
/// A follower that lacks more entries than this receives the complete control state instead.
constexpr std::size_t kMaxEntriesPerFeed = 2'000;
/// Maximum number of upstream loads, and of loads of other instances, in a feed message.
constexpr std::size_t kMaxLoadsPerFeed = 32;

} // namespace

auto ReplicaHost::handle(TimePoint now, const InstanceId &from, const wire::Follow &follow) -> void
{
    auto &group = m_groups.at(kControlGroup);
    if (!group.replica.canServeReads(now)) {
        reply(from,
              {0,
               Error{Code::NotLeader, "this replica does not lead the control group", Ran::No, {}},
               leaderHint(group),
               {}});
        return;
    }
    auto &follower = m_followers[from];
    follower.revision = follow.revision;
    follower.sentRevision = follow.revision;
    follower.lastSeen = now;
    follower.load = follow.load;
    for (const auto &renewal : follow.upstreams)
        m_upstreams[renewal.id] = UpstreamState{renewal.incarnation, now, renewal.requests};
    feedFollower(from, follower, follow.requestedAt);
}

auto ReplicaHost::feedFollower(const InstanceId &id, Follower &follower, std::int64_t requestedAt)
    -> void
{
    wire::FeedMessage message;
    message.feed.requestedAt = requestedAt;
    message.feed.leaderRevision = m_control.revision();
    const auto next = follower.sentRevision + 1;
    const auto isRetained = !m_feed.empty() && m_feed.front().revision <= next
                            && m_control.revision() - follower.sentRevision <= kMaxEntriesPerFeed;
    if (follower.sentRevision < m_control.revision() && !isRetained) {
        message.feed.state = encode(m_control);
    } else if (follower.sentRevision < m_control.revision()) {
        const auto skip = static_cast<std::ptrdiff_t>(next - m_feed.front().revision);
        message.feed.entries.assign(m_feed.begin() + skip, m_feed.end());
    }
    follower.sentRevision = std::max(follower.sentRevision, m_control.revision());
    if (requestedAt != 0)
        addLoads(id, follower, message);
    m_output.messages.emplace_back(id, std::move(message));
}

auto ReplicaHost::addLoads(const InstanceId &id, Follower &follower,
                           wire::FeedMessage &message) const -> void
{
    // Upstreams are included in rotation, so that the size of a feed is bounded.
    auto next = m_upstreams.upper_bound(follower.lastLoadSent);
    const auto count = std::min(kMaxLoadsPerFeed, m_upstreams.size());
    for (std::size_t i = 0; i < count; ++i, ++next) {
        if (next == m_upstreams.end())
            next = m_upstreams.begin();
        message.upstreams.push_back({next->first, next->second.incarnation, next->second.requests});
        follower.lastLoadSent = next->first;
    }
    for (const auto &[instance, other] : m_followers) {
        message.totalLoad += other.load;
        if (instance != id)
            message.instances.push_back({instance, other.load});
    }
    const auto kept = std::min(kMaxLoadsPerFeed, message.instances.size());
    std::partial_sort(message.instances.begin(),
                      message.instances.begin() + static_cast<std::ptrdiff_t>(kept),
                      message.instances.end(),
                      [](const auto &left, const auto &right) { return left.load < right.load; });
    message.instances.resize(kept);
    message.instances.push_back({id, follower.load});
}

auto ReplicaHost::pushToFollowers(TimePoint now) -> void
{
    if (!m_groups.at(kControlGroup).replica.canServeReads(now))
        return;
    for (auto &[id, follower] : m_followers) {
        if (now - follower.lastSeen < kFollowerTimeout
            && follower.sentRevision < m_control.revision())
            feedFollower(id, follower, 0);
    }
}

auto ReplicaHost::detectFailures(TimePoint now) -> void
{
    // A new leader has received no reports yet, so the timeouts start at its election.
    for (const auto &[id, record] : m_control.instances()) {
        const auto known = m_followers.find(id);
        const auto seen = known == m_followers.end() ? TimePoint{} : known->second.lastSeen;
        const auto unresponsiveSince = std::max(seen, m_controlLeaderSince);
        if (!record.failed && now - unresponsiveSince > m_settings.instanceTimeout)
            proposeControl(now, control::RemoveInstance{id, record.incarnation, true});
    }
    for (const auto &[id, record] : m_control.upstreams()) {
        const auto known = m_upstreams.find(id);
        const auto current =
            known != m_upstreams.end() && known->second.incarnation == record.incarnation;
        if (!current) {
            m_upstreams[id] = UpstreamState{record.incarnation, now, 0};
            continue;
        }
        const auto unresponsiveSince = std::max(known->second.renewedAt, m_controlLeaderSince);
        if (now - unresponsiveSince > m_settings.upstreamTimeout)
            proposeControl(now, control::RemoveUpstream{id, record.incarnation});
    }
    std::erase_if(m_upstreams,
                  [this](const auto &item) { return !m_control.upstreams().contains(item.first); });
    std::erase_if(m_followers, [&](const auto &item) {
        const auto record = m_control.instances().find(item.first);
        return record == m_control.instances().end()
               && now - item.second.lastSeen > m_settings.instanceTimeout;
    });
}

auto ReplicaHost::sendOrders(TimePoint now) -> void
{
    const auto fencing = m_groups.at(kControlGroup).replica.term();
    for (const auto &[number, order] : m_control.orders()) {
        if (order.state != control::OrderState::Pending)
            continue;
        const auto target = m_control.upstreams().find(order.upstream);
        if (target == m_control.upstreams().end()) {
            proposeControl(now, control::ResolveOrder{number, control::OrderState::Withdrawn});
            continue;
        }
        auto &sent = m_ordersSent[number];
        if (sent != TimePoint{} && now - sent < kOrderRetryInterval)
            continue;
        sent = now;
        const nlohmann::json body{{"fencing", fencing},
                                  {"order", number},
                                  {"action", order.action},
                                  {"argument", order.argument}};
        m_output.orders.push_back(
            {order.upstream, target->second.offer.address, "/orders", jsonText(body), number});
    }
}

auto ReplicaHost::orderDone(TimePoint now, const UpstreamOrder &order, bool acknowledged) -> void
{
    if (const auto *number = std::get_if<std::uint64_t>(&order.subject)) {
        m_ordersSent.erase(*number);
        if (acknowledged)
            proposeControl(now, control::ResolveOrder{*number, control::OrderState::Acknowledged});
        else
            m_ordersSent[*number] = now;
        return;
    }
    const auto &release = std::get<programs::PendingRelease>(order.subject);
    for (auto &[id, group] : m_groups) {
        if (acknowledged && group.ledger.pendingReleases().contains(release))
            proposeProgram(now, group,
                           programs::MemoryReleased{release.key, release.holder.upstream,
                                                    release.holder.incarnation});
    }
}

auto ReplicaHost::proposeControl(TimePoint now, const control::ControlCommand &command) -> void
{
    // If the proposal fails, the next maintenance of the leader repeats it.
    static_cast<void>(m_groups.at(kControlGroup).replica.propose(now, encodeVariant(command)));
}

} // namespace heathergate::daemon
