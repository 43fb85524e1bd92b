#pragma once

#include <heathergate/core/result.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace heathergate {

/// Host and port of a socket. The host is a numeric IPv4 address.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    [[nodiscard]] auto text() const -> std::string
    {
        return host + ":" + std::to_string(port);
    }

    auto operator<=>(const Endpoint &) const = default;
};

/// Parses "HOST:PORT". Fails with `Code::BadSetting`.
[[nodiscard]] auto parseEndpoint(std::string_view text) -> Result<Endpoint>;

} // namespace heathergate
