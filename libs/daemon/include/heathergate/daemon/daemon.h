#pragma once

/// Umbrella header of the daemon library: the instance state machine and the threads that run it.
#include <heathergate/daemon/instance.h>
#include <heathergate/daemon/server.h>
#include <heathergate/daemon/settings.h>
