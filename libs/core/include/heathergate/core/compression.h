#pragma once

#include <heathergate/core/result.h>

#include <string>
#include <string_view>

/// Compression of messages and stored texts with Zstandard.
namespace heathergate {

/// Returns `data` compressed. What `base` also contains takes almost no space; the same base is
/// then required to decompress the result.
[[nodiscard]] auto compress(std::string_view data, std::string_view base = {}) -> std::string;

/// Returns the data that `compress` was given. Fails with `Code::BadFrame` if the bytes are
/// damaged, if they were compressed with another base, or if the data has more than `maxBytes`.
[[nodiscard]] auto decompress(std::string_view bytes, std::size_t maxBytes,
                              std::string_view base = {}) -> Result<std::string>;

} // namespace heathergate
