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

/// The operation that a request asks the leader of its group to perform.
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

/// The reply to a request. An error without a body means that the request had no effect, unless the
/// error states otherwise. `leader` is the instance to send the request to instead, if it is known.
struct Reply
{
    std::uint64_t id = 0;
    std::optional<Error> error;
    InstanceId leader;
    std::string body;
};

/// Number of requests that are running or queued at an upstream, according to its last report.
struct UpstreamLoad
{
    UpstreamId id;
    std::uint64_t incarnation = 0;
    int requests = 0;
};

/// Load of an instance, in requests in progress.
struct InstanceLoad
{
    InstanceId id;
    int load = 0;
};

/// The periodic heartbeat of an instance to the control leader, with the revision that the instance
/// has applied and the renewals that it received from upstreams.
struct Follow
{
    std::uint64_t incarnation = 0;
    /// Local time of the instance when it sends the message, in microseconds.
    std::int64_t requestedAt = 0;
    control::Revision revision = 0;
    int load = 0;
    std::vector<UpstreamLoad> upstreams;
};

/// The control leader's reply to `Follow`, which is also sent without a request when the state
/// changes. It contains a bounded number of loads: those of some upstreams, which rotate between
/// messages, of the receiver and of the least loaded instances. `totalLoad` is the sum over all
/// instances.
struct FeedMessage
{
    control::Feed feed;
    std::vector<UpstreamLoad> upstreams;
    std::vector<InstanceLoad> instances;
    int totalLoad = 0;
};

using PeerMessage = std::variant<ConsensusMessage, Request, Reply, Follow, FeedMessage>;

/// A record of the write-ahead log, which all groups of an instance share.
struct StoredRecord
{
    GroupId group = 0;
    std::optional<consensus::HardState> hardState;
    std::vector<consensus::Entry> entries;
    /// If a snapshot of at least this index is stored, the entries of earlier records are obsolete;
    /// 0 if the record has no such effect.
    consensus::Index installIndex = 0;
};

/// Encodes a message as a frame body.
[[nodiscard]] auto encodeMessage(const PeerMessage &message) -> std::string;
/// Decodes a frame body. Fails with `Code::BadFrame`.
[[nodiscard]] auto decodeMessage(std::string_view bytes) -> Result<PeerMessage>;

/// Encodes a record in its stored format.
[[nodiscard]] auto encodeRecord(const StoredRecord &record) -> std::string;
/// Decodes a stored record. Fails with `Code::DataDamaged`.
[[nodiscard]] auto decodeRecord(std::string_view bytes) -> Result<StoredRecord>;

/// Encodes a snapshot and its position in their stored format.
[[nodiscard]] auto encodeSnapshot(const consensus::Snapshot &snapshot) -> std::string;
/// Decodes a stored snapshot. Fails with `Code::DataDamaged`.
[[nodiscard]] auto decodeSnapshot(std::string_view bytes) -> Result<consensus::Snapshot>;

} // namespace heathergate::wire
