#include <heathergate/fleet/storage_agent.h>

namespace heathergate::fleet {

using telemetry::LogImportance;

StorageAgent::StorageAgent(InstanceId self, std::string name, FailureDomainId domain,
                           std::uint64_t boot, std::vector<InstanceId> seeds,
                           telemetry::EventLog &log, TimePoint now)
    : m_self(std::move(self))
    , m_name(std::move(name))
    , m_domain(std::move(domain))
    , m_boot(boot)
    , m_log(log)
    , m_link(std::move(seeds), boot, now)
{
}

auto StorageAgent::receive(TimePoint now, const InstanceId &from, PeerFrame frame) -> void
{
    const auto *message = std::get_if<Message>(&frame);
    if (message == nullptr)
        return;
    if (const auto *feed = std::get_if<fb::FeedT>(message)) {
        m_link.addCandidates(instanceIds(feed->controls));
        const auto isNew = m_link.answered(now, from, feed->term);
        if (isNew.value_or(false))
            m_log.add(now, LogImportance::Important, "fleet", "leader_found",
                      {{"leader", from.value}, {"term", feed->term}});
    } else if (const auto *redirect = std::get_if<fb::RedirectT>(message)) {
        m_link.addCandidates(instanceIds(redirect->controls));
        m_link.redirected(now, from, redirect->leader);
    }
}

auto StorageAgent::peerLost(TimePoint now, const InstanceId &peer) -> void
{
    if (m_link.connectionLost(now, peer))
        m_log.add(now, LogImportance::Important, "fleet", "leader_lost",
                  {{"why", "connection_lost"}, {"leader", peer.value}});
}

auto StorageAgent::tick(TimePoint now) -> std::optional<PeerOut>
{
    if (m_link.expire(now))
        m_log.add(now, LogImportance::Important, "fleet", "leader_lost",
                  {{"why", "silent"}, {"answer_age_ms", now - m_link.lastAnswer()}});
    if (now < m_link.nextPresence())
        return std::nullopt;
    const auto target = m_link.target(now);
    m_link.presenceSent(now);
    if (!target)
        return std::nullopt;
    fb::PresenceT presence;
    presence.boot = m_boot;
    presence.role = static_cast<std::uint8_t>(Role::Storage);
    presence.name = m_name;
    presence.domain = m_domain.value;
    presence.ready = true;
    return PeerOut{*target, PeerFrame(Message(std::move(presence)))};
}

} // namespace heathergate::fleet
