#pragma once

#include <heathergate/replay/trace.h>

#include <optional>

namespace heathergate::replay {

/// A call that a program makes.
struct ReplayCall
{
    std::string program;
    std::string customer;
    /// Stays the same when the call is resent.
    std::string idempotencyKey;
    std::string model;
    /// Set on a program's first turn.
    std::string system;
    std::int64_t tokens = 16;
    std::string service;
};

/// What came of a call.
struct ReplayAnswer
{
    bool success = false;
    /// Refused for its customer's rate.
    bool overRate = false;
    /// Refused for one of the program's limits.
    bool limited = false;
    /// May have run, and is never run again.
    bool unknown = false;
    Duration retryAfter{};
};

using Ticket = std::uint64_t;

/// Something that carries out programs' calls under a paused clock: the product, or the naive
/// version it is compared with.
template <typename T>
concept Backend = requires(T &backend, const Trace &trace, const ReplayCall &call,
                           const TraceFailure &failure, Ticket ticket)
{
    {
        backend.now()
        } -> std::same_as<TimePoint>;
    {
        backend.run(Duration{})
        } -> std::same_as<void>;
    {
        backend.startProgram(std::declval<const TraceProgram &>())
        } -> std::same_as<void>;
    {
        backend.submit(call, int{})
        } -> std::same_as<Ticket>;
    {
        backend.answer(ticket)
        } -> std::same_as<std::optional<ReplayAnswer>>;
    {
        backend.inject(failure)
        } -> std::same_as<void>;
    {
        backend.computedPromptTokens()
        } -> std::same_as<std::int64_t>;
    {
        backend.occupancy()
        } -> std::same_as<double>;
    {
        backend.violations()
        } -> std::same_as<std::vector<std::string>>;
};

} // namespace heathergate::replay
