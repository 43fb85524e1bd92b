#pragma once

#include <heathergate/control/records.h>

#include <variant>

/// Commands of the control group's log.
namespace heathergate::control {

/// Sets or removes a row, if the row still has the revision it was read under (0: it must not
/// exist). The edit id makes a resend harmless.
struct EditRow
{
    std::string editId;
    CustomerId customer;
    Revision expected = 0;
    std::optional<RowValues> values;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(EditRow, editId, customer, expected, values)
};

/// Gives a key, known by its keyed hash.
struct IssueKey
{
    std::string editId;
    std::string keyHash;
    KeyId id;
    KeyOwner owner = KeyOwner::Caller;
    CustomerId holder;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(IssueKey, editId, keyHash, id, owner, holder)
};

/// Withdraws a key for good.
struct RevokeKey
{
    std::string editId;
    KeyId id;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(RevokeKey, editId, id)
};

struct AnnounceUpstream
{
    UpstreamOffer offer;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(AnnounceUpstream, offer)
};

/// Removes an upstream that left or whose announcement expired.
struct RemoveUpstream
{
    UpstreamId id;
    Revision incarnation = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(RemoveUpstream, id, incarnation)
};

/// Starts or ends draining of an upstream.
struct DrainUpstream
{
    std::string editId;
    UpstreamId id;
    bool draining = true;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(DrainUpstream, editId, id, draining)
};

struct JoinInstance
{
    InstanceOffer offer;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(JoinInstance, offer)
};

struct DrainInstance
{
    InstanceId id;
    Revision incarnation = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(DrainInstance, id, incarnation)
};

/// Removes an instance that left, or marks one as failed.
struct RemoveInstance
{
    InstanceId id;
    Revision incarnation = 0;
    bool failed = false;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(RemoveInstance, id, incarnation, failed)
};

/// Takes or renews the lease on a duty.
struct ClaimRole
{
    std::string duty;
    InstanceId holder;
    Duration ttl{};

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ClaimRole, duty, holder, ttl)
};

struct IssueOrder
{
    std::string editId;
    UpstreamId upstream;
    std::string action;
    std::string argument;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(IssueOrder, editId, upstream, action, argument)
};

struct ResolveOrder
{
    std::uint64_t number = 0;
    OrderState state = OrderState::Acknowledged;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ResolveOrder, number, state)
};

/// Says that a request was running when an upstream died.
struct ReportCrash
{
    std::string fingerprint;
    UpstreamId upstream;
    Revision incarnation = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ReportCrash, fingerprint, upstream, incarnation)
};

/// Says that a suspected request was answered, which clears it.
struct ClearSuspect
{
    std::string fingerprint;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ClearSuspect, fingerprint)
};

struct StartReplacement
{
    std::string editId;
    ReplacementRecord replacement;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(StartReplacement, editId, replacement)
};

struct EndReplacement
{
    std::string oldReplica;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(EndReplacement, oldReplica)
};

/// New alternatives are added at the end only: positions are part of the stored format.
using ControlCommand =
    std::variant<EditRow, IssueKey, RevokeKey, AnnounceUpstream, RemoveUpstream, DrainUpstream,
                 JoinInstance, DrainInstance, RemoveInstance, ClaimRole, IssueOrder, ResolveOrder,
                 ReportCrash, ClearSuspect, StartReplacement, EndReplacement>;

/// What applying a command came to.
struct ControlOutcome
{
    std::optional<Error> error;
    /// Revision of the accepted change.
    Revision revision = 0;
    /// The row after an edit, or the current row if the edit was refused.
    std::optional<TableRow> row;
    /// Number of an order, fencing number of a duty, incarnation of a member, count of crashes.
    std::uint64_t number = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ControlOutcome, error, revision, row, number)
};

} // namespace heathergate::control
