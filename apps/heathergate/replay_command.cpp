#include "options.h"

#include <heathergate/replay/replay.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace heathergate::app {

namespace po = boost::program_options;

namespace {

auto generateTrace(const po::variables_map &values) -> Result<replay::Trace>
{
    const auto name = values["generate"].as<std::string>();
    replay::WorkloadSettings settings;
    if (name == "pinesreg-evening")
        settings.workload = replay::Workload::PinesregEvening;
    else if (name == "pinesreg-staff-week")
        settings.workload = replay::Workload::PinesregStaffWeek;
    else if (name == "kumasi-quotes")
        settings.workload = replay::Workload::KumasiQuotes;
    else
        return fail(Code::BadRequest, "--generate: must be pinesreg-evening, pinesreg-staff-week "
                                      "or kumasi-quotes");
    settings.seed = values["seed"].as<std::uint64_t>();
    settings.length = Duration(static_cast<std::int64_t>(values["seconds"].as<double>() * 1e6));
    settings.arrivals = values["arrivals"].as<double>();
    settings.overRateFactor = values["loud"].as<double>();
    settings.failures = values.count("failures") > 0;
    if (settings.arrivals <= 0 || settings.length <= Duration::zero())
        return fail(Code::BadRequest, "--arrivals and --seconds: must be above 0");
    return replay::generateWorkload(settings);
}

auto loadTrace(const po::variables_map &values) -> Result<replay::Trace>
{
    if (values.count("generate") > 0)
        return generateTrace(values);
    const auto file = values["trace"].as<std::string>();
    std::ifstream stream(file);
    if (!stream)
        return fail(Code::BadRequest, "cannot read " + file);
    std::ostringstream text;
    text << stream.rdbuf();
    return replay::parseTrace(text.str());
}

auto addOptions(OptionParser &parser) -> void
{
    parser.add()("trace", po::value<std::string>()->default_value(""), "Trace file (JSON lines)")(
        "generate", po::value<std::string>(),
        "Generates a workload: pinesreg-evening, pinesreg-staff-week or kumasi-quotes")(
        "seed", po::value<std::uint64_t>()->default_value(1),
        "Seed of the generated workload and the simulation")(
        "seconds", po::value<double>()->default_value(60),
        "Length of a generated workload, in seconds")(
        "arrivals", po::value<double>()->default_value(2),
        "Programs started per second at the peak of the workload")(
        "loud", po::value<double>()->default_value(0),
        "Adds a customer that sends this multiple of its rate")(
        "failures", "Adds failures of engines and instances")(
        "print", "Prints the trace instead of running it")("no-naive", "Skips the naive baseline")(
        "json", "Prints the report as JSON")("svg", po::value<std::string>(),
                                             "Writes the latency distributions to this SVG file");
    parser.positional("trace", 1);
}

} // namespace

auto runReplay(const Arguments &arguments) -> int
{
    OptionParser parser("replay TRACE | replay --generate WORKLOAD",
                        "Runs a trace on complete instances under a simulated clock, checks its "
                        "expected outcomes, and compares with a naive baseline. Exits with 1 on a "
                        "violation.");
    addOptions(parser);
    const auto values = parser.parse(arguments);
    if (!values)
        return parser.status();
    const auto trace = loadTrace(*values);
    if (!trace)
        return report(trace.error().detail);
    if (values->count("print") > 0) {
        std::cout << replay::renderTrace(*trace);
        return 0;
    }
    std::vector<replay::ReplayReport> reports;
    replay::FleetBackend fleet(*trace, (*values)["seed"].as<std::uint64_t>());
    reports.push_back(replay::Replayer("heathergate", *trace, fleet).run());
    if (values->count("no-naive") == 0) {
        replay::NaiveBackend naive(*trace);
        reports.push_back(replay::Replayer("naive", *trace, naive).run());
    }
    std::cout << (values->count("json") > 0 ? replay::renderJson(reports)
                                            : replay::renderText(reports));
    if (values->count("svg") > 0)
        std::ofstream((*values)["svg"].as<std::string>()) << replay::renderSvg(reports);
    return reports.front().violations.empty() ? 0 : 1;
}

} // namespace heathergate::app
