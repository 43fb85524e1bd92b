#pragma once

/// Umbrella header of the fleet library.
#include <heathergate/fleet/control_node.h>
#include <heathergate/fleet/gateway.h>
#include <heathergate/fleet/storage_agent.h>
