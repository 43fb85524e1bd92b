#include <heathergate/core/json_text.h>
#include <heathergate/daemon/replica_host.h>

/// Tasks of a host that leads program shards, and the replacement of replicas.
namespace heathergate::daemon {

namespace {

constexpr Duration kReleaseRetryInterval = std::chrono::seconds(2);

} // namespace

auto ReplicaHost::maintainShard(TimePoint now, Group &group) -> void
{
    if (group.ledger.needsSweep(group.replica.groupTime(now)))
        proposeProgram(now, group, programs::Sweep{});
    for (const auto &[sender, calls] : group.ledger.runningCalls()) {
        const auto &[instance, incarnation] = sender;
        const auto record = m_control.instances().find(instance);
        const auto isCurrent = record != m_control.instances().end() && !record->second.failed
                               && record->second.incarnation == incarnation;
        // A control state older than the incarnation does not contain it yet.
        if (!isCurrent && m_control.revision() >= incarnation)
            proposeProgram(now, group, programs::InstanceRemoved{instance, incarnation});
    }
    for (const auto &[holder, held] : group.ledger.holders()) {
        const auto record = m_control.upstreams().find(holder.upstream);
        const auto isCurrent = record != m_control.upstreams().end()
                               && record->second.incarnation == holder.incarnation;
        if (!isCurrent && m_control.revision() >= holder.incarnation)
            proposeProgram(now, group,
                           programs::UpstreamRemoved{holder.upstream, holder.incarnation});
    }
    releaseMemory(now, group);
}

auto ReplicaHost::releaseMemory(TimePoint now, Group &group) -> void
{
    const auto &pending = group.ledger.pendingReleases();
    std::erase_if(group.releasesSent,
                  [&](const auto &item) { return !pending.contains(item.first); });
    for (const auto &release : pending) {
        const auto target = m_control.upstreams().find(release.holder.upstream);
        if (target == m_control.upstreams().end())
            continue;
        auto &sent = group.releasesSent[release];
        if (sent != TimePoint{} && now - sent < kReleaseRetryInterval)
            continue;
        sent = now;
        const nlohmann::json body{
            {"program", release.key.customer.value + "/" + release.key.program.value}};
        m_output.orders.push_back({release.holder.upstream, target->second.offer.address,
                                   "/programs/release", jsonText(body), release});
    }
}

auto ReplicaHost::advanceReplacement(TimePoint now, GroupId id, Group &group) -> void
{
    if (m_control.replacements().empty())
        return;
    const auto &replacement = m_control.replacements().front();
    const consensus::ReplicaId oldReplica(replacement.oldReplica);
    const consensus::ReplicaId newReplica(replacement.newReplica);
    auto &replica = group.replica;
    const auto &members = replica.configuration();
    // Each step is refused until the previous one is committed, and is retried later.
    if (!members.isVoter(newReplica) && !members.isLearner(newReplica))
        static_cast<void>(replica.addLearner(now, newReplica));
    else if (members.isLearner(newReplica))
        static_cast<void>(replica.promote(now, newReplica));
    else if (members.isVoter(oldReplica) && instanceOf(oldReplica) == m_settings.self)
        replica.transferLeadership(now);
    else if (members.isVoter(oldReplica))
        static_cast<void>(replica.removeMember(now, oldReplica));
    if (id != kControlGroup)
        return;
    const auto done = std::all_of(m_groups.begin(), m_groups.end(), [&](const auto &item) {
        const auto &configuration = item.second.replica.configuration();
        return configuration.isVoter(newReplica) && !configuration.isVoter(oldReplica);
    });
    if (done)
        proposeControl(now, control::EndReplacement{replacement.oldReplica});
}

auto ReplicaHost::proposeProgram(TimePoint now, Group &group,
                                 const programs::ProgramCommand &command) -> void
{
    // If the proposal fails, the next maintenance of the leader repeats it.
    static_cast<void>(group.replica.propose(now, encodeVariant(command)));
}

} // namespace heathergate::daemon
