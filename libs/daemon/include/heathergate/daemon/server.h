#pragma once

#include <heathergate/daemon/settings.h>

namespace heathergate::daemon {

/// Runs an instance until SIGTERM or SIGINT, then shuts down gracefully: it leaves the directory,
/// serves until the cached directory entries have expired, and completes the calls in progress.
/// SIGHUP reloads the certificate. Returns the exit status of the process.
[[nodiscard]] auto serve(const Settings &settings) -> int;

/// Checks that the certificate and key files named in the settings are readable; succeeds if none
/// are named. Fails with `Code::BadSetting`.
[[nodiscard]] auto checkTls(const Settings &settings) -> Result<void>;

} // namespace heathergate::daemon
