#pragma once

#include <heathergate/core/core.h>
#include <heathergate/limits/bucket.h>

#include <map>
#include <set>

/// Records of the replicated control state.
namespace heathergate::control {

/// Number of the control state after a change: the position of the change in the control log.
using Revision = std::uint64_t;

/// What operators set for one customer.
struct RowValues
{
    /// Requests a second over the whole fleet.
    double rate = 0;
    /// Requests at once over the whole fleet.
    double burst = 0;
    /// Tokens that one program may use in all.
    std::int64_t budget = 0;
    /// Priority class; 0 goes first.
    int priority = 0;
    /// Share of work inside the class, relative to other customers.
    double weight = 1;

    auto operator==(const RowValues &) const -> bool = default;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(RowValues, rate, burst, budget, priority, weight)
};

/// Returns nothing if the values are allowed; otherwise an error that names the column.
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

/// A key, known only by its keyed hash.
struct KeyRecord
{
    KeyId id;
    KeyOwner owner = KeyOwner::Caller;
    /// Customer of a caller's key; name of an operator.
    CustomerId holder;
    Revision givenAt = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(KeyRecord, id, owner, holder, givenAt)
};

enum class UpstreamKind { Engine, Service };

/// What an upstream says about itself when it announces itself.
struct UpstreamOffer
{
    UpstreamId id;
    /// Chosen anew at each start of the upstream.
    std::string bootId;
    /// host:port
    std::string address;
    FailureDomainId domain;
    UpstreamKind kind = UpstreamKind::Engine;
    std::vector<std::string> models;
    std::vector<std::string> services;
    /// Requests it works on at the same time.
    int slots = 1;
    std::int64_t contextTokens = 0;
    /// Whether it refuses orders that carry an old fencing number.
    bool checksFencing = false;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(UpstreamOffer, id, bootId, address, domain, kind, models,
                                   services, slots, contextTokens, checksFencing)
};

/// An upstream that has announced itself. `incarnation` is the revision of the announcement.
struct UpstreamRecord
{
    UpstreamOffer offer;
    Revision incarnation = 0;
    bool draining = false;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(UpstreamRecord, offer, incarnation, draining)
};

/// What an instance says about itself when it joins.
struct InstanceOffer
{
    InstanceId id;
    /// Chosen anew at each start of the instance.
    std::uint64_t bootId = 0;
    /// host:port for callers.
    std::string callerAddress;
    /// host:port for other instances.
    std::string peerAddress;
    FailureDomainId domain;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(InstanceOffer, id, bootId, callerAddress, peerAddress, domain)
};

/// A member of the fleet. `incarnation` is the revision of its joining.
struct InstanceRecord
{
    InstanceOffer offer;
    Revision incarnation = 0;
    bool draining = false;
    /// Declared failed; an instance that comes back joins anew.
    bool failed = false;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(InstanceRecord, offer, incarnation, draining, failed)
};

/// A lease on a duty, such as giving orders to one upstream. Each new holder gets a higher number.
struct RoleLease
{
    InstanceId holder;
    std::uint64_t fencing = 0;
    GroupTime expiresAt{};

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(RoleLease, holder, fencing, expiresAt)
};

enum class OrderState { Pending, Acknowledged, Withdrawn };

/// An order to an upstream, such as loading a model.
struct OrderRecord
{
    std::uint64_t number = 0;
    UpstreamId upstream;
    std::string action;
    std::string argument;
    OrderState state = OrderState::Pending;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(OrderRecord, number, upstream, action, argument, state)
};

/// Replacement of one disk instance by another, carried out step by step in every group.
struct ReplacementRecord
{
    std::string oldReplica;
    std::string newReplica;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ReplacementRecord, oldReplica, newReplica)
};

} // namespace heathergate::control
