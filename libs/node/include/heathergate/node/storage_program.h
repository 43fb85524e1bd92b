#pragma once

#include <heathergate/node/node_settings.h>

namespace heathergate::node {

/// Runs an instance that only makes itself known. Returns the exit status.
[[nodiscard]] auto runStorage(const NodeSettings &settings, const std::string &file) -> int;

} // namespace heathergate::node
