#pragma once

#include <heathergate/routing/candidate.h>

#include <limits>
#include <vector>

namespace heathergate::routing {

/// Chooses the upstreams in turn. This policy is the baseline for comparisons.
struct RoundRobin
{
    template <typename Inspect>
    auto pick(std::size_t count, Inspect inspect, const std::vector<std::size_t> &, Random &)
        -> std::size_t
    {
        for (std::size_t tried = 0; tried < count; ++tried) {
            const auto index = m_next++ % count;
            if (!inspect(index).full)
                return index;
        }
        return count;
    }

private:
    std::size_t m_next = 0;
};

/// Chooses a random upstream that has capacity.
struct RandomChoice
{
    template <typename Inspect>
    auto pick(std::size_t count, Inspect inspect, const std::vector<std::size_t> &, Random &random)
        -> std::size_t
    {
        const auto start = random.below(count);
        for (std::size_t tried = 0; tried < count; ++tried) {
            const auto index = (start + tried) % count;
            if (!inspect(index).full)
                return index;
        }
        return count;
    }
};

/// Chooses the upstream with the lowest estimated load.
struct LeastLoaded
{
    template <typename Inspect>
    auto pick(std::size_t count, Inspect inspect, const std::vector<std::size_t> &, Random &random)
        -> std::size_t
    {
        auto best = count;
        auto bestLoad = std::numeric_limits<double>::infinity();
        const auto start = random.below(count);
        for (std::size_t tried = 0; tried < count; ++tried) {
            const auto index = (start + tried) % count;
            const auto candidate = inspect(index);
            if (!candidate.full && candidate.load < bestLoad) {
                best = index;
                bestLoad = candidate.load;
            }
        }
        return best;
    }
};

/// Chooses the less loaded of two random upstreams (Mitzenmacher, "The Power of Two Choices in
/// Randomized Load Balancing", 2001).
struct TwoChoices
{
    template <typename Inspect>
    auto pick(std::size_t count, Inspect inspect, const std::vector<std::size_t> &hints,
              Random &random) -> std::size_t
    {
        if (count == 0)
            return count;
        const auto first = random.below(count);
        const auto second = random.below(count);
        const auto better = inspect(first).load <= inspect(second).load ? first : second;
        if (!inspect(better).full)
            return better;
        return RandomChoice{}.pick(count, inspect, hints, random);
    }
};

/// Prefers an upstream whose cache holds the prompt, unless it is much more loaded than the best of
/// a sample of the others, similar to consistent hashing with bounded loads (Mirrokni et al.,
/// 2018).
struct PrefixAffinity
{
    template <typename Inspect>
    auto pick(std::size_t count, Inspect inspect, const std::vector<std::size_t> &hints,
              Random &random) -> std::size_t
    {
        auto best = count;
        auto bestScore = 0.0;
        const auto consider = [&](std::size_t index) {
            const auto candidate = inspect(index);
            if (candidate.full)
                return;
            const auto score = scoreOf(candidate);
            if (best == count || score > bestScore) {
                best = index;
                bestScore = score;
            }
        };
        for (const auto index : hints)
            consider(index);
        const auto samples = std::min<std::size_t>(count, kSamples);
        for (std::size_t i = 0; i < samples; ++i)
            consider(count <= kSamples ? i : random.below(count));
        if (best != count)
            return best;
        return count <= kSamples ? count : RandomChoice{}.pick(count, inspect, hints, random);
    }

private:
    /// Number of upstreams that are inspected besides the hints. If there are at most this many,
    /// all of them are inspected.
    static constexpr std::size_t kSamples = 8;
    // Weights of the terms of a candidate's score: the cached fraction of the prompt, the load per
    // slot, an upstream in the same failure domain, and the missing share during a slow start.
    static constexpr double kCacheWeight = 2.0;
    static constexpr double kLoadWeight = 1.0;
    static constexpr double kDomainWeight = 0.05;
    static constexpr double kShareWeight = 0.5;

    [[nodiscard]] static auto scoreOf(const Candidate &candidate) -> double
    {
        return kCacheWeight * candidate.cached - kLoadWeight * candidate.load
               + (candidate.sameDomain ? kDomainWeight : 0.0)
               - kShareWeight * (1.0 - candidate.share);
    }
};

} // namespace heathergate::routing
