#include "commands.h"

#include <functional>
#include <iostream>
#include <map>

namespace {

using heathergate::app::Arguments;

struct Command
{
    std::function<int(const Arguments &)> run;
    std::string summary;
};

auto commands() -> const std::map<std::string, Command> &
{
    using namespace heathergate::app;
    static const std::map<std::string, Command> kCommands{
        {"serve", {&runServe, "runs an instance"}},
        {"join", {&runJoin, "runs an instance of a fleet whose leader places requests"}},
        {"explain", {&runExplain, "explains the log lines of a request or program"}},
        {"evacuation", {&runEvacuation, "evacuates a failure domain, or ends its evacuation"}},
        {"init", {&runInit, "prepares the data folder of a disk instance of a new fleet"}},
        {"check", {&runCheck, "checks a settings file"}},
        {"table", {&runTable, "reads and edits the table of weights and limits"}},
        {"key", {&runKey, "creates, gives, lists and withdraws keys"}},
        {"upstream", {&runUpstream, "lists and drains upstreams, gives them orders"}},
        {"program", {&runProgram, "shows a program, settles a call"}},
        {"instances", {&runInstances, "lists the fleet's instances"}},
        {"replica", {&runReplica, "shows groups, replaces a replica"}},
        {"replay",
         {&runReplay, "runs a recorded or generated trace and checks its expected outcomes"}},
        {"load", {&runLoadCommand, "sends requests at a fixed rate and reports latencies"}},
        {"fake-upstream", {&runFakeUpstream, "runs a simulated engine or service"}},
    };
    return kCommands;
}

auto printUsage(std::ostream &out) -> void
{
    out << "Usage: heathergate COMMAND [OPTIONS]\n\nCommands:\n";
    for (const auto &[name, command] : commands())
        out << "  " << name << std::string(16 - name.size(), ' ') << command.summary << '\n';
    out << "\n'heathergate COMMAND --help' describes a command.\n";
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const Arguments arguments(argv + 1, argv + argc);
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "-h") {
        printUsage(arguments.empty() ? std::cerr : std::cout);
        return arguments.empty() ? 2 : 0;
    }
    const auto found = commands().find(arguments.front());
    if (found == commands().end()) {
        std::cerr << "heathergate: unknown command '" << arguments.front() << "'\n\n";
        printUsage(std::cerr);
        return 2;
    }
    return found->second.run(Arguments(arguments.begin() + 1, arguments.end()));
}
