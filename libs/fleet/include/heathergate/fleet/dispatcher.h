#pragma once

#include <heathergate/fleet/connection_tracker.h>
#include <heathergate/fleet/drain_rate.h>
#include <heathergate/fleet/fleet_state.h>
#include <heathergate/fleet/incarnation_watch.h>
#include <heathergate/fleet/placement_settings.h>
#include <heathergate/fleet/poison_register.h>
#include <heathergate/fleet/stated_rate.h>
#include <heathergate/fleet/upstream_pace.h>
#include <heathergate/routing/health.h>
#include <heathergate/routing/prefix_index.h>

namespace heathergate::fleet {

/// A request that needs a slot at an upstream.
struct Work
{
    RequestId id = 0;
    InstanceId gateway;
    CustomerId customer;
    ServiceId service;
    /// Failure domain of the gateway.
    FailureDomainId domain;
    /// Lower ranks are placed first; 0 is the best.
    int rank = 0;
    /// Time at which the caller stops waiting for the response.
    TimePoint deadline{};
    /// Latest time at which the request can be sent and still be useful.
    TimePoint startBy{};
    /// Whether its program has already run requests, whose cost is lost if this one is rejected.
    bool isStarted = true;
    /// Target completion time of the request's program.
    std::optional<TimePoint> finishBy;
    routing::PromptPrefixes prompt;
    int expectedTokens = 0;
    /// The request is a stream that must not run twice, so that it needs a new connection unless
    /// one was used recently.
    bool needsRecentConnection = false;
    /// Identical for requests with the same customer, target and body.
    std::uint64_t fingerprint = 0;
    /// Upstreams at which the request is not placed.
    std::vector<UpstreamId> avoid;
    /// Upstream at which the request has to resume, unless that upstream has been removed.
    std::optional<UpstreamId> pinnedUpstream;
    /// Software version at which a stream that has begun has to go on.
    StreamOrigin origin;
    /// The request is a stream that begins while several software versions serve, so that it can
    /// be resumed only at the version that begins it.
    bool needsKnownVersion = false;
};

/// Assigns a request to an upstream.
struct Placement
{
    RequestId request = 0;
    InstanceId gateway;
    UpstreamId upstream;
    Endpoint address;
    /// Time that the request spent in the queue.
    Duration waited{};
    /// Requests at the upstream, including this one.
    std::size_t running = 0;
    /// Start time of the upstream's incarnation, on its own clock.
    std::chrono::milliseconds startedAt{};
    /// The upstream has stated a limit of its rate.
    bool isLimited = false;
    /// Version of the upstream's software according to its last heartbeat.
    std::string softwareVersion;
    /// Whether the request is one that begins at the incarnation of that heartbeat. A stream that
    /// goes on keeps the version that began it.
    IncarnationCertainty certainty = IncarnationCertainty::Known;
};

enum class RejectReason {
    /// No upstream of the service is registered and reachable.
    NoUpstream,
    /// The expected queueing time exceeds the time that the request has left.
    Overload,
    /// The request has repeatedly broken the upstreams that ran it.
    Poison,
    /// The stream cannot go on: no upstream has the software version that began it, or that version
    /// is not known.
    StreamVersionGone,
};

/// Rejects a request. This attempt of the request has not run.
struct Rejection
{
    RequestId request = 0;
    InstanceId gateway;
    RejectReason reason = RejectReason::NoUpstream;
    Duration retryAfter{};
    std::size_t queued = 0;
};

/// Result of a request's attempt at an upstream.
struct AttemptReport
{
    AttemptOutcome outcome = AttemptOutcome::Answered;
    /// Duration of the attempt.
    Duration total{};
    /// Time to the first byte of the response; zero if none was received.
    Duration first{};
};

/// Begin or end of the pace of an upstream that has started or recovered.
struct PaceChange
{
    UpstreamId upstream;
    bool hasBegun = false;
    std::string_view why;
    /// Time since the pace began.
    Duration took{};
    /// Smoothed duration of its responses in relation to those of warm upstreams.
    double slowness = 1;
};

/// Numbers of upstreams whose requests are bounded because of a start or a recovery.
struct PaceCounts
{
    std::size_t cold = 0;
    std::size_t mayBeCold = 0;
    std::size_t paced = 0;
};

/// Places the requests of all gateways at the upstreams of all services, based on every request
/// that is running. Designed for this load: more requests than slots, with several ranks and with
/// prompts that share prefixes with earlier ones, at upstreams that differ in speed, join, leave
/// and fail.
class Dispatcher
{
public:
    explicit Dispatcher(PlacementSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Replaces the set of upstreams and the configuration of their services. `groupNow` is the
    /// time of the group, in which the records are dated.
    auto setUpstreams(TimePoint now, const std::map<UpstreamId, UpstreamRecord> &records,
                      const ActiveConfiguration &configuration, GroupTime groupNow = {}) -> void;
    /// Sets the upstreams that a former leader may have sent requests to until now.
    auto takeOver(TimePoint now, const std::map<UpstreamId, UpstreamRecord> &records,
                  const ActiveConfiguration &configuration, GroupTime groupNow) -> void;
    /// Records that an upstream is reachable, and for how long it remains slow after its start.
    auto heartbeat(TimePoint now, const UpstreamId &id, Duration coldRemaining) -> void;

    /// Records that an upstream at `address` has closed all connections of an instance, so that it
    /// may have ended. Until its next heartbeat, streams that have begun do not go on there if
    /// their service has several versions, and other streams begin there only if no other upstream
    /// can run them. Returns the upstreams for which that is news.
    [[nodiscard]] auto connectionsLost(TimePoint now, const Endpoint &address)
        -> std::vector<UpstreamId>;

    /// Limits the requests that are placed at an upstream to the rate that it stated, in requests
    /// per second. Has no effect if `startedAt` is that of another incarnation. Returns whether the
    /// limit has changed.
    auto limit(TimePoint now, const UpstreamId &id, std::chrono::milliseconds startedAt,
               double perSecond) -> bool;
    /// Ends the limit of the upstream where `request` runs, because its response stated none.
    /// Returns whether there was one.
    auto lift(TimePoint now, RequestId request) -> bool;

    /// Places no further requests at an upstream that stated that it is about to end, and rejects
    /// those that no other upstream can serve. Has no effect if `startedAt` is that of another
    /// incarnation. Returns whether it was in use.
    auto retire(TimePoint now, const UpstreamId &id, std::chrono::milliseconds startedAt) -> bool;
    /// Returns whether an upstream has been retired.
    [[nodiscard]] auto isRetired(const UpstreamId &id) const -> bool;

    /// Places no requests at upstreams of these failure domains, and rejects the queued requests
    /// that only such upstreams can serve. Requests that run there are not affected.
    auto setEvacuated(TimePoint now, const std::set<FailureDomainId> &domains) -> void;
    [[nodiscard]] auto evacuated() const -> const std::set<FailureDomainId> &
    {
        return m_evacuated;
    }

    /// Submits a request; a placement or a rejection follows. A request that is already placed has
    /// its placement returned again.
    auto submit(TimePoint now, Work work) -> void;
    /// Registers a running request that another leader has placed.
    auto adopt(TimePoint now, Work work, const UpstreamId &upstream) -> void;
    /// Ends a request's attempt at an upstream, or removes it from the queue.
    auto finish(TimePoint now, RequestId request, const AttemptReport &report) -> void;
    /// Removes all requests of a gateway that has restarted or been removed.
    auto dropGateway(TimePoint now, const InstanceId &gateway) -> void;
    /// Fills free slots, rejects queued requests whose `startBy` or `deadline` has passed, and
    /// frees the slots of running ones whose end was not reported in time.
    auto tick(TimePoint now) -> void;

    [[nodiscard]] auto takePlacements() -> std::vector<Placement>
    {
        return std::exchange(m_placements, {});
    }
    [[nodiscard]] auto takeRejections() -> std::vector<Rejection>
    {
        return std::exchange(m_rejections, {});
    }
    /// Restores the failures of a request that a former leader has counted.
    auto restoreFailures(const RequestFailures &known, TimePoint lastFailureAt) -> void
    {
        m_poison.restore(known, lastFailureAt);
    }
    /// Returns the failures of requests that were counted since the last call.
    [[nodiscard]] auto takeFailures() -> std::vector<RequestFailures>
    {
        return m_poison.takeChanges();
    }
    /// Returns the requests whose slots were freed because their end was not reported.
    [[nodiscard]] auto takeOverdue() -> std::vector<RequestId>
    {
        return std::exchange(m_overdue, {});
    }
    /// Returns the number of new connections that requests which need a recent one are expected to
    /// have opened, since the last call.
    [[nodiscard]] auto takeExpectedConnections() -> std::uint64_t
    {
        return std::exchange(m_expectedConnections, 0);
    }
    /// Returns the upstreams whose pace has begun or ended since the last call.
    [[nodiscard]] auto takePaceChanges() -> std::vector<PaceChange>
    {
        return std::exchange(m_paceChanges, {});
    }
    [[nodiscard]] auto paceCounts(TimePoint now) const -> PaceCounts;
    [[nodiscard]] auto nextDeadline(TimePoint now) const -> TimePoint;

    [[nodiscard]] auto isKnown(RequestId request) const -> bool
    {
        return m_work.contains(request);
    }
    [[nodiscard]] auto running() const -> std::size_t;
    [[nodiscard]] auto waiting() const -> std::size_t;

private:
    struct Upstream
    {
        UpstreamRecord record;
        std::set<RequestId> running;
        routing::PrefixIndex cache{0};
        routing::Health health;
        /// Smoothed ratio of the measured to the expected duration of its requests.
        double slowdown = 1;
        TimePoint coldUntil{};
        StatedRate rate;
        UpstreamPace pace;
        /// It stated that it is about to end.
        bool isRetired = false;
        /// Time since which it is known to drain or to be about to end.
        std::optional<TimePoint> leavingSince;
        /// It has started recently, in the time of the group.
        bool isRecent = false;
        /// End of the pause after it declined a request for lack of capacity.
        TimePoint declinedUntil{};
        bool isEngine = false;
        TimePoint lastHeartbeat{};
        IncarnationWatch watch;
        /// Time of the last complete response, whose connection stays open for a while.
        std::optional<TimePoint> lastAnsweredAt;
        /// Time of the last failed connection, until a request succeeds.
        std::optional<TimePoint> lastUnreachableAt;
    };

    /// Queue order: better rank first, then programs that have started, then those whose due time
    /// has not passed, then the earliest due time.
    struct QueueKey
    {
        int rank = 0;
        bool isNew = false;
        bool isLate = false;
        TimePoint due{};
        RequestId request = 0;

        auto operator<=>(const QueueKey &) const = default;
    };

    struct ServiceState
    {
        std::vector<UpstreamId> upstreams;
        std::set<QueueKey> queue;
        /// How fast first turns of programs get slots, by rank.
        std::map<int, DrainRate> firstTurns;
        /// Exponentially smoothed duration of a request of this service.
        double meanDurationSeconds = 0.1;
    };

    struct WorkState
    {
        Work work;
        TimePoint submittedAt{};
        std::optional<UpstreamId> placedAt;
        Duration expected{};
        QueueKey key;
        /// Time of the placement.
        TimePoint placedTime{};
        /// Start time of the upstream's incarnation, on its own clock.
        std::chrono::milliseconds upstreamStartedAt{};
    };

    [[nodiscard]] auto choose(TimePoint now, const Work &work) const -> const Upstream *;
    [[nodiscard]] auto cost(const Upstream &upstream, const Work &work) const -> double;
    [[nodiscard]] auto isAvailable(TimePoint now, const Upstream &upstream, const Work &work) const
        -> bool;
    /// Returns how many requests may be in transit to an upstream or running there.
    [[nodiscard]] auto capacity(const Upstream &upstream) const -> std::size_t;
    /// Returns the number of requests that run at the same time at an upstream whose slots are used
    /// as far as its stated rate permits.
    [[nodiscard]] auto usableSlots(TimePoint now, const Upstream &upstream,
                                   const ServiceState &service) const -> double;
    [[nodiscard]] auto placementOf(const WorkState &state, const Upstream &upstream,
                                   Duration waited) const -> Placement;
    /// Returns whether an upstream may receive requests: it has not stated that it is about to end,
    /// and its failure domain is not evacuated.
    [[nodiscard]] auto isInService(const Upstream &upstream) const -> bool
    {
        return !upstream.isRetired && !m_evacuated.contains(upstream.record.domain);
    }
    [[nodiscard]] auto isReachable(TimePoint now, const Upstream &upstream) const -> bool;
    /// Returns whether connections to an upstream succeed, as far as is known.
    [[nodiscard]] static auto acceptsConnections(TimePoint now, const Upstream &upstream) -> bool;
    /// Returns whether most upstreams of a service are ejected, so that those that fail only part
    /// of their requests are needed.
    [[nodiscard]] auto needsEjected(TimePoint now, const ServiceId &service) const -> bool;
    [[nodiscard]] auto hasReachableUpstream(TimePoint now, const Work &work) const -> bool;
    /// Returns whether the upstream's software may run the request.
    [[nodiscard]] static auto isCompatible(const Upstream &upstream, const Work &work) -> bool;
    /// Returns whether the request may be sent to an upstream now: the upstream's software may run
    /// it, and if it is bound to one of several versions, no other incarnation is suspected there.
    [[nodiscard]] static auto mayRunNow(TimePoint now, const Upstream &upstream, const Work &work)
        -> bool;
    /// Returns whether a request should be placed elsewhere if possible, because another
    /// incarnation of the upstream might run it.
    [[nodiscard]] static auto risksVersion(const Upstream &upstream, const Work &work) -> bool;
    /// Returns whether an instance has a connection to an upstream, as far as is known.
    [[nodiscard]] static auto isConnected(TimePoint now, const Upstream &upstream) -> bool;
    /// Returns whether an upstream that accepts requests has software that may run the request.
    [[nodiscard]] auto hasCompatibleUpstream(const Work &work) const -> bool;
    /// Lets a request that is bound to a software version run at upstreams that it avoids, if it
    /// avoids all of that version.
    auto permitAvoidedIfNoOtherIsCompatible(Work &work) const -> void;
    /// Returns the upstream at which the request has to resume, if it is still the same.
    [[nodiscard]] auto pinnedUpstream(const Work &work) const -> const Upstream *;
    /// Returns whether the request may only resume at an upstream of an evacuated failure domain.
    [[nodiscard]] auto resumesInEvacuated(const Work &work) const -> bool;
    /// Returns whether the request may only resume at an upstream that gets no request any more:
    /// its failure domain is evacuated, or it has been leaving for too long.
    [[nodiscard]] auto mustNotReturn(TimePoint now, const Work &work) const -> bool;
    [[nodiscard]] static auto queueKeyOf(TimePoint now, const Work &work) -> QueueKey;
    [[nodiscard]] auto hasFreeSlot(TimePoint now, const ServiceState &service) const -> bool;
    [[nodiscard]] auto expectedWait(TimePoint now, const ServiceState &service,
                                    const WorkState &state) const -> Duration;
    /// Returns the wait that follows from the number of slots and the requests ahead.
    [[nodiscard]] auto waitForSlots(TimePoint now, const ServiceState &service,
                                    const WorkState &state, std::size_t ahead) const -> Duration;
    /// Returns the number of queued requests before this one that are bound to the same version.
    [[nodiscard]] auto boundAhead(const ServiceState &service, const WorkState &state) const
        -> std::size_t;
    auto place(TimePoint now, WorkState &state, const UpstreamId &upstream) -> void;
    auto reject(TimePoint now, RequestId request, RejectReason reason, Duration retryAfter) -> void;
    auto fillFreeSlots(TimePoint now, const ServiceId &service) -> void;
    /// Rejects the queued requests of a service for which no upstream is left.
    auto rejectUnservable(TimePoint now, const ServiceId &service) -> void;
    auto enqueue(TimePoint now, const WorkState &state) -> void;
    auto removeFromQueue(TimePoint now, const WorkState &state, bool hasSlot) -> void;
    /// Frees the slots of requests whose callers have left and whose end was not reported.
    auto freeOverdueSlots(TimePoint now) -> void;
    auto updateEstimates(TimePoint now, Upstream &upstream, const WorkState &state,
                         const AttemptReport &report) -> void;

    PlacementSettings m_settings;
    /// Returns whether placements take the cost of new connections into account.
    [[nodiscard]] auto weighsConnections() const -> bool
    {
        return m_settings.connectionCost > Duration::zero();
    }
    /// Begins the pace of an upstream, if paces are measured, it has none, and others of its
    /// service are warm.
    auto beginPace(TimePoint now, Upstream &upstream, std::string_view why) -> void;
    /// Adjusts the pace of an upstream to the outcome of a request.
    auto adjustPace(TimePoint now, Upstream &upstream, const WorkState &state,
                    const AttemptReport &report) -> void;
    /// Returns the mean ratio of the measured to the expected duration at the upstreams of a
    /// service that are warm: not paced, and not started recently. Nothing if there are none.
    [[nodiscard]] auto warmSlowdown(const ServiceId &service) const -> std::optional<double>;

    std::map<UpstreamId, Upstream> m_upstreams;
    std::set<FailureDomainId> m_evacuated;
    std::unordered_map<ServiceId, ServiceState> m_services;
    std::unordered_map<RequestId, WorkState> m_work;
    /// Times at which the queued requests have to be rejected.
    std::set<std::pair<TimePoint, RequestId>> m_expiries;
    /// Times at which the slots of running requests are freed if their end was not reported.
    std::set<std::pair<TimePoint, RequestId>> m_slotExpiries;
    std::vector<RequestId> m_overdue;
    PoisonRegister m_poison;
    std::vector<Placement> m_placements;
    std::vector<Rejection> m_rejections;
    ConnectionTracker m_connections;
    std::uint64_t m_expectedConnections = 0;
    std::vector<PaceChange> m_paceChanges;
    std::uint64_t m_rejected = 0;
    /// The upstreams that are being set may have received requests of a former leader.
    bool m_isTakingOver = false;
};

} // namespace heathergate::fleet
