#pragma once

/// Umbrella header of the control library: customer table, keys, instances, upstreams and orders
/// under a common revision.
#include <heathergate/control/control_state.h>
#include <heathergate/control/control_view.h>
#include <heathergate/control/table_csv.h>
