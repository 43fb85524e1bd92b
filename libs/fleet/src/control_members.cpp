#include <heathergate/fleet/control_node.h>
#include <heathergate/fleet/history_set.h>

/// Membership: presence of instances, feeds, and the members of the consensus group.
namespace heathergate::fleet {

namespace {

using telemetry::LogImportance;

constexpr Duration kPresenceInterval = std::chrono::milliseconds(400);
/// Time without a feed after which the presumed leader is discarded.
constexpr Duration kLeaderTimeout = std::chrono::milliseconds(1000);
/// Time without presence after which a gateway is left out of the directory.
constexpr Duration kGatewayTimeout = std::chrono::milliseconds(900);
/// Time without presence after which an instance and its admissions are removed.
constexpr Duration kMemberTimeout = std::chrono::milliseconds(2500);
/// Time without presence after which a voter may be replaced by another instance.
constexpr Duration kVoterTimeout = std::chrono::milliseconds(2000);
/// Time between the steps of a change of the group's members.
constexpr Duration kGroupStepInterval = std::chrono::milliseconds(50);

/// Delay over which changes of the gateways are batched before they are sent to the directory.
constexpr Duration kDirectoryDelay = std::chrono::milliseconds(40);

auto isRole(const fb::PresenceT &presence, Role role) -> bool
{
    return presence.role == static_cast<std::uint8_t>(role);
}

} // namespace

auto ControlNode::handle(TimePoint now, const InstanceId &from, fb::PresenceT &message) -> void
{
    if (isRole(message, Role::Control))
        m_controls.insert(from);
    if (!isLeader(now))
        return redirect(from);
    auto &member = m_members[from];
    const auto isNew = member.presence.boot != message.boot;
    const auto hasChanged =
        member.presence.ready != message.ready || member.presence.leaving != message.leaving;
    if (isNew && member.presence.boot != 0)
        m_dispatcher.dropGateway(now, from);
    const auto hasReconnected = std::exchange(member.isUnreachable, false);
    if (isNew || hasChanged)
        m_log.add(now, LogImportance::Important, "members", isNew ? "joined" : "changed",
                  {{"instance", from.value},
                   {"role", static_cast<int>(message.role)},
                   {"ready", message.ready ? 1 : 0},
                   {"leaving", message.leaving ? 1 : 0},
                   {"replica", message.replica}});
    member.presence = std::move(message);
    member.seenAt = now;
    if (isRole(member.presence, Role::Gateway))
        m_configurationSender.reported(from, member.presence.configurationVersion);
    if (isRole(member.presence, Role::Control))
        controlReported(now, member.presence, isNew || hasChanged);
    sendFeed(now, from);
    // Many instances may change at the same time; the directory receives all changes in one feed.
    if (hasChanged || isNew || hasReconnected)
        m_directoryPushAt = std::min(m_directoryPushAt, now + kDirectoryDelay);
}

auto ControlNode::controlReported(TimePoint now, const fb::PresenceT &presence, bool hasChanged)
    -> void
{
    m_replicaSeenAt[consensus::ReplicaId(presence.replica)] = now;
    if (hasChanged)
        m_nextMaintenance = now;
}

auto ControlNode::handle(TimePoint now, const InstanceId &from, fb::FeedT &message) -> void
{
    m_presumedLeader = from;
    m_feedLeader = from;
    m_lastFeedAt = now;
    m_knownGateways.clear();
    for (auto &gateway : message.gateways)
        m_knownGateways.push_back(std::move(*gateway));
    const auto controls = instanceIds(message.controls);
    m_runningControls = {controls.begin(), controls.end()};
    addControls(controls);
    if (message.histories && message.histories->version > m_replicas.version)
        m_replicas = replicaSetOf(*message.histories);
}

auto ControlNode::handle(TimePoint now, const InstanceId &from, fb::RedirectT &message) -> void
{
    addControls(instanceIds(message.controls));
    if (m_presumedLeader != from)
        return;
    m_presumedLeader.reset();
    m_feedLeader.reset();
    if (!message.leader.empty() && message.leader != m_settings.self.value)
        m_presumedLeader = InstanceId(message.leader);
    constexpr Duration kRedirectDelay = std::chrono::milliseconds(60);
    m_nextPresence = std::min(m_nextPresence, now + kRedirectDelay);
}

auto ControlNode::sendPresence(TimePoint now) -> void
{
    m_nextPresence = now + kPresenceInterval;
    fb::PresenceT presence;
    presence.boot = m_settings.boot;
    presence.role = static_cast<std::uint8_t>(Role::Control);
    presence.name = m_settings.name;
    presence.domain = m_settings.domain.value;
    presence.address = m_settings.controlAddress;
    presence.ready = !m_leaving;
    presence.leaving = m_leaving;
    presence.replica = m_settings.replica.value;
    presence.configurationVersion = m_state.configuration().version();
    presence.historyVersion = m_historyProgress.version;
    presence.historyComplete = m_historyProgress.isComplete;
    for (const auto &member : m_historyProgress.synced)
        presence.historySynced.push_back(member.value);
    if (isLeader(now)) {
        auto &own = m_members[m_settings.self];
        own.presence = std::move(presence);
        own.seenAt = now;
        return;
    }
    if (const auto leader = leaderInstance(); leader && *leader != m_settings.self)
        m_presumedLeader = leader;
    else if (now - m_lastFeedAt > kLeaderTimeout)
        m_presumedLeader.reset();
    if (now - m_lastFeedAt > kLeaderTimeout)
        m_feedLeader.reset();
    if (!m_presumedLeader && !m_controls.empty()) {
        auto next = m_controls.begin();
        std::advance(next, static_cast<std::ptrdiff_t>(m_nextControl++ % m_controls.size()));
        m_presumedLeader = *next;
    }
    if (m_presumedLeader)
        m_output.messages.push_back({*m_presumedLeader, PeerFrame(Message(std::move(presence)))});
}

auto ControlNode::sendFeed(TimePoint now, const InstanceId &to) -> void
{
    const auto member = m_members.find(to);
    if (member == m_members.end() || to == m_settings.self)
        return;
    const auto &presence = member->second.presence;
    fb::FeedT feed;
    feed.term = m_replica.term();
    feed.configurationVersion = m_state.configuration().version();
    if (isRole(presence, Role::Control)) {
        for (auto &gateway : gatewayList(now))
            feed.gateways.push_back(std::make_unique<fb::GatewayAddressT>(std::move(gateway)));
    }
    feed.controls = controlList();
    // Repeated with each answer until the presence reports this version.
    if (presence.historyVersion < m_replicas.version)
        feed.histories = toTable(m_replicas);
    m_output.messages.push_back({to, PeerFrame(Message(std::move(feed)))});
}

auto ControlNode::peerLost(TimePoint now, const InstanceId &peer) -> void
{
    const auto member = m_members.find(peer);
    if (!isLeader(now) || member == m_members.end()
        || !isRole(member->second.presence, Role::Gateway)
        || std::exchange(member->second.isUnreachable, true))
        return;
    m_log.add(now, LogImportance::Important, "members", "connection_lost",
              {{"instance", peer.value}, {"silent_ms", now - member->second.seenAt}});
    m_directoryPushAt = std::min(m_directoryPushAt, now + kDirectoryDelay);
}

auto ControlNode::announceLeadership() -> void
{
    for (const auto &gateway : m_knownGateways) {
        const auto endpoint = parseEndpoint(gateway.address);
        if (!endpoint)
            continue;
        fb::FeedT feed;
        feed.term = m_replica.term();
        feed.configurationVersion = m_state.configuration().version();
        feed.controls = controlList();
        m_output.messages.push_back(
            {InstanceId(endpoint->host), PeerFrame(Message(std::move(feed)))});
    }
}

auto ControlNode::pushFeeds(TimePoint now, Role role) -> void
{
    if (!isLeader(now))
        return;
    for (const auto &[id, member] : m_members) {
        if (isRole(member.presence, role))
            sendFeed(now, id);
    }
}

auto ControlNode::sendConfiguration(TimePoint now) -> void
{
    const auto source = [this](std::uint64_t base) {
        return compress(encodeChange(m_state.changeSince(base)));
    };
    for (auto &piece : m_configurationSender.takePieces(now, source)) {
        m_metrics.count("heathergate_configuration_bytes_sent_total", {},
                        static_cast<double>(piece.message.bytes.size()));
        piece.message.term = m_replica.term();
        m_output.messages.push_back({piece.to, PeerFrame(Message(std::move(piece.message)))});
    }
}

auto ControlNode::handle(TimePoint now, const InstanceId &from, fb::ConfigurationProgressT &message)
    -> void
{
    if (isLeader(now))
        m_configurationSender.confirmed(from, message);
}

auto ControlNode::redirect(const InstanceId &to) -> void
{
    fb::RedirectT message;
    if (const auto leader = leaderInstance(); leader && *leader != m_settings.self)
        message.leader = leader->value;
    message.controls = controlList();
    m_output.messages.push_back({to, PeerFrame(Message(std::move(message)))});
}

auto ControlNode::leaderInstance() const -> std::optional<InstanceId>
{
    const auto &leader = m_replica.leader();
    return leader ? std::optional(instanceOf(*leader)) : std::nullopt;
}

auto ControlNode::controlList() const -> std::vector<std::string>
{
    std::set<std::string> names{m_settings.self.value};
    for (const auto &voter : m_replica.configuration().voters)
        names.insert(instanceOf(voter).value);
    for (const auto &[id, member] : m_members) {
        if (isRole(member.presence, Role::Control))
            names.insert(id.value);
    }
    return {names.begin(), names.end()};
}

auto ControlNode::addControls(const std::vector<InstanceId> &controls) -> void
{
    m_controls.insert(controls.begin(), controls.end());
    m_controls.erase(m_settings.self);
}

auto ControlNode::gatewayList(TimePoint now) const -> std::vector<fb::GatewayAddressT>
{
    std::vector<fb::GatewayAddressT> gateways;
    for (const auto &[id, member] : m_members) {
        const auto &presence = member.presence;
        if (!isRole(presence, Role::Gateway) || !presence.ready || presence.leaving
            || member.isUnreachable || now - member.seenAt > kGatewayTimeout)
            continue;
        fb::GatewayAddressT gateway;
        gateway.address = presence.address;
        gateway.domain = presence.domain;
        gateways.push_back(std::move(gateway));
    }
    return gateways;
}

auto ControlNode::directory(TimePoint now) const -> std::vector<fb::GatewayAddressT>
{
    return isLeader(now) ? gatewayList(now) : m_knownGateways;
}

auto ControlNode::expireMembers(TimePoint now) -> void
{
    std::vector<InstanceId> lost;
    for (const auto &[id, member] : m_members) {
        if (id != m_settings.self && now - member.seenAt > kMemberTimeout)
            lost.push_back(id);
    }
    for (const auto &id : lost) {
        m_log.add(now, LogImportance::Important, "members", "lost",
                  {{"instance", id.value}, {"silent_ms", now - m_members[id].seenAt}});
        if (isRole(m_members[id].presence, Role::Gateway)) {
            m_dispatcher.dropGateway(now, id);
            std::erase_if(m_admissions,
                          [&](const auto &item) { return item.second.gateway == id; });
            m_configurationSender.remove(id);
        }
        m_members.erase(id);
    }
}

auto ControlNode::isServing(TimePoint now, const consensus::ReplicaId &replica) const -> bool
{
    if (replica == m_settings.replica)
        return !m_leaving;
    const auto member = m_members.find(instanceOf(replica));
    return member != m_members.end() && member->second.presence.replica == replica.value
           && !member->second.presence.leaving && now - member->second.seenAt < kMemberTimeout;
}

/// Returns whether the replica's instance now runs with another disk.
auto ControlNode::isSuperseded(const consensus::ReplicaId &replica) const -> bool
{
    const auto member = m_members.find(instanceOf(replica));
    return member != m_members.end() && !member->second.presence.replica.empty()
           && member->second.presence.replica != replica.value;
}

auto ControlNode::isLeaving(const consensus::ReplicaId &replica) const -> bool
{
    if (replica == m_settings.replica)
        return m_leaving;
    const auto member = m_members.find(instanceOf(replica));
    return member != m_members.end() && member->second.presence.replica == replica.value
           && member->second.presence.leaving;
}

auto ControlNode::silentSince(const consensus::ReplicaId &replica) const -> TimePoint
{
    const auto seen = m_replicaSeenAt.find(replica);
    return seen == m_replicaSeenAt.end() ? m_leaderSince : seen->second;
}

auto ControlNode::shouldLeave(TimePoint now, const consensus::ReplicaId &replica) const -> bool
{
    if (m_state.retiring().contains(instanceOf(replica)) || isSuperseded(replica)
        || isLeaving(replica))
        return true;
    return replica != m_settings.replica && now - silentSince(replica) > kVoterTimeout;
}

auto ControlNode::isReplaced() const -> bool
{
    if (!m_awaitsReplacement)
        return true;
    const auto &members = m_replicas.members;
    return std::none_of(members.begin(), members.end(), [this](const auto &member) {
        return member.id.value == m_settings.replica.value;
    });
}

/// Returns whether an instance runs that hosts no member of the group.
auto ControlNode::hasSpare(TimePoint now) const -> bool
{
    if (isLeader(now))
        return candidate(now).has_value();
    return std::any_of(m_runningControls.begin(), m_runningControls.end(), [this](const auto &id) {
        return std::none_of(m_replicas.members.begin(), m_replicas.members.end(),
                            [&](const auto &member) { return member.instance == id; });
    });
}

auto ControlNode::candidate(TimePoint now) const -> std::optional<consensus::ReplicaId>
{
    const auto &group = m_replica.configuration();
    std::optional<consensus::ReplicaId> chosen;
    std::size_t fewest = 0;
    for (const auto &[id, member] : m_members) {
        const consensus::ReplicaId replica(member.presence.replica);
        if (replica.empty() || group.isVoter(replica) || group.isLearner(replica)
            || m_state.retiring().contains(id) || !isServing(now, replica))
            continue;
        const auto voters = votersIn(now, member.presence.domain);
        if (chosen && voters >= fewest)
            continue;
        chosen = replica;
        fewest = voters;
    }
    return chosen;
}

/// Returns how many voters that stay in the group are in a failure domain.
auto ControlNode::votersIn(TimePoint now, const std::string &domain) const -> std::size_t
{
    const auto &voters = m_replica.configuration().voters;
    return static_cast<std::size_t>(
        std::count_if(voters.begin(), voters.end(), [&](const auto &voter) {
            const auto member = m_members.find(instanceOf(voter));
            return member != m_members.end() && member->second.presence.domain == domain
                   && !shouldLeave(now, voter);
        }));
}

auto ControlNode::logGroupChange(TimePoint now, std::string_view event,
                                 const consensus::ReplicaId &replica,
                                 const Result<consensus::Index> &result) -> bool
{
    if (result)
        m_log.add(now, LogImportance::Important, "group", event,
                  {{"replica", replica.value},
                   {"term", m_replica.term()},
                   {"voters", m_replica.configuration().voters.size()}});
    return result.has_value();
}

auto ControlNode::reportPaces(TimePoint now) -> void
{
    const auto counts = m_dispatcher.paceCounts(now);
    m_metrics.set("heathergate_upstreams_cold", {}, static_cast<double>(counts.cold));
    m_metrics.set("heathergate_upstreams_maybe_cold", {}, static_cast<double>(counts.mayBeCold));
    m_metrics.set("heathergate_upstreams_paced", {}, static_cast<double>(counts.paced));
}

/// Reports whether the group has the voters that the fault tolerance needs, each time this changes.
/// A smaller group serves, but the loss of fewer disks, or a partition, stops it.
auto ControlNode::reportGroupSize(TimePoint now) -> void
{
    const auto &voters = m_replica.configuration().voters;
    const auto serving = static_cast<std::size_t>(std::count_if(
        voters.begin(), voters.end(), [&](const auto &voter) { return isServing(now, voter); }));
    m_metrics.set("heathergate_group_voters", {}, static_cast<double>(voters.size()));
    m_metrics.set("heathergate_group_voters_serving", {}, static_cast<double>(serving));
    m_metrics.set("heathergate_group_voters_required", {}, static_cast<double>(requiredVoters()));
    // A new leader has not heard from all instances yet.
    if (now - m_leaderSince < kMemberTimeout)
        return;
    const auto isTooSmall = voters.size() < requiredVoters();
    if (std::exchange(m_groupIsTooSmall, isTooSmall) == isTooSmall)
        return;
    m_log.add(now, LogImportance::Important, "group", isTooSmall ? "too_small" : "large_enough",
              {{"voters", voters.size()},
               {"serving", serving},
               {"required", requiredVoters()},
               {"fault_tolerance", m_settings.faultTolerance},
               {"term", m_replica.term()}});
}

/// Makes at most one change of the group's members. A voter is replaced only by a learner that has
/// caught up, and is removed only when the other serving voters form a majority without it.
auto ControlNode::maintainGroup(TimePoint now) -> void
{
    reportGroupSize(now);
    const auto group = m_replica.configuration();
    if (!group.learners.empty())
        m_nextMaintenance = now + kGroupStepInterval;
    for (const auto &learner : group.learners) {
        if (isServing(now, learner)) {
            logGroupChange(now, "promoted", learner, m_replica.promote(now, learner));
            return;
        }
        if (isSuperseded(learner) || !m_members.contains(instanceOf(learner))) {
            logGroupChange(now, "learner_removed", learner, m_replica.removeMember(now, learner));
            return;
        }
    }
    const auto leaving = std::find_if(group.voters.begin(), group.voters.end(),
                                      [&](const auto &voter) { return shouldLeave(now, voter); });
    if (group.voters.size() > requiredVoters()) {
        if (leaving != group.voters.end())
            removeVoter(now, *leaving);
        return;
    }
    if (group.voters.size() == requiredVoters() && leaving == group.voters.end())
        return;
    if (const auto next = candidate(now)) {
        m_nextMaintenance = now + kGroupStepInterval;
        logGroupChange(now, "learner_added", *next, m_replica.addLearner(now, *next));
    }
}

auto ControlNode::removeVoter(TimePoint now, const consensus::ReplicaId &leaving) -> void
{
    const auto &voters = m_replica.configuration().voters;
    m_nextMaintenance = now + kGroupStepInterval;
    const auto serving = static_cast<std::size_t>(
        std::count_if(voters.begin(), voters.end(), [&](const auto &voter) {
            return isServing(now, voter) && !shouldLeave(now, voter);
        }));
    if (serving <= (voters.size() - 1) / 2 || !historiesCopied(now, leaving))
        return;
    if (instanceOf(leaving) == m_settings.self)
        handOver(now);
    else
        logGroupChange(now, "removed", leaving, m_replica.removeMember(now, leaving));
}

} // namespace heathergate::fleet
