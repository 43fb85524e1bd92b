#pragma once

#include <heathergate/core/core.h>

#include <variant>
#include <vector>

/// Recorded traces: JSON lines that describe customers, programs and failures, and the expected
/// outcome of each program.
namespace heathergate::replay {

/// Size of the simulated fleet and speed of its engines.
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

/// A customer and the values of its table row.
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

/// A step of a program: a model call, a service call or a pause for a local tool. The field that is
/// set selects the kind.
struct TraceStep
{
    std::string model;
    std::int64_t tokens = 16;
    std::string service;
    std::int64_t pauseMs = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(TraceStep, model, tokens, service, pauseMs)
};

/// A program with its steps and its expected outcome: "finished", "limited" if a limit has to stop
/// it, or "any".
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

/// Parses a trace. Fails with `Code::BadRequest` and the line number.
[[nodiscard]] auto parseTrace(std::string_view text) -> Result<Trace>;
/// Returns a trace as JSON lines.
[[nodiscard]] auto renderTrace(const Trace &trace) -> std::string;

/// The workloads that can be generated. docs/reference/traces.md lists the distributions.
enum class Workload { PinesregEvening, PinesregStaffWeek, KumasiQuotes };

/// Parameters of a generated workload.
struct WorkloadSettings
{
    Workload workload = Workload::PinesregEvening;
    std::uint64_t seed = 1;
    Duration length = std::chrono::seconds(60);
    /// Programs started per second when the workload is at its peak.
    double arrivals = 2;
    /// Adds a customer that sends single turns at this multiple of its rate; 0 adds none.
    double overRateFactor = 0;
    bool failures = false;
};

/// Generates a trace. The result is deterministic for a seed.
[[nodiscard]] auto generateWorkload(const WorkloadSettings &settings) -> Trace;

} // namespace heathergate::replay
