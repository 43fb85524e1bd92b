#include <heathergate/fleet/gateway.h>

/// Connection of the gateway to the fleet: leader, configuration, and timers.
namespace heathergate::fleet {

namespace {

using telemetry::LogImportance;

/// Time for which completions are retained so that they can be resent to a new leader.
constexpr Duration kCompletionRetention = std::chrono::seconds(5);
/// Bound of the random offset by which gateways start with different control instances.
constexpr std::size_t kMaxStartOffset = 64;

} // namespace

Gateway::Gateway(GatewaySettings settings, Random random, telemetry::EventLog &log, TimePoint now)
    : m_settings(std::move(settings))
    , m_random(random)
    , m_log(log)
    , m_lastAdmission(m_random.next() >> 8)
    , m_link(m_settings.seeds, m_random.below(kMaxStartOffset), now)
    , m_history(m_settings.domain, m_settings.historyCacheBytes)
{
}

auto Gateway::receive(TimePoint now, const InstanceId &from, PeerFrame frame) -> void
{
    auto *message = std::get_if<Message>(&frame);
    if (message != nullptr)
        std::visit([&](auto &body) { handle(now, from, body); }, *message);
    if (const auto *item = std::get_if<history::Message>(&frame)) {
        m_history.receive(now, from, *item);
        takeHistoryOutput(now);
    }
}

auto Gateway::tick(TimePoint now) -> void
{
    if (m_link.expire(now))
        noteLeaderLost(now, "silent");
    if (now >= m_link.nextPresence())
        sendPresence(now);
    while (!m_recentCompletions.empty()
           && now - m_recentCompletions.front().at > kCompletionRetention)
        m_recentCompletions.pop_front();
    std::vector<CallerToken> tokens;
    for (const auto &[token, call] : m_calls)
        tokens.push_back(token);
    for (const auto token : tokens) {
        const auto found = m_calls.find(token);
        if (found == m_calls.end())
            continue;
        auto &call = found->second;
        const auto isBeforeStart = call.phase == Phase::Reading || call.phase == Phase::Waiting;
        const auto limit = isBeforeStart ? call.startBy : call.deadline;
        if (now >= limit)
            deadlinePassed(now, call);
        else if (call.phase == Phase::Running)
            checkIdleTimeout(now, call);
    }
    m_history.tick(now);
    takeHistoryOutput(now);
}

auto Gateway::nextDeadline() const -> TimePoint
{
    auto next = std::min(m_link.nextPresence(), m_history.nextDeadline());
    for (const auto &[token, call] : m_calls) {
        const auto isBeforeStart = call.phase == Phase::Reading || call.phase == Phase::Waiting;
        next = std::min(next, isBeforeStart ? call.startBy : call.deadline);
        if (call.phase == Phase::Running && !call.seeksReplacement)
            next = std::min(next, silentAt(call));
    }
    return next;
}

auto Gateway::isReady(TimePoint now) const -> bool
{
    return !isLeaving() && m_configuration.version() != 0
           && now - m_link.lastAnswer() < kStalenessTimeout;
}

auto Gateway::leave(TimePoint now, TimePoint stopsAt) -> void
{
    m_stop.emplace(now, stopsAt);
    sendPresence(now);
}

auto Gateway::endCalls(TimePoint now) -> void
{
    std::vector<CallerToken> tokens;
    for (const auto &[token, call] : m_calls)
        tokens.push_back(token);
    for (const auto token : tokens) {
        auto &call = m_calls.at(token);
        if (call.phase == Phase::Storing)
            turnStored(now, call, false);
        else
            giveUp(now, call, Error{Code::Draining, "the instance stops", Ran::No, {}});
    }
}

auto Gateway::sendPresence(TimePoint now) -> void
{
    const auto target = m_link.target(now);
    m_link.presenceSent(now);
    if (!target)
        return;
    fb::PresenceT presence;
    presence.boot = m_settings.boot;
    presence.role = static_cast<std::uint8_t>(Role::Gateway);
    presence.name = m_settings.name;
    presence.domain = m_settings.domain.value;
    presence.address = m_settings.callerAddress;
    presence.ready = !isLeaving() && m_configuration.version() != 0;
    presence.leaving = isLeaving();
    presence.configurationVersion = m_configuration.version();
    presence.historyVersion = m_history.replicas().version;
    m_effects.emplace_back(PeerOut{*target, PeerFrame(Message(std::move(presence)))});
}

auto Gateway::handle(TimePoint now, const InstanceId &from, fb::FeedT &message) -> void
{
    const auto isNew = m_link.answered(now, from, message.term);
    if (!isNew)
        return; // The sender is a leader that has been replaced.
    m_link.addCandidates(instanceIds(message.controls));
    if (message.configurationVersion > m_configuration.version() && !message.configuration.empty())
        applyChange(now, decode<Configuration>(toText(message.configuration)).map(completeChange),
                    message.term);
    announceReplicas(now, message);
    if (*isNew)
        leaderFound(now);
}

auto Gateway::handle(TimePoint now, const InstanceId &from, fb::RedirectT &message) -> void
{
    m_link.addCandidates(instanceIds(message.controls));
    if (m_link.redirected(now, from, message.leader))
        noteLeaderLost(now, "redirected");
}

auto Gateway::peerLost(TimePoint now, const InstanceId &peer) -> void
{
    if (m_link.connectionLost(now, peer))
        noteLeaderLost(now, "connection_lost");
}

auto Gateway::noteLeaderLost(TimePoint now, std::string_view why) -> void
{
    m_metrics.count("heathergate_leader_losses_total", {{"why", std::string(why)}});
    m_log.add(now, LogImportance::Important, "fleet", "leader_lost",
              {{"why", why},
               {"term", m_link.term()},
               {"answer_age_ms", now - m_link.lastAnswer()},
               {"calls", m_calls.size()}});
}

auto Gateway::leaderFound(TimePoint now) -> void
{
    m_log.add(
        now, LogImportance::Important, "fleet", "leader_found",
        {{"leader", m_link.leader()->value}, {"term", m_link.term()}, {"calls", m_calls.size()}});
    m_link.requestPresenceNow(now);
    // The new leader has no record of what responses stated, nor of the requests that run or wait
    // here.
    for (auto &statement : m_statements.all())
        sendToLeader(Message(std::move(statement)));
    for (const auto &sent : m_recentCompletions) {
        // A leader of another term has no record of the slot, but of the budget.
        if (sent.term == m_link.term() || !sent.message.program.empty())
            sendToLeader(Message(sent.message));
    }
    for (const auto &[token, call] : m_calls) {
        if (call.phase == Phase::Waiting || call.phase == Phase::Running)
            sendToLeader(Message(admissionOf(now, call)));
    }
}

auto Gateway::sendToLeader(Message message) -> void
{
    if (m_link.leader())
        m_effects.emplace_back(PeerOut{*m_link.leader(), PeerFrame(std::move(message))});
}

auto Gateway::handle(TimePoint now, const InstanceId &from, fb::ConfigurationPieceT &message)
    -> void
{
    const auto isNew = m_link.answered(now, from, message.term);
    if (!isNew)
        return; // The sender is a leader that has been replaced.
    fb::ConfigurationProgressT progress;
    progress.version = message.version;
    const auto isUsable = message.version > m_configuration.version()
                          && (message.base == 0 || message.base == m_configuration.version());
    if (isUsable) {
        const auto bytes = m_configurationReceiver.add(message);
        const auto isComplete = !bytes || !bytes->empty();
        if (!bytes)
            m_log.add(now, LogImportance::Important, "fleet", "configuration_unreadable",
                      {{"version", message.version}, {"detail", bytes.error().detail}});
        else if (isComplete)
            applyChange(now, decompress(*bytes, kMaxConfigurationBytes).and_then(decodeChange),
                        message.term);
        progress.received = isComplete ? message.size : m_configurationReceiver.received();
    }
    progress.inForce = m_configuration.version();
    m_effects.emplace_back(PeerOut{from, PeerFrame(Message(progress))});
    if (*isNew)
        leaderFound(now);
}

auto Gateway::applyChange(TimePoint now, const Result<ConfigurationChange> &change,
                          std::uint64_t term) -> void
{
    const auto before = m_configuration.version();
    const auto applied = change.and_then(
        [this](const ConfigurationChange &item) { return m_configuration.apply(item); });
    if (!applied) {
        m_log.add(now, LogImportance::Important, "fleet", "configuration_unreadable",
                  {{"in_force", before}, {"detail", applied.error().detail}});
        return;
    }
    m_log.add(now, LogImportance::Important, "fleet", "configuration_in_force",
              {{"version", m_configuration.version()},
               {"before", before},
               {"term", term},
               {"changed_routes", change->routes.size() + change->removedRoutes.size()},
               {"routes", m_configuration.all().routes.size()}});
    m_effects.emplace_back(ConfigurationChanged{m_configuration.all().limits});
    if (before == 0)
        m_link.requestPresenceNow(now); // Reports that the gateway is ready for callers.
}

} // namespace heathergate::fleet
