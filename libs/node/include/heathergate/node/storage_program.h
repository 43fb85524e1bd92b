#pragma once

#include <heathergate/node/node_settings.h>

namespace heathergate::node {

/// Runs a storage instance, which only announces itself to the control instances. Returns the exit
/// status.
[[nodiscard]] auto runStorage(const NodeSettings &settings, const std::string &file) -> int;

} // namespace heathergate::node
