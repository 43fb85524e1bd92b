#include <heathergate/core/status_line.h>

#include <algorithm>
#include <charconv>

namespace heathergate {

namespace {

constexpr std::size_t kStatusDigits = 3;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;

auto isDigit(char character) -> bool
{
    return character >= '0' && character <= '9';
}

/// Removes the name and version of the protocol, with the space after it. Returns whether they are
/// there.
auto removeProtocol(std::string_view &line) -> bool
{
    constexpr std::string_view kHttp1 = "HTTP/1.";
    constexpr std::string_view kHttp2 = "HTTP/2 ";
    if (line.starts_with(kHttp2)) {
        line.remove_prefix(kHttp2.size());
        return true;
    }
    const auto size = kHttp1.size() + 2;
    if (!line.starts_with(kHttp1) || line.size() < size || !isDigit(line[size - 2])
        || line[size - 1] != ' ')
        return false;
    line.remove_prefix(size);
    return true;
}

} // namespace

auto statusOf(std::string_view line) -> std::optional<int>
{
    if (!removeProtocol(line) || line.size() < kStatusDigits)
        return std::nullopt;
    const auto digits = line.substr(0, kStatusDigits);
    const auto rest = line.substr(kStatusDigits);
    const auto endsThere =
        rest.empty() || rest.front() == ' ' || rest.front() == '\r' || rest.front() == '\n';
    if (!endsThere || !std::all_of(digits.begin(), digits.end(), isDigit))
        return std::nullopt;
    int status = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
    if (status < kMinStatus || status > kMaxStatus || status == kSwitchingProtocols)
        return std::nullopt;
    return status;
}

} // namespace heathergate
