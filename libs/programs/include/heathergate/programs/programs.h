#pragma once

/// Umbrella header of the programs library: the ledger of programs and their calls.
#include <heathergate/programs/commands.h>
#include <heathergate/programs/program_ledger.h>
