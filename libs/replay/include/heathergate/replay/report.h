#pragma once

#include <heathergate/telemetry/latency_histogram.h>

#include <map>
#include <string>
#include <vector>

namespace heathergate::replay {

/// The measures of the brief for one run.
struct ReplayReport
{
    std::string name;
    /// From a program's start to its end, without the pauses of its tools.
    telemetry::LatencyHistogram programs;
    std::map<std::string, telemetry::LatencyHistogram> byCustomer;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t resends = 0;
    std::uint64_t refusedOverRate = 0;
    /// Refused although one exact bucket would have admitted it.
    std::uint64_t refusedInsideRate = 0;
    std::int64_t freshPromptTokens = 0;
    std::int64_t computedPromptTokens = 0;
    double occupancy = 0;
    /// Stated outcomes that did not come about.
    std::vector<std::string> violations;

    /// Returns the prompt tokens that were processed more than once.
    [[nodiscard]] auto recomputedTokens() const -> std::int64_t;
    /// Returns the highest 95th percentile among customers.
    [[nodiscard]] auto worstCustomer() const -> std::pair<std::string, Duration>;
};

/// Returns reports side by side, as text.
[[nodiscard]] auto renderText(const std::vector<ReplayReport> &reports) -> std::string;
/// Returns reports as JSON.
[[nodiscard]] auto renderJson(const std::vector<ReplayReport> &reports) -> std::string;
/// Returns the distributions of program latency as an SVG picture that needs no network.
[[nodiscard]] auto renderSvg(const std::vector<ReplayReport> &reports) -> std::string;

} // namespace heathergate::replay
