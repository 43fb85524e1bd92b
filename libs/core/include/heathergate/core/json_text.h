#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace heathergate {

/// Returns a JSON value as text. Bytes that are not UTF-8 are replaced, so that a value that quotes
/// the input of others can always be written. `indent` is the number of spaces per level; the text
/// is a single line if it is negative.
[[nodiscard]] inline auto jsonText(const nlohmann::json &json, int indent = -1) -> std::string
{
    return json.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace heathergate
