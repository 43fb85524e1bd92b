#include "operator.h"

#include <heathergate/platform/names.h>
#include <heathergate/platform/sender_formats.h>

namespace heathergate::soak {

namespace {

constexpr Duration kReadInterval = std::chrono::milliseconds(400);
constexpr Duration kAnswerTimeout = std::chrono::seconds(1);
constexpr Duration kResendPause = std::chrono::milliseconds(200);
constexpr int kMaxRedirects = 2;
constexpr std::size_t kMaxRoutes = 12;
/// Share of programs that use a withdrawn key.
constexpr double kWithdrawnShare = 0.1;
/// Versions increase by random steps from 1 to this value.
constexpr std::uint64_t kMaxVersionStep = 5;

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
    submitUpdate(
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

auto Operator::randomControl() -> const Endpoint &
{
    return m_controls[m_random.below(m_controls.size())];
}

auto Operator::changeRoutes() -> void
{
    m_configuration.version += 1 + m_random.below(kMaxVersionStep);
    auto &routes = m_configuration.routes;
    constexpr std::size_t kPermanentRoutes = 3;
    if (routes.size() >= kMaxRoutes) {
        routes.erase(routes.begin() + kPermanentRoutes);
    } else {
        auto route = routes[1];
        route.name = "extra-" + std::to_string(++m_lastRoute);
        route.pathPrefix = "/" + route.name + "/";
        routes.push_back(std::move(route));
    }
    submitUpdate(
        {m_configuration.version, platform::writeConfiguration(m_configuration), true, {}, {}, {}});
}

auto Operator::changeKey() -> void
{
    m_configuration.version += 1 + m_random.below(kMaxVersionStep);
    auto &customers = m_configuration.customers;
    auto &customer = customers[m_random.below(customers.size())];
    ConfigurationUpdate update;
    update.withdrawnKey = customer.keys.front();
    update.customer = customer.id.value;
    update.newKey = update.customer + "-key-" + std::to_string(++m_lastKey);
    customer.keys = {update.newKey};
    update.version = m_configuration.version;
    update.document = platform::writeConfiguration(m_configuration);
    submitUpdate(std::move(update));
}

auto Operator::sendInvalid() -> void
{
    auto invalid = m_configuration;
    invalid.version += 1000;
    auto &customers = invalid.customers;
    auto document = platform::writeConfiguration(invalid);
    switch (m_random.below(4)) {
    case 0: // One key belongs to two customers.
        customers.back().keys = customers.front().keys;
        document = platform::writeConfiguration(invalid);
        break;
    case 1: // Two routes have the same host and prefix.
        invalid.routes.push_back(invalid.routes.front());
        document = platform::writeConfiguration(invalid);
        break;
    case 2: // A route refers to an unknown service.
        invalid.routes.front().targets.front().service = fleet::ServiceId("nowhere");
        document = platform::writeConfiguration(invalid);
        break;
    default: // The document is truncated.
        document.resize(document.size() / 2);
    }
    submitUpdate({invalid.version, document, false, {}, {}, {}});
}

auto Operator::submitUpdate(ConfigurationUpdate update) -> void
{
    const auto number = ++m_lastUpdate;
    if (update.isValid)
        m_observations.configurationSent(update.version, update.document);
    m_updates[number] = std::move(update);
    sendUpdate(number, randomControl(), 0);
}

auto Operator::sendUpdate(std::uint64_t update, const Endpoint &to, int redirects) -> void
{
    const auto &document = m_updates.at(update).document;
    send(platform::controlCall("POST", to, platform::call::kStoreConfiguration, document),
         {update, m_loop.now(), redirects, 0, {}, {}});
}

auto Operator::resend(std::uint64_t update) -> void
{
    m_loop.at(m_loop.now() + kResendPause, [this, update] {
        if (m_updates.contains(update))
            sendUpdate(update, randomControl(), 0);
    });
}

auto Operator::read() -> void
{
    sendRead(randomControl(), m_loop.now(), 0);
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
    m_loop.at(m_loop.now() + kAnswerTimeout, [this, id] {
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
        if (call.update == 0)
            sendRead(*call.redirect, call.sentAt, call.redirects + 1);
        else if (m_updates.contains(call.update))
            sendUpdate(call.update, *call.redirect, call.redirects + 1);
        return;
    }
    if (call.update != 0)
        return updateAnswered(call, complete);
    if (!complete || call.status != 200)
        return;
    m_lastRead = platform::versionOf(call.body);
    m_observations.configurationRead(call.sentAt, m_lastRead, call.body);
}

auto Operator::updateAnswered(const Call &call, bool complete) -> void
{
    const auto found = m_updates.find(call.update);
    if (found == m_updates.end())
        return;
    const auto isRefused =
        call.status >= 400 && call.status < 500 && call.status != 408 && call.status != 429;
    const auto isAnswerLost = !complete || m_random.unit() < m_answerLossShare;
    if (isAnswerLost || (call.status != 200 && !isRefused))
        return resend(call.update);
    const auto update = found->second;
    m_updates.erase(found);
    if (update.isValid && isRefused)
        m_observations.reportViolation("valid configuration accepted",
                                       std::to_string(update.version) + ": " + call.body);
    if (!update.isValid && !isRefused)
        m_observations.reportViolation("invalid configuration refused", update.document);
    if (!update.isValid || isRefused)
        return;
    m_observations.configurationAcknowledged(update.version, m_loop.now());
    if (update.newKey.empty())
        return;
    m_withdrawn.push_back({update.customer, update.withdrawnKey});
    auto &newest = m_keyVersions[update.customer];
    if (update.version > newest) {
        newest = update.version;
        m_keys[update.customer] = update.newKey;
    }
    m_observations.keyGiven(update.newKey, m_loop.now());
    m_observations.keyWithdrawn(update.withdrawnKey, m_loop.now());
}

} // namespace heathergate::soak
