#pragma once

#include <heathergate/consensus/types.h>

#include <deque>

namespace heathergate::consensus::internal {

/// The part of the replicated log held in memory: entries after the snapshot's position.
class EntryLog
{
public:
    /// Starts the log behind the position (`index`, `term`).
    auto reset(Index index, Term term, GroupTime time) -> void;
    /// Appends an entry; its index must be `lastIndex() + 1`.
    auto append(Entry entry) -> void;
    /// Removes all entries with an index of at least `from`.
    auto truncateFrom(Index from) -> void;
    /// Removes entries up to and including `upTo`.
    auto discardUpTo(Index upTo) -> void;

    [[nodiscard]] auto firstIndex() const -> Index
    {
        return m_baseIndex + 1;
    }

    [[nodiscard]] auto lastIndex() const -> Index
    {
        return m_baseIndex + m_entries.size();
    }

    [[nodiscard]] auto lastTerm() const -> Term
    {
        return m_entries.empty() ? m_baseTerm : m_entries.back().term;
    }

    /// Returns the group time of the last entry.
    [[nodiscard]] auto lastTime() const -> GroupTime
    {
        return m_entries.empty() ? m_baseTime : m_entries.back().time;
    }

    /// Returns the term of the entry at `index`; nothing if it is not held.
    [[nodiscard]] auto termAt(Index index) const -> std::optional<Term>;
    /// Returns the entry at `index`, which must be held.
    [[nodiscard]] auto at(Index index) const -> const Entry &;
    /// Returns entries from `from`, as many as fit in `maxBytes` but at least one if there is any.
    [[nodiscard]] auto slice(Index from, std::size_t maxBytes) const -> std::vector<Entry>;

private:
    Index m_baseIndex = 0;
    Term m_baseTerm = 0;
    GroupTime m_baseTime{};
    std::deque<Entry> m_entries;
};

} // namespace heathergate::consensus::internal
