#include "operator.h"

#include <heathergate/platform/names.h>
#include <heathergate/platform/sender_formats.h>

namespace heathergate::soak {

namespace {

constexpr Duration kReadInterval = std::chrono::milliseconds(400);
constexpr Duration kAnswerPatience = std::chrono::seconds(1);
constexpr Duration kResendPause = std::chrono::milliseconds(200);
constexpr int kMaxRedirects = 2;
constexpr std::size_t kMaxRoutes = 12;
/// Share of programs that use a key that was withdrawn.
constexpr double kWithdrawnShare = 0.1;
/// Versions rise in uneven steps.
constexpr std::uint64_t kMostStep = 5;

} // namespace

Operator::Operator(net::EventLoop &loop, std::vector<Endpoint> controls, Observations &observations,
                   Random random)
    : m_loop(loop)
    , m_controls(std::move(controls))
    , m_observations(observations)
    , m_random(random)
    , m_client(
          loop,
          {[this](net::OutgoingId id, const net::HttpHead &head) {
               auto &call = m_calls[id];
               call.status = head.status;
               call.redirect = platform::redirection(head);
           },
           [this](net::OutgoingId id, std::string_view bytes) { m_calls[id].body.append(bytes); },
           [this](net::OutgoingId id, net::OutgoingResult end) { ended(id, end.complete); }})
{
}

auto Operator::start(fleet::Configuration configuration) -> void
{
    m_configuration = std::move(configuration);
    for (const auto &customer : m_configuration.customers)
        m_keys[customer.id.value] = customer.keys.front();
    place(
        {m_configuration.version, platform::writeConfiguration(m_configuration), true, {}, {}, {}});
    read();
}

auto Operator::account() -> CustomerAccount
{
    if (!m_withdrawn.empty() && m_random.unit() < kWithdrawnShare)
        return m_withdrawn[m_random.below(m_withdrawn.size())];
    auto chosen = m_keys.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(m_random.below(m_keys.size())));
    return {chosen->first, chosen->second};
}

auto Operator::anyControl() -> const Endpoint &
{
    return m_controls[m_random.below(m_controls.size())];
}

auto Operator::changeRoutes() -> void
{
    m_configuration.version += 1 + m_random.below(kMostStep);
    auto &routes = m_configuration.routes;
    constexpr std::size_t kPermanent = 3;
    if (routes.size() >= kMaxRoutes) {
        routes.erase(routes.begin() + kPermanent);
    } else {
        auto route = routes[1];
        route.name = "extra-" + std::to_string(++m_lastRoute);
        route.pathPrefix = "/" + route.name + "/";
        routes.push_back(std::move(route));
    }
    place(
        {m_configuration.version, platform::writeConfiguration(m_configuration), true, {}, {}, {}});
}

auto Operator::changeKey() -> void
{
    m_configuration.version += 1 + m_random.below(kMostStep);
    auto &customers = m_configuration.customers;
    auto &customer = customers[m_random.below(customers.size())];
    Order order;
    order.withdraws = customer.keys.front();
    order.customer = customer.id.value;
    order.gives = order.customer + "-key-" + std::to_string(++m_lastKey);
    customer.keys = {order.gives};
    order.version = m_configuration.version;
    order.document = platform::writeConfiguration(m_configuration);
    place(std::move(order));
}

auto Operator::sendInvalid() -> void
{
    auto broken = m_configuration;
    broken.version += 1000;
    auto &customers = broken.customers;
    auto document = platform::writeConfiguration(broken);
    switch (m_random.below(4)) {
    case 0: // A key of two customers.
        customers.back().keys = customers.front().keys;
        document = platform::writeConfiguration(broken);
        break;
    case 1: // Two routes with one prefix.
        broken.routes.push_back(broken.routes.front());
        document = platform::writeConfiguration(broken);
        break;
    case 2: // An unknown service.
        broken.routes.front().targets.front().service = fleet::ServiceId("nowhere");
        document = platform::writeConfiguration(broken);
        break;
    default: // Half a document.
        document.resize(document.size() / 2);
    }
    place({broken.version, document, false, {}, {}, {}});
}

