#include <heathergate/daemon/entry_node.h>

#include <heathergate/daemon/internal/caller_api.h>
#include <heathergate/daemon/internal/operator_api.h>
#include <heathergate/daemon/internal/upstream_api.h>

namespace heathergate::daemon {

namespace {

/// Time between requests of this instance for changes of the control state.
constexpr Duration kFollowInterval = std::chrono::milliseconds(500);
/// Time without a reply of the control leader after which another host is assumed to lead.
constexpr Duration kFeedTimeout = std::chrono::milliseconds(1200);
constexpr Duration kControlDeadline = std::chrono::seconds(5);

auto hostIds(const Settings &settings) -> std::vector<InstanceId>
{
    std::vector<InstanceId> ids;
    for (const auto &disk : settings.diskInstances)
        ids.push_back(disk.id);
    if (ids.empty())
        ids.push_back(settings.id);
    return ids;
}

} // namespace

EntryNode::EntryNode(const Settings &settings, std::uint64_t bootId, Random random)
    : m_settings(settings)
{
    m_context =
        std::make_unique<internal::EntryContext>(settings, hostIds(settings), bootId, random);
    m_runner = std::make_unique<internal::CallRunner>(*m_context);
    m_callerApi = std::make_unique<internal::CallerApi>(*m_context, *m_runner);
    m_operatorApi = std::make_unique<internal::OperatorApi>(*m_context);
    m_upstreamApi = std::make_unique<internal::UpstreamApi>(*m_context, *m_runner);
}

EntryNode::~EntryNode() = default;

auto EntryNode::httpRequest(TimePoint now, http::Token token, const http::Request &request) -> void
{
    if (request.path == "/health" || request.path == "/ready")
        return health(now, token, request.path == "/ready");
    if (request.path == "/metrics" && request.method == "GET") {
        m_context->metrics.set("heathergate_calls_active", {},
                               static_cast<double>(m_runner->active()));
        m_context->metrics.set("heathergate_revision", {}, static_cast<double>(revision()));
        return m_context->respond(
            token,
            {200, {{"content-type", "text/plain; version=0.0.4"}}, m_context->metrics.render()});
    }
    const auto handled = m_callerApi->handle(now, token, request)
                         || m_operatorApi->handle(now, token, request)
                         || m_upstreamApi->handle(now, token, request);
    if (!handled)
        m_context->refuse(token, Error{Code::UnknownRoute,
                                       "no route for " + request.method + " " + request.path});
}

auto EntryNode::httpClosed(TimePoint now, http::Token token) -> void
{
    m_runner->callerDisconnected(now, token);
}

auto EntryNode::upstreamEvent(TimePoint now, const http::ClientEvent &event) -> void
{
    m_runner->upstreamEvent(now, event);
}

auto EntryNode::peerMessage(TimePoint now, const InstanceId &from, const wire::PeerMessage &message)
    -> void
{
    if (const auto *feed = std::get_if<wire::FeedMessage>(&message)) {
        feedReceived(now, from, *feed);
        return;
    }
    const auto *reply = std::get_if<wire::Reply>(&message);
    if (reply == nullptr)
        return;
    if (reply->id != 0) {
        m_context->groups.receive(now, from, *reply);
        return;
    }
    // The reply to a `Follow` that was sent to a replica that does not lead.
    if (m_context->groups.leaderOf(kControlGroup) != from)
        return;
    m_lastControlReplyAt = now;
    if (!reply->leader.empty() && reply->leader != from)
        m_context->groups.setLeader(kControlGroup, reply->leader);
    else
        m_context->groups.suspectLeader(kControlGroup);
    constexpr Duration kRedirectPause = std::chrono::milliseconds(50);
    m_nextFollow = std::min(m_nextFollow, now + kRedirectPause);
}

auto EntryNode::tick(TimePoint now) -> void
{
    m_context->timers.run(now);
    m_context->groups.tick(now);
    if (now >= m_nextFollow)
        follow(now);
    checkFreshness(now);
    m_runner->tick(now);
}

auto EntryNode::drain(TimePoint now) -> void
{
    if (std::exchange(m_context->draining, true))
        return;
    // Callers cache an address for the directory's time to live. Other instances list it until they
    // receive the change; two follow intervals are allowed for that.
    m_drainedAt = now + m_settings.directoryTtl + 2 * kFollowInterval;
    m_context->applyControl(now, control::DrainInstance{m_settings.id, m_context->incarnation},
                            now + kControlDeadline,
                            [](TimePoint, const Result<control::ControlOutcome> &) {});
}

auto EntryNode::isDrained(TimePoint now) const -> bool
{
    return m_drainedAt && now >= *m_drainedAt && m_runner->active() == 0;
}

auto EntryNode::leave(TimePoint now) -> void
{
    m_context->applyControl(
        now, control::RemoveInstance{m_settings.id, m_context->incarnation, false},
        now + kControlDeadline, [](TimePoint, const Result<control::ControlOutcome> &) {});
}

auto EntryNode::takeEffects() -> std::vector<Effect>
{
    auto effects = std::exchange(m_context->effects, {});
    for (auto &[to, message] : m_context->groups.takeMessages())
        effects.emplace_back(SendPeer{to, std::move(message)});
    return effects;
}

auto EntryNode::nextDeadline() const -> TimePoint
{
    auto next = std::min(m_nextFollow, m_context->timers.nextDeadline());
    next = std::min(next, m_context->groups.nextDeadline());
    next = std::min(next, m_runner->nextDeadline());
    if (m_wasFresh)
        next = std::min(next, m_context->view.freshUntil().value_or(next));
    return next;
}

auto EntryNode::peerAddress(const InstanceId &id) const -> std::optional<Endpoint>
{
    for (const auto &disk : m_settings.diskInstances) {
        if (disk.id == id)
            return disk.peer;
    }
    const auto &instances = m_context->view.state().instances();
    const auto found = instances.find(id);
    if (found == instances.end())
        return std::nullopt;
    const auto endpoint = parseEndpoint(found->second.offer.peerAddress);
    return endpoint ? std::optional<Endpoint>(*endpoint) : std::nullopt;
}

auto EntryNode::revision() const -> control::Revision
{
    return m_context->view.state().revision();
}

auto EntryNode::isReady(TimePoint now) const -> bool
{
    return m_context->incarnation != 0 && m_context->view.isFresh(now) && !m_context->draining;
}

auto EntryNode::feedReceived(TimePoint now, const InstanceId &from,
                             const wire::FeedMessage &message) -> void
{
    m_context->groups.setLeader(kControlGroup, from);
    m_lastControlReplyAt = now;
    const auto changed = m_context->view.receive(message.feed);
    if (!message.instances.empty())
        applyInstanceLoads(message);
    checkMembership(now);
    if (changed)
        m_runner->viewChanged(now);
    if (!message.upstreams.empty())
        m_runner->loadsReported(now, message.upstreams);
    // The next report notifies the leader that the revision is applied here.
    if (changed)
        m_nextFollow = now;
}

auto EntryNode::applyInstanceLoads(const wire::FeedMessage &message) -> void
{
    m_context->instanceLoads.clear();
    for (const auto &load : message.instances)
        m_context->instanceLoads[load.id] = load.load;
    const auto own = m_context->instanceLoads[m_settings.id];
    m_runner->setShare(message.totalLoad > 0 ? static_cast<double>(own) / message.totalLoad : 1.0);
}

auto EntryNode::follow(TimePoint now) -> void
{
    m_nextFollow = now + kFollowInterval;
    if (now - m_lastControlReplyAt > kFeedTimeout) {
        m_context->groups.suspectLeader(kControlGroup);
        m_lastControlReplyAt = now;
    }
    wire::Follow message;
    message.incarnation = m_context->incarnation;
    message.requestedAt = now.time_since_epoch().count();
    message.revision = revision();
    message.load = static_cast<int>(m_runner->active());
    message.upstreams = m_upstreamApi->takeRenewals();
    m_context->effects.emplace_back(
        SendPeer{m_context->groups.leaderOf(kControlGroup), std::move(message)});
}

auto EntryNode::join(TimePoint now) -> void
{
    if (std::exchange(m_joining, true))
        return;
    control::InstanceOffer offer;
    offer.id = m_settings.id;
    offer.bootId = m_context->bootId;
    offer.callerAddress = m_settings.caller.text();
    offer.peerAddress = m_settings.peer.port == 0 ? std::string() : m_settings.peer.text();
    offer.domain = m_settings.domain;
    m_context->applyControl(
        now, control::JoinInstance{offer}, now + kControlDeadline,
        [this](TimePoint, const Result<control::ControlOutcome> &) { m_joining = false; });
}

auto EntryNode::checkMembership(TimePoint now) -> void
{
    const auto &instances = m_context->view.state().instances();
    const auto own = instances.find(m_settings.id);
    const auto isMember = own != instances.end() && !own->second.failed
                          && own->second.offer.bootId == m_context->bootId;
    m_context->incarnation = isMember ? own->second.incarnation : 0;
    if (!isMember && !m_context->draining && m_context->view.isFresh(now))
        join(now);
}

auto EntryNode::checkFreshness(TimePoint now) -> void
{
    const auto fresh = m_context->view.isFresh(now);
    if (m_wasFresh && !fresh)
        m_runner->viewChanged(now);
    m_wasFresh = fresh;
}

auto EntryNode::health(TimePoint now, http::Token token, bool readiness) -> void
{
    const auto ready = isReady(now);
    const auto status = readiness && !ready ? 503 : 200;
    m_context->respond(token, jsonResponse({{"instance", m_settings.id.value},
                                            {"ready", ready},
                                            {"draining", m_context->draining},
                                            {"revision", revision()},
                                            {"calls", m_runner->active()}},
                                           status));
}

} // namespace heathergate::daemon
