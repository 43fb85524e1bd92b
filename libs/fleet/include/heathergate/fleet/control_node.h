#pragma once

#include <heathergate/consensus/consensus.h>
#include <heathergate/fleet/dispatcher.h>
#include <heathergate/fleet/leader_link.h>
#include <heathergate/fleet/peer_frame.h>
#include <heathergate/fleet/quota_table.h>
#include <heathergate/storage/storage_step.h>
#include <heathergate/telemetry/telemetry.h>

namespace heathergate::fleet {

/// Identity and bounds of a control instance.
struct ControlSettings
{
    InstanceId self;
    consensus::ReplicaId replica;
    /// First configuration of the group; empty unless this instance helps to form the fleet.
    consensus::Configuration genesis;
    consensus::Settings consensus;
    /// Name by which operators know the instance.
    std::string name;
    FailureDomainId domain;
    /// Where upstreams and operators reach the instance.
    std::string controlAddress;
    std::uint64_t boot = 0;
    /// Other control instances to ask first.
    std::vector<InstanceId> seeds;
    /// Disks that may be lost at the same time.
    int faultTolerance = 1;
    /// Span over which a customer's requests are counted.
    Duration quotaWindow = std::chrono::seconds(5);
    /// Log entries after which the state is stored as a snapshot.
    consensus::Index compactAfter = 2000;
};

/// Names a call of an operator, an upstream or a caller of the directory until it is answered.
using CallToken = std::uint64_t;

/// What became of a call.
enum class CallStatus {
    Done,
    /// The request is not valid; nothing changed.
    Invalid,
    /// Another instance leads; its control address may be given.
    Redirect,
    /// Nobody can answer for now; nothing is promised.
    Unavailable,
    NotFound,
    /// It would leave too few instances.
    Conflict,
};

/// State of an instance that is being emptied.
enum class RetireState { Running, Succeeded };

/// Answers a call.
struct CallAnswer
{
    CallToken token = 0;
    CallStatus status = CallStatus::Done;
    /// Control address of the leader, if it is known.
    std::string leaderAddress;
    /// The configuration as the operator sent it.
    std::string document;
    RetireState retire = RetireState::Running;
    std::string detail;
};

/// What an upstream says of itself.
struct UpstreamReport
{
    UpstreamRecord record;
    /// How much longer it works slowly after its start.
    Duration coldRemaining{};
};

/// Everything that has to be done outside after a step of a control instance.
struct ControlOutput
{
    std::vector<PeerOut> messages;
    std::vector<storage::StorageStep> storage;
    std::vector<CallAnswer> answers;
};

/// A control instance: a replica of the fleet's state and, while it leads, the one that places
/// requests, keeps quotas and budgets, knows the upstreams and gateways, and looks after the
/// group's members. A state machine without I/O: events go in with the time, effects come out.
class ControlNode
{
public:
    ControlNode(ControlSettings settings, consensus::RecoveredState recovered, Random random,
                telemetry::EventLog &log, TimePoint now);
    ControlNode(const ControlNode &) = delete;
    auto operator=(const ControlNode &) -> ControlNode & = delete;

    auto receive(TimePoint now, const InstanceId &from, PeerFrame frame) -> void;
    /// Says that the writes up to `number` are durable.
    auto synced(TimePoint now, std::uint64_t number) -> void;
    /// The connection with an instance is gone. Callers are not sent to a gateway until it is back.
    auto peerLost(TimePoint now, const InstanceId &peer) -> void;
    auto tick(TimePoint now) -> void;
    /// Learns of control instances from changed settings.
    auto addControls(const std::vector<InstanceId> &controls) -> void;
    /// Begins to leave: hands over leadership.
    auto leave(TimePoint now) -> void;

