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

/// An upstream that can be routed to.
struct Target
{
    UpstreamId id;
    std::uint64_t incarnation = 0;
    FailureDomainId domain;
    /// Names under which requests ask for it: "model:NAME" or "service:NAME".
    std::vector<std::string> lanes;
    int slots = 1;
    std::int64_t cacheTokens = 0;
    bool draining = false;
};

/// What a request needs.
struct RouteQuery
{
    std::string lane;
    PromptPrefixes prompt;
    /// Upstreams that hold the program's memory.
    std::vector<UpstreamId> holders;
    /// Upstreams that failed this request before.
    std::set<UpstreamId> excluded;
    /// Names a home among the lane's upstreams that all instances agree on; 0 names none.
    std::uint64_t affinity = 0;
};

/// How a request at an upstream ended.
enum class AttemptOutcome {
    Success,
    /// It failed, or was refused for want of room.
    Failure,
    /// Nothing came until a time-out.
    TimedOut,
    /// It was given up for a reason that says nothing of the upstream.
    Neutral,
};

/// Chooses upstreams by a policy, with loads estimated from lagging reports and own dispatches.
template <typename Policy>
class Router
{
public:
    explicit Router(FailureDomainId ownDomain)
        : m_ownDomain(std::move(ownDomain))
    {
    }

    /// Replaces the list of targets; what is known of an incarnation that stays is kept.
    auto setTargets(const std::vector<Target> &targets) -> void
    {
        std::unordered_map<UpstreamId, State> kept;
        m_lanes.clear();
        for (const auto &target : targets) {
            const auto known = m_states.find(target.id);
            const auto same =
                known != m_states.end() && known->second.target.incarnation == target.incarnation;
            auto state = same ? std::move(known->second) : State(target);
            state.target = target;
            kept.emplace(target.id, std::move(state));
        }
        m_states = std::move(kept);
        for (auto &[id, state] : m_states)
            addToLanes(state);
        const auto byId = [](const State *left, const State *right) {
            return left->target.id < right->target.id;
        };
        for (auto &[lane, members] : m_lanes)
            std::sort(members.begin(), members.end(), byId);
    }

    /// Takes in a load report: requests running and queued there, of all instances. A report may
    /// be seconds old, so what exceeds this instance's own recent peak counts as the others' load,
    /// smoothed.
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

    /// Sets this instance's part of the fleet's requests, from 0 to 1. It bounds how much of an
    /// upstream's slots it fills: reports of load lag too much to be a bound.
    auto setShare(double share) -> void
    {
        m_share = std::clamp(share, 0.0, 1.0);
    }

    /// Returns the upstream for a request; nothing if none has room.
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

    /// Returns whether any upstream, busy or not, serves the lane.
    [[nodiscard]] auto serves(const std::string &lane) const -> bool
    {
        const auto found = m_lanes.find(lane);
        return found != m_lanes.end() && !found->second.empty();
    }

    /// Notes that a request was sent.
    auto dispatched(const UpstreamId &id, const PromptPrefixes &prompt) -> void
    {
        if (auto *state = find(id)) {
            ++state->inFlight;
            state->peak = std::max(state->peak, state->inFlight);
            state->prefixes.touch(prompt);
        }
    }

    /// Notes that a request has ended, and how.
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

    /// Notes a cache event: the upstream evicted a prefix.
    auto evicted(const UpstreamId &id, std::uint64_t hash) -> void
    {
        if (auto *state = find(id))
            state->prefixes.evict(hash);
    }

    /// Returns the target record; null if it is not known.
    [[nodiscard]] auto target(const UpstreamId &id) const -> const Target *
    {
        const auto found = m_states.find(id);
        return found == m_states.end() ? nullptr : &found->second.target;
    }

    /// Returns this instance's requests at an upstream.
    [[nodiscard]] auto inFlight(const UpstreamId &id) const -> int
    {
        const auto found = m_states.find(id);
        return found == m_states.end() ? 0 : found->second.inFlight;
    }

private:
    struct State
    {
        explicit State(const Target &of)
            : target(of)
            , prefixes(of.cacheTokens)
        {
        }

        Target target;
        PrefixIndex prefixes;
        Health health;
        int inFlight = 0;
        /// Most own requests there in the present and the former period of `kReportLag`.
        int peak = 0;
        int previousPeak = 0;
        TimePoint peakPeriodStart{};
        /// Estimate of the requests that other instances have there.
        double othersLoad = 0;
        TimePoint reportedAt{};
        std::size_t position = 0;
    };

    /// What an upstream counts as holding of a program that calls it its home.
    static constexpr double kAffinityCachedShare = 0.3;
    /// Requests sent to an upstream over its slots, so that the next one is at hand when one ends.
    static constexpr double kOvercommit = 1.25;
    /// Further overcommitment for a prompt that is wholly cached there.
    static constexpr double kCachedOvercommit = 0.5;
    static constexpr Duration kReportLag = std::chrono::seconds(3);
    static constexpr double kNewReportWeight = 0.3;
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
        // Waiting at the engine that holds the prompt is shorter than computing it elsewhere. An
        // upstream that is let in again gets its share only, at first one request at a time.
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
