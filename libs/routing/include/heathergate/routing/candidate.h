#pragma once

#include <heathergate/core/core.h>

#include <concepts>

namespace heathergate::routing {

/// What a routing policy sees of an upstream.
struct Candidate
{
    /// Whether it may not be sent anything more.
    bool full = false;
    /// Requests estimated to be there, relative to its slots, after this one is added.
    double load = 0;
    /// Part of the request's prompt estimated to be in its cache, from 0 to 1.
    double cached = 0;
    bool sameDomain = false;
    /// Share of traffic that it should get while it is let in slowly, from 0 to 1.
    double share = 1;
};

/// A policy chooses among upstreams numbered from 0. `inspect(i)` describes upstream `i`; `hints`
/// are upstreams that may hold a part of the prompt. It returns the chosen number, or `count` if
/// none can take the request.
template <typename T>
concept RoutingPolicy = requires(T &policy, std::size_t count, Candidate (*inspect)(std::size_t),
                                 const std::vector<std::size_t> &hints, Random &random)
{
    {
        policy.pick(count, inspect, hints, random)
        } -> std::same_as<std::size_t>;
};

} // namespace heathergate::routing
