#pragma once

/// Umbrella header of the net library.
#include <heathergate/net/event_loop.h>
#include <heathergate/net/http_client.h>
#include <heathergate/net/http_server.h>
#include <heathergate/net/peer_links.h>
