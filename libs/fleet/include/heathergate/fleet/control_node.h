#pragma once

#include <heathergate/consensus/consensus.h>
#include <heathergate/fleet/configuration_sender.h>
#include <heathergate/fleet/dispatcher.h>
#include <heathergate/fleet/leader_link.h>
#include <heathergate/fleet/peer_frame.h>
#include <heathergate/fleet/quota_table.h>
#include <heathergate/fleet/unconfirmed_streams.h>
#include <heathergate/fleet/upstream_registry.h>
#include <heathergate/history/replica_set.h>
#include <heathergate/storage/storage_step.h>
#include <heathergate/telemetry/telemetry.h>

#include <unordered_set>

namespace heathergate::fleet {

/// Identity and limits of a control instance.
struct ControlSettings
{
    InstanceId self;
    consensus::ReplicaId replica;
    /// Initial configuration of the consensus group; empty unless this instance is one of the
    /// initial voters of a new fleet.
    consensus::Configuration genesis;
    consensus::Settings consensus;
    /// Name under which operators address the instance.
    std::string name;
    FailureDomainId domain;
    /// Address at which upstreams and operators reach the instance.
    std::string controlAddress;
    /// Identifies this run of the process.
    std::uint64_t boot = 0;
    /// Control instances to contact first.
    std::vector<InstanceId> seeds;
    /// Number of disks that may be lost at the same time.
    int faultTolerance = 1;
    /// Sliding window over which a customer's requests are counted.
    Duration quotaWindow = std::chrono::seconds(5);
    PlacementSettings placement;
    /// Log entries after which the state is stored as a snapshot.
    consensus::Index compactAfter = 2000;
    /// Bytes of log entries after which the state is stored as a snapshot.
    std::size_t compactAfterBytes = 4UL * 1024 * 1024;
};

/// Identifies a call of an operator, an upstream or a client of the directory until it is answered.
using CallToken = std::uint64_t;

/// Result of a call.
enum class CallStatus {
    Done,
    /// The request is not valid; nothing changed.
    Invalid,
    /// The request is larger than this instance accepts; nothing changed.
    TooLarge,
    /// Another instance leads; its control address may be given.
    Redirect,
    /// No instance can answer at present; whether the call takes effect is undetermined.
    Unavailable,
    NotFound,
    /// The change would leave too few instances.
    Conflict,
};

/// Progress of retiring an instance.
enum class RetireState { Running, Succeeded };

/// Answer to a call.
struct CallAnswer
{
    CallToken token = 0;
    CallStatus status = CallStatus::Done;
    /// Control address of the leader, if it is known.
    std::string leaderAddress;
    /// The configuration in the format in which the operator sent it.
    std::string document;
    RetireState retire = RetireState::Running;
    std::string detail;
};

/// Heartbeat of an upstream.
struct UpstreamReport
{
    UpstreamRecord record;
    /// Time for which the upstream remains slow after its start.
    Duration coldRemaining{};
    /// Time of day at which it was received, since the Unix epoch.
    std::chrono::milliseconds receivedAt{};
};

/// Returns why what a report says of its time cannot be true; nothing if it can. Such a report
/// would outlast all later ones of the upstream.
[[nodiscard]] auto implausibility(const UpstreamReport &report) -> std::optional<std::string>;

/// State of the history replica of an instance.
struct HistoryProgress
{
    /// Version of the replica set that the replica knows.
    std::uint64_t version = 0;
    /// The replica holds every turn that it should hold.
    bool isComplete = false;
    /// Members whose turns were copied since this version was announced.
    std::vector<history::ReplicaId> synced;

    auto operator==(const HistoryProgress &) const -> bool = default;
};

/// Output of a step of a control instance, to be carried out by its environment.
struct ControlOutput
{
    std::vector<PeerOut> messages;
    std::vector<storage::StorageStep> storage;
    std::vector<CallAnswer> answers;
};

/// A control instance: a replica of the fleet's state. While it leads, it places requests, enforces
/// quotas and budgets, tracks upstreams and gateways, and manages the members of the consensus
/// group. A state machine without I/O: it takes events with their time and returns effects.
class ControlNode
{
public:
    ControlNode(ControlSettings settings, consensus::RecoveredState recovered, Random random,
                telemetry::EventLog &log, TimePoint now);
    ControlNode(const ControlNode &) = delete;
    auto operator=(const ControlNode &) -> ControlNode & = delete;

