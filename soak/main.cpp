#include "run.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace {

namespace po = boost::program_options;
using namespace heathergate;
using namespace heathergate::soak;

/// Number of networks. A run selects one by its seed modulo this number, so that runs with
/// different networks can run in parallel.
constexpr int kNetworkCount = 240;

struct Command
{
    RunSettings settings;
    std::vector<std::uint64_t> seeds;
    bool keepsFiles = false;
};

/// Reads seeds from a file: the first word of each line that is not empty or a comment.
auto readSeeds(const std::string &file) -> std::vector<std::uint64_t>
{
    std::ifstream in(file);
    if (!in)
        throw po::error("cannot read " + file);
    std::vector<std::uint64_t> seeds;
    std::string line;
    while (std::getline(in, line)) {
        if (!line.empty() && line.front() != '#')
            seeds.push_back(std::stoull(line));
    }
    return seeds;
}

auto parse(int count, char **arguments) -> std::optional<Command>
{
    Command command;
    auto &settings = command.settings;
    int seconds = static_cast<int>(settings.faultDuration.count());
    int runs = 1;
    std::string folder;
    po::options_description options(
        "heathergate-soak runs a fleet of real processes under random faults.\n\nOptions");
    options.add_options()("help,h", "Shows this help")(
        "seed", po::value(&settings.seed)->default_value(1), "Seed of the first run")(
        "runs", po::value(&runs)->default_value(1), "Number of runs, each with the next seed")(
        "seeds-from", po::value<std::string>(),
        "Runs the seeds listed in a file")("seconds", po::value(&seconds)->default_value(seconds),
                                           "Duration of the fault injection per run, in seconds")(
        "gateways", po::value(&settings.fleet.gateways)->default_value(6),
        "Number of gateways")("controls", po::value(&settings.fleet.controls)->default_value(3),
                              "Number of control instances")(
        "tolerance", po::value(&settings.fleet.faultTolerance)->default_value(1),
        "Number of control instances that may fail at the same time")(
        "callers", po::value(&settings.callers)->default_value(settings.callers),
        "Number of callers")(
        "engines", po::value(&settings.engines)->default_value(settings.engines),
        "Number of simulated engines")("keep", "Keeps the settings, data and logs of all runs")(
        "folder", po::value(&folder),
        "Folder for settings, data and logs; a temporary folder by default")(
        "binary", po::value<std::string>(),
        "The heathergate binary; by default the one in the folder of this program");
    po::variables_map values;
    po::store(po::parse_command_line(count, arguments, options), values);
    if (values.count("help") > 0) {
        std::cout << options;
        return std::nullopt;
    }
    po::notify(values);
    settings.faultDuration = std::chrono::seconds(seconds);
    settings.fleet.binary =
        values.count("binary") > 0
            ? std::filesystem::absolute(values["binary"].as<std::string>())
            : std::filesystem::read_symlink("/proc/self/exe").parent_path() / "heathergate";
    settings.fleet.folder = folder.empty()
                                ? std::filesystem::temp_directory_path()
                                      / ("heathergate-soak-" + std::to_string(::getpid()))
                                : std::filesystem::absolute(folder);
    command.keepsFiles = values.count("keep") > 0;
    if (values.count("seeds-from") > 0)
        command.seeds = readSeeds(values["seeds-from"].as<std::string>());
    else
        for (int i = 0; i < runs; ++i)
            command.seeds.push_back(settings.seed + static_cast<std::uint64_t>(i));
    return command;
}

auto print(std::uint64_t seed, const RunReport &report) -> void
{
    std::cout << "seed " << seed << ": " << report.requests << " requests;";
    for (const auto &[status, count] : report.answersByStatus)
        std::cout << ' ' << (status == 0 ? "none" : std::to_string(status)) << ' ' << count << ';';
    std::cout << " faults:";
    for (const auto &[name, count] : report.injectedFaults)
        std::cout << ' ' << name << ' ' << count << ',';
    constexpr std::size_t kMegabyte = 1024 * 1024;
    std::cout << " memory " << report.residentBytes / kMegabyte << " MB\n";
    for (const auto &violation : report.violations)
        std::cout << "  VIOLATED " << violation.invariant << ": " << violation.detail << '\n';
    std::cout << std::flush;
}

/// Executes all runs. Returns the number of runs with violations.
auto executeRuns(const Command &command) -> int
{
    if (command.seeds.empty()) {
        std::cout << "the seed file lists no seeds" << std::endl;
        return 0;
    }
    int failedRuns = 0;
    for (const auto seed : command.seeds) {
        auto settings = command.settings;
        settings.seed = seed;
        settings.network = 1 + static_cast<int>(seed % kNetworkCount);
        settings.fleet.folder /= std::to_string(seed);
        std::filesystem::remove_all(settings.fleet.folder);
        std::filesystem::create_directories(settings.fleet.folder);
        const auto report = executeRun(settings);
        print(seed, report);
        const auto hasViolations = !report.violations.empty();
        failedRuns += hasViolations ? 1 : 0;
        if (!hasViolations && !command.keepsFiles)
            std::filesystem::remove_all(settings.fleet.folder);
        else
            std::cout << "  logs: " << settings.fleet.folder.string() << '\n';
    }
    std::cout << command.seeds.size() - static_cast<std::size_t>(failedRuns) << " passed, "
              << failedRuns << " failed" << std::endl;
    return failedRuns;
}

} // namespace

auto main(int count, char **arguments) -> int
{
    try {
        const auto command = parse(count, arguments);
        return command && executeRuns(*command) > 0 ? 1 : 0;
    } catch (const std::exception &error) {
        std::cerr << "heathergate-soak: " << error.what() << '\n';
        return 2;
    }
}