auto Operator::place(Order order) -> void
{
    const auto number = ++m_lastOrder;
    if (order.isValid)
        m_observations.configurationSent(order.version, order.document);
    m_orders[number] = std::move(order);
    sendOrder(number, anyControl(), 0);
}

auto Operator::sendOrder(std::uint64_t order, const Endpoint &to, int redirects) -> void
{
    const auto &document = m_orders.at(order).document;
    send(platform::controlCall("POST", to, platform::call::kStoreConfiguration, document),
         {order, m_loop.now(), redirects, 0, {}, {}});
}

auto Operator::sendAgain(std::uint64_t order) -> void
{
    m_loop.at(m_loop.now() + kResendPause, [this, order] {
        if (m_orders.contains(order))
            sendOrder(order, anyControl(), 0);
    });
}

auto Operator::read() -> void
{
    sendRead(anyControl(), m_loop.now(), 0);
    m_loop.at(m_loop.now() + kReadInterval, [this] { read(); });
}

auto Operator::sendRead(const Endpoint &to, TimePoint sentAt, int redirects) -> void
{
    send(platform::controlCall("GET", to, platform::call::kReadConfiguration, {}),
         {0, sentAt, redirects, 0, {}, {}});
}

auto Operator::send(const net::OutgoingRequest &request, Call call) -> void
{
    const auto id = ++m_lastCall;
    m_calls[id] = std::move(call);
    m_client.send(id, request);
    m_loop.at(m_loop.now() + kAnswerPatience, [this, id] {
        if (!m_calls.contains(id))
            return;
        m_client.cancel(id);
        ended(id, false);
    });
}

auto Operator::ended(net::OutgoingId id, bool complete) -> void
{
    const auto found = m_calls.extract(id);
    if (found.empty())
        return;
    const auto &call = found.mapped();
    if (complete && call.redirect && call.redirects < kMaxRedirects) {
        if (call.order == 0)
            sendRead(*call.redirect, call.sentAt, call.redirects + 1);
        else if (m_orders.contains(call.order))
            sendOrder(call.order, *call.redirect, call.redirects + 1);
        return;
    }
    if (call.order != 0)
        return orderAnswered(call, complete);
    if (!complete || call.status != 200)
        return;
    m_lastRead = platform::versionOf(call.body);
    m_observations.configurationRead(call.sentAt, m_lastRead, call.body);
}

auto Operator::orderAnswered(const Call &call, bool complete) -> void
{
    const auto found = m_orders.find(call.order);
    if (found == m_orders.end())
        return;
    const auto isRefused =
        call.status >= 400 && call.status < 500 && call.status != 408 && call.status != 429;
    const auto isLost = !complete || m_random.unit() < m_lostAnswers;
    if (isLost || (call.status != 200 && !isRefused))
        return sendAgain(call.order);
    const auto order = found->second;
    m_orders.erase(found);
    if (order.isValid && isRefused)
        m_observations.broken("a valid configuration is accepted",
                              std::to_string(order.version) + ": " + call.body);
    if (!order.isValid && !isRefused)
        m_observations.broken("an invalid configuration is refused", order.document);
    if (!order.isValid || isRefused)
        return;
    m_observations.configurationAcknowledged(order.version, m_loop.now());
    if (order.gives.empty())
        return;
    m_withdrawn.push_back({order.customer, order.withdraws});
    auto &newest = m_keyVersions[order.customer];
    if (order.version > newest) {
        newest = order.version;
        m_keys[order.customer] = order.gives;
    }
    m_observations.keyGiven(order.gives, m_loop.now());
    m_observations.keyWithdrawn(order.withdraws, m_loop.now());
}

} // namespace heathergate::soak
