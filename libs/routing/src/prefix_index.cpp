#include <heathergate/routing/prefix_index.h>

namespace heathergate::routing {

auto PrefixIndex::touch(const PromptPrefixes &prompt) -> void
{
    std::int64_t covered = 0;
    for (const auto &prefix : prompt.prefixes) {
        const auto known = m_byHash.find(prefix.hash);
        if (known != m_byHash.end()) {
            m_items.splice(m_items.begin(), m_items, known->second);
        } else {
            m_items.push_front({prefix.hash, prefix.tokens - covered});
            m_byHash[prefix.hash] = m_items.begin();
            m_used += prefix.tokens - covered;
        }
        covered = prefix.tokens;
    }
    while (m_used > m_capacity && !m_items.empty())
        remove(std::prev(m_items.end()));
}

auto PrefixIndex::evict(std::uint64_t hash) -> void
{
    const auto known = m_byHash.find(hash);
    if (known != m_byHash.end())
        remove(known->second);
}

auto PrefixIndex::cachedTokens(const PromptPrefixes &prompt) const -> std::int64_t
{
    std::int64_t tokens = 0;
    for (const auto &prefix : prompt.prefixes) {
        if (!m_byHash.contains(prefix.hash))
            break;
        tokens = prefix.tokens;
    }
    return tokens;
}

auto PrefixIndex::remove(std::list<Item>::iterator item) -> void
{
    m_used -= item->tokens;
    m_byHash.erase(item->hash);
    m_items.erase(item);
}

} // namespace heathergate::routing
