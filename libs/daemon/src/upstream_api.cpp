#include <heathergate/daemon/internal/upstream_api.h>

namespace heathergate::daemon::internal {

namespace {

constexpr Duration kAnnounceDeadline = std::chrono::seconds(5);
/// Interval between renewals that announced upstreams are asked to keep.
constexpr int kRenewSeconds = 2;
constexpr int kMaxSlots = 100'000;
/// Maximum number of models, and of services, of an upstream.
constexpr std::size_t kMaxNames = 100;
/// Maximum length of a text field in bytes.
constexpr std::size_t kMaxIdLength = 64;

auto readNames(const nlohmann::json &body, const std::string &field)
    -> Result<std::vector<std::string>>
{
    const auto found = body.find(field);
    if (found == body.end())
        return std::vector<std::string>();
    const auto isText = [](const nlohmann::json &item) { return item.is_string(); };
    if (!found->is_array() || found->size() > kMaxNames
        || !std::all_of(found->begin(), found->end(), isText))
        return fail(Code::BadRequest, field + ": must be a list of at most 100 names");
    return found->get<std::vector<std::string>>();
}

auto readText(const nlohmann::json &body, const std::string &field) -> Result<std::string>
{
    const auto found = body.find(field);
    if (found == body.end() || !found->is_string() || found->get<std::string>().empty()
        || found->get<std::string>().size() > kMaxIdLength)
        return fail(Code::BadRequest, field + ": must be text of 1 to 64 characters");
    return found->get<std::string>();
}

auto readOffer(const nlohmann::json &body) -> Result<control::UpstreamOffer>
{
    control::UpstreamOffer offer;
    const auto id = readText(body, "id");
    const auto boot = readText(body, "boot_id");
    const auto address = readText(body, "address");
    const auto domain = readText(body, "failure_domain");
    for (const auto *field : {&id, &boot, &address, &domain}) {
        if (!*field)
            return tl::unexpected(field->error());
    }
    if (const auto endpoint = parseEndpoint(*address); !endpoint)
        return fail(Code::BadRequest, "address: " + endpoint.error().detail);
    const auto models = readNames(body, "models");
    const auto services = readNames(body, "services");
    for (const auto *field : {&models, &services}) {
        if (!*field)
            return tl::unexpected(field->error());
    }
    const auto slots = body.value("slots", nlohmann::json(1));
    if (!slots.is_number_integer() || slots < 1 || slots > kMaxSlots)
        return fail(Code::BadRequest, "slots: must be a whole number from 1 to 100000");
    const auto context = body.value("context_tokens", nlohmann::json(0));
    if (!context.is_number_integer() || context < 0)
        return fail(Code::BadRequest, "context_tokens: must be a whole number from 0");
    const auto fencing = body.value("checks_fencing", nlohmann::json(false));
    if (!fencing.is_boolean())
        return fail(Code::BadRequest, "checks_fencing: must be true or false");
    offer.id = UpstreamId(*id);
    offer.bootId = *boot;
    offer.address = *address;
    offer.domain = FailureDomainId(*domain);
    offer.models = *models;
    offer.services = *services;
    offer.kind = models->empty() ? control::UpstreamKind::Service : control::UpstreamKind::Engine;
    offer.slots = slots.get<int>();
    offer.contextTokens = context.get<std::int64_t>();
    offer.checksFencing = fencing.get<bool>();
    return offer;
}

} // namespace

auto UpstreamApi::handle(TimePoint now, http::Token token, const http::Request &request) -> bool
{
    if (!request.path.starts_with("/upstream/v1/") || request.method != "POST")
        return false;
    const auto key = bearerKey(request);
    if (!key || !equalInConstantTime(*key, m_context.settings.upstreamToken)) {
        m_context.refuse(token, Error{Code::NotAnUpstream, "the upstream token is not valid"});
        return true;
    }
    const auto body = parseJsonObject(request.body);
    if (!body)
        m_context.refuse(token, body.error());
    else if (request.path == "/upstream/v1/announce")
        announce(now, token, *body);
    else if (request.path == "/upstream/v1/renew")
        renew(token, *body);
    else if (request.path == "/upstream/v1/leave")
        leave(now, token, *body);
    else
        return false;
    return true;
}

auto UpstreamApi::takeRenewals() -> std::vector<wire::UpstreamLoad>
{
    std::vector<wire::UpstreamLoad> renewals;
    for (const auto &[id, renewal] : m_renewals)
        renewals.push_back(renewal);
    m_renewals.clear();
    return renewals;
}

auto UpstreamApi::announce(TimePoint now, http::Token token, const nlohmann::json &body) -> void
{
    const auto offer = readOffer(body);
    if (!offer)
        return m_context.refuse(token, offer.error());
    m_context.applyControl(
        now, control::AnnounceUpstream{*offer}, now + kAnnounceDeadline,
        [this, token](TimePoint, const Result<control::ControlOutcome> &outcome) {
            if (!outcome)
                return m_context.refuse(token, outcome.error());
            m_context.respond(token, jsonResponse({{"incarnation", outcome->number},
                                                   {"renew_s", kRenewSeconds}}));
        });
}

auto UpstreamApi::renew(http::Token token, const nlohmann::json &body) -> void
{
    const auto id = readText(body, "id");
    const auto incarnation = body.value("incarnation", nlohmann::json());
    const auto requests = body.value("requests", nlohmann::json(0));
    if (!id || !incarnation.is_number_unsigned() || !requests.is_number_integer())
        return m_context.refuse(
            token, Error{Code::BadRequest,
                         "id, incarnation and requests: must be text and whole numbers"});
    const UpstreamId upstream(*id);
    const auto &known = m_context.view.state().upstreams();
    const auto record = known.find(upstream);
    const auto announced = incarnation.get<std::uint64_t>();
    const auto isUnknown = record == known.end() || record->second.incarnation != announced;
    if (isUnknown && m_context.view.state().revision() >= announced)
        return m_context.refuse(
            token, Error{Code::UnknownUpstream, "this incarnation is not known; announce again"});
    m_renewals[upstream] = {upstream, announced, requests.get<int>()};
    const auto evicted = body.value("evicted", nlohmann::json::array());
    if (evicted.is_array()) {
        for (const auto &prefix : evicted) {
            if (prefix.is_number_unsigned())
                m_runner.cacheEvicted(upstream, prefix.get<std::uint64_t>());
        }
    }
    m_context.respond(token, jsonResponse({{"renew_s", kRenewSeconds}}));
}

auto UpstreamApi::leave(TimePoint now, http::Token token, const nlohmann::json &body) -> void
{
    const auto id = readText(body, "id");
    const auto incarnation = body.value("incarnation", nlohmann::json());
    if (!id || !incarnation.is_number_unsigned())
        return m_context.refuse(
            token, Error{Code::BadRequest, "id and incarnation: must be text and a whole number"});
    m_renewals.erase(UpstreamId(*id));
    m_context.applyControl(
        now, control::RemoveUpstream{UpstreamId(*id), incarnation.get<std::uint64_t>()},
        now + kAnnounceDeadline,
        [this, token](TimePoint, const Result<control::ControlOutcome> &outcome) {
            if (!outcome)
                return m_context.refuse(token, outcome.error());
            m_context.respond(token, http::Response{204, {}, {}});
        });
}

} // namespace heathergate::daemon::internal