    /// Stores a configuration if its version is above the one in force.
    auto putConfiguration(TimePoint now, CallToken token, const Configuration &configuration,
                          const std::string &document) -> void;
    auto readConfiguration(TimePoint now, CallToken token) -> void;
    /// Begins to empty the instance with an operator's name.
    auto startRetiring(TimePoint now, CallToken token, const std::string &name) -> void;
    auto readRetiring(TimePoint now, CallToken token, const std::string &name) -> void;
    auto upstreamHeartbeat(TimePoint now, CallToken token, const UpstreamReport &report) -> void;
    auto upstreamLeft(TimePoint now, CallToken token, const UpstreamId &id) -> void;

    /// Returns the gateways that callers may use; those of `domain` come first. Nothing while
    /// this instance has not heard of any.
    [[nodiscard]] auto directory(TimePoint now) const -> std::vector<fb::GatewayAddressT>;

    [[nodiscard]] auto takeOutput(TimePoint now) -> ControlOutput;
    [[nodiscard]] auto nextDeadline(TimePoint now) const -> TimePoint;
    [[nodiscard]] auto isLeader(TimePoint now) const -> bool
    {
        return m_replica.canServeReads(now);
    }
    [[nodiscard]] auto replica() const -> const consensus::Replica &
    {
        return m_replica;
    }
    [[nodiscard]] auto state() const -> const FleetState &
    {
        return m_state;
    }
    [[nodiscard]] auto metrics() -> telemetry::Metrics &
    {
        return m_metrics;
    }
    [[nodiscard]] auto dispatcher() const -> const Dispatcher &
    {
        return m_dispatcher;
    }

private:
    using CommandPtr = std::unique_ptr<fb::CommandT>;
    /// Called when a command is committed, or when it is known that this leader cannot say.
    using CommitHandler = std::function<void(TimePoint, bool committed)>;

    /// An instance that reports to this leader.
    struct Member
    {
        fb::PresenceT presence;
        TimePoint seenAt{};
        /// Its connection broke, and nothing came from it since.
        bool isUnreachable = false;
    };

    /// A request between its admission and its end.
    struct AdmissionState
    {
        InstanceId gateway;
        ProgramKey program;
        bool hasBudget = false;
        bool reserved = false;
        /// It has been at an upstream, so that only its gateway can settle it.
        bool ranBefore = false;
        std::optional<Placement> placement;
        TimePoint admittedAt{};
    };

    struct Batch
    {
        consensus::Term term = 0;
        std::vector<CommitHandler> handlers;
    };

    // Log.
    auto propose(CommandPtr command, bool urgent, CommitHandler handler = {}) -> void;
    auto flushProposals(TimePoint now) -> void;
    auto collect(TimePoint now) -> void;
    auto applyEntry(TimePoint now, const consensus::Entry &entry) -> void;
    auto leadershipChanged(TimePoint now) -> void;
    auto refreshUpstreams(TimePoint now) -> void;
    auto compactIfNeeded() -> void;

    // Members and feeds.
    auto handle(TimePoint now, const InstanceId &from, fb::PresenceT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::FeedT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::RedirectT &message) -> void;
    auto sendPresence(TimePoint now) -> void;
    auto sendFeed(TimePoint now, const InstanceId &to) -> void;
    /// Tells the gateways that it knows of who leads now.
    auto introduceItself() -> void;
    auto pushFeeds(TimePoint now, bool gateways) -> void;
    auto redirect(const InstanceId &to) -> void;
    auto expireMembers(TimePoint now) -> void;
    auto gatewayList(TimePoint now) const -> std::vector<fb::GatewayAddressT>;
    auto controlList() const -> std::vector<std::string>;
    [[nodiscard]] auto leaderInstance() const -> std::optional<InstanceId>;

    // The group's members.
    auto maintainGroup(TimePoint now) -> void;
    [[nodiscard]] auto isServing(TimePoint now, const consensus::ReplicaId &replica) const -> bool;
    [[nodiscard]] auto isSuperseded(const consensus::ReplicaId &replica) const -> bool;
    [[nodiscard]] auto shouldLeave(TimePoint now, const consensus::ReplicaId &replica) const
        -> bool;
    [[nodiscard]] auto candidate(TimePoint now) const -> std::optional<consensus::ReplicaId>;
    auto noteGroupChange(TimePoint now, std::string_view event, const consensus::ReplicaId &replica,
                         const Result<consensus::Index> &done) -> bool;

