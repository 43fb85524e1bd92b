#pragma once

#include <heathergate/fleet/fleet_state.h>
#include <heathergate/fleet/poison_register.h>
#include <heathergate/routing/health.h>
#include <heathergate/routing/prefix_index.h>

namespace heathergate::fleet {

/// A request that needs a place at an upstream.
struct Work
{
    RequestId id = 0;
    InstanceId gateway;
    CustomerId customer;
    ServiceId service;
    /// Where the gateway is.
    FailureDomainId domain;
    /// 0 goes first.
    int rank = 0;
    /// The caller waits until then.
    TimePoint deadline{};
    /// The request has to be sent by then to be of use.
    TimePoint startBy{};
    /// Whether its program has run before: what it has used so far would be wasted.
    bool isStarted = true;
    /// When the program of the request should be finished.
    std::optional<TimePoint> finishBy;
    routing::PromptPrefixes prompt;
    int expectedTokens = 0;
    /// Same for requests with the same caller, path and body.
    std::uint64_t fingerprint = 0;
    std::vector<UpstreamId> avoid;
    /// The upstream at which it should go on, if that still takes requests.
    std::optional<UpstreamId> pinnedUpstream;
};

/// Gives a request a place.
struct Placement
{
    RequestId request = 0;
    InstanceId gateway;
    UpstreamId upstream;
    Endpoint address;
    /// Time that the request waited.
    Duration waited{};
    /// Requests at the upstream, this one included.
    std::size_t running = 0;
};

enum class RejectReason {
    /// No upstream of the service is known or answers.
    NoUpstream,
    /// The queue is too long for the time that the request has.
    Overload,
    /// It has broken several upstreams.
    Poison,
};

/// Tells that a request gets no place: it has not run.
struct Rejection
{
    RequestId request = 0;
    InstanceId gateway;
    RejectReason reason = RejectReason::NoUpstream;
    Duration retryAfter{};
    std::size_t queued = 0;
};

/// How a request's stay at an upstream went.
struct AttemptReport
{
    AttemptOutcome outcome = AttemptOutcome::Answered;
    Duration total{};
    /// Until the first byte of the answer; zero if none came.
    Duration first{};
};

/// Places the requests of all gateways at the upstreams of all services, with the knowledge of
/// everything that is running. Answers this load: more requests than slots, of several ranks,
/// whose prompts share parts with earlier ones, at upstreams that differ in speed, come, leave
/// and fail.
class Dispatcher
{
public:
    /// Takes in the upstreams and services as they are now.
    auto setUpstreams(TimePoint now, const std::map<UpstreamId, UpstreamRecord> &records,
                      const ActiveConfiguration &configuration) -> void;
    /// Notes that an upstream is alive, and for how long it is still slow after its start.
    auto heartbeat(TimePoint now, const UpstreamId &id, Duration coldRemaining) -> void;

    /// Takes in a request; a placement or rejection follows. One that is known already gets its
    /// placement again.
    auto submit(TimePoint now, Work work) -> void;
    /// Notes a request that another leader has placed.
    auto adopt(TimePoint now, Work work, const UpstreamId &upstream) -> void;
    /// Ends a request's stay or wait.
    auto finish(TimePoint now, RequestId request, const AttemptReport &report) -> void;
    /// Forgets all requests of a gateway that is gone.
    auto dropGateway(TimePoint now, const InstanceId &gateway) -> void;
    /// Lets time pass: rejects what has waited too long.
    auto tick(TimePoint now) -> void;

    [[nodiscard]] auto takePlacements() -> std::vector<Placement>
    {
        return std::exchange(m_placements, {});
    }
    [[nodiscard]] auto takeRejections() -> std::vector<Rejection>
    {
        return std::exchange(m_rejections, {});
    }
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
        /// Mean duration of its requests, relative to what was expected.
        double slowdown = 1;
        TimePoint coldUntil{};
        /// It declined a request for lack of room.
        TimePoint declinedUntil{};
        bool isEngine = false;
        TimePoint lastHeartbeat{};
        /// When a request found it unreachable or silent.
        std::optional<TimePoint> lastUnreachableAt;
    };

    /// Place of a request in a queue: the better rank first, then programs that have begun, then
    /// those whose time is not over, then the one that has to be finished sooner.
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
        /// Smoothed time that a request of this service takes.
        double meanDurationSeconds = 0.1;
    };

    struct WorkState
    {
        Work work;
        TimePoint submittedAt{};
        std::optional<UpstreamId> placedAt;
        Duration expected{};
        QueueKey key;
    };

    [[nodiscard]] auto choose(TimePoint now, const Work &work) const -> const Upstream *;
    [[nodiscard]] auto cost(const Upstream &upstream, const Work &work) const -> double;
    [[nodiscard]] auto isAvailable(TimePoint now, const Upstream &upstream, const Work &work) const
        -> bool;
    /// Returns how many requests may be on their way to or at an upstream.
    [[nodiscard]] auto capacity(const Upstream &upstream) const -> std::size_t;
    [[nodiscard]] static auto isReachable(TimePoint now, const Upstream &upstream) -> bool;
    [[nodiscard]] auto hasReachableUpstream(TimePoint now, const Work &work) const -> bool;
    [[nodiscard]] static auto queueKeyOf(TimePoint now, const Work &work) -> QueueKey;
    [[nodiscard]] auto hasFreeSlot(TimePoint now, const ServiceState &service) const -> bool;
    [[nodiscard]] auto expectedWait(const ServiceState &service, const QueueKey &key) const
        -> Duration;
    auto place(TimePoint now, WorkState &state, const UpstreamId &upstream) -> void;
    auto reject(TimePoint now, RequestId request, RejectReason reason, Duration retryAfter) -> void;
    auto fillFreeSlots(TimePoint now, const ServiceId &service) -> void;
    auto enqueue(WorkState &state) -> void;
    auto removeFromQueue(const WorkState &state) -> void;
    auto updateEstimates(TimePoint now, Upstream &upstream, const WorkState &state,
                         const AttemptReport &report) -> void;

    std::map<UpstreamId, Upstream> m_upstreams;
    std::unordered_map<ServiceId, ServiceState> m_services;
    std::unordered_map<RequestId, WorkState> m_work;
    /// When each waiting request has to be rejected.
    std::set<std::pair<TimePoint, RequestId>> m_expiries;
    PoisonRegister m_poison;
    std::vector<Placement> m_placements;
    std::vector<Rejection> m_rejections;
    std::uint64_t m_rejected = 0;
};

} // namespace heathergate::fleet
