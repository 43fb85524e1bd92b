#pragma once

#include <heathergate/core/core.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// A fleet whose gateways ask one leader for each request's place: its configuration, its
/// replicated state and the decisions of both sides, as state machines without I/O.
namespace heathergate::fleet {

using ServiceId = TextId<struct ServiceTag>;

/// What may be repeated on a route.
enum class RouteKind {
    /// Requests are idempotent.
    Safe,
    /// Each request runs at most once.
    Unsafe,
    /// The answer is a stream of events.
    Stream,
};

/// A service that gets a share of a route's requests.
struct RouteTarget
{
    ServiceId service;
    double weight = 1;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(RouteTarget, service, weight)
};

/// One column of the table that operators edit: where the requests of a path go, and how.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Safe;
    /// Longest time for which a request may stay unanswered.
    Duration timeout{};
    /// Time within which an answer, or the first event of a stream, has its full worth.
    Duration targetLatency{};
    /// Longest pause between events with which a stream still has its full worth.
    Duration targetGap{};
    /// 0 goes first.
    int priority = 0;
    std::vector<RouteTarget> targets;
    /// Upstreams that one request may be sent to.
    int maxAttempts = 1;
    /// Needs no key.
    bool isOpen = false;
    /// A stream may go on at another upstream after its last event.
    bool isResumable = false;
    /// Time for which a program of this route may come back.
    Duration retention{};

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(Route, name, host, pathPrefix, kind, timeout, targetLatency,
                                   targetGap, priority, targets, maxAttempts, isOpen, isResumable,
                                   retention)
};

/// Limits of the engines of a service.
struct EngineLimits
{
    /// Tokens of prompts and answers that the memory holds.
    std::int64_t memoryTokens = 0;
    /// Tokens in each event of a stream.
    int tokensPerEvent = 1;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(EngineLimits, memoryTokens, tokensPerEvent)
};

struct Service
{
    ServiceId id;
    /// Connections that one upstream accepts.
    int maxConnections = 0;
    /// Of a service of model engines.
    std::optional<EngineLimits> engine;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(Service, id, maxConnections, engine)
};

struct Customer
{
    CustomerId id;
    std::vector<std::string> keys;
    int priority = 0;
    /// Requests a second over all gateways; 0 means no limit.
    double ratePerSecond = 0;
    double burst = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(Customer, id, keys, priority, ratePerSecond, burst)
};

/// What callers may send and for how long they may stay idle.
struct CallerLimits
{
    std::uint64_t maxHeadBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(CallerLimits, maxHeadBytes, maxBodyBytes, headTimeout,
                                   idleTimeout)
};

/// A complete configuration. The highest version is in force.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Customer> customers;
    CallerLimits limits;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(Configuration, version, routes, services, customers, limits)
};

/// Checks what every valid configuration has: known services, distinct prefixes and keys, weights
/// and timeouts above zero. Fails with `Code::BadRequest` and names the entry.
[[nodiscard]] auto validate(const Configuration &configuration) -> Result<void>;

/// A configuration with indexes for the path of each request.
class ActiveConfiguration
{
public:
    ActiveConfiguration() = default;
    explicit ActiveConfiguration(Configuration configuration);

    /// Returns the version in force; 0 while there is none.
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
    /// Returns the holder of a key; null if nobody holds it.
    [[nodiscard]] auto customerOf(const std::string &key) const -> const Customer *;
    [[nodiscard]] auto customer(const CustomerId &id) const -> const Customer *;
    [[nodiscard]] auto service(const ServiceId &id) const -> const Service *;

private:
    Configuration m_configuration;
    std::unordered_map<std::string, std::map<std::string, std::size_t, std::less<>>> m_routes;
    std::unordered_map<std::string, std::size_t> m_customersByKey;
    std::unordered_map<CustomerId, std::size_t> m_customers;
    std::unordered_map<ServiceId, std::size_t> m_services;
};

} // namespace heathergate::fleet
