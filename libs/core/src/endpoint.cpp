#include <heathergate/core/endpoint.h>

#include <arpa/inet.h>
#include <charconv>

namespace heathergate {

auto parseEndpoint(std::string_view text) -> Result<Endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fail(Code::BadSetting, "must be host:port");
    Endpoint endpoint;
    endpoint.host = text.substr(0, colon);
    in_addr parsed{};
    if (inet_pton(AF_INET, endpoint.host.c_str(), &parsed) != 1)
        return fail(Code::BadSetting, "must have a numeric IPv4 address");
    const auto port = text.substr(colon + 1);
    const auto result = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (result.ec != std::errc() || result.ptr != port.data() + port.size() || endpoint.port == 0)
        return fail(Code::BadSetting, "must have a port from 1 to 65535");
    return endpoint;
}

} // namespace heathergate
