#pragma once

#include <heathergate/fleet/configuration.h>

/// Configurations of many routes, for tests.
namespace heathergate::fleet::test {

using namespace std::chrono_literals;

/// Returns a configuration with `routes` routes and identifiers of realistic length.
inline auto configurationWith(std::uint64_t version, std::size_t routes) -> Configuration
{
    Configuration result;
    result.version = version;
    result.services.push_back({ServiceId("tools"), 200, std::nullopt});
    for (std::size_t i = 0; i < routes; ++i) {
        Route route;
        route.name = "r-" + std::to_string(hash64(std::to_string(i)));
        route.host = "ficu95.example";
        route.pathPrefix = "/" + std::to_string(hash64(route.name)) + "/";
        route.kind = RouteKind::Safe;
        route.timeout = 3s;
        route.targetLatency = 250ms;
        route.targets = {{ServiceId("tools"), 1}};
        result.routes.push_back(route);
    }
    return result;
}

/// Returns a document of the size that operators send for a configuration.
inline auto documentOf(const Configuration &configuration) -> std::string
{
    return nlohmann::json(configuration).dump();
}

} // namespace heathergate::fleet::test
