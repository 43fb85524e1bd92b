#pragma once

#include <heathergate/http/http.h>
#include <heathergate/telemetry/latency_histogram.h>

#include <map>
#include <string>
#include <vector>

namespace heathergate::app {

/// A target of generated load and its requests.
struct LoadTarget
{
    std::string name;
    /// Base URLs, used in turn.
    std::vector<std::string> addresses;
    std::string path;
    std::string key;
    /// Body of the requests; "{n}" is replaced by the request's number.
    std::string body;
    /// Number of programs that the requests are distributed over; 0 sends them without a program.
    int programs = 0;
    std::string idempotencyPrefix;
};

/// Results of a target.
struct LoadResult
{
    /// Latency from the scheduled send time, so that a stall counts for all requests that it delays
    /// (no coordinated omission).
    telemetry::LatencyHistogram total;
    telemetry::LatencyHistogram firstByte;
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t sent = 0;
    Duration elapsed{};
};

/// Sends `rate` requests per second to the targets in turn, independently of the answers (open
/// loop), then waits up to `drainTimeout` for pending answers. Returns a result for each target.
[[nodiscard]] auto runLoad(const std::vector<LoadTarget> &targets, double rate, Duration duration,
                           Duration drainTimeout) -> std::vector<LoadResult>;

} // namespace heathergate::app
