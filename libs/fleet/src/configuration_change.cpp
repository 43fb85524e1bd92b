#include <heathergate/fleet/configuration_change.h>

namespace heathergate::fleet {

namespace {

auto keyOf(const Route &route) -> RouteKey
{
    return {route.host, route.pathPrefix};
}

auto keyOf(const Service &service) -> ServiceId
{
    return service.id;
}

auto keyOf(const Customer &customer) -> CustomerId
{
    return customer.id;
}

/// Adds the entries of `to` that `from` lacks or holds differently, and the keys that only `from`
/// has.
template <typename Entry, typename Key>
auto compareEntries(const std::vector<Entry> &from, const std::vector<Entry> &to,
                    std::vector<Entry> &changed, std::vector<Key> &removed) -> void
{
    std::map<Key, const Entry *> before;
    for (const auto &entry : from)
        before.emplace(keyOf(entry), &entry);
    for (const auto &entry : to) {
        const auto found = before.find(keyOf(entry));
        if (found == before.end() || !(*found->second == entry))
            changed.push_back(entry);
        if (found != before.end())
            before.erase(found);
    }
    for (const auto &[key, entry] : before)
        removed.push_back(key);
}

template <typename Entry, typename Key>
auto addKeys(const std::vector<Entry> &changed, const std::vector<Key> &removed,
             std::set<Key> &keys) -> void
{
    for (const auto &entry : changed)
        keys.insert(keyOf(entry));
    keys.insert(removed.begin(), removed.end());
}

/// Sorts keys into entries that exist, as `find` returns them, and removed ones.
template <typename Entry, typename Key, typename Find>
auto collect(const std::set<Key> &keys, const Find &find, std::vector<Entry> &changed,
             std::vector<Key> &removed) -> void
{
    for (const auto &key : keys) {
        if (const Entry *entry = find(key))
            changed.push_back(*entry);
        else
            removed.push_back(key);
    }
}

/// The first item of an encoded change: all but the entries, whose numbers it holds.
struct ChangeHeader
{
    std::uint64_t base = 0;
    std::uint64_t version = 0;
    std::vector<RouteKey> removedRoutes;
    std::vector<ServiceId> removedServices;
    std::vector<CustomerId> removedCustomers;
    std::optional<CallerLimits> limits;
    std::size_t routes = 0;
    std::size_t services = 0;
    std::size_t customers = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ChangeHeader, base, version, removedRoutes, removedServices,
                                   removedCustomers, limits, routes, services, customers)
};

constexpr std::size_t kLengthBytes = 4;

template <typename Item>
auto appendItem(std::string &out, const Item &item) -> void
{
    const auto bytes = encode(item);
    for (std::size_t i = 0; i < kLengthBytes; ++i)
        out.push_back(static_cast<char>((bytes.size() >> (8 * i)) & 0xff));
    out += bytes;
}

template <typename Item>
auto takeItem(std::string_view &bytes) -> Result<Item>
{
    if (bytes.size() < kLengthBytes)
        return fail(Code::BadFrame, "the change ends early");
    std::size_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    bytes.remove_prefix(kLengthBytes);
    if (bytes.size() < length)
        return fail(Code::BadFrame, "the change ends early");
    auto item = decode<Item>(bytes.substr(0, length));
    bytes.remove_prefix(length);
    return item;
}

template <typename Item>
auto takeItems(std::string_view &bytes, std::size_t count, std::vector<Item> &items) -> Result<void>
{
    for (std::size_t i = 0; i < count; ++i) {
        auto item = takeItem<Item>(bytes);
        if (!item)
            return tl::unexpected(item.error());
        items.push_back(std::move(*item));
    }
    return {};
}

} // namespace

