#pragma once

#include <heathergate/routing/health.h>
#include <heathergate/routing/policies.h>
#include <heathergate/routing/prefix_index.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <unordered_map>

namespace heathergate::routing {

/// An upstream that requests can be routed to.
struct Target
{
    UpstreamId id;
    std::uint64_t incarnation = 0;
    FailureDomainId domain;
    /// Lanes that the upstream serves: "model:NAME" or "service:NAME". A lane is the set of all
    /// upstreams for one model or service.
    std::vector<std::string> lanes;
    int slots = 1;
    std::int64_t cacheTokens = 0;
    bool draining = false;
};

/// The requirements of a request.
struct RouteQuery
{
    std::string lane;
    PromptPrefixes prompt;
    /// Upstreams that hold memory of the program.
    std::vector<UpstreamId> holders;
    /// Upstreams at which earlier attempts of this request failed.
    std::set<UpstreamId> excluded;
    /// Hash that selects a preferred upstream of the lane, the same one on all instances; 0 selects
    /// none.
    std::uint64_t affinity = 0;
};

/// How a request at an upstream ended.
enum class AttemptOutcome {
    Success,
    /// The request failed, or the upstream refused it for lack of capacity.
    Failure,
    /// The upstream sent nothing before the timeout.
    TimedOut,
    /// The request was abandoned for a reason unrelated to the upstream's health.
    Neutral,
};

/// Chooses upstreams by a policy. It estimates their loads from delayed reports and from this
/// instance's own requests.
template <typename Policy>
class Router
{
public:
    explicit Router(FailureDomainId ownDomain)
        : m_ownDomain(std::move(ownDomain))
    {
    }

    /// Replaces the list of targets. The state of an incarnation that remains is retained.
    auto setTargets(const std::vector<Target> &targets) -> void
    {
        std::unordered_map<UpstreamId, State> retained;
        m_lanes.clear();
        for (const auto &target : targets) {
            const auto known = m_states.find(target.id);
            const auto same =
                known != m_states.end() && known->second.target.incarnation == target.incarnation;
            auto state = same ? std::move(known->second) : State(target);
            state.target = target;
            retained.emplace(target.id, std::move(state));
        }
        m_states = std::move(retained);
        for (auto &[id, state] : m_states)
            addToLanes(state);
        const auto byId = [](const State *left, const State *right) {
            return left->target.id < right->target.id;
        };
        for (auto &[lane, members] : m_lanes)
            std::sort(members.begin(), members.end(), byId);
    }

    /// Applies a load report: the number of requests of all instances that run or wait at the
    /// upstream. A report may be seconds old, so only the part above this instance's own recent
    /// peak counts as load of other instances, and it is smoothed.
    auto reportLoad(TimePoint now, const UpstreamId &id, int requests) -> void
    {
        if (auto *state = find(id)) {
            if (now - state->peakPeriodStart > kReportLag) {
                state->previousPeak = std::exchange(state->peak, state->inFlight);
                state->peakPeriodStart = now;
            }
            const auto own = std::max(state->peak, state->previousPeak);
            const auto othersLoad = std::max(0, requests - own);
            const auto isFresh = now - state->reportedAt < kReportValidity;
            const auto part = isFresh ? kNewReportWeight : 1.0;
            state->othersLoad += part * (othersLoad - state->othersLoad);
            state->reportedAt = now;
        }
    }

    /// Sets this instance's share of the fleet's requests, from 0 to 1. The share limits how many
    /// of an upstream's slots the instance fills, because load reports lag too much to be a limit.
    auto setShare(double share) -> void
    {
        m_share = std::clamp(share, 0.0, 1.0);
    }

    /// Returns the upstream for a request; nothing if none has capacity.
    [[nodiscard]] auto choose(TimePoint now, const RouteQuery &query, Random &random)
        -> std::optional<UpstreamId>
    {
        const auto lane = m_lanes.find(query.lane);
        if (lane == m_lanes.end() || lane->second.empty())
            return std::nullopt;
        const auto &members = lane->second;
        const auto preferred =
            query.affinity == 0 ? members.size() : query.affinity % members.size();
        const auto inspect = [&](std::size_t index) {
            auto candidate = describe(now, *members[index], query);
            if (index == preferred)
                candidate.cached = std::max(candidate.cached, kAffinityCachedShare);
            return candidate;
        };
        auto hints = hintsFor(members, query.holders);
        if (preferred < members.size())
            hints.push_back(preferred);
        const auto chosen = m_policy.pick(members.size(), inspect, hints, random);
        if (chosen >= members.size())
            return std::nullopt;
        return members[chosen]->target.id;
    }

    /// Returns whether any upstream serves the lane, whatever its load.
    [[nodiscard]] auto serves(const std::string &lane) const -> bool
    {
        const auto found = m_lanes.find(lane);
        return found != m_lanes.end() && !found->second.empty();
    }

    /// Records that a request was sent.
    auto dispatched(const UpstreamId &id, const PromptPrefixes &prompt) -> void
    {
        if (auto *state = find(id)) {
            ++state->inFlight;
            state->peak = std::max(state->peak, state->inFlight);
            state->prefixes.touch(prompt);
        }
    }

