#pragma once

#include <heathergate/history/turn.h>

#include <list>
#include <memory>
#include <unordered_map>

namespace heathergate::history {

/// Content of all turns of a chain, oldest first. Shared, because it is large and never changes.
using Chain = std::shared_ptr<const std::string>;

/// The chains that were used last, limited by their size. A chain never changes, so that a cached
/// one is valid as long as its last turn is retained.
class ChainCache
{
public:
    explicit ChainCache(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /// Adds a chain and drops the ones that were used least recently. One that is larger than the
    /// cache is not added.
    auto insert(const TurnKey &lastTurn, Chain chain) -> void;
    /// Returns the chain that ends with a turn; null if it is not cached.
    [[nodiscard]] auto find(const TurnKey &lastTurn) -> Chain;
    [[nodiscard]] auto bytes() const -> std::size_t
    {
        return m_bytes;
    }

private:
    using Entry = std::pair<TurnKey, Chain>;

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    /// Most recently used first.
    std::list<Entry> m_entries;
    std::unordered_map<TurnKey, std::list<Entry>::iterator> m_byKey;
};

} // namespace heathergate::history
