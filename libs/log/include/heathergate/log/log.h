#pragma once

/// Umbrella header of the log library: durable records and snapshots in one data folder.
#include <heathergate/log/file_layer.h>
#include <heathergate/log/posix_files.h>
#include <heathergate/log/snapshot_file.h>
#include <heathergate/log/write_ahead_log.h>
