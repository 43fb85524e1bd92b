#include "load.h"
#include "options.h"

#include <heathergate/core/core.h>

#include <iomanip>
#include <iostream>

namespace heathergate::app {

namespace po = boost::program_options;

namespace {

constexpr double kQuantiles[] = {0.5, 0.9, 0.95, 0.99};

auto milliseconds(Duration value) -> double
{
    return static_cast<double>(value.count()) / 1000.0;
}

auto toJson(const telemetry::LatencyHistogram &histogram) -> nlohmann::json
{
    return {{"count", histogram.count()},
            {"mean_ms", milliseconds(histogram.mean())},
            {"p50_ms", milliseconds(histogram.quantile(0.5))},
            {"p95_ms", milliseconds(histogram.quantile(0.95))},
            {"p99_ms", milliseconds(histogram.quantile(0.99))},
            {"max_ms", milliseconds(histogram.max())}};
}

auto printLine(const std::string &name, const telemetry::LatencyHistogram &histogram) -> void
{
    std::cout << "  " << std::left << std::setw(12) << name << std::right << std::fixed
              << std::setprecision(2);
    for (const auto share : kQuantiles)
        std::cout << std::setw(10) << milliseconds(histogram.quantile(share));
    std::cout << std::setw(10) << milliseconds(histogram.max()) << '\n';
}

auto printResult(const LoadTarget &target, const LoadResult &result) -> void
{
    const auto seconds = std::chrono::duration<double>(result.elapsed).count();
    std::cout << target.name << ": " << result.sent << " sent, " << result.total.count()
              << " answered, " << std::fixed << std::setprecision(1)
              << static_cast<double>(result.total.count()) / seconds << "/s\n"
              << "  ms               p50       p90       p95       p99       max\n";
    printLine("total", result.total);
    printLine("first byte", result.firstByte);
    std::cout << "  outcomes:";
    for (const auto &[outcome, count] : result.outcomes)
        std::cout << ' ' << outcome << '=' << count;
    std::cout << '\n';
}

auto addOptions(OptionParser &parser) -> void
{
    using Names = std::vector<std::string>;
    parser.add()(
        "target", po::value<Names>()->composing()->required(),
        "NAME=URL[,URL...]: base URLs to send to; several targets receive requests in turn, "
        "for comparison in one run")(
        "path", po::value<std::string>()->default_value("/v1/chat/completions"),
        "Path")("body",
                po::value<std::string>()->default_value(
                    R"({"model":"quill","max_tokens":8,"stream":true,)"
                    R"("messages":[{"role":"user","content":"request {n}"}]})"),
                "Body; {n} is replaced by the request's number")(
        "key", po::value<std::string>()->default_value(""), "Caller's key")(
        "rate", po::value<double>()->default_value(100), "Requests per second over all targets")(
        "seconds", po::value<double>()->default_value(10), "Duration in seconds")(
        "programs", po::value<int>()->default_value(0),
        "Number of programs load-0, load-1, ... to distribute requests over")(
        "idempotency-prefix", po::value<std::string>()->default_value(""),
        "Sends idempotency keys with this prefix")("json", "Prints the report as JSON");
}

auto targetsFrom(const po::variables_map &values) -> std::vector<LoadTarget>
{
    std::vector<LoadTarget> targets;
    for (const auto &text : values["target"].as<std::vector<std::string>>()) {
        const auto equals = text.find('=');
        if (equals == std::string::npos)
            return {};
        LoadTarget target;
        target.name = text.substr(0, equals);
        auto remaining = text.substr(equals + 1);
        while (!remaining.empty()) {
            const auto comma = std::min(remaining.find(','), remaining.size());
            target.addresses.push_back(remaining.substr(0, comma));
            remaining.erase(0, comma + 1);
        }
        target.path = values["path"].as<std::string>();
        target.body = values["body"].as<std::string>();
        target.key = values["key"].as<std::string>();
        target.programs = values["programs"].as<int>();
        target.idempotencyPrefix = values["idempotency-prefix"].as<std::string>();
        if (target.addresses.empty())
            return {};
        targets.push_back(std::move(target));
    }
    return targets;
}

} // namespace

auto runLoadCommand(const Arguments &arguments) -> int
{
    OptionParser parser(
        "load --target NAME=URL [...] [--rate N] [--seconds N]",
        "Sends requests at a fixed rate and reports latencies from the scheduled send "
        "time of each request.");
    addOptions(parser);
    const auto values = parser.parse(arguments);
    if (!values)
        return parser.status();
    const auto targets = targetsFrom(*values);
    const auto rate = (*values)["rate"].as<double>();
    const auto seconds = (*values)["seconds"].as<double>();
    if (targets.empty())
        return report("--target: must be NAME=URL[,URL...]");
    if (rate <= 0 || rate > 1e5 || seconds <= 0 || seconds > 3600)
        return report("--rate and --seconds: must be above 0, at most 100000 and 3600");
    const auto results = runLoad(targets, rate, Duration(static_cast<std::int64_t>(seconds * 1e6)),
                                 std::chrono::seconds(10));
    auto json = nlohmann::json::array();
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (values->count("json") == 0)
            printResult(targets[i], results[i]);
        json.push_back({{"name", targets[i].name},
                        {"sent", results[i].sent},
                        {"whole", toJson(results[i].total)},
                        {"first_byte", toJson(results[i].firstByte)},
                        {"outcomes", results[i].outcomes}});
    }
    if (values->count("json") > 0)
        std::cout << jsonText(json, 2) << '\n';
    return 0;
}

} // namespace heathergate::app
