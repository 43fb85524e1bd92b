#pragma once

#include <heathergate/core/core.h>

#include <list>
#include <unordered_map>

namespace heathergate::routing {

/// Hashes of a prompt's prefixes, shortest first, each with the tokens it covers.
struct PromptPrefixes
{
    struct Prefix
    {
        std::uint64_t hash = 0;
        std::int64_t tokens = 0;
    };

    std::vector<Prefix> prefixes;

    [[nodiscard]] auto totalTokens() const -> std::int64_t
    {
        return prefixes.empty() ? 0 : prefixes.back().tokens;
    }
};

/// Estimates which prompt prefixes the cache of one upstream holds, from the prompts sent to it and
/// from its cache events, which may be late or incomplete. The least recently used prefixes are
/// evicted first.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::int64_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    /// Records that the upstream processed this prompt.
    auto touch(const PromptPrefixes &prompt) -> void;
    /// Records that the upstream evicted the prefix with this hash.
    auto evict(std::uint64_t hash) -> void;
    /// Returns the estimated number of the prompt's tokens in the cache.
    [[nodiscard]] auto cachedTokens(const PromptPrefixes &prompt) const -> std::int64_t;

private:
    struct Item
    {
        std::uint64_t hash = 0;
        std::int64_t tokens = 0;
    };

    auto remove(std::list<Item>::iterator item) -> void;

    std::int64_t m_capacity;
    std::int64_t m_used = 0;
    std::list<Item> m_items;
    std::unordered_map<std::uint64_t, std::list<Item>::iterator> m_byHash;
};

} // namespace heathergate::routing
