#include <heathergate/core/hash.h>

#include <array>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <stdexcept>
#include <xxhash.h>

namespace heathergate {

namespace {
constexpr std::size_t kSha256Bytes = 32;
} // namespace

auto hash64(std::string_view data, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

auto hmacSha256(std::string_view key, std::string_view data) -> std::string
{
    std::string digest(kSha256Bytes, '\0');
    if (gnutls_hmac_fast(GNUTLS_MAC_SHA256, key.data(), key.size(), data.data(), data.size(),
                         digest.data())
        < 0)
        throw std::runtime_error("HMAC-SHA-256 is not available");
    return digest;
}

auto toHex(std::string_view bytes) -> std::string
{
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text.push_back(kDigits[byte >> 4]);
        text.push_back(kDigits[byte & 0xf]);
    }
    return text;
}

auto equalInConstantTime(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size()
           && gnutls_memcmp(left.data(), right.data(), left.size()) == 0;
}

auto secureRandom(std::size_t count) -> std::string
{
    std::string bytes(count, '\0');
    if (gnutls_rnd(GNUTLS_RND_KEY, bytes.data(), bytes.size()) < 0)
        throw std::runtime_error("no random bytes are available");
    return bytes;
}

} // namespace heathergate