    auto receive(TimePoint now, const InstanceId &from, PeerFrame frame) -> void;
    /// Reports that the writes up to `number` are durable.
    auto synced(TimePoint now, std::uint64_t number) -> void;
    /// Reports that the connection to an instance is closed. A gateway is left out of the directory
    /// until it reports again.
    auto peerLost(TimePoint now, const InstanceId &peer) -> void;
    auto tick(TimePoint now) -> void;
    /// Adds control instances from changed settings.
    auto addControls(const std::vector<InstanceId> &controls) -> void;
    /// Begins the shutdown of the instance: transfers leadership and announces that it leaves.
    auto leave(TimePoint now) -> void;
    /// Returns whether a leaving instance is not needed any more for the group to tolerate the loss
    /// of other disks: it is no member, or nobody could take its place when it began to leave.
    [[nodiscard]] auto isReplaced() const -> bool;

    /// Answers a call if another instance has to, so that its content need not be decoded. Returns
    /// whether the call was answered.
    [[nodiscard]] auto answerIfNotLeader(TimePoint now, CallToken token, std::string_view call)
        -> bool;
    /// Stores a configuration if its version is higher than the active one.
    auto putConfiguration(TimePoint now, CallToken token, const Configuration &configuration,
                          const std::string &document) -> void;
    auto readConfiguration(TimePoint now, CallToken token) -> void;
    /// Begins to retire the instance that operators know by `name`.
    auto startRetiring(TimePoint now, CallToken token, const std::string &name) -> void;
    auto readRetiring(TimePoint now, CallToken token, const std::string &name) -> void;
    /// Evacuates a failure domain, so that its upstreams receive no requests, or ends that. A
    /// repeated call is acknowledged again and changes nothing.
    auto setEvacuation(TimePoint now, CallToken token, const FailureDomainId &domain,
                       bool isEvacuated) -> void;
    auto upstreamHeartbeat(TimePoint now, CallToken token, const UpstreamReport &report) -> void;
    auto upstreamLeft(TimePoint now, CallToken token, const UpstreamId &id) -> void;

    /// Returns the gateways that callers may use; empty if this instance knows of none.
    [[nodiscard]] auto directory(TimePoint now) const -> std::vector<fb::GatewayAddressT>;

    /// Reports the state of the history replica on this instance.
    auto setHistoryProgress(HistoryProgress progress) -> void;
    /// Returns the set of history replicas that the leader announced last.
    [[nodiscard]] auto historyReplicas() const -> const history::ReplicaSet &
    {
        return m_replicas;
    }

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
    /// Called when a command is committed, or with `committed` false when this leader cannot
    /// determine whether it is.
    using CommitHandler = std::function<void(TimePoint, bool committed)>;

    /// An instance that reports to this leader.
    struct Member
    {
        fb::PresenceT presence;
        TimePoint seenAt{};
        /// Its connection was lost, and it has not reported since.
        bool isUnreachable = false;
    };

    /// State of a request from its admission to its completion.
    struct AdmissionState
    {
        InstanceId gateway;
        ProgramKey program;
        bool hasBudget = false;
        bool reserved = false;
        /// The request may have been sent to an upstream, so that only its gateway can settle it.
        bool hasBeenSent = false;
        std::optional<Placement> placement;
        /// The last place that its gateway has asked for.
        std::uint32_t ask = 0;
        /// The stream that the request begins or resumes; 0 if it is none.
        StreamId stream = 0;
        /// The log does not hold yet which software version runs the stream.
        bool awaitsRecord = false;
        /// The log does not hold yet that the request uses its customer's limit.
        bool awaitsUse = false;
        TimePoint admittedAt{};
    };

    struct Batch
    {
        consensus::Term term = 0;
        std::vector<CommitHandler> handlers;
        std::map<CustomerId, std::vector<RequestId>> uses;
    };

    // Replicated log.
    auto propose(CommandPtr command, bool urgent, CommitHandler handler = {}) -> void;
    auto flushProposals(TimePoint now) -> void;
    /// Proposes everything that waits, as one batch.
    auto proposeBatch(TimePoint now) -> void;
    /// Transfers leadership, after what was admitted is proposed.
    auto handOver(TimePoint now) -> void;
    /// Adds the pending configuration to a batch, as the difference to the active one.
    auto addPendingConfiguration(fb::CommandBatchT &batch) -> void;
    auto collect(TimePoint now) -> void;
    auto applyEntry(TimePoint now, const consensus::Entry &entry) -> void;
    auto leadershipChanged(TimePoint now) -> void;
    auto refreshUpstreams(TimePoint now) -> void;
    auto compactIfNeeded() -> void;

