#pragma once

/// Umbrella header of the telemetry library: metrics and logs.
#include <heathergate/telemetry/event_log.h>
#include <heathergate/telemetry/latency_histogram.h>
#include <heathergate/telemetry/logging.h>
#include <heathergate/telemetry/metrics.h>
