#pragma once

/// Umbrella header of the core library: identifiers, time, result codes, hashing, compression and
/// rings.
#include <heathergate/core/codec.h>
#include <heathergate/core/compression.h>
#include <heathergate/core/endpoint.h>
#include <heathergate/core/hash.h>
#include <heathergate/core/ids.h>
#include <heathergate/core/json_text.h>
#include <heathergate/core/random.h>
#include <heathergate/core/result.h>
#include <heathergate/core/ring.h>
#include <heathergate/core/status_line.h>
#include <heathergate/core/time.h>
