#include <heathergate/core/json_text.h>
#include <heathergate/daemon/replica_host.h>

namespace heathergate::daemon {

namespace {

/// Control entries retained for followers. A follower that lacks older ones receives the complete
/// control state.
constexpr std::size_t kMaxRetainedFeedEntries = 20'000;

auto commandOf(const consensus::Entry &entry) -> std::string
{
    return entry.kind == consensus::EntryKind::Command ? entry.payload : std::string();
}

} // namespace

auto instanceOf(const consensus::ReplicaId &replica) -> InstanceId
{
    return InstanceId(replica.value.substr(0, replica.value.find('~')));
}

ReplicaHost::ReplicaHost(HostSettings settings,
                         std::map<GroupId, consensus::RecoveredState> recovered, Random random,
                         TimePoint now)
    : m_settings(std::move(settings))
{
    for (GroupId id = 0; id <= m_settings.shards; ++id) {
        consensus::Replica replica(m_settings.replica, m_settings.consensus, m_settings.genesis,
                                   std::move(recovered[id]), Random(random.next()), now);
        auto &group =
            m_groups.emplace(id, Group{std::move(replica), {}, {}, 0, 0, {}}).first->second;
        collect(now, id, group);
    }
}

auto ReplicaHost::receive(TimePoint now, const InstanceId &from, const wire::PeerMessage &message)
    -> void
{
    std::visit([&](const auto &body) { handle(now, from, body); }, message);
}

auto ReplicaHost::tick(TimePoint now) -> void
{
    for (auto &[id, group] : m_groups) {
        if (now >= group.replica.nextDeadline())
            group.replica.tick(now);
    }
    if (now < m_nextMaintenance)
        return;
    constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(500);
    m_nextMaintenance = now + kMaintenanceInterval;
    for (auto &[id, group] : m_groups) {
        if (!group.replica.canServeReads(now))
            continue;
        advanceReplacement(now, id, group);
        if (id == kControlGroup) {
            detectFailures(now);
            sendOrders(now);
        } else {
            maintainShard(now, group);
        }
    }
}

auto ReplicaHost::synced(TimePoint now, GroupId group, std::uint64_t number) -> void
{
    m_groups.at(group).replica.synced(now, number);
}

auto ReplicaHost::transferLeadership(TimePoint now) -> void
{
    for (auto &[id, group] : m_groups)
        group.replica.transferLeadership(now);
}

auto ReplicaHost::leadsAny() const -> bool
{
    return std::any_of(m_groups.begin(), m_groups.end(), [](const auto &item) {
        return item.second.replica.role() == consensus::Role::Leader;
    });
}

auto ReplicaHost::takeOutput(TimePoint now) -> HostOutput
{
    for (auto &[id, group] : m_groups)
        collect(now, id, group);
    if (std::exchange(m_feedChanged, false))
        pushToFollowers(now);
    compactIfNeeded();
    return std::exchange(m_output, {});
}

auto ReplicaHost::nextDeadline() const -> TimePoint
{
    auto deadline = m_nextMaintenance;
    for (const auto &[id, group] : m_groups)
        deadline = std::min(deadline, group.replica.nextDeadline());
    return deadline;
}

auto ReplicaHost::handle(TimePoint now, const InstanceId &from,
                         const wire::ConsensusMessage &message) -> void
{
    const auto group = m_groups.find(message.group);
    // A message whose sender field names a replica of another instance is dropped.
    if (group != m_groups.end() && instanceOf(message.envelope.from) == from)
        group->second.replica.receive(now, message.envelope);
}

auto ReplicaHost::handle(TimePoint now, const InstanceId &from, const wire::Request &request)
    -> void
{
    const auto found = m_groups.find(request.group);
    if (found == m_groups.end()) {
        reply(from, {request.id, Error{Code::BadRequest, "no such group", Ran::No, {}}, {}, {}});
        return;
    }
    auto &group = found->second;
    if (request.kind == wire::RequestKind::ReadProgram
        || request.kind == wire::RequestKind::ReadGroup) {
        answerRead(now, from, request, group);
        return;
    }
    const auto index = group.replica.propose(now, request.body);
    if (!index) {
        reply(from, {request.id, index.error(), leaderHint(group), {}});
        return;
    }
    group.pending[*index] = PendingRequest{from, request.id, group.replica.term()};
}

auto ReplicaHost::collect(TimePoint now, GroupId id, Group &group) -> void
{
    auto effects = group.replica.takeEffects(now);
    if (effects.installed)
        install(id, group, *effects.installed);
    for (const auto &entry : effects.committed)
        apply(id, group, entry);
    if (effects.leadershipChanged) {
        refusePending(group);
        if (id == kControlGroup)
            m_controlLeaderSince = now;
    }
    for (auto &write : effects.writes)
        m_output.storage.emplace_back(GroupWrite{id, std::move(write)});
    for (auto &envelope : effects.messages) {
        const auto to = instanceOf(envelope.to);
        m_output.messages.emplace_back(to, wire::ConsensusMessage{id, std::move(envelope)});
    }
}

auto ReplicaHost::install(GroupId id, Group &group, const consensus::Snapshot &snapshot) -> void
{
    group.applied = snapshot.meta.index;
    group.snapshotAt = snapshot.meta.index;
    refusePending(group);
    if (id != kControlGroup) {
        if (auto ledger = decode<programs::ProgramLedger>(*snapshot.state))
            group.ledger = std::move(*ledger);
        return;
    }
    if (auto state = decode<control::ControlState>(*snapshot.state))
        m_control = std::move(*state);
    m_feed.clear();
    m_feedChanged = true;
}

auto ReplicaHost::apply(GroupId id, Group &group, const consensus::Entry &entry) -> void
{
    group.applied = entry.index;
    const auto outcome = id == kControlGroup ? applyControl(entry) : applyProgram(group, entry);
    const auto pending = group.pending.find(entry.index);
    if (pending == group.pending.end())
        return;
    wire::Reply answer{pending->second.request, std::nullopt, m_settings.self, outcome};
    if (pending->second.term != entry.term)
        answer.error = Error{Code::NotLeader, "another leader took over", Ran::No, {}};
    reply(pending->second.from, std::move(answer));
    group.pending.erase(pending);
}

auto ReplicaHost::applyControl(const consensus::Entry &entry) -> std::string
{
    m_feed.push_back({entry.index, entry.time, commandOf(entry)});
    if (m_feed.size() > kMaxRetainedFeedEntries)
        m_feed.pop_front();
    m_feedChanged = true;
    const auto command = decodeVariant<control::ControlCommand>(commandOf(entry));
    if (!command) {
        m_control.skip(entry.index);
        return {};
    }
    return encode(m_control.apply(entry.index, entry.time, *command));
}

auto ReplicaHost::applyProgram(Group &group, const consensus::Entry &entry) -> std::string
{
    if (entry.kind != consensus::EntryKind::Command)
        return {};
    const auto command = decodeVariant<programs::ProgramCommand>(entry.payload);
    if (!command)
        return {};
    return encode(group.ledger.apply(entry.time, *command));
}

auto ReplicaHost::refusePending(Group &group) -> void
{
    for (const auto &[index, pending] : group.pending)
        reply(pending.from, {pending.request,
                             Error{Code::NotLeader, "the leader has changed", Ran::No, {}},
                             leaderHint(group),
                             {}});
    group.pending.clear();
}

auto ReplicaHost::reply(const InstanceId &to, wire::Reply reply) -> void
{
    m_output.messages.emplace_back(to, std::move(reply));
}

auto ReplicaHost::leaderHint(const Group &group) const -> InstanceId
{
    const auto &leader = group.replica.leader();
    return leader ? instanceOf(*leader) : InstanceId();
}

auto ReplicaHost::answerRead(TimePoint now, const InstanceId &from, const wire::Request &request,
                             Group &group) -> void
{
    wire::Reply answer{request.id, std::nullopt, leaderHint(group), {}};
    if (!group.replica.canServeReads(now))
        answer.error = Error{Code::NotLeader, "this replica cannot answer reads", Ran::No, {}};
    else if (request.kind == wire::RequestKind::ReadGroup)
        answer.body = describeGroup(now, request.group, group);
    else if (const auto key = decode<programs::ProgramKey>(request.body)) {
        const auto *program = group.ledger.find(*key);
        if (program == nullptr)
            answer.error =
                Error{Code::UnknownProgram, "no program " + key->program.value, Ran::No, {}};
        else
            answer.body = encode(*program);
    } else {
        answer.error = key.error();
    }
    reply(from, std::move(answer));
}

auto ReplicaHost::describeGroup(TimePoint now, GroupId id, const Group &group) const -> std::string
{
    const auto &configuration = group.replica.configuration();
    nlohmann::json json{{"group", id},
                        {"leader", m_settings.replica.value},
                        {"term", group.replica.term()},
                        {"commit", group.replica.commitIndex()},
                        {"voters", configuration.voters},
                        {"learners", configuration.learners}};
    if (id == kControlGroup) {
        auto followers = nlohmann::json::object();
        for (const auto &[name, follower] : m_followers) {
            const auto sinceLastSeen =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - follower.lastSeen);
            followers[name.value] = {{"revision", follower.revision},
                                     {"silentMs", sinceLastSeen.count()},
                                     {"load", follower.load}};
        }
        json["followers"] = std::move(followers);
    } else {
        json["programs"] = group.ledger.programCount();
        json["pendingReleases"] = group.ledger.pendingReleases().size();
    }
    return jsonText(json);
}

auto ReplicaHost::compactIfNeeded() -> void
{
    const auto due = std::any_of(m_groups.begin(), m_groups.end(), [this](const auto &item) {
        return item.second.applied >= item.second.snapshotAt + m_settings.compactAfter;
    });
    if (!due)
        return;
    Compaction compaction;
    for (auto &[id, group] : m_groups) {
        if (group.applied == group.snapshotAt && group.applied == 0)
            continue;
        auto state = std::make_shared<const std::string>(
            id == kControlGroup ? encode(m_control) : encode(group.ledger));
        const auto meta = group.replica.compact(group.applied, state);
        group.snapshotAt = group.applied;
        compaction.snapshots.emplace_back(id, consensus::Snapshot{meta, state});
    }
    for (const auto &[id, group] : m_groups) {
        auto state = group.replica.retainedState();
        compaction.records.push_back({id, state.hardState, std::move(state.entries), 0});
    }
    m_output.storage.emplace_back(std::move(compaction));
}

} // namespace heathergate::daemon
