#pragma once

/// Umbrella header of the replay library: traces, backends that execute them, and reports.
#include <heathergate/replay/fleet_backend.h>
#include <heathergate/replay/naive_backend.h>
#include <heathergate/replay/replayer.h>
#include <heathergate/replay/report.h>
#include <heathergate/replay/trace.h>
