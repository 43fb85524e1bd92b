#include <heathergate/fleet/control_node.h>

/// Calls of operators.
namespace heathergate::fleet {

namespace {

using telemetry::LogImportance;

/// Time after which a new leader has received presence from every running instance.
constexpr Duration kMemberDiscoveryTime = std::chrono::milliseconds(1500);

} // namespace

auto ControlNode::answerNotLeader(TimePoint now, CallToken token, std::string_view call) -> void
{
    CallAnswer answer;
    answer.token = token;
    answer.status = CallStatus::Unavailable;
    auto leader = leaderInstance();
    const auto &group = m_replica.configuration();
    const auto isInGroup = group.isVoter(m_settings.replica) || group.isLearner(m_settings.replica);
    // An instance outside the group learns of the leader only by its feeds.
    if (!leader && !isInGroup)
        leader = m_feedLeader;
    if (leader && *leader != m_settings.self) {
        answer.status = CallStatus::Redirect;
        answer.leaderAddress = leader->value;
    }
    m_log.add(now, LogImportance::Routine, "operator", "not_leader",
              {{"call", call}, {"leader", answer.leaderAddress}, {"term", m_replica.term()}});
    m_metrics.count("heathergate_calls_not_leader_total",
                    {{"call", std::string(call)},
                     {"answer", answer.leaderAddress.empty() ? "unavailable" : "redirect"}});
    m_output.answers.push_back(std::move(answer));
}

auto ControlNode::answerIfNotLeader(TimePoint now, CallToken token, std::string_view call) -> bool
{
    if (isLeader(now))
        return false;
    answerNotLeader(now, token, call);
    return true;
}

auto ControlNode::commitAnswer(CallToken token) -> CommitHandler
{
    return [this, token](TimePoint, bool committed) {
        CallAnswer answer;
        answer.token = token;
        answer.status = committed ? CallStatus::Done : CallStatus::Unavailable;
        m_output.answers.push_back(std::move(answer));
    };
}

auto ControlNode::putConfiguration(TimePoint now, CallToken token,
                                   const Configuration &configuration, const std::string &document)
    -> void
{
    if (!isLeader(now))
        return answerNotLeader(now, token, "put_configuration");
    const auto current = m_state.configuration().version();
    m_log.add(now, LogImportance::Important, "operator", "configuration_received",
              {{"version", configuration.version},
               {"in_force", current},
               {"bytes", document.size()},
               {"term", m_replica.term()}});
    CallAnswer answer;
    answer.token = token;
    if (document.size() > kMaxDocumentBytes) {
        answer.status = CallStatus::TooLarge;
        answer.detail = "a configuration has at most " + std::to_string(kMaxDocumentBytes)
                        + " bytes, this one " + std::to_string(document.size());
        m_log.add(now, LogImportance::Important, "operator", "configuration_refused",
                  {{"version", configuration.version}, {"detail", answer.detail}});
    }
    if (answer.status != CallStatus::Done || configuration.version <= current) {
        m_output.answers.push_back(std::move(answer));
        return;
    }
    if (!m_pendingConfiguration
        || m_pendingConfiguration->configuration.version < configuration.version)
        m_pendingConfiguration = PendingConfiguration{configuration, document};
    m_urgent = true;
    m_commandHandlers.push_back(
        [this, token, version = configuration.version](TimePoint at, bool committed) {
            commitAnswer(token)(at, committed && m_state.configuration().version() >= version);
        });
}

auto ControlNode::readConfiguration(TimePoint now, CallToken token) -> void
{
    if (!isLeader(now))
        return answerNotLeader(now, token, "read_configuration");
    CallAnswer answer;
    answer.token = token;
    if (m_state.configuration().version() == 0)
        answer.status = CallStatus::Unavailable;
    else
        answer.document = m_state.configurationDocument();
    m_log.add(now, LogImportance::Routine, "operator", "configuration_read",
              {{"version", m_state.configuration().version()},
               {"applied", m_applied},
               {"committed", m_replica.commitIndex()},
               {"term", m_replica.term()}});
    m_output.answers.push_back(std::move(answer));
}

auto ControlNode::findMember(const std::string &name) const -> std::optional<InstanceId>
{
    for (const auto &[id, member] : m_members) {
        if (member.presence.name == name)
            return id;
    }
    return std::nullopt;
}

/// Returns whether enough instances remain for the consensus group without this one.
auto ControlNode::mayRetire(TimePoint now, const InstanceId &instance) const -> bool
{
    const auto member = m_members.find(instance);
    if (member == m_members.end()
        || member->second.presence.role != static_cast<std::uint8_t>(Role::Control))
        return true;
    const auto others = std::count_if(m_members.begin(), m_members.end(), [&](const auto &item) {
        const consensus::ReplicaId replica(item.second.presence.replica);
        return item.first != instance && !replica.empty() && isServing(now, replica)
               && !m_state.retiring().contains(item.first)
               && !m_openRetirements.contains(item.first);
    });
    return static_cast<std::size_t>(others) >= requiredVoters();
}

auto ControlNode::startRetiring(TimePoint now, CallToken token, const std::string &name) -> void
{
    if (!isLeader(now))
        return answerNotLeader(now, token, "retire");
    CallAnswer answer;
    answer.token = token;
    const auto instance = findMember(name);
    if (!instance) {
        answer.status = now - m_leaderSince < kMemberDiscoveryTime ? CallStatus::Unavailable
                                                                   : CallStatus::NotFound;
        m_output.answers.push_back(std::move(answer));
        return;
    }
    if (m_state.retiring().contains(*instance)) {
        m_output.answers.push_back(std::move(answer));
        return;
    }
    if (!mayRetire(now, *instance)) {
        answer.status = CallStatus::Conflict;
        answer.detail = "too few instances would remain";
        m_log.add(now, LogImportance::Important, "operator", "retire_refused",
                  {{"instance", instance->value},
                   {"name", name},
                   {"required", requiredVoters()},
                   {"detail", answer.detail}});
        m_output.answers.push_back(std::move(answer));
        return;
    }
    m_log.add(now, LogImportance::Important, "operator", "retiring",
              {{"instance", instance->value}, {"name", name}});
    auto command = std::make_unique<fb::CommandT>();
    command->retiring = std::make_unique<fb::SetRetiringT>();
    command->retiring->instance = instance->value;
    command->retiring->retiring = true;
    m_openRetirements.insert(*instance);
    propose(std::move(command), true, [this, token, id = *instance](TimePoint at, bool committed) {
        m_openRetirements.erase(id);
        commitAnswer(token)(at, committed);
    });
}

auto ControlNode::isKnownDomain(const FailureDomainId &domain) const -> bool
{
    const auto &upstreams = m_state.upstreams();
    return domain == m_settings.domain || m_state.wasEvacuated(domain)
           || std::any_of(upstreams.begin(), upstreams.end(),
                          [&](const auto &item) { return item.second.domain == domain; })
           || std::any_of(m_members.begin(), m_members.end(), [&](const auto &item) {
                  return item.second.presence.domain == domain.value;
              });
}

auto ControlNode::setEvacuation(TimePoint now, CallToken token, const FailureDomainId &domain,
                                bool isEvacuated) -> void
{
    const std::string_view call = isEvacuated ? "evacuate" : "end_evacuation";
    if (!isLeader(now))
        return answerNotLeader(now, token, call);
    CallAnswer answer;
    answer.token = token;
    if (!isKnownDomain(domain)) {
        answer.status = now - m_leaderSince < kMemberDiscoveryTime ? CallStatus::Unavailable
                                                                   : CallStatus::NotFound;
        answer.detail = "no instance or upstream is in the failure domain " + domain.value;
        m_log.add(now, LogImportance::Important, "operator", "evacuation_refused",
                  {{"call", call},
                   {"domain", domain.value},
                   {"detail", answer.detail},
                   {"term", m_replica.term()}});
        m_output.answers.push_back(std::move(answer));
        return;
    }
    const auto isInForce = m_state.evacuated().contains(domain) == isEvacuated;
    m_log.add(now, LogImportance::Important, "operator", "evacuation_received",
              {{"call", call},
               {"domain", domain.value},
               {"in_force", isInForce ? 1 : 0},
               {"evacuated_domains", m_state.evacuated().size()},
               {"term", m_replica.term()}});
    // An order that is in force is recorded again: an opposite one may be on its way to the log.
    auto command = std::make_unique<fb::CommandT>();
    command->evacuation = std::make_unique<fb::SetEvacuationT>();
    command->evacuation->domain = domain.value;
    command->evacuation->evacuated = isEvacuated;
    propose(std::move(command), true, [this, token, call, domain](TimePoint at, bool committed) {
        m_log.add(at, LogImportance::Important, "operator", "evacuation_recorded",
                  {{"call", call},
                   {"domain", domain.value},
                   {"committed", committed ? 1 : 0},
                   {"term", m_replica.term()}});
        commitAnswer(token)(at, committed);
    });
}

auto ControlNode::readRetiring(TimePoint now, CallToken token, const std::string &name) -> void
{
    if (!isLeader(now))
        return answerNotLeader(now, token, "retire_state");
    CallAnswer answer;
    answer.token = token;
    const auto instance = findMember(name);
    if (!instance || !m_state.retiring().contains(*instance)) {
        answer.status = now - m_leaderSince < kMemberDiscoveryTime ? CallStatus::Unavailable
                                                                   : CallStatus::NotFound;
        m_output.answers.push_back(std::move(answer));
        return;
    }
    const auto &group = m_committedGroup;
    const auto isOn = [&](const auto &replica) { return instanceOf(replica) == *instance; };
    const auto hostsReplica = std::any_of(group.voters.begin(), group.voters.end(), isOn)
                              || std::any_of(group.learners.begin(), group.learners.end(), isOn);
    answer.retire = hostsReplica ? RetireState::Running : RetireState::Succeeded;
    m_output.answers.push_back(std::move(answer));
}

} // namespace heathergate::fleet
