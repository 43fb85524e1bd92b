#pragma once

#include <heathergate/consensus/consensus.h>
#include <heathergate/control/control.h>
#include <heathergate/programs/programs.h>
#include <heathergate/storage/storage.h>
#include <heathergate/wire/wire.h>

#include <deque>

namespace heathergate::daemon {

using storage::Compaction;
using storage::GroupWrite;
using storage::StorageStep;

/// An order that a leader sends to an upstream.
struct UpstreamOrder
{
    UpstreamId upstream;
    std::string address;
    /// Path and JSON body of the order.
    std::string path;
    std::string body;
    /// Passed back to `orderDone`.
    std::variant<programs::PendingRelease, std::uint64_t> subject;
};

/// Outputs of one step of the host, which the embedding code carries out.
struct HostOutput
{
    std::vector<std::pair<InstanceId, wire::PeerMessage>> messages;
    std::vector<StorageStep> storage;
    std::vector<UpstreamOrder> orders;
};

/// Identity and sizes of a host.
struct HostSettings
{
    InstanceId self;
    consensus::ReplicaId replica;
    /// Initial configuration of every group; empty for a disk that is still to be added.
    consensus::Configuration genesis;
    std::uint32_t shards = 1;
    consensus::Settings consensus;
    /// Number of applied entries after which a group's state is stored as a snapshot.
    consensus::Index compactAfter = 50'000;
    Duration instanceTimeout = std::chrono::seconds(5);
    Duration upstreamTimeout = std::chrono::seconds(6);
};

/// Returns the instance that hosts a replica.
[[nodiscard]] auto instanceOf(const consensus::ReplicaId &replica) -> InstanceId;

/// All replicas of one disk instance: the control group and the program shards. It is a state
/// machine without I/O. It answers requests to the groups it leads, sends the control state to the
/// instances, detects failed members, and drives expiry, releases and replacements.
class ReplicaHost
{
public:
    ReplicaHost(HostSettings settings, std::map<GroupId, consensus::RecoveredState> recovered,
                Random random, TimePoint now);

    /// Handles a message from an instance.
    auto receive(TimePoint now, const InstanceId &from, const wire::PeerMessage &message) -> void;
    /// Runs the timers and the periodic maintenance that are due.
    auto tick(TimePoint now) -> void;
    /// Handles the notification that a group's writes up to `number` are durable.
    auto synced(TimePoint now, GroupId group, std::uint64_t number) -> void;
    /// Handles the result of an order to an upstream.
    auto orderDone(TimePoint now, const UpstreamOrder &order, bool acknowledged) -> void;
    /// Hands over leadership of all groups.
    auto transferLeadership(TimePoint now) -> void;
    /// Returns whether this host leads any group.
    [[nodiscard]] auto leadsAny() const -> bool;

    /// Moves out the outputs.
    [[nodiscard]] auto takeOutput(TimePoint now) -> HostOutput;
    /// Returns the latest time by which `tick` has to be called.
    [[nodiscard]] auto nextDeadline() const -> TimePoint;

    [[nodiscard]] auto controlState() const -> const control::ControlState &
    {
        return m_control;
    }
    /// Returns a group's replica, for tests and reports.
    [[nodiscard]] auto replica(GroupId group) const -> const consensus::Replica &
    {
        return m_groups.at(group).replica;
    }
    [[nodiscard]] auto ledger(GroupId group) const -> const programs::ProgramLedger &
    {
        return m_groups.at(group).ledger;
    }

private:
    struct PendingRequest
    {
        InstanceId from;
        std::uint64_t request = 0;
        consensus::Term term = 0;
    };

    struct Group
    {
        consensus::Replica replica;
        programs::ProgramLedger ledger;
        /// Requests that wait for their entry to be applied, by the index of the entry.
        std::map<consensus::Index, PendingRequest> pending;
        consensus::Index applied = 0;
        /// Index of the latest snapshot.
        consensus::Index snapshotAt = 0;
        /// Time at which the order for each pending release was last sent.
        std::map<programs::PendingRelease, TimePoint> releasesSent;
    };

    struct Follower
    {
        /// Revision that the instance last reported.
        control::Revision revision = 0;
        /// Latest revision that the instance has reported or that was sent to it since.
        control::Revision sentRevision = 0;
        TimePoint lastSeen{};
        /// Calls in progress, as last reported.
        int load = 0;
        /// Upstream whose load was sent last; the rotation resumes after it.
        UpstreamId lastLoadSent;
    };

    struct UpstreamState
    {
        std::uint64_t incarnation = 0;
        TimePoint renewedAt{};
        /// Requests in progress, as last reported.
        int requests = 0;
    };

    auto handle(TimePoint now, const InstanceId &from, const wire::ConsensusMessage &message)
        -> void;
    auto handle(TimePoint now, const InstanceId &from, const wire::Request &request) -> void;
    auto handle(TimePoint now, const InstanceId &from, const wire::Follow &follow) -> void;
    auto handle(TimePoint, const InstanceId &, const wire::Reply &) -> void {}
    auto handle(TimePoint, const InstanceId &, const wire::FeedMessage &) -> void {}

    auto collect(TimePoint now, GroupId id, Group &group) -> void;
    auto install(GroupId id, Group &group, const consensus::Snapshot &snapshot) -> void;
    auto apply(GroupId id, Group &group, const consensus::Entry &entry) -> void;
    [[nodiscard]] auto applyControl(const consensus::Entry &entry) -> std::string;
    [[nodiscard]] auto applyProgram(Group &group, const consensus::Entry &entry) -> std::string;
    auto refusePending(Group &group) -> void;
    auto reply(const InstanceId &to, wire::Reply reply) -> void;
    [[nodiscard]] auto leaderHint(const Group &group) const -> InstanceId;
    auto answerRead(TimePoint now, const InstanceId &from, const wire::Request &request,
                    Group &group) -> void;
    [[nodiscard]] auto describeGroup(TimePoint now, GroupId id, const Group &group) const
        -> std::string;

    // Tasks of the control leader.
    auto feedFollower(const InstanceId &id, Follower &follower, std::int64_t requestedAt) -> void;
    auto addLoads(const InstanceId &id, Follower &follower, wire::FeedMessage &message) const
        -> void;
    auto pushToFollowers(TimePoint now) -> void;
    auto detectFailures(TimePoint now) -> void;
    auto sendOrders(TimePoint now) -> void;

    // Tasks of a shard leader.
    auto maintainShard(TimePoint now, Group &group) -> void;
    auto releaseMemory(TimePoint now, Group &group) -> void;
    auto advanceReplacement(TimePoint now, GroupId id, Group &group) -> void;
    auto proposeControl(TimePoint now, const control::ControlCommand &command) -> void;
    static auto proposeProgram(TimePoint now, Group &group, const programs::ProgramCommand &command)
        -> void;

    auto compactIfNeeded() -> void;

    HostSettings m_settings;
    std::map<GroupId, Group> m_groups;
    control::ControlState m_control;
    /// Retained control entries for followers, oldest first.
    std::deque<control::FeedEntry> m_feed;
    std::map<InstanceId, Follower> m_followers;
    std::map<UpstreamId, UpstreamState> m_upstreams;
    /// Time at which each pending order of the control state was last sent.
    std::map<std::uint64_t, TimePoint> m_ordersSent;
    TimePoint m_controlLeaderSince{};
    bool m_feedChanged = false;
    TimePoint m_nextMaintenance{};
    HostOutput m_output;
};

} // namespace heathergate::daemon
