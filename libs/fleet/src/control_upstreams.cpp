#include <heathergate/fleet/control_node.h>

/// Upstreams: what they report and state, and what the dispatcher knows of them.
namespace heathergate::fleet {

namespace {

using telemetry::LogImportance;

/// Maximum difference between the clocks of an upstream and of a control instance.
constexpr std::chrono::milliseconds kMaxClockDifference = std::chrono::minutes(10);
/// Minimum average time between two reports of an upstream.
constexpr std::chrono::milliseconds kMinReportInterval{1};

} // namespace

auto implausibility(const UpstreamReport &report) -> std::optional<std::string>
{
    const auto latest = report.receivedAt + kMaxClockDifference;
    const auto &record = report.record;
    if (record.startedAt < std::chrono::milliseconds::zero())
        return "the start lies before 1970";
    if (record.startedAt > latest)
        return "the start lies in the future";
    const auto maxReports = (latest - record.startedAt) / kMinReportInterval;
    if (record.sequence > static_cast<std::uint64_t>(maxReports))
        return "the sequence number is too large for the time since the start";
    return std::nullopt;
}

auto ControlNode::setUpstream(TimePoint now, const UpstreamRecord &record, std::string_view why,
                              CommitHandler handler) -> void
{
    m_log.add(now, LogImportance::Important, "upstreams", why,
              {{"upstream", record.id.value},
               {"service", record.service.value},
               {"address", record.address.text()},
               {"phase", static_cast<int>(record.phase)},
               {"software", record.softwareVersion},
               {"born", record.startedAt.count()},
               {"sequence", record.sequence}});
    auto command = std::make_unique<fb::CommandT>();
    command->upstream = std::make_unique<fb::SetUpstreamT>();
    command->upstream->upstream = std::make_unique<fb::UpstreamT>(toTable(record));
    m_upstreams.propose(record);
    propose(std::move(command), true,
            [this, id = record.id, handler = std::move(handler)](TimePoint at, bool committed) {
                m_upstreams.settle(id);
                if (handler)
                    handler(at, committed);
            });
}

auto ControlNode::upstreamHeartbeat(TimePoint now, CallToken token, const UpstreamReport &report)
    -> void
{
    if (!isLeader(now))
        return answerNotLeader(now, token, "heartbeat");
    const auto &record = report.record;
    CallAnswer answer;
    answer.token = token;
    if (auto reason = implausibility(report)) {
        m_log.add(now, LogImportance::Important, "upstreams", "heartbeat_implausible",
                  {{"upstream", record.id.value},
                   {"detail", *reason},
                   {"born", record.startedAt.count()},
                   {"sequence", record.sequence}});
        answer.status = CallStatus::Invalid;
        answer.detail = std::move(*reason);
        m_output.answers.push_back(std::move(answer));
        return;
    }
    using Kind = HeartbeatDecision::Kind;
    const auto decision = m_upstreams.decide(now, m_state, record);
    if (decision.kind == Kind::NoClaim) {
        m_log.add(now, LogImportance::Important, "upstreams", "heartbeat_without_claim",
                  {{"upstream", record.id.value},
                   {"service", record.service.value},
                   {"address", record.address.text()},
                   {"holder", decision.holder.value}});
        answer.status = CallStatus::Conflict;
        answer.detail = "the configuration does not have the service, and another upstream has the "
                        "identifier or address";
    }
    if (decision.kind == Kind::Outdated || decision.kind == Kind::NoClaim) {
        m_output.answers.push_back(std::move(answer));
        return;
    }
    checkUnconfirmedStreams(now, record);
    for (auto other : decision.replaced) {
        other.phase = UpstreamPhase::Removed;
        setUpstream(now, other, "replaced", {});
    }
    if (decision.kind == Kind::Unchanged || (decision.replaced.empty() && isOvertaken(record))) {
        m_dispatcher.heartbeat(now, record.id, report.coldRemaining);
        m_output.answers.push_back(std::move(answer));
        return;
    }
    std::string_view why = decision.kind == Kind::Reclaimed ? "reclaimed" : "registered";
    if (record.phase == UpstreamPhase::Draining)
        why = "draining";
    setUpstream(
        now, record, why,
        [this, token, id = record.id, cold = report.coldRemaining](TimePoint at, bool committed) {
            if (committed)
                m_dispatcher.heartbeat(at, id, cold);
            commitAnswer(token)(at, committed);
        });
}

auto ControlNode::isOvertaken(const UpstreamRecord &heartbeat) const -> bool
{
    const auto *known = m_upstreams.recordOf(m_state, heartbeat.id);
    return known != nullptr && heartbeat.startedAt == known->startedAt
           && heartbeat.phase == UpstreamPhase::Ready && m_dispatcher.isRetired(heartbeat.id);
}

auto ControlNode::upstreamLeft(TimePoint now, CallToken token, const UpstreamId &id) -> void
{
    if (!isLeader(now))
        return answerNotLeader(now, token, "leave");
    // A record that is on its way to the log would outlast an answer that is given at once.
    const auto *known = m_upstreams.recordOf(m_state, id);
    const auto isGone = known == nullptr || known->phase == UpstreamPhase::Removed;
    if (isGone && !m_upstreams.isProposed(id)) {
        CallAnswer answer;
        answer.token = token;
        m_output.answers.push_back(std::move(answer));
        return;
    }
    auto record = *known;
    record.phase = UpstreamPhase::Removed;
    setUpstream(now, record, "left", commitAnswer(token));
}

auto ControlNode::handle(TimePoint now, const InstanceId &from, fb::UpstreamStatementT &message)
    -> void
{
    if (!isLeader(now))
        return redirect(from);
    const UpstreamId upstream(message.upstream);
    if (message.leaving)
        return retireUpstream(now, from, message);
    const auto hasChanged =
        message.rate ? m_dispatcher.limit(now, upstream, std::chrono::milliseconds(message.born),
                                          *message.rate)
                     : m_dispatcher.lift(now, message.request);
    if (!hasChanged)
        return;
    m_metrics.count("heathergate_upstream_limit_changes_total", {});
    m_log.add(now, LogImportance::Important, "upstreams",
              message.rate ? "limit_stated" : "limit_lifted",
              {{"upstream", message.upstream},
               {"rate", message.rate ? std::to_string(*message.rate) : "none"},
               {"gateway", from.value},
               {"admission", message.request},
               {"born", message.born},
               {"term", m_replica.term()}});
}

auto ControlNode::retireUpstream(TimePoint now, const InstanceId &from,
                                 const fb::UpstreamStatementT &message) -> void
{
    const UpstreamId upstream(message.upstream);
    if (!m_dispatcher.retire(now, upstream, std::chrono::milliseconds(message.born)))
        return;
    m_metrics.count("heathergate_upstreams_leaving_total", {});
    m_log.add(now, LogImportance::Important, "upstreams", "leaving_stated",
              {{"upstream", message.upstream},
               {"gateway", from.value},
               {"admission", message.request},
               {"born", message.born},
               {"term", m_replica.term()}});
    // A later incarnation may be on its way to the log.
    const auto *known = m_upstreams.recordOf(m_state, upstream);
    if (known == nullptr || known->phase != UpstreamPhase::Ready
        || known->startedAt != std::chrono::milliseconds(message.born))
        return;
    auto record = *known;
    record.phase = UpstreamPhase::Draining;
    setUpstream(now, record, "draining", {});
}

auto ControlNode::handle(TimePoint now, const InstanceId &from, fb::ConnectionsLostT &message)
    -> void
{
    if (!isLeader(now))
        return redirect(from);
    const auto address = parseEndpoint(message.address);
    if (!address)
        return;
    for (const auto &upstream : m_dispatcher.connectionsLost(now, *address)) {
        m_metrics.count("heathergate_upstreams_doubted_total", {});
        m_log.add(now, LogImportance::Important, "upstreams", "incarnation_doubted",
                  {{"upstream", upstream.value},
                   {"address", message.address},
                   {"gateway", from.value},
                   {"term", m_replica.term()}});
        doubtStreams(now, upstream);
    }
}

auto ControlNode::applyEvacuations(TimePoint now) -> void
{
    m_metrics.set("heathergate_evacuated_domains", {},
                  static_cast<double>(m_state.evacuated().size()));
    if (m_state.evacuated() != m_dispatcher.evacuated())
        m_dispatcher.setEvacuated(now, m_state.evacuated());
}

auto ControlNode::rebuildDispatcher(TimePoint now) -> void
{
    m_dispatcher = Dispatcher(m_settings.placement);
    m_dispatcher.setEvacuated(now, m_state.evacuated());
    m_dispatcher.takeOver(now, m_state.upstreams(), m_state.configuration(),
                          m_replica.groupTime(now));
}

auto ControlNode::refreshUpstreams(TimePoint now) -> void
{
    applyEvacuations(now);
    if (std::exchange(m_appliedUpstreamChanges, m_state.upstreamChanges())
        != m_state.upstreamChanges())
        m_dispatcher.setUpstreams(now, m_state.upstreams(), m_state.configuration(),
                                  m_replica.groupTime(now));
}

} // namespace heathergate::fleet
