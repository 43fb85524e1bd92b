#pragma once

#include <heathergate/core/core.h>

#include <variant>
#include <vector>

/// Recorded traces: JSON lines that say what customers, programs and failures there were, and
/// which outcome each program must have.
namespace heathergate::replay {

/// Size of the fleet that a trace runs on.
struct TraceFleet
{
    int disks = 3;
    int entries = 3;
    int engines = 4;
    int services = 2;
    int slots = 4;
    std::int64_t tokenMicros = 5000;
    std::int64_t slopeMicros = 200;
    std::int64_t prefillMicros = 100;
    std::int64_t cacheTokens = 60'000;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(TraceFleet, disks, entries, engines, services,
                                                slots, tokenMicros, slopeMicros, prefillMicros,
                                                cacheTokens)
};

/// A customer and its row.
struct TraceCustomer
{
    std::string name;
    double rate = 10;
    double burst = 10;
    std::int64_t budget = 1'000'000;
    int priority = 0;
    double weight = 1;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(TraceCustomer, name, rate, burst, budget, priority,
                                                weight)
};

/// A step of a program: a model call, a service call or a pause of a tool. The step has the kind
/// whose field is set.
struct TraceStep
{
    std::string model;
    std::int64_t tokens = 16;
    std::string service;
    std::int64_t pauseMs = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(TraceStep, model, tokens, service, pauseMs)
};

/// A program, its steps, and what must become of it: "finished", or "limited" if a limit must
/// stop it.
struct TraceProgram
{
    std::int64_t atMs = 0;
    std::string name;
    std::string customer;
    std::string system;
    std::vector<TraceStep> steps;
    std::int64_t budget = 100'000;
    int maxTurns = 0;
    std::int64_t patienceMs = 60'000;
    std::string outcome = "finished";

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(TraceProgram, atMs, name, customer, system, steps,
                                                budget, maxTurns, patienceMs, outcome)
};

/// A failure: "kill-engine", "revive-engine", "silence-engine", "kill-instance",
/// "restart-instance", "freeze-instance", "thaw-instance", "cut-instance", "heal-instance".
struct TraceFailure
{
    std::int64_t atMs = 0;
    std::string what;
    std::string target;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(TraceFailure, atMs, what, target)
};

struct Trace
{
    TraceFleet fleet;
    std::vector<TraceCustomer> customers;
    std::vector<TraceProgram> programs;
    std::vector<TraceFailure> failures;
};

/// Reads a trace. Fails with `Code::BadRequest`, naming the line.
[[nodiscard]] auto parseTrace(std::string_view text) -> Result<Trace>;
/// Returns a trace as JSON lines.
[[nodiscard]] auto renderTrace(const Trace &trace) -> std::string;

/// The users' days that can be generated. docs/reference/traces.md gives the distributions.
enum class Workload { PinesregEvening, PinesregStaffWeek, KumasiQuotes };

/// What to generate.
struct WorkloadSettings
{
    Workload workload = Workload::PinesregEvening;
    std::uint64_t seed = 1;
    Duration length = std::chrono::seconds(60);
    /// Programs started a second.
    double arrivals = 2;
    /// Adds a customer that sends single turns at so many times its rate; 0 adds none.
    double overRateFactor = 0;
    bool failures = false;
};

/// Generates a day.
[[nodiscard]] auto generateWorkload(const WorkloadSettings &settings) -> Trace;

} // namespace heathergate::replay
