#pragma once

#include <heathergate/core/core.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// A fleet whose gateways request the placement of each request from one leader: its configuration,
/// its replicated state and the decisions of both sides, as state machines without I/O.
namespace heathergate::fleet {

using ServiceId = TextId<struct ServiceTag>;

/// Whether requests on a route may be retried.
enum class RouteKind {
    /// Requests are idempotent.
    Safe,
    /// Requests are not idempotent; each runs at most once.
    Unsafe,
    /// The response is a stream of events.
    Stream,
};

/// A service that receives a share of a route's requests in proportion to its weight.
struct RouteTarget
{
    ServiceId service;
    double weight = 1;

    auto operator==(const RouteTarget &) const -> bool = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(RouteTarget, service, weight)
};

/// A routing rule, as operators edit it: the services that requests under a path prefix are sent
/// to, and the limits of these requests.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Safe;
    /// Maximum time until a request is answered.
    Duration timeout{};
    /// Target time to the response, or to the first event of a stream.
    Duration targetLatency{};
    /// Target for the maximum pause between events of a stream.
    Duration targetGap{};
    /// Lower values are placed first; 0 is the highest priority.
    int priority = 0;
    std::vector<RouteTarget> targets;
    /// Maximum number of upstreams that one request may be sent to.
    int maxAttempts = 1;
    /// Requests need no key.
    bool isOpen = false;
    /// A stream may be resumed at another upstream after its last event.
    bool isResumable = false;
    /// Requests carry only their new input; the fleet adds the earlier turns of their chain.
    bool keepsHistory = false;
    /// Time for which a program of this route may resume after its last request, and for which its
    /// turns are retained.
    Duration retention{};

    auto operator==(const Route &) const -> bool = default;
    // Configurations that earlier versions stored lack the newest fields.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(Route, name, host, pathPrefix, kind, timeout,
                                                targetLatency, targetGap, priority, targets,
                                                maxAttempts, isOpen, isResumable, keepsHistory,
                                                retention)
};

/// Limits of the engines of a service.
struct EngineLimits
{
    /// Memory capacity of an engine, in tokens of prompts and responses.
    std::int64_t memoryTokens = 0;
    /// Number of tokens in each event of a stream.
    int tokensPerEvent = 1;

    auto operator==(const EngineLimits &) const -> bool = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(EngineLimits, memoryTokens, tokensPerEvent)
};

struct Service
{
    ServiceId id;
    /// Maximum number of connections that one upstream accepts.
    int maxConnections = 0;
    /// Set for a service whose upstreams are model engines.
    std::optional<EngineLimits> engine;
    /// Requests per second that a cold upstream tolerates; zero means that they are not limited.
    double coldRate = 0;

    auto operator==(const Service &) const -> bool = default;
    // Configurations that earlier versions stored lack the newest fields.
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(Service, id, maxConnections, engine, coldRate)
};

struct Customer
{
    CustomerId id;
    std::vector<std::string> keys;
    /// Lower values are placed first; this priority outranks the priority of the route.
    int priority = 0;
    /// Requests per second across all gateways; 0 means no limit.
    double ratePerSecond = 0;
    /// Requests allowed in a quota window in addition to the rate.
    double burst = 0;

    auto operator==(const Customer &) const -> bool = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(Customer, id, keys, priority, ratePerSecond, burst)
};

/// Limits of the size of requests and of the idle time of connections from callers.
struct CallerLimits
{
    std::uint64_t maxHeadBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    auto operator==(const CallerLimits &) const -> bool = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(CallerLimits, maxHeadBytes, maxBodyBytes, headTimeout,
                                   idleTimeout)
};

/// A complete configuration. The one with the highest version is active.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Customer> customers;
    CallerLimits limits;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(Configuration, version, routes, services, customers, limits)
};

/// Validates a configuration: routes refer to known services; identifiers, prefixes and keys are
/// unique; timeouts and the sum of a route's weights are positive. Fails with `Code::BadRequest`
/// and names the entry.
[[nodiscard]] auto validate(const Configuration &configuration) -> Result<void>;

/// Limit of the size of the document in which an operator sends a configuration.
constexpr std::size_t kMaxDocumentBytes = 2UL * 1024 * 1024;
/// Limit of the encoded size of a configuration, which names each of its fields.
constexpr std::size_t kMaxConfigurationBytes = 4 * kMaxDocumentBytes;

struct ConfigurationChange;

/// A configuration with indexes for the lookups of each request.
class ActiveConfiguration
{
public:
    ActiveConfiguration() = default;
    explicit ActiveConfiguration(Configuration configuration);

    /// Applies a change. Fails with `Code::OutOfOrder` if its base is another version, and changes
    /// nothing then.
    [[nodiscard]] auto apply(const ConfigurationChange &change) -> Result<void>;

    /// Returns the active version; 0 while there is none.
    [[nodiscard]] auto version() const -> std::uint64_t
    {
        return m_configuration.version;
    }
    [[nodiscard]] auto all() const -> const Configuration &
    {
        return m_configuration;
    }
    /// Returns the route of `host` with the longest prefix of `path`; null if there is none.
    [[nodiscard]] auto route(const std::string &host, std::string_view path) const -> const Route *;
    /// Returns the route with exactly this host and prefix; null if there is none.
    [[nodiscard]] auto routeAt(const std::string &host, std::string_view pathPrefix) const
        -> const Route *;
    /// Returns the customer that a key belongs to; null if the key is unknown.
    [[nodiscard]] auto customerOf(const std::string &key) const -> const Customer *;
    [[nodiscard]] auto customer(const CustomerId &id) const -> const Customer *;
    [[nodiscard]] auto service(const ServiceId &id) const -> const Service *;

private:
    auto setRoute(const Route &route) -> void;
    auto removeRoute(const std::string &host, const std::string &pathPrefix) -> void;
    auto applyServices(const ConfigurationChange &change) -> void;
    auto applyCustomers(const ConfigurationChange &change) -> void;
    auto indexServices() -> void;
    auto indexCustomers() -> void;

    Configuration m_configuration;
    std::unordered_map<std::string, std::map<std::string, std::size_t, std::less<>>> m_routes;
    std::unordered_map<std::string, std::size_t> m_customersByKey;
    std::unordered_map<CustomerId, std::size_t> m_customers;
    std::unordered_map<ServiceId, std::size_t> m_services;
};

} // namespace heathergate::fleet
