#pragma once

/// Umbrella header of the telemetry library: metrics and logs.
#include <heathergate/telemetry/logging.h>
#include <heathergate/telemetry/metrics.h>
