#pragma once

#include <heathergate/core/core.h>

#include <map>

namespace heathergate::http {

/// Header fields by lower-case name.
using Headers = std::map<std::string, std::string>;

/// A request as a caller, operator or upstream sent it.
struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    Headers headers;
    std::string body;
    std::string remoteAddress;

    /// Returns a header's value; empty if it is absent.
    [[nodiscard]] auto header(const std::string &lowerCaseName) const -> std::string
    {
        const auto found = headers.find(lowerCaseName);
        return found == headers.end() ? std::string() : found->second;
    }
};

/// A complete response.
struct Response
{
    int status = 200;
    Headers headers;
    std::string body;
};

} // namespace heathergate::http
