#include <heathergate/history/turn_index.h>

#include <algorithm>

namespace heathergate::history {

auto TurnIndex::insert(const TurnKey &key, const TurnId &previous, const Location &location,
                       std::uint64_t digest, WallTime expiresAt) -> void
{
    m_segments[location.segment] += location.bytes;
    const auto [found, isNew] = m_entries.try_emplace(key);
    auto &entry = found->second;
    if (isNew) {
        entry = {previous, location, digest, expiresAt, ++m_lastPosition};
        m_byPosition[entry.position] = key;
    } else {
        release(entry.location);
        entry.location = location;
        entry.expiresAt = std::max(entry.expiresAt, expiresAt);
    }
    extendChain(key, entry.expiresAt);
}

/// Extends the retention of the turns before this one. Stops at the first one that is retained for
/// as long, because the turns before that one are, too.
auto TurnIndex::extendChain(const TurnKey &key, WallTime expiresAt) -> void
{
    auto at = m_entries.find(key);
    while (at != m_entries.end() && !at->second.previous.empty()) {
        at = m_entries.find({key.customer, at->second.previous});
        if (at == m_entries.end() || at->second.expiresAt >= expiresAt)
            return;
        at->second.expiresAt = expiresAt;
    }
}

auto TurnIndex::find(const TurnKey &key) const -> const IndexEntry *
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

auto TurnIndex::chain(const TurnKey &key) const -> std::optional<std::vector<Location>>
{
    std::vector<Location> locations;
    TurnKey next = key;
    // A chain has no more turns than the index, unless its links form a cycle.
    while (!next.turn.empty() && locations.size() <= m_entries.size()) {
        const auto *entry = find(next);
        if (entry == nullptr)
            return std::nullopt;
        locations.push_back(entry->location);
        next.turn = entry->previous;
    }
    if (!next.turn.empty())
        return std::nullopt;
    std::reverse(locations.begin(), locations.end());
    return locations;
}

auto TurnIndex::remove(const TurnKey &key) -> void
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    release(found->second.location);
    m_byPosition.erase(found->second.position);
    m_entries.erase(found);
}

auto TurnIndex::removeExpired(WallTime now) -> std::size_t
{
    std::vector<TurnKey> expired;
    for (const auto &[key, entry] : m_entries) {
        if (entry.expiresAt < now)
            expired.push_back(key);
    }
    for (const auto &key : expired)
        remove(key);
    return expired.size();
}

auto TurnIndex::after(std::uint64_t position, std::size_t limit) const
    -> std::vector<std::pair<std::uint64_t, TurnKey>>
{
    std::vector<std::pair<std::uint64_t, TurnKey>> keys;
    for (auto at = m_byPosition.upper_bound(position);
         at != m_byPosition.end() && keys.size() < limit; ++at)
        keys.push_back(*at);
    return keys;
}

auto TurnIndex::keysIn(std::uint64_t segment) const -> std::vector<TurnKey>
{
    std::vector<TurnKey> keys;
    for (const auto &[key, entry] : m_entries) {
        if (entry.location.segment == segment)
            keys.push_back(key);
    }
    return keys;
}

auto TurnIndex::release(const Location &location) -> void
{
    const auto segment = m_segments.find(location.segment);
    if (segment == m_segments.end())
        return;
    segment->second -= std::min(segment->second, location.bytes);
    // The last entry remains, so that the segment is known until its file is removed.
}

} // namespace heathergate::history