    // Fleet members and feeds.
    auto handle(TimePoint now, const InstanceId &from, fb::PresenceT &message) -> void;
    auto controlReported(TimePoint now, const fb::PresenceT &presence, bool hasChanged) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::FeedT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::RedirectT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::ConfigurationProgressT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::UpstreamStatementT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::ConnectionsLostT &message) -> void;
    /// Handles the statement of an upstream that it is about to end.
    auto retireUpstream(TimePoint now, const InstanceId &from,
                        const fb::UpstreamStatementT &message) -> void;
    auto handle(TimePoint, const InstanceId &, fb::ConfigurationPieceT &) -> void {}
    auto sendPresence(TimePoint now) -> void;
    auto sendFeed(TimePoint now, const InstanceId &to) -> void;
    /// Notifies the known gateways that this instance leads.
    auto announceLeadership() -> void;
    /// Sends a feed to all instances of a role.
    auto pushFeeds(TimePoint now, Role role) -> void;
    /// Sends gateways what they lack of the configuration.
    auto sendConfiguration(TimePoint now) -> void;
    auto redirect(const InstanceId &to) -> void;
    auto expireMembers(TimePoint now) -> void;
    auto gatewayList(TimePoint now) const -> std::vector<fb::GatewayAddressT>;
    auto controlList() const -> std::vector<std::string>;
    [[nodiscard]] auto leaderInstance() const -> std::optional<InstanceId>;

    // Members of the consensus group.
    auto maintainGroup(TimePoint now) -> void;
    auto applyEvacuations(TimePoint now) -> void;
    /// Begins anew with the upstreams of the state, whose limits a former leader may have used.
    auto rebuildDispatcher(TimePoint now) -> void;
    /// Reports the upstreams whose requests are bounded because of a start or a recovery.
    auto reportPaces(TimePoint now) -> void;
    auto reportGroupSize(TimePoint now) -> void;
    /// Returns the number of voters of which the fault tolerance leaves a majority.
    [[nodiscard]] auto requiredVoters() const -> std::size_t
    {
        return 2 * static_cast<std::size_t>(m_settings.faultTolerance) + 1;
    }
    [[nodiscard]] auto isServing(TimePoint now, const consensus::ReplicaId &replica) const -> bool;
    [[nodiscard]] auto isSuperseded(const consensus::ReplicaId &replica) const -> bool;
    /// Returns whether the instance of a replica has announced that it stops.
    [[nodiscard]] auto isLeaving(const consensus::ReplicaId &replica) const -> bool;
    /// Returns the time of a replica's last presence, or that of the election if there was none.
    [[nodiscard]] auto silentSince(const consensus::ReplicaId &replica) const -> TimePoint;
    [[nodiscard]] auto shouldLeave(TimePoint now, const consensus::ReplicaId &replica) const
        -> bool;
    [[nodiscard]] auto hasSpare(TimePoint now) const -> bool;
    /// Removes a voter as soon as the others form a majority without it and hold its turns.
    auto removeVoter(TimePoint now, const consensus::ReplicaId &leaving) -> void;
    /// Returns the replica to add to the group: one in the failure domain with the fewest voters.
    [[nodiscard]] auto candidate(TimePoint now) const -> std::optional<consensus::ReplicaId>;
    [[nodiscard]] auto votersIn(TimePoint now, const std::string &domain) const -> std::size_t;
    auto logGroupChange(TimePoint now, std::string_view event, const consensus::ReplicaId &replica,
                        const Result<consensus::Index> &result) -> bool;

    // Histories.
    [[nodiscard]] auto committedReplicas() const -> history::ReplicaSet;
    /// Announces the replica set if it differs from the last one.
    auto updateReplicas(TimePoint now) -> void;
    /// Returns what an instance last reported about its history replica.
    [[nodiscard]] auto historyProgressOf(const consensus::ReplicaId &replica) const
        -> HistoryProgress;
    /// Returns whether the remaining voters hold the turns of a voter that is about to be removed.
    [[nodiscard]] auto historiesCopied(TimePoint now, const consensus::ReplicaId &leaving) const
        -> bool;

