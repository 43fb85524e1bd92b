#include "options.h"

#include <heathergate/daemon/daemon.h>
#include <heathergate/daemon/data_folder.h>

#include <iostream>

namespace heathergate::app {

namespace po = boost::program_options;

namespace {

auto settingsFrom(OptionParser &parser, const Arguments &arguments)
    -> std::optional<daemon::Settings>
{
    parser.add()("settings", po::value<std::string>()->required(), "Settings file (TOML)");
    parser.positional("settings", 1);
    const auto values = parser.parse(arguments);
    if (!values)
        return std::nullopt;
    auto settings = daemon::loadSettings((*values)["settings"].as<std::string>());
    if (settings)
        return *settings;
    std::cerr << "heathergate: " << settings.error().detail << '\n';
    return std::nullopt;
}

} // namespace

auto runServe(const Arguments &arguments) -> int
{
    OptionParser parser("serve SETTINGS", "Runs an instance until SIGTERM, which drains it first.");
    const auto settings = settingsFrom(parser, arguments);
    if (!settings)
        return arguments.empty() || parser.status() != 0 ? 2
               : arguments.front() == "--help"           ? 0
                                                         : 1;
    return daemon::serve(*settings);
}

auto runCheck(const Arguments &arguments) -> int
{
    OptionParser parser("check SETTINGS", "Checks a settings file and its certificate files.");
    const auto settings = settingsFrom(parser, arguments);
    if (!settings)
        return arguments.empty() || parser.status() != 0 ? 2
               : arguments.front() == "--help"           ? 0
                                                         : 1;
    if (const auto tls = daemon::checkTls(*settings); !tls)
        return report(tls.error().detail);
    std::cout << "The settings of " << settings->id.value << " are valid.\n";
    return 0;
}

auto runInit(const Arguments &arguments) -> int
{
    OptionParser parser("init SETTINGS",
                        "Prepares the empty data folder of a disk instance of a NEW fleet. A disk "
                        "that replaces another one is not prepared; see 'heathergate replica'.");
    const auto settings = settingsFrom(parser, arguments);
    if (!settings)
        return arguments.empty() || parser.status() != 0 ? 2
               : arguments.front() == "--help"           ? 0
                                                         : 1;
    if (!settings->hasDisk())
        return report("the settings name no data folder: the instance has no disk");
    auto files = log::PosixFiles::open(settings->dataFolder);
    if (!files)
        return report(files.error().detail);
    const auto identity = daemon::initializeFolder(*files, *settings);
    if (!identity)
        return report(identity.error().detail);
    std::cout << "Prepared " << settings->dataFolder << " for replica " << identity->replica.value
              << ".\n";
    return 0;
}

} // namespace heathergate::app
