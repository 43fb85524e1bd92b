#pragma once

/// Umbrella header of the limits library.
#include <heathergate/limits/allowance_client.h>
#include <heathergate/limits/bucket.h>
#include <heathergate/limits/bucket_ledger.h>
