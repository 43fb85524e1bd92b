#pragma once

#include <heathergate/consensus/types.h>
#include <heathergate/control/control_view.h>
#include <heathergate/core/core.h>

#include <variant>

/// Messages between instances.
namespace heathergate::wire {

/// A message of a consensus group.
struct ConsensusMessage
{
    GroupId group = 0;
    consensus::Envelope envelope;
};

/// What a request asks of the leader of its group.
enum class RequestKind : std::uint8_t {
    /// Apply a `ControlCommand`.
    Control,
    /// Apply a `ProgramCommand`.
    Program,
    /// Return a program (body: `ProgramKey`).
    ReadProgram,
    /// Return the state of the group's replicas as JSON.
    ReadGroup,
};

/// A request to the leader of a group.
struct Request
{
    std::uint64_t id = 0;
    GroupId group = 0;
    RequestKind kind = RequestKind::Control;
    std::string body;
};

/// The answer to a request. An error without a body means that the request had no effect, unless
/// the error says otherwise. `leader` names the instance to ask instead, if it is known.
struct Reply
{
    std::uint64_t id = 0;
    std::optional<Error> error;
    InstanceId leader;
    std::string body;
};

/// Requests that are running or queued at an upstream, as it reported last.
struct UpstreamLoad
{
    UpstreamId id;
    std::uint64_t incarnation = 0;
    int requests = 0;
};

/// Load of an instance, in requests under way.
struct InstanceLoad
{
    InstanceId id;
    int load = 0;
};

/// Sent by each instance to the control leader at intervals: its heartbeat, the revision it has
/// in force and the renewals it received from upstreams.
struct Follow
{
    std::uint64_t incarnation = 0;
    std::int64_t requestedAt = 0;
    control::Revision revision = 0;
    int load = 0;
    std::vector<UpstreamLoad> upstreams;
};

/// The control leader's answer to `Follow`, also sent without being asked when the state changes.
/// Of the loads it carries a part of bounded size: the upstreams in turn, the receiver, and the
/// instances with the least load, with the sum over all instances.
struct FeedMessage
{
    control::Feed feed;
    std::vector<UpstreamLoad> upstreams;
    std::vector<InstanceLoad> instances;
    int totalLoad = 0;
};

using PeerMessage = std::variant<ConsensusMessage, Request, Reply, Follow, FeedMessage>;

/// A record of the write-ahead log that all groups of an instance share.
struct StoredRecord
{
    GroupId group = 0;
    std::optional<consensus::HardState> hardState;
    std::vector<consensus::Entry> entries;
    /// If a snapshot of at least this index is stored, entries of earlier records are void.
    consensus::Index installIndex = 0;
};

/// Returns the frame body of a message.
[[nodiscard]] auto encodeMessage(const PeerMessage &message) -> std::string;
/// Decodes a frame body. Fails with `Code::BadFrame`.
[[nodiscard]] auto decodeMessage(std::string_view bytes) -> Result<PeerMessage>;

/// Returns the stored form of a record.
[[nodiscard]] auto encodeRecord(const StoredRecord &record) -> std::string;
/// Decodes a stored record. Fails with `Code::DataDamaged`.
[[nodiscard]] auto decodeRecord(std::string_view bytes) -> Result<StoredRecord>;

/// Returns the stored form of a snapshot with its position.
[[nodiscard]] auto encodeSnapshot(const consensus::Snapshot &snapshot) -> std::string;
/// Decodes a stored snapshot. Fails with `Code::DataDamaged`.
[[nodiscard]] auto decodeSnapshot(std::string_view bytes) -> Result<consensus::Snapshot>;

} // namespace heathergate::wire
