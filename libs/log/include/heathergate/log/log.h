#pragma once

/// Umbrella header of the log library: durable storage of records and snapshots in a data folder.
#include <heathergate/log/file_layer.h>
#include <heathergate/log/posix_files.h>
#include <heathergate/log/snapshot_file.h>
#include <heathergate/log/write_ahead_log.h>
