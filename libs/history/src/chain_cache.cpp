#include <heathergate/history/chain_cache.h>

namespace heathergate::history {

auto ChainCache::insert(const TurnKey &lastTurn, Chain chain) -> void
{
    if (!chain || chain->size() > m_maxBytes || m_byKey.contains(lastTurn))
        return;
    m_bytes += chain->size();
    m_entries.emplace_front(lastTurn, std::move(chain));
    m_byKey[lastTurn] = m_entries.begin();
    while (m_bytes > m_maxBytes) {
        m_bytes -= m_entries.back().second->size();
        m_byKey.erase(m_entries.back().first);
        m_entries.pop_back();
    }
}

auto ChainCache::find(const TurnKey &lastTurn) -> Chain
{
    const auto found = m_byKey.find(lastTurn);
    if (found == m_byKey.end())
        return nullptr;
    m_entries.splice(m_entries.begin(), m_entries, found->second);
    return found->second->second;
}

} // namespace heathergate::history
