#include "options.h"

#include <heathergate/node/control_program.h>
#include <heathergate/node/gateway_program.h>
#include <heathergate/node/storage_program.h>
#include <heathergate/platform/caller_adapter.h>
#include <heathergate/platform/control_adapter.h>

#include <cstdlib>
#include <iostream>

namespace heathergate::app {

namespace po = boost::program_options;

namespace {

/// Environment variable that names the settings file if the command line does not.
constexpr const char *kSettingsVariable = "HEATHERGATE_CONFIG";

template <typename Program>
auto runProgram(const node::NodeSettings &settings, const std::string &file) -> int
{
    Program program(settings, file);
    if (const auto opened = program.open(); !opened)
        return report("cannot start: " + opened.error().detail);
    return program.run();
}

} // namespace

auto runJoin(const Arguments &arguments) -> int
{
    OptionParser parser("join [SETTINGS]",
                        "Runs an instance of a fleet in the role that its settings name, until "
                        "SIGTERM. Without SETTINGS, the variable HEATHERGATE_CONFIG names them.");
    parser.add()("settings", po::value<std::string>(),
                 "Settings file (TOML)")("check", "Checks the settings and exits");
    parser.positional("settings", 1);
    const auto values = parser.parse(arguments);
    if (!values)
        return parser.status();
    const auto *variable = std::getenv(kSettingsVariable);
    std::string file = variable == nullptr ? "" : variable;
    if (values->count("settings") > 0)
        file = (*values)["settings"].as<std::string>();
    if (file.empty())
        return report("no settings file: pass SETTINGS or set HEATHERGATE_CONFIG");
    const auto settings = node::loadNodeSettings(file);
    if (!settings)
        return report(settings.error().detail);
    if (values->count("check") > 0) {
        std::cout << "The settings of " << settings->name << " are valid.\n";
        return 0;
    }
    node::installSignals();
    switch (settings->role) {
    case fleet::Role::Gateway:
        return runProgram<node::GatewayProgram<platform::CallerAdapter>>(*settings, file);
    case fleet::Role::Control:
        return runProgram<node::ControlProgram<platform::ControlAdapter>>(*settings, file);
    case fleet::Role::Storage:
        return node::runStorage(*settings, file);
    }
    return 1;
}

} // namespace heathergate::app
