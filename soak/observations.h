#pragma once

#include <heathergate/core/core.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace heathergate::soak {

/// Kind of a caller's request.
enum class RequestKind {
    /// A turn of a program, answered by a resumable stream.
    Turn,
    /// A call that may be executed several times.
    Idempotent,
    /// A call that must be executed at most once.
    RunsOnce,
};

/// A caller's request, recorded before it is sent.
struct IssuedRequest
{
    std::string id;
    RequestKind kind = RequestKind::Idempotent;
    std::string customer;
    std::string key;
    std::string method;
    std::string target;
    std::string body;
    InstanceId gateway;
    TimePoint sentAt{};
    /// The turn that this one continues, and the content that precedes the body at the upstream.
    std::string previousTurn;
    std::string history;
};

/// The start of an execution, recorded by an upstream.
struct ObservedRun
{
    std::string id;
    UpstreamId upstream;
    std::string customer;
    std::string method;
    std::string target;
    std::string body;
    /// Whether the caller's API key was forwarded in a header.
    bool carriesKey = false;
    TimePoint at{};
};

/// The end of a request, recorded by its caller.
struct ObservedAnswer
{
    std::string id;
    /// 0 if the connection ended without a complete head.
    int status = 0;
    bool complete = false;
    /// Signature header of the upstream's answer.
    std::string signature;
    std::string body;
    TimePoint at{};
    /// Upstream whose answer it is and which states in it that it is about to end; empty otherwise.
    UpstreamId leaving;
};

/// The disturbances of a run by subject: a host or one of the groups below. Invariants with a time
/// limit are checked only for subjects that were undisturbed for long enough.
class Disturbances
{
public:
    /// Time after a disturbance until invariants with a time limit hold again.
    static constexpr Duration kSettlingTime = std::chrono::seconds(4);

    /// Records a disturbance of `subject`, which is extended by `kSettlingTime`.
    auto record(const std::string &subject, TimePoint from, TimePoint until) -> void
    {
        m_spans[subject].emplace_back(from, until + kSettlingTime);
    }
    /// Returns whether a subject was undisturbed from `from` until `until`.
    [[nodiscard]] auto isUndisturbed(const std::string &subject, TimePoint from,
                                     TimePoint until) const -> bool;

private:
    std::map<std::string, std::vector<std::pair<TimePoint, TimePoint>>> m_spans;
};

/// Subject of disturbances that affect the control instances as a group.
constexpr const char *kControlSubject = "control";
/// Subject of disturbances of upstreams and their connections.
constexpr const char *kUpstreamSubject = "upstreams";

/// A violated invariant.
struct Violation
{
    std::string invariant;
    std::string detail;
};

/// Collects the observations of callers, upstreams and the operator, and checks the invariants.
class Observations
{
public:
    /// Rate limit of a customer. The executions in any `kRateWindow` are checked against it.
    struct RateLimit
    {
        double ratePerSecond = 0;
        double burst = 0;
    };
    static constexpr Duration kRateWindow = std::chrono::seconds(5);
    /// Share by which a customer may exceed its rate and burst.
    static constexpr double kRateTolerance = 0.1;
    /// Requests per window that are allowed in addition.
    static constexpr double kRateSlack = 20;
    /// Time after which a configuration or an upstream's leaving is in effect at all instances.
    static constexpr Duration kPropagationLimit = std::chrono::seconds(2);

    explicit Observations(const Disturbances &disturbances)
        : m_disturbances(disturbances)
    {
    }

    // Requests.
    auto issued(IssuedRequest request) -> void;
    auto ran(const ObservedRun &run) -> void;
    /// Records the signature and body of an upstream's answer to a request.
    auto produced(const std::string &id, const std::string &signature, const std::string &body)
        -> void;
    auto answered(const ObservedAnswer &answer) -> void;
    /// Checks that event number `event` of a stream follows number `last`; the first event follows
    /// 0.
    auto eventReceived(const std::string &id, std::uint64_t last, std::uint64_t event,
                       const std::string &data, const std::string &expected) -> void;
    /// Checks that all events of a stream were written by one software version. A stream is
    /// identified by the attempt that brought its first event.
    auto versionReceived(const std::string &stream, const std::string &id,
                         const std::string &version) -> void;
    /// Checks that a turn was not refused because the turn that it continues is unknown.
    auto turnDenied(const std::string &id, const std::string &previousTurn) -> void;
    /// Reports a stream that ended as complete without its last event.
    auto streamTruncated(const std::string &id, std::uint64_t events) -> void;
    /// Reports a request that a gateway's graceful stop interrupted during its execution.
    auto interruptedByGracefulStop(const std::string &id, const InstanceId &gateway) -> void;

