#pragma once

#include <heathergate/daemon/settings.h>

namespace heathergate::daemon {

/// Runs an instance until it is told to stop (SIGTERM or SIGINT), which it does gracefully: it
/// leaves the directory, goes on until nobody can know its address, and finishes what is under
/// way. SIGHUP rereads the certificate. Returns the process's exit status.
[[nodiscard]] auto serve(const Settings &settings) -> int;

/// Reads the certificate and key named in the settings; nothing if there are none. Fails with
/// `Code::BadSetting`.
[[nodiscard]] auto checkTls(const Settings &settings) -> Result<void>;

} // namespace heathergate::daemon
