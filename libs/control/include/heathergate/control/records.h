#pragma once

#include <heathergate/core/core.h>
#include <heathergate/limits/bucket.h>

#include <map>
#include <set>

/// Records of the replicated control state.
namespace heathergate::control {

/// Version of the control state: the log position of the change that produced it.
using Revision = std::uint64_t;

/// The limits and weights that operators set for a customer.
struct RowValues
{
    /// Sustained request rate across the fleet, in requests per second.
    double rate = 0;
    /// Burst size across the fleet, in requests.
    double burst = 0;
    /// Total number of tokens that one program may use.
    std::int64_t budget = 0;
    /// Priority class; 0 is the highest.
    int priority = 0;
    /// Weight of the customer's share of capacity within its class, relative to other customers.
    double weight = 1;

    auto operator==(const RowValues &) const -> bool = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(RowValues, rate, burst, budget, priority, weight)
};

/// Checks that the values are in their allowed ranges. Fails with `Code::BadRequest`, naming the
/// column.
[[nodiscard]] auto checkRow(const RowValues &values) -> Result<void>;

/// A row of the table of weights and limits.
struct TableRow
{
    CustomerId customer;
    RowValues values;
    Revision revision = 0;

    /// Returns the row's rate and burst for the rate limiter.
    [[nodiscard]] auto limit() const -> limits::Limit;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(TableRow, customer, values, revision)
};

enum class KeyOwner { Caller, Operator };

/// A key. The key itself is not stored; records are found by its keyed hash.
struct KeyRecord
{
    KeyId id;
    KeyOwner owner = KeyOwner::Caller;
    /// The customer that a caller's key belongs to, or the name of an operator.
    CustomerId holder;
    /// Revision at which the key was issued.
    Revision givenAt = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(KeyRecord, id, owner, holder, givenAt)
};

enum class UpstreamKind { Engine, Service };

/// The properties that an upstream reports in its announcement.
struct UpstreamOffer
{
    UpstreamId id;
    /// Generated at each start of the upstream.
    std::string bootId;
    /// host:port
    std::string address;
    FailureDomainId domain;
    UpstreamKind kind = UpstreamKind::Engine;
    std::vector<std::string> models;
    std::vector<std::string> services;
    /// Number of requests that it processes concurrently.
    int slots = 1;
    /// Capacity of its context cache in tokens; 0 if it reported none, so that a default is
    /// assumed.
    std::int64_t contextTokens = 0;
    /// Whether it rejects orders that carry an outdated fencing number.
    bool checksFencing = false;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(UpstreamOffer, id, bootId, address, domain, kind, models,
                                   services, slots, contextTokens, checksFencing)
};

/// A registered upstream. `incarnation` is the revision of its announcement.
struct UpstreamRecord
{
    UpstreamOffer offer;
    Revision incarnation = 0;
    bool draining = false;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(UpstreamRecord, offer, incarnation, draining)
};

/// The properties that an instance reports when it joins.
struct InstanceOffer
{
    InstanceId id;
    /// Generated at each start of the instance.
    std::uint64_t bootId = 0;
    /// host:port for callers.
    std::string callerAddress;
    /// host:port for other instances.
    std::string peerAddress;
    FailureDomainId domain;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(InstanceOffer, id, bootId, callerAddress, peerAddress, domain)
};

/// An instance of the fleet. `incarnation` is the revision at which it joined.
struct InstanceRecord
{
    InstanceOffer offer;
    Revision incarnation = 0;
    bool draining = false;
    /// Declared failed. An instance that recovers must join again.
    bool failed = false;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(InstanceRecord, offer, incarnation, draining, failed)
};

/// A lease of a role, such as sending orders to one upstream. Each new holder gets a higher fencing
/// number.
struct RoleLease
{
    InstanceId holder;
    std::uint64_t fencing = 0;
    GroupTime expiresAt{};

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(RoleLease, holder, fencing, expiresAt)
};

enum class OrderState { Pending, Acknowledged, Withdrawn };

/// An operator's order to an upstream, such as loading a model.
struct OrderRecord
{
    std::uint64_t number = 0;
    UpstreamId upstream;
    std::string action;
    std::string argument;
    OrderState state = OrderState::Pending;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(OrderRecord, number, upstream, action, argument, state)
};

/// The replacement of one disk instance with another, which is carried out in each group in steps.
struct ReplacementRecord
{
    std::string oldReplica;
    std::string newReplica;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ReplacementRecord, oldReplica, newReplica)
};

} // namespace heathergate::control
