#include <heathergate/fleet/configuration.h>
#include <heathergate/fleet/configuration_change.h>

#include <set>

namespace heathergate::fleet {

namespace {

auto invalid(const std::string &detail) -> tl::unexpected<Error>
{
    return fail(Code::BadRequest, detail);
}

auto validateRoute(const Route &route, const std::set<ServiceId> &services) -> Result<void>
{
    if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'))
        return invalid("route " + route.name + ": the prefix must begin and end with a slash");
    if (route.timeout <= Duration::zero())
        return invalid("route " + route.name + ": the timeout must be above zero");
    if (route.targets.empty())
        return invalid("route " + route.name + " leads to no service");
    double weights = 0;
    for (const auto &target : route.targets) {
        if (!services.contains(target.service))
            return invalid("route " + route.name + ": unknown service " + target.service.value);
        if (!(target.weight >= 0))
            return invalid("route " + route.name + ": a weight is below zero");
        weights += target.weight;
    }
    if (!(weights > 0))
        return invalid("route " + route.name + ": the weights add up to zero");
    return {};
}

} // namespace

auto validate(const Configuration &configuration) -> Result<void>
{
    std::set<ServiceId> services;
    for (const auto &service : configuration.services) {
        if (!services.insert(service.id).second)
            return invalid("service " + service.id.value + " stands twice");
    }
    std::set<std::pair<std::string, std::string>> prefixes;
    for (const auto &route : configuration.routes) {
        if (auto valid = validateRoute(route, services); !valid)
            return valid;
        if (!prefixes.emplace(route.host, route.pathPrefix).second)
            return invalid("route " + route.name + " has the host and prefix of another one");
    }
    std::set<std::string> keys;
    std::set<CustomerId> customers;
    for (const auto &customer : configuration.customers) {
        if (!customers.insert(customer.id).second)
            return invalid("customer " + customer.id.value + " stands twice");
        for (const auto &key : customer.keys) {
            if (key.empty() || !keys.insert(key).second)
                return invalid("customer " + customer.id.value + " has an empty or shared key");
        }
    }
    return {};
}

ActiveConfiguration::ActiveConfiguration(Configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (std::size_t i = 0; i < m_configuration.routes.size(); ++i) {
        const auto &route = m_configuration.routes[i];
        m_routes[route.host][route.pathPrefix] = i;
    }
    indexServices();
    indexCustomers();
}

auto ActiveConfiguration::apply(const ConfigurationChange &change) -> Result<void>
{
    if (change.base == 0) {
        *this = ActiveConfiguration(Configuration{change.version, change.routes, change.services,
                                                  change.customers,
                                                  change.limits.value_or(CallerLimits())});
        return {};
    }
    if (change.base != version())
        return fail(Code::OutOfOrder, "the change has the base " + std::to_string(change.base)
                                          + ", in force is " + std::to_string(version()));
    for (const auto &[host, pathPrefix] : change.removedRoutes)
        removeRoute(host, pathPrefix);
    for (const auto &route : change.routes)
        setRoute(route);
    applyServices(change);
    applyCustomers(change);
    if (change.limits)
        m_configuration.limits = *change.limits;
    m_configuration.version = change.version;
    return {};
}

auto ActiveConfiguration::setRoute(const Route &route) -> void
{
    auto &routes = m_configuration.routes;
    const auto [found, isNew] = m_routes[route.host].try_emplace(route.pathPrefix, routes.size());
    if (isNew)
        routes.push_back(route);
    else
        routes[found->second] = route;
}

auto ActiveConfiguration::removeRoute(const std::string &host, const std::string &pathPrefix)
    -> void
{
    const auto prefixes = m_routes.find(host);
    if (prefixes == m_routes.end())
        return;
    const auto found = prefixes->second.find(pathPrefix);
    if (found == prefixes->second.end())
        return;
    auto &routes = m_configuration.routes;
    const auto index = found->second;
    prefixes->second.erase(found);
    if (prefixes->second.empty())
        m_routes.erase(prefixes);
    // The last route takes the place of the removed one.
    if (index + 1 < routes.size()) {
        routes[index] = std::move(routes.back());
        m_routes[routes[index].host][routes[index].pathPrefix] = index;
    }
    routes.pop_back();
}

auto ActiveConfiguration::applyServices(const ConfigurationChange &change) -> void
{
    auto &services = m_configuration.services;
    std::set<ServiceId> replaced(change.removedServices.begin(), change.removedServices.end());
    for (const auto &service : change.services)
        replaced.insert(service.id);
    if (replaced.empty())
        return;
    std::erase_if(services, [&](const auto &item) { return replaced.contains(item.id); });
    services.insert(services.end(), change.services.begin(), change.services.end());
    indexServices();
}

auto ActiveConfiguration::applyCustomers(const ConfigurationChange &change) -> void
{
    auto &customers = m_configuration.customers;
    std::set<CustomerId> replaced(change.removedCustomers.begin(), change.removedCustomers.end());
    for (const auto &customer : change.customers)
        replaced.insert(customer.id);
    if (replaced.empty())
        return;
    std::erase_if(customers, [&](const auto &item) { return replaced.contains(item.id); });
    customers.insert(customers.end(), change.customers.begin(), change.customers.end());
    indexCustomers();
}

auto ActiveConfiguration::indexServices() -> void
{
    m_services.clear();
    for (std::size_t i = 0; i < m_configuration.services.size(); ++i)
        m_services[m_configuration.services[i].id] = i;
}

auto ActiveConfiguration::indexCustomers() -> void
{
    m_customers.clear();
    m_customersByKey.clear();
    for (std::size_t i = 0; i < m_configuration.customers.size(); ++i) {
        const auto &customer = m_configuration.customers[i];
        m_customers[customer.id] = i;
        for (const auto &key : customer.keys)
            m_customersByKey[key] = i;
    }
}

auto ActiveConfiguration::routeAt(const std::string &host, std::string_view pathPrefix) const
    -> const Route *
{
    const auto prefixes = m_routes.find(host);
    if (prefixes == m_routes.end())
        return nullptr;
    const auto found = prefixes->second.find(pathPrefix);
    return found == prefixes->second.end() ? nullptr : &m_configuration.routes[found->second];
}

auto ActiveConfiguration::route(const std::string &host, std::string_view path) const
    -> const Route *
{
    const auto routes = m_routes.find(host);
    if (routes == m_routes.end())
        return nullptr;
    // Every prefix ends with a slash, so that only the parts of the path up to a slash can match.
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = routes->second.find(path.substr(0, end + 1));
        if (found != routes->second.end())
            return &m_configuration.routes[found->second];
    }
    return nullptr;
}

auto ActiveConfiguration::customerOf(const std::string &key) const -> const Customer *
{
    const auto found = m_customersByKey.find(key);
    return found == m_customersByKey.end() ? nullptr : &m_configuration.customers[found->second];
}

auto ActiveConfiguration::customer(const CustomerId &id) const -> const Customer *
{
    const auto found = m_customers.find(id);
    return found == m_customers.end() ? nullptr : &m_configuration.customers[found->second];
}

auto ActiveConfiguration::service(const ServiceId &id) const -> const Service *
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &m_configuration.services[found->second];
}

} // namespace heathergate::fleet
