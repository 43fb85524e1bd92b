#pragma once

/// Umbrella header of the wire library: messages between instances and their encoding.
#include <heathergate/wire/messages.h>
