#pragma once

#include <heathergate/http/http.h>
#include <heathergate/telemetry/latency_histogram.h>

#include <map>
#include <string>
#include <vector>

namespace heathergate::app {

/// Where a load goes and what its requests are.
struct LoadTarget
{
    std::string name;
    /// Base URLs, used in turn.
    std::vector<std::string> addresses;
    std::string path;
    std::string key;
    /// Body of a request; "{n}" stands for its number.
    std::string body;
    /// Programs among which the requests are spread; 0 sends them outside programs.
    int programs = 0;
    std::string idempotencyPrefix;
};

/// What came back from a target.
struct LoadResult
{
    /// From the time a request should have been sent, so that a stall counts for all requests it
    /// delays (no coordinated omission).
    telemetry::LatencyHistogram total;
    telemetry::LatencyHistogram firstByte;
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t sent = 0;
    Duration elapsed{};
};

/// Sends requests at a fixed rate, whatever comes back (open loop), to all targets in turn.
/// Returns a result for each target.
[[nodiscard]] auto runLoad(const std::vector<LoadTarget> &targets, double rate, Duration duration,
                           Duration drainTimeout) -> std::vector<LoadResult>;

} // namespace heathergate::app
