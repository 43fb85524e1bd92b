#pragma once

#include <heathergate/replay/trace.h>

#include <optional>

namespace heathergate::replay {

/// A model or service call of a program. `model` holds the prompt of a model call; a service call
/// sets `service` instead.
struct ReplayCall
{
    std::string program;
    std::string customer;
    /// The same for all attempts of a call.
    std::string idempotencyKey;
    std::string model;
    /// System prompt; set only for the first turn of a program.
    std::string system;
    std::int64_t tokens = 16;
    std::string service;
};

/// Outcome of a call.
struct ReplayAnswer
{
    bool success = false;
    /// Refused because the customer exceeded its rate.
    bool overRate = false;
    /// Refused because the program has reached its limit of turns or its budget, or has ended or
    /// expired.
    bool limited = false;
    /// May have been executed; it is never executed again.
    bool unknown = false;
    Duration retryAfter{};
};

using Ticket = std::uint64_t;

/// Executes the calls of programs under a manual clock: heathergate itself, or the naive baseline
/// that it is compared with.
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