    // Admission.
    auto handle(TimePoint now, const InstanceId &from, fb::AdmissionT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::GrantT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::RefusalT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::CompletionT &message) -> void;
    [[nodiscard]] auto workOf(TimePoint now, const InstanceId &from,
                              const fb::AdmissionT &message) const -> Work;
    [[nodiscard]] auto hasBegun(const fb::AdmissionT &message) const -> bool;
    auto admit(TimePoint now, const InstanceId &from, const fb::AdmissionT &message) -> void;
    auto admitDelayed(TimePoint now) -> void;
    [[nodiscard]] auto quotaOf(const fb::AdmissionT &message, const Customer &customer) const
        -> QuotaRequest;
    auto restoreQuotas(TimePoint now) -> void;
    auto reserveBudget(const fb::AdmissionT &message) -> void;
    auto settleBudget(const ProgramKey &program, RequestId request, std::int64_t used) -> void;
    auto reserved(TimePoint now, const ReserveOutcome &outcome) -> void;
    auto grantIfReady(TimePoint now, RequestId request, AdmissionState &state) -> void;
    auto refuse(TimePoint now, const InstanceId &gateway, RequestId request, Code code,
                Duration retryAfter) -> void;
    auto takeDispatcherOutput(TimePoint now) -> void;

    // Calls.
    auto answerElsewhere(CallToken token) -> void;
    [[nodiscard]] auto commitAnswer(CallToken token) -> CommitHandler;
    auto setUpstream(TimePoint now, const UpstreamRecord &record, std::string_view why,
                     CommitHandler handler) -> void;
    [[nodiscard]] auto memberNamed(const std::string &name) const -> std::optional<InstanceId>;
    [[nodiscard]] auto mayRetire(TimePoint now, const InstanceId &instance) const -> bool;

    ControlSettings m_settings;
    telemetry::EventLog &m_log;
    telemetry::Metrics m_metrics;
    consensus::Replica m_replica;
    FleetState m_state;
    consensus::Index m_applied = 0;
    consensus::Index m_snapshotAt = 0;

    std::vector<CommandPtr> m_commands;
    std::vector<CommitHandler> m_commandHandlers;
    /// Requests that were let through and are not in the log yet.
    std::map<CustomerId, std::uint32_t> m_used;
    std::optional<TimePoint> m_oldestCommand;
    bool m_urgent = false;
    std::map<consensus::Index, Batch> m_inFlight;

    bool m_wasLeader = false;
    bool m_wasServing = false;
    bool m_leaving = false;
    TimePoint m_leaderSince{};
    std::map<InstanceId, Member> m_members;
    std::set<InstanceId> m_controls;
    std::vector<fb::GatewayAddressT> m_knownGateways;
    std::optional<InstanceId> m_presumedLeader;
    std::size_t m_nextControl = 0;
    TimePoint m_lastFeedAt{};
    TimePoint m_nextPresence{};
    TimePoint m_nextMaintenance{};
    TimePoint m_directoryPushAt = TimePoint::max();
    std::map<consensus::ReplicaId, TimePoint> m_absentSince;

    Dispatcher m_dispatcher;
    std::unique_ptr<QuotaTable> m_quotas;
    std::unordered_map<RequestId, AdmissionState> m_admissions;
    /// Admissions that wait for room in their customer's limit.
    std::multimap<TimePoint, std::pair<InstanceId, fb::AdmissionT>> m_delayed;
    std::map<UpstreamId, std::uint64_t> m_lastSequence;
    std::uint64_t m_seenUpstreamChanges = 0;

    ControlOutput m_output;
};

/// Returns the instance that a replica lives on.
[[nodiscard]] auto instanceOf(const consensus::ReplicaId &replica) -> InstanceId;

} // namespace heathergate::fleet