    // Programs and customers.
    auto tokensReceived(const std::string &program, std::int64_t tokens, std::int64_t allowed)
        -> void;
    auto setRateLimit(const std::string &customer, const RateLimit &limit) -> void
    {
        m_limits[customer] = limit;
    }
    /// Records that a configuration acknowledged at `at` withdraws a key.
    auto keyWithdrawn(const std::string &key, TimePoint at) -> void
    {
        m_withdrawn[key] = at;
    }
    /// Records that a configuration acknowledged at `at` adds a key.
    auto keyGiven(const std::string &key, TimePoint at) -> void
    {
        m_given[key] = at;
    }
    /// Records that the fleet acknowledged the leaving of an upstream at `at`.
    auto upstreamLeaving(const UpstreamId &upstream, TimePoint at) -> void
    {
        m_leaving[upstream] = at;
    }
    /// Records that an upstream serves again under this identifier.
    auto upstreamRestarted(const UpstreamId &upstream) -> void
    {
        m_leaving.erase(upstream);
        std::erase_if(m_toldLeaving,
                      [&](const auto &item) { return item.first.second == upstream; });
    }

    // Configurations.
    auto configurationSent(std::uint64_t version, const std::string &document) -> void
    {
        m_sent[version] = document;
    }
    auto configurationAcknowledged(std::uint64_t version, TimePoint at) -> void;
    auto configurationRead(TimePoint sentAt, std::uint64_t version, const std::string &document)
        -> void;
    [[nodiscard]] auto newestAcknowledged() const -> std::uint64_t
    {
        return m_acknowledged.empty() ? 0 : m_acknowledged.rbegin()->first;
    }

    /// Records the violation of an invariant.
    auto reportViolation(std::string invariant, std::string detail) -> void
    {
        m_violations.push_back({std::move(invariant), std::move(detail)});
    }
    /// Makes the checks that need all observations of the run.
    auto finish() -> void;

    [[nodiscard]] auto hasRun(const std::string &id) const -> bool
    {
        return m_runs.contains(id);
    }
    [[nodiscard]] auto violations() const -> const std::vector<Violation> &
    {
        return m_violations;
    }
    [[nodiscard]] auto requests() const -> std::size_t
    {
        return m_requests.size();
    }
    /// Returns the number of answers per status; 0 stands for requests without a complete answer.
    [[nodiscard]] auto answersByStatus() const -> const std::map<int, std::size_t> &
    {
        return m_byStatus;
    }

private:
    struct Request
    {
        IssuedRequest issued;
        std::optional<ObservedAnswer> answer;
    };

    auto checkRun(const Request &request, const ObservedRun &run, std::size_t runs) -> void;
    auto checkTimely(const Request &request, const ObservedRun &run, std::size_t runs) -> void;
    /// Checks that a gateway keeps away from an upstream whose answer it has passed on, also while
    /// the control instances are disturbed.
    auto checkToldLeaving(const IssuedRequest &issued, const ObservedRun &run) -> void;
    auto checkRefusal(const std::string &id) -> void;
    auto checkDenial(const Request &request) -> void;

    const Disturbances &m_disturbances;
    std::unordered_map<std::string, Request> m_requests;
    std::unordered_map<std::string, std::vector<ObservedRun>> m_runs;
    /// Bodies of the upstreams' answers by request and signature.
    std::unordered_map<std::string, std::map<std::string, std::string>> m_produced;
    /// The software version that began each stream.
    std::unordered_map<std::string, std::string> m_streamVersions;
    std::map<std::string, RateLimit> m_limits;
    std::map<std::string, std::deque<TimePoint>> m_runTimes;
    std::map<std::string, std::int64_t> m_tokens;
    std::map<std::string, TimePoint> m_withdrawn;
    std::map<std::string, TimePoint> m_given;
    std::map<UpstreamId, TimePoint> m_leaving;
    /// Times at which gateways first passed on that an upstream is about to end.
    std::map<std::pair<InstanceId, UpstreamId>, TimePoint> m_toldLeaving;
    std::map<std::uint64_t, std::string> m_sent;
    std::map<std::uint64_t, TimePoint> m_acknowledged;
    std::map<int, std::size_t> m_byStatus;
    std::vector<Violation> m_violations;
};

} // namespace heathergate::soak