    // Admission.
    auto handle(TimePoint now, const InstanceId &from, fb::AdmissionT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::GrantT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::RefusalT &message) -> void;
    auto handle(TimePoint now, const InstanceId &from, fb::CompletionT &message) -> void;
    [[nodiscard]] auto workOf(TimePoint now, const InstanceId &from,
                              const fb::AdmissionT &message) const -> Work;
    [[nodiscard]] auto hasStarted(const fb::AdmissionT &message) const -> bool;
    auto admit(TimePoint now, const InstanceId &from, const fb::AdmissionT &message) -> void;
    auto admitDelayed(TimePoint now) -> void;
    [[nodiscard]] auto quotaOf(const fb::AdmissionT &message, const Customer &customer) const
        -> QuotaRequest;
    auto restoreQuotas(TimePoint now) -> void;
    /// Records that a request uses its customer's limit. It is granted before the record is
    /// committed only while few requests of the customer are not recorded.
    auto recordUse(const fb::AdmissionT &message, AdmissionState &state) -> void;
    auto usesRecorded(TimePoint now, const std::map<CustomerId, std::vector<RequestId>> &uses)
        -> void;
    /// Restores which requests broke their upstreams under former leaders.
    auto restoreFailures(TimePoint now) -> void;
    auto recordFailures() -> void;
    auto reserveBudget(const fb::AdmissionT &message) -> void;
    auto settleBudget(const ProgramKey &program, RequestId request, std::int64_t used) -> void;
    auto reserved(TimePoint now, const ReserveOutcome &outcome) -> void;
    /// Returns at which software version a stream may go on.
    [[nodiscard]] auto originOf(TimePoint now, const fb::AdmissionT &message) -> StreamOrigin;
    /// Records which software version runs a stream, if that is needed to resume it. Its slot is
    /// granted once the record is committed.
    auto recordStream(TimePoint now, RequestId request, AdmissionState &state) -> void;
    /// Returns whether a stream could be taken for one of another software version later unless its
    /// placement is recorded.
    [[nodiscard]] auto needsRecord(TimePoint now, StreamId stream, const ServiceId &service,
                                   const Placement &placement) const -> bool;
    /// Proposes the record that a stream runs at a software version, which is empty if it is not
    /// known. A failed proposal is reported too.
    auto proposeStreamRecord(StreamId stream, const ServiceId &service, const std::string &version,
                             CommitHandler handler) -> void;
    /// Confirms the streams that were placed at an upstream since its last heartbeat if this one is
    /// of the same incarnation, and doubts them otherwise.
    auto checkUnconfirmedStreams(TimePoint now, const UpstreamRecord &heartbeat) -> void;
    /// Records that it is not known at which version the unconfirmed streams of an upstream began:
    /// the upstream may have been replaced by another incarnation before they were placed.
    auto doubtStreams(TimePoint now, const UpstreamId &upstream) -> void;
    /// Forgets the placement of a request whose gateway has ended its attempt or does not want it
    /// any more, so that it is not granted once its records are committed.
    auto withdrawPlacement(RequestId request) -> void;
    auto grantIfReady(TimePoint now, RequestId request, AdmissionState &state) -> void;
    auto refuse(TimePoint now, const InstanceId &gateway, RequestId request, Code code,
                Duration retryAfter) -> void;
    auto takeDispatcherOutput(TimePoint now) -> void;
    auto rejected(TimePoint now, const Rejection &rejection) -> void;
    /// Returns whether the upstream of a placement has not restarted since.
    [[nodiscard]] auto isCurrent(const Placement &placement) const -> bool;
    [[nodiscard]] auto isEvacuated(const Placement &placement) const -> bool;
    auto rejectStalePlacement(TimePoint now, RequestId request) -> void;

    // Calls.
    auto answerNotLeader(TimePoint now, CallToken token, std::string_view call) -> void;
    [[nodiscard]] auto commitAnswer(CallToken token) -> CommitHandler;
    auto setUpstream(TimePoint now, const UpstreamRecord &record, std::string_view why,
                     CommitHandler handler) -> void;
    /// Returns whether a heartbeat was sent before its upstream stated, in a response, that it is
    /// about to end.
    [[nodiscard]] auto isOvertaken(const UpstreamRecord &heartbeat) const -> bool;
    [[nodiscard]] auto findMember(const std::string &name) const -> std::optional<InstanceId>;
    [[nodiscard]] auto isKnownDomain(const FailureDomainId &domain) const -> bool;
    [[nodiscard]] auto mayRetire(TimePoint now, const InstanceId &instance) const -> bool;

