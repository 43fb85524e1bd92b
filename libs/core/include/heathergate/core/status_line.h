#pragma once

#include <optional>
#include <string_view>

namespace heathergate {

/// Bytes at the start of a response within which its status stands, with the one that follows it.
constexpr std::size_t kStatusLineStartBytes = 13;

/// Returns the status at the start of a response; nothing if it is no valid one of HTTP (RFC 9112,
/// section 4): another protocol, not exactly three digits, or not from 100 to 599. The status 101
/// is not valid either, because no request asks for another protocol. `line` may end after the
/// status.
[[nodiscard]] auto statusOf(std::string_view line) -> std::optional<int>;

} // namespace heathergate
