#pragma once

/// Umbrella header of the storage library.
#include <heathergate/storage/log_writer.h>
#include <heathergate/storage/storage_step.h>
