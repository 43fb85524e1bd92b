#pragma once

/// Umbrella header of the routing library: upstream selection, work queue, retries and health.
#include <heathergate/routing/health.h>
#include <heathergate/routing/policies.h>
#include <heathergate/routing/prefix_index.h>
#include <heathergate/routing/retry_budget.h>
#include <heathergate/routing/router.h>
#include <heathergate/routing/work_queue.h>
