#pragma once

/// Umbrella header of the consensus library.
#include <heathergate/consensus/replica.h>
#include <heathergate/consensus/types.h>
