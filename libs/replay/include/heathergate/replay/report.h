#pragma once

#include <heathergate/telemetry/latency_histogram.h>

#include <map>
#include <string>
#include <vector>

namespace heathergate::replay {

/// Measurements of one run.
struct ReplayReport
{
    std::string name;
    /// Time from the start to the end of each program, without the pauses of its tools.
    telemetry::LatencyHistogram programs;
    std::map<std::string, telemetry::LatencyHistogram> byCustomer;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t resends = 0;
    std::uint64_t refusedOverRate = 0;
    /// Calls that were refused although a single exact token bucket would have admitted them.
    std::uint64_t refusedWithinRate = 0;
    std::int64_t freshPromptTokens = 0;
    std::int64_t computedPromptTokens = 0;
    double occupancy = 0;
    /// Programs with an unexpected outcome, and violated invariants.
    std::vector<std::string> violations;

    /// Returns the prompt tokens that were processed more than once.
    [[nodiscard]] auto recomputedTokens() const -> std::int64_t;
    /// Returns the customer with the highest 95th percentile of program latency, and that latency.
    [[nodiscard]] auto worstCustomer() const -> std::pair<std::string, Duration>;
};

/// Returns the reports as a text table with one column per report.
[[nodiscard]] auto renderText(const std::vector<ReplayReport> &reports) -> std::string;
/// Returns reports as JSON.
[[nodiscard]] auto renderJson(const std::vector<ReplayReport> &reports) -> std::string;
/// Returns the distributions of program latency as a self-contained SVG image.
[[nodiscard]] auto renderSvg(const std::vector<ReplayReport> &reports) -> std::string;

} // namespace heathergate::replay
