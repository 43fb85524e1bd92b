#pragma once

/// Umbrella header of the HTTP library: server (libmicrohttpd), client (libcurl) and event streams.
#include <heathergate/http/client.h>
#include <heathergate/http/event_stream.h>
#include <heathergate/http/message.h>
#include <heathergate/http/server.h>
