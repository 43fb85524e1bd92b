#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Hash functions: a fast one for placement and checksums, and a keyed one for secrets.
namespace heathergate {

/// Returns the 64-bit XXH3 hash of `data`.
[[nodiscard]] auto hash64(std::string_view data, std::uint64_t seed = 0) -> std::uint64_t;

/// Returns HMAC-SHA-256 of `data` under `key` as 32 raw bytes.
[[nodiscard]] auto hmacSha256(std::string_view key, std::string_view data) -> std::string;

/// Returns `bytes` as lower-case hexadecimal text.
[[nodiscard]] auto toHex(std::string_view bytes) -> std::string;

/// Returns whether two byte strings are equal. For strings of equal length the time does not depend
/// on their content.
[[nodiscard]] auto equalInConstantTime(std::string_view left, std::string_view right) -> bool;

/// Returns `count` bytes from the cryptographic random generator of GnuTLS.
[[nodiscard]] auto secureRandom(std::size_t count) -> std::string;

} // namespace heathergate
