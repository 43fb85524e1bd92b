#pragma once

/// Umbrella header of the control library: table, keys, members, upstreams and orders under one
/// revision.
#include <heathergate/control/control_state.h>
#include <heathergate/control/control_view.h>
#include <heathergate/control/table_csv.h>
