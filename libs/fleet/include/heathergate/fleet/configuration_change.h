#pragma once

#include <heathergate/fleet/configuration.h>

#include <compare>
#include <deque>
#include <set>

/// Differences between two versions of the configuration, which instances exchange in place of
/// complete configurations.
namespace heathergate::fleet {

/// Host and path prefix of a route, which are unique within a configuration.
struct RouteKey
{
    std::string host;
    std::string pathPrefix;

    auto operator<=>(const RouteKey &) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(RouteKey, host, pathPrefix)
};

/// What has to be set and removed in version `base` of the configuration to get `version`.
struct ConfigurationChange
{
    /// 0 if the change is a complete configuration.
    std::uint64_t base = 0;
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<RouteKey> removedRoutes;
    std::vector<Service> services;
    std::vector<ServiceId> removedServices;
    std::vector<Customer> customers;
    std::vector<CustomerId> removedCustomers;
    /// Set if the limits differ.
    std::optional<CallerLimits> limits;
};

/// Returns the encoding of a change: a sequence of CBOR items, each after its length, so that the
/// memory for decoding does not grow with the number of entries.
[[nodiscard]] auto encodeChange(const ConfigurationChange &change) -> std::string;

/// Decodes a change. Fails with `Code::BadFrame`.
[[nodiscard]] auto decodeChange(std::string_view bytes) -> Result<ConfigurationChange>;

/// Returns the change that leads from the active configuration to another one.
[[nodiscard]] auto difference(const ActiveConfiguration &from, const Configuration &to)
    -> ConfigurationChange;

/// Returns a configuration as a change without a base.
[[nodiscard]] auto completeChange(const Configuration &configuration) -> ConfigurationChange;

/// Remembers which entries the latest versions changed, so that a gateway that has an older version
/// can be sent just these. It holds keys only; the entries come from the active configuration.
class ConfigurationHistory
{
public:
    /// Records a change that was applied to the active configuration.
    auto record(const ConfigurationChange &change) -> void;
    /// Returns the change from a version to the active one; a complete one if the version is not
    /// remembered.
    [[nodiscard]] auto since(std::uint64_t version, const ActiveConfiguration &active) const
        -> ConfigurationChange;

private:
    /// Limit of the keys of all remembered versions.
    static constexpr std::size_t kMaxKeys = 8192;

    /// The entries that differ between the version `base` and its successor.
    struct Step
    {
        std::uint64_t base = 0;
        std::set<RouteKey> routes;
        std::set<ServiceId> services;
        std::set<CustomerId> customers;
        bool hasNewLimits = false;

        [[nodiscard]] auto keys() const -> std::size_t
        {
            return routes.size() + services.size() + customers.size();
        }
    };

    /// Oldest first; the base of each is the version that the one before led to.
    std::deque<Step> m_steps;
    std::size_t m_keys = 0;
};

} // namespace heathergate::fleet
