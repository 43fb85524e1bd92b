#pragma once

#include <heathergate/control/records.h>

#include <variant>

/// Commands of the control group's log.
namespace heathergate::control {

/// Sets a row, or removes it if there are no `values`, provided that the row still has the revision
/// `expected` (0: the row must not exist). The edit id makes resends idempotent.
struct EditRow
{
    std::string editId;
    CustomerId customer;
    Revision expected = 0;
    std::optional<RowValues> values;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(EditRow, editId, customer, expected, values)
};

/// Issues a key, which is identified by its keyed hash.
struct IssueKey
{
    std::string editId;
    std::string keyHash;
    KeyId id;
    KeyOwner owner = KeyOwner::Caller;
    CustomerId holder;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(IssueKey, editId, keyHash, id, owner, holder)
};

/// Revokes a key permanently.
struct RevokeKey
{
    std::string editId;
    KeyId id;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(RevokeKey, editId, id)
};

/// Registers an upstream. A new boot id starts a new incarnation, which is not draining, and
/// removes any other upstream with the same address. An announcement with the recorded boot id
/// changes nothing.
struct AnnounceUpstream
{
    UpstreamOffer offer;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(AnnounceUpstream, offer)
};

/// Removes an upstream that departed or whose announcement expired.
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

/// Registers an instance. A new boot id, or a join after the instance was marked as failed, starts
/// a new incarnation, which is not draining; otherwise nothing changes.
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

/// Removes an instance that departed, or marks an instance as failed.
struct RemoveInstance
{
    InstanceId id;
    Revision incarnation = 0;
    bool failed = false;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(RemoveInstance, id, incarnation, failed)
};

/// Acquires or renews the lease of the role named `duty` for the time `ttl`.
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

/// Records that a request was running at an upstream when the upstream crashed.
struct ReportCrash
{
    std::string fingerprint;
    UpstreamId upstream;
    Revision incarnation = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ReportCrash, fingerprint, upstream, incarnation)
};

/// Clears a suspect request after it was answered.
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

/// A command of the control log. New alternatives must be added at the end, because their positions
/// are part of the stored format.
using ControlCommand =
    std::variant<EditRow, IssueKey, RevokeKey, AnnounceUpstream, RemoveUpstream, DrainUpstream,
                 JoinInstance, DrainInstance, RemoveInstance, ClaimRole, IssueOrder, ResolveOrder,
                 ReportCrash, ClearSuspect, StartReplacement, EndReplacement>;

/// The result of applying a command.
struct ControlOutcome
{
    std::optional<Error> error;
    /// Revision of the accepted change; 0 if the command was refused.
    Revision revision = 0;
    /// The row after an edit, or the current row if the edit was refused because of its revision.
    std::optional<TableRow> row;
    /// Depending on the command: number of an order, fencing number of a role, incarnation of an
    /// upstream or instance, or number of distinct upstream crashes of a request.
    std::uint64_t number = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ControlOutcome, error, revision, row, number)
};

} // namespace heathergate::control