auto encodeChange(const ConfigurationChange &change) -> std::string
{
    std::string bytes;
    appendItem(bytes,
               ChangeHeader{change.base, change.version, change.removedRoutes,
                            change.removedServices, change.removedCustomers, change.limits,
                            change.routes.size(), change.services.size(), change.customers.size()});
    for (const auto &route : change.routes)
        appendItem(bytes, route);
    for (const auto &service : change.services)
        appendItem(bytes, service);
    for (const auto &customer : change.customers)
        appendItem(bytes, customer);
    return bytes;
}

auto decodeChange(std::string_view bytes) -> Result<ConfigurationChange>
{
    auto header = takeItem<ChangeHeader>(bytes);
    if (!header)
        return tl::unexpected(header.error());
    ConfigurationChange change;
    change.base = header->base;
    change.version = header->version;
    change.removedRoutes = std::move(header->removedRoutes);
    change.removedServices = std::move(header->removedServices);
    change.removedCustomers = std::move(header->removedCustomers);
    change.limits = header->limits;
    return takeItems(bytes, header->routes, change.routes)
        .and_then([&] { return takeItems(bytes, header->services, change.services); })
        .and_then([&] { return takeItems(bytes, header->customers, change.customers); })
        .map([&] { return std::move(change); });
}

auto difference(const ActiveConfiguration &from, const Configuration &to) -> ConfigurationChange
{
    if (from.version() == 0)
        return completeChange(to);
    ConfigurationChange change;
    change.base = from.version();
    change.version = to.version;
    const auto &before = from.all();
    compareEntries(before.routes, to.routes, change.routes, change.removedRoutes);
    compareEntries(before.services, to.services, change.services, change.removedServices);
    compareEntries(before.customers, to.customers, change.customers, change.removedCustomers);
    if (!(before.limits == to.limits))
        change.limits = to.limits;
    return change;
}

auto completeChange(const Configuration &configuration) -> ConfigurationChange
{
    ConfigurationChange change;
    change.version = configuration.version;
    change.routes = configuration.routes;
    change.services = configuration.services;
    change.customers = configuration.customers;
    change.limits = configuration.limits;
    return change;
}

auto ConfigurationHistory::record(const ConfigurationChange &change) -> void
{
    if (change.base == 0) {
        m_steps.clear();
        m_keys = 0;
        return;
    }
    Step step;
    step.base = change.base;
    addKeys(change.routes, change.removedRoutes, step.routes);
    addKeys(change.services, change.removedServices, step.services);
    addKeys(change.customers, change.removedCustomers, step.customers);
    step.hasNewLimits = change.limits.has_value();
    m_keys += step.keys();
    m_steps.push_back(std::move(step));
    while (m_keys > kMaxKeys) {
        m_keys -= m_steps.front().keys();
        m_steps.pop_front();
    }
}

auto ConfigurationHistory::since(std::uint64_t version, const ActiveConfiguration &active) const
    -> ConfigurationChange
{
    auto step = std::find_if(m_steps.begin(), m_steps.end(),
                             [&](const auto &item) { return item.base == version; });
    if (version == 0 || step == m_steps.end())
        return completeChange(active.all());
    Step all;
    for (; step != m_steps.end(); ++step) {
        all.routes.insert(step->routes.begin(), step->routes.end());
        all.services.insert(step->services.begin(), step->services.end());
        all.customers.insert(step->customers.begin(), step->customers.end());
        all.hasNewLimits = all.hasNewLimits || step->hasNewLimits;
    }
    ConfigurationChange change;
    change.base = version;
    change.version = active.version();
    const auto findRoute = [&](const RouteKey &key) {
        return active.routeAt(key.host, key.pathPrefix);
    };
    const auto findService = [&](const ServiceId &id) { return active.service(id); };
    const auto findCustomer = [&](const CustomerId &id) { return active.customer(id); };
    collect(all.routes, findRoute, change.routes, change.removedRoutes);
    collect(all.services, findService, change.services, change.removedServices);
    collect(all.customers, findCustomer, change.customers, change.removedCustomers);
    if (all.hasNewLimits)
        change.limits = active.all().limits;
    return change;
}

} // namespace heathergate::fleet
