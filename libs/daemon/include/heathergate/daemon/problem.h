#pragma once

#include <heathergate/http/message.h>

namespace heathergate::daemon {

/// Returns an error as a problem document (RFC 9457) that states the numeric result code and
/// whether the request ran, with `Retry-After` if the error has a retry time.
[[nodiscard]] auto problemResponse(const Error &error) -> http::Response;

/// Returns a JSON response.
[[nodiscard]] auto jsonResponse(const nlohmann::json &body, int status = 200) -> http::Response;

/// Parses a JSON object of at most `maxDepth` levels. Fails with `Code::BadRequest`.
[[nodiscard]] auto parseJsonObject(const std::string &text, int maxDepth = 32)
    -> Result<nlohmann::json>;

} // namespace heathergate::daemon
