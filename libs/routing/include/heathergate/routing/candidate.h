#pragma once

#include <heathergate/core/core.h>

#include <concepts>

namespace heathergate::routing {

/// The view of an upstream that a routing policy receives.
struct Candidate
{
    /// Whether the upstream may not receive any more requests.
    bool full = false;
    /// Estimated number of requests at the upstream, including this one, divided by its slots.
    double load = 0;
    /// Estimated fraction of the request's prompt in the upstream's cache, from 0 to 1.
    double cached = 0;
    bool sameDomain = false;
    /// Fraction of its usual traffic that the upstream should receive during its slow start, from 0
    /// to 1.
    double share = 1;
};

/// A policy chooses among upstreams numbered from 0. `inspect(i)` describes upstream `i`, and
/// `hints` lists upstreams that may hold a part of the prompt. `pick` returns the number of the
/// chosen upstream, or `count` if none can take the request.
template <typename T>
concept RoutingPolicy = requires(T &policy, std::size_t count, Candidate (*inspect)(std::size_t),
                                 const std::vector<std::size_t> &hints, Random &random)
{
    {
        policy.pick(count, inspect, hints, random)
        } -> std::same_as<std::size_t>;
};

} // namespace heathergate::routing
