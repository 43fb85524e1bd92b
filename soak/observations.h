#pragma once

#include <heathergate/core/core.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace heathergate::soak {

/// What a caller sends.
enum class RequestKind {
    /// A turn of a program, answered with a stream that may be resumed.
    Turn,
    /// A call that may be repeated.
    Idempotent,
    /// A call that runs at most once.
    RunsOnce,
};

/// One request of a caller, as it was before it was sent.
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
};

/// What an upstream saw when it began to run a request.
struct ObservedRun
{
    std::string id;
    UpstreamId upstream;
    std::string customer;
    std::string method;
    std::string target;
    std::string body;
    /// Some header held a caller's key.
    bool carriesKey = false;
    TimePoint at{};
};

/// What a caller saw at the end of a request.
struct ObservedAnswer
{
    std::string id;
    /// 0 if the connection ended without a complete head.
    int status = 0;
    bool complete = false;
    /// Proof that the upstream's answer carries.
    std::string signature;
    std::string body;
    TimePoint at{};
};

/// The disturbances of a run, by what they touch. Promises with a time bound are checked only
/// for what was undisturbed for long enough.
class Disturbances
{
public:
    /// Time after a disturbance until an instance has to keep promises with a time bound again.
    static constexpr Duration kSettlingTime = std::chrono::seconds(4);

    /// Notes that something harms `subject` from now until `end`, and for a while after it.
    auto record(const std::string &subject, TimePoint from, TimePoint until) -> void
    {
        m_spans[subject].emplace_back(from, until + kSettlingTime);
    }
    /// Returns whether a subject was undisturbed in all of the span.
    [[nodiscard]] auto isUndisturbed(const std::string &subject, TimePoint from,
                                     TimePoint until) const -> bool;

private:
    std::map<std::string, std::vector<std::pair<TimePoint, TimePoint>>> m_spans;
};

/// The subject of disturbances that harm the control instances as a whole.
constexpr const char *kControlSubject = "control";
/// The subject of disturbances of upstreams and their connections.
constexpr const char *kUpstreamSubject = "upstreams";

/// A broken promise.
struct Violation
{
    std::string invariant;
    std::string detail;
};

/// Collects what callers, upstreams and the operator see, and checks the promises on it.
class Observations
{
public:
    /// What may reach upstreams for a customer with this limit in any `kRateWindow`.
    struct RateLimit
    {
        double ratePerSecond = 0;
        double burst = 0;
    };
    static constexpr Duration kRateWindow = std::chrono::seconds(5);
    static constexpr double kRateTolerance = 0.1;
    static constexpr double kRateSlack = 20;
    /// Time in which a configuration and a leaving upstream have to be known everywhere.
    static constexpr Duration kPropagationLimit = std::chrono::seconds(2);

    explicit Observations(const Disturbances &disturbances)
        : m_disturbances(disturbances)
    {
    }

    // Requests.
    auto issued(IssuedRequest request) -> void;
    auto ran(const ObservedRun &run) -> void;
    /// Notes the proof and body of an answer that an upstream gave to a request.
    auto produced(const std::string &id, const std::string &signature, const std::string &body)
        -> void;
    auto answered(const ObservedAnswer &answer) -> void;
    /// Checks that an event of a stream follows the one before it; 0 begins a stream.
    auto eventReceived(const std::string &id, std::uint64_t last, std::uint64_t event,
                       const std::string &data, const std::string &expected) -> void;
    /// A stream that ended as complete lacks its last event.
    auto streamTruncated(const std::string &id, std::uint64_t events) -> void;
    /// A gateway that was asked to stop cut a request that an upstream had begun to run.
    auto interruptedByGracefulStop(const std::string &id, const InstanceId &gateway) -> void;

    // Programs and customers.
    auto tokensReceived(const std::string &program, std::int64_t tokens, std::int64_t allowed)
        -> void;
    auto setRateLimit(const std::string &customer, const RateLimit &limit) -> void
    {
        m_limits[customer] = limit;
    }
    /// A key that was withdrawn in a configuration acknowledged at `at`.
    auto keyWithdrawn(const std::string &key, TimePoint at) -> void
    {
        m_withdrawn[key] = at;
    }
    /// A key that came with a configuration acknowledged at `at`.
    auto keyGiven(const std::string &key, TimePoint at) -> void
    {
        m_given[key] = at;
    }
    /// The fleet acknowledged that an upstream leaves.
    auto upstreamLeaving(const UpstreamId &upstream, TimePoint at) -> void
    {
        m_leaving[upstream] = at;
    }
    auto upstreamRestarted(const UpstreamId &upstream) -> void
    {
        m_leaving.erase(upstream);
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

    /// Notes a promise that was found broken elsewhere.
    auto reportViolation(std::string invariant, std::string detail) -> void
    {
        m_violations.push_back({std::move(invariant), std::move(detail)});
    }
    /// Makes the checks that need the whole run.
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
    /// Returns how many answers had each status; 0 stands for none.
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
    auto checkRefusal(const std::string &id) -> void;
    auto checkDenial(const Request &request) -> void;

    const Disturbances &m_disturbances;
    std::unordered_map<std::string, Request> m_requests;
    std::unordered_map<std::string, std::vector<ObservedRun>> m_runs;
    /// Answers that upstreams gave, by request: proof and body.
    std::unordered_map<std::string, std::map<std::string, std::string>> m_produced;
    std::map<std::string, RateLimit> m_limits;
    std::map<std::string, std::deque<TimePoint>> m_runTimes;
    std::map<std::string, std::int64_t> m_tokens;
    std::map<std::string, TimePoint> m_withdrawn;
    std::map<std::string, TimePoint> m_given;
    std::map<UpstreamId, TimePoint> m_leaving;
    std::map<std::uint64_t, std::string> m_sent;
    std::map<std::uint64_t, TimePoint> m_acknowledged;
    std::map<int, std::size_t> m_byStatus;
    std::vector<Violation> m_violations;
};

} // namespace heathergate::soak