    /// Records the outcome of a request.
    auto finished(TimePoint now, const UpstreamId &id, std::uint64_t incarnation,
                  AttemptOutcome outcome) -> void
    {
        auto *state = find(id);
        if (state == nullptr || state->target.incarnation != incarnation)
            return;
        state->inFlight = std::max(0, state->inFlight - 1);
        if (outcome == AttemptOutcome::Success)
            state->health.succeeded(now);
        else if (outcome == AttemptOutcome::Failure)
            state->health.failed(now);
        else if (outcome == AttemptOutcome::TimedOut)
            state->health.timedOut(now);
    }

    /// Records a cache event: the upstream evicted a prefix.
    auto evicted(const UpstreamId &id, std::uint64_t hash) -> void
    {
        if (auto *state = find(id))
            state->prefixes.evict(hash);
    }

    /// Returns the target record; null if the upstream is unknown.
    [[nodiscard]] auto target(const UpstreamId &id) const -> const Target *
    {
        const auto found = m_states.find(id);
        return found == m_states.end() ? nullptr : &found->second.target;
    }

    /// Returns the number of this instance's requests at an upstream.
    [[nodiscard]] auto inFlight(const UpstreamId &id) const -> int
    {
        const auto found = m_states.find(id);
        return found == m_states.end() ? 0 : found->second.inFlight;
    }

private:
    struct State
    {
        explicit State(const Target &initialTarget)
            : target(initialTarget)
            , prefixes(initialTarget.cacheTokens)
        {
        }

        Target target;
        PrefixIndex prefixes;
        Health health;
        int inFlight = 0;
        /// Maximum of own requests at the upstream in the current and the previous period of
        /// `kReportLag`.
        int peak = 0;
        int previousPeak = 0;
        TimePoint peakPeriodStart{};
        /// Estimated number of requests of other instances at the upstream.
        double othersLoad = 0;
        TimePoint reportedAt{};
        std::size_t position = 0;
    };

    /// Fraction of the prompt that counts as cached at the preferred upstream of a request.
    static constexpr double kAffinityCachedShare = 0.3;
    /// Ratio of requests sent to an upstream to its slots. Above 1, the next request is already
    /// queued at the upstream when one ends.
    static constexpr double kOvercommit = 1.25;
    /// Additional overcommitment for a prompt that the upstream has cached completely.
    static constexpr double kCachedOvercommit = 0.5;
    /// Maximum expected age of a load report.
    static constexpr Duration kReportLag = std::chrono::seconds(3);
    /// Weight of a new load report in the moving average.
    static constexpr double kNewReportWeight = 0.3;
    /// Time after which the last load report is ignored.
    static constexpr Duration kReportValidity = std::chrono::seconds(5);

    [[nodiscard]] auto find(const UpstreamId &id) -> State *
    {
        const auto found = m_states.find(id);
        return found == m_states.end() ? nullptr : &found->second;
    }

    auto addToLanes(State &state) -> void
    {
        if (state.target.draining)
            return;
        for (const auto &lane : state.target.lanes)
            m_lanes[lane].push_back(&state);
    }

    [[nodiscard]] auto hintsFor(const std::vector<State *> &members,
                                const std::vector<UpstreamId> &holders) -> std::vector<std::size_t>
    {
        std::vector<std::size_t> hints;
        for (const auto &holder : holders) {
            auto *state = find(holder);
            if (state == nullptr)
                continue;
            const auto found = std::find(members.begin(), members.end(), state);
            if (found != members.end())
                hints.push_back(static_cast<std::size_t>(found - members.begin()));
        }
        return hints;
    }

    [[nodiscard]] auto describe(TimePoint now, const State &state, const RouteQuery &query) const
        -> Candidate
    {
        Candidate candidate;
        const auto slots = std::max(1, state.target.slots);
        const auto isFresh = now - state.reportedAt < kReportValidity;
        const auto estimate = state.inFlight + (isFresh ? state.othersLoad : 0.0);
        candidate.load = (estimate + 1) / slots;
        candidate.share = state.health.share(now);
        const auto total = query.prompt.totalTokens();
        if (total > 0)
            candidate.cached = candidate.share
                               * static_cast<double>(state.prefixes.cachedTokens(query.prompt))
                               / static_cast<double>(total);
        // Waiting at the engine that holds the prompt is shorter than computing the prompt at
        // another one. An upstream in slow start receives only its share, at first one request at a
        // time.
        const auto cacheFactor = 1.0 + kCachedOvercommit * candidate.cached;
        const auto allowedRequests = kOvercommit * m_share * slots * cacheFactor * candidate.share;
        const auto limit =
            std::max(1.0, candidate.share < 1.0 ? allowedRequests : std::ceil(allowedRequests));
        candidate.full = state.inFlight >= limit || query.excluded.contains(state.target.id)
                         || !state.health.isAvailable(now);
        candidate.sameDomain = state.target.domain == m_ownDomain;
        return candidate;
    }

    FailureDomainId m_ownDomain;
    double m_share = 1.0;
    Policy m_policy;
    std::unordered_map<UpstreamId, State> m_states;
    std::map<std::string, std::vector<State *>> m_lanes;
};

} // namespace heathergate::routing