    ControlSettings m_settings;
    telemetry::EventLog &m_log;
    telemetry::Metrics m_metrics;
    consensus::Replica m_replica;
    FleetState m_state;
    consensus::Index m_applied = 0;
    consensus::Index m_snapshotAt = 0;
    std::size_t m_bytesSinceSnapshot = 0;

    std::vector<CommandPtr> m_commands;
    std::vector<CommitHandler> m_commandHandlers;
    /// Admitted requests per customer that are not in the log yet.
    std::map<CustomerId, std::vector<RequestId>> m_pendingUse;
    /// Number of admitted requests per customer whose record is not committed.
    std::unordered_map<CustomerId, std::size_t> m_unrecorded;
    /// Requests that a former leader has admitted and recorded.
    std::unordered_set<RequestId> m_recordedBefore;
    /// Time since which commands or admitted requests wait to be proposed.
    std::optional<TimePoint> m_oldestCommand;
    /// Whether a waiting command is proposed without the delay for batching.
    bool m_urgent = false;
    std::map<consensus::Index, Batch> m_inFlight;

    bool m_wasLeader = false;
    bool m_wasServing = false;
    bool m_leaving = false;
    /// Time of the last change of this instance's leadership.
    TimePoint m_leaderSince{};
    std::map<InstanceId, Member> m_members;
    /// The other control instances that are known.
    std::set<InstanceId> m_controls;
    /// Gateways in the last feed of a leader.
    std::vector<fb::GatewayAddressT> m_knownGateways;
    /// Instance that presence is sent to while this one does not lead.
    std::optional<InstanceId> m_presumedLeader;
    /// The leader that sent the last feed, as long as it is recent.
    std::optional<InstanceId> m_feedLeader;
    std::size_t m_nextControl = 0;
    TimePoint m_lastFeedAt{};
    TimePoint m_nextPresence{};
    TimePoint m_nextMaintenance{};
    /// Time at which changed gateways are sent to the control instances; `TimePoint::max()` if none
    /// have changed.
    TimePoint m_directoryPushAt = TimePoint::max();
    /// Times of the last presence of control instances, by their replicas.
    std::map<consensus::ReplicaId, TimePoint> m_replicaSeenAt;
    /// Control instances in the last feed of a leader.
    std::set<InstanceId> m_runningControls;
    /// Another instance can take the place of this one, which is leaving.
    bool m_awaitsReplacement = false;

    ConfigurationSender m_configurationSender;
    /// A configuration that waits until the commands in flight are committed. A newer one replaces
    /// it, so that there is at most one.
    struct PendingConfiguration
    {
        Configuration configuration;
        std::string document;
    };
    std::optional<PendingConfiguration> m_pendingConfiguration;

    /// The consensus group as of the last committed change.
    consensus::Configuration m_committedGroup;
    bool m_groupChanged = false;
    /// The group had fewer voters than required when its size was last reported.
    bool m_groupIsTooSmall = false;
    history::ReplicaSet m_replicas;
    HistoryProgress m_historyProgress;

    Dispatcher m_dispatcher;
    std::unique_ptr<QuotaTable> m_quotas;
    std::unordered_map<RequestId, AdmissionState> m_admissions;
    /// The proposed records of streams that are not applied yet.
    std::multiset<std::pair<StreamId, ServiceId>> m_openStreamRecords;
    UnconfirmedStreams m_unconfirmedStreams;
    /// Streams whose version is not known any more; the records of it are on their way to the log.
    std::unordered_set<StreamId> m_doubtedStreams;
    /// Admissions that wait for capacity in their customer's limit, by the time they proceed.
    std::multimap<TimePoint, std::pair<InstanceId, fb::AdmissionT>> m_delayed;
    UpstreamRegistry m_upstreams;
    /// Instances whose retirement is proposed and not applied yet.
    std::set<InstanceId> m_openRetirements;
    std::uint64_t m_appliedUpstreamChanges = 0;

    ControlOutput m_output;
};

/// Returns the instance that hosts a replica.
[[nodiscard]] auto instanceOf(const consensus::ReplicaId &replica) -> InstanceId;

} // namespace heathergate::fleet
