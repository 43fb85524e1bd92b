#include <heathergate/daemon/instance.h>

namespace heathergate::daemon {

namespace {

/// Request ids of orders start above those of the entry role.
constexpr std::uint64_t kFirstOrderId = std::uint64_t(1) << 62;

/// Returns whether a message is for the replica host of an instance, not for its entry role.
auto isForHost(const wire::PeerMessage &message) -> bool
{
    return std::holds_alternative<wire::ConsensusMessage>(message)
           || std::holds_alternative<wire::Request>(message)
           || std::holds_alternative<wire::Follow>(message);
}

} // namespace

Instance::Instance(const Settings &settings, std::uint64_t bootId,
                   std::unique_ptr<ReplicaHost> host, Random random)
    : m_settings(settings)
    , m_entry(settings, bootId, random)
    , m_host(std::move(host))
{
}

auto Instance::httpRequest(TimePoint now, http::Token token, const http::Request &request) -> void
{
    m_entry.httpRequest(now, token, request);
}

auto Instance::httpClosed(TimePoint now, http::Token token) -> void
{
    m_entry.httpClosed(now, token);
}

auto Instance::upstreamEvent(TimePoint now, const http::ClientEvent &event) -> void
{
    const auto found = m_orders.find(event.id);
    if (found == m_orders.end()) {
        m_entry.upstreamEvent(now, event);
        return;
    }
    if (const auto *head = std::get_if<http::AnswerHead>(&event.what))
        found->second.status = head->status;
    const auto *end = std::get_if<http::AnswerEnd>(&event.what);
    if (end == nullptr)
        return;
    const auto done = std::move(found->second);
    m_orders.erase(found);
    const auto acknowledged = end->complete && done.status >= 200 && done.status < 300;
    if (m_host)
        m_host->orderDone(now, done.order, acknowledged);
}

auto Instance::peerMessage(TimePoint now, const InstanceId &from, const wire::PeerMessage &message)
    -> void
{
    if (!isForHost(message))
        m_entry.peerMessage(now, from, message);
    else if (m_host)
        m_host->receive(now, from, message);
}

auto Instance::synced(TimePoint now, GroupId group, std::uint64_t number) -> void
{
    if (m_host)
        m_host->synced(now, group, number);
}

auto Instance::tick(TimePoint now) -> void
{
    m_entry.tick(now);
    if (m_host)
        m_host->tick(now);
}

auto Instance::drain(TimePoint now) -> void
{
    m_draining = true;
    m_entry.drain(now);
    if (m_host)
        m_host->transferLeadership(now);
}

auto Instance::isDrained(TimePoint now) const -> bool
{
    return m_entry.isDrained(now);
}

auto Instance::leave(TimePoint now) -> void
{
    m_entry.leave(now);
}

auto Instance::takeOutput(TimePoint now) -> InstanceOutput
{
    InstanceOutput output;
    std::vector<std::pair<bool, wire::PeerMessage>> local;
    // Messages between the two roles of this instance are delivered here until none remain.
    for (bool progress = true; progress;) {
        local.clear();
        for (auto &effect : m_entry.takeEffects()) {
            if (auto *send = std::get_if<SendPeer>(&effect))
                route(now, send->to, std::move(send->message), output, local);
            else
                output.effects.push_back(std::move(effect));
        }
        if (m_host) {
            auto produced = m_host->takeOutput(now);
            for (auto &[to, message] : produced.messages)
                route(now, to, std::move(message), output, local);
            for (auto &step : produced.storage)
                output.storage.push_back(std::move(step));
            for (auto &order : produced.orders)
                sendOrder(std::move(order), output);
        }
        progress = !local.empty();
        for (const auto &[forHost, message] : local) {
            if (!forHost)
                m_entry.peerMessage(now, m_settings.id, message);
            else if (m_host)
                m_host->receive(now, m_settings.id, message);
        }
    }
    return output;
}

auto Instance::route(TimePoint, const InstanceId &to, wire::PeerMessage message,
                     InstanceOutput &output, std::vector<std::pair<bool, wire::PeerMessage>> &local)
    -> void
{
    if (to != m_settings.id) {
        output.effects.emplace_back(SendPeer{to, std::move(message)});
        return;
    }
    const auto forHost = isForHost(message);
    local.emplace_back(forHost, std::move(message));
}

auto Instance::sendOrder(UpstreamOrder order, InstanceOutput &output) -> void
{
    http::Outgoing request;
    request.id = kFirstOrderId + ++m_lastOrder;
    request.url = "http://" + order.address + order.path;
    request.headers["content-type"] = "application/json";
    request.body = order.body;
    m_orders[request.id] = OrderInFlight{std::move(order), 0};
    output.effects.emplace_back(SendUpstream{std::move(request)});
}

auto Instance::nextDeadline() const -> TimePoint
{
    const auto entry = m_entry.nextDeadline();
    return m_host ? std::min(entry, m_host->nextDeadline()) : entry;
}

} // namespace heathergate::daemon
