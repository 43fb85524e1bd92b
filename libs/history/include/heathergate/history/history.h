#pragma once

/// Umbrella header of the history library.
#include <heathergate/history/chain_cache.h>
#include <heathergate/history/history_client.h>
#include <heathergate/history/history_replica.h>
#include <heathergate/history/turn_disk.h>
