#pragma once

#include <string>
#include <vector>

/// The subcommands of the binary. Each takes its arguments and returns the exit status: 0 for
/// success, 1 for a failure, 2 for invalid arguments.
namespace heathergate::app {

using Arguments = std::vector<std::string>;

[[nodiscard]] auto runServe(const Arguments &arguments) -> int;
[[nodiscard]] auto runJoin(const Arguments &arguments) -> int;
[[nodiscard]] auto runExplain(const Arguments &arguments) -> int;
[[nodiscard]] auto runEvacuation(const Arguments &arguments) -> int;
[[nodiscard]] auto runInit(const Arguments &arguments) -> int;
[[nodiscard]] auto runCheck(const Arguments &arguments) -> int;
[[nodiscard]] auto runTable(const Arguments &arguments) -> int;
[[nodiscard]] auto runKey(const Arguments &arguments) -> int;
[[nodiscard]] auto runUpstream(const Arguments &arguments) -> int;
[[nodiscard]] auto runProgram(const Arguments &arguments) -> int;
[[nodiscard]] auto runInstances(const Arguments &arguments) -> int;
[[nodiscard]] auto runReplica(const Arguments &arguments) -> int;
[[nodiscard]] auto runReplay(const Arguments &arguments) -> int;
[[nodiscard]] auto runLoadCommand(const Arguments &arguments) -> int;
[[nodiscard]] auto runFakeUpstream(const Arguments &arguments) -> int;

} // namespace heathergate::app
