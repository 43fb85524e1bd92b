#pragma once

#include <heathergate/consensus/types.h>

#include <deque>

namespace heathergate::consensus::internal {

/// The part of the replicated log that is held in memory: the entries after a base position.
class EntryLog
{
public:
    /// Clears the log and sets its base position to (`index`, `term`).
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

    /// Returns the term of the entry at `index`; nothing if it is not in memory.
    [[nodiscard]] auto termAt(Index index) const -> std::optional<Term>;
    /// Returns the entry at `index`, which must be in memory.
    [[nodiscard]] auto at(Index index) const -> const Entry &;
    /// Returns the entries starting at `from` that fit in `maxBytes`, but at least one if any
    /// exists.
    [[nodiscard]] auto slice(Index from, std::size_t maxBytes) const -> std::vector<Entry>;
    /// Returns the bytes of the payloads of the entries after `from`, up to and including `to`.
    /// Entries that are not in memory count nothing.
    [[nodiscard]] auto bytesBetween(Index from, Index to) const -> std::size_t;
    /// Returns the lowest index from which on the entries up to `to` have at most `maxBytes`; the
    /// entry at that index itself is not counted.
    [[nodiscard]] auto oldestOf(Index to, std::size_t maxBytes) const -> Index;
    /// Returns the bytes of the payloads of all entries in memory.
    [[nodiscard]] auto bytes() const -> std::size_t
    {
        return m_ends.empty() ? 0 : m_ends.back() - m_discarded;
    }

private:
    /// Returns the bytes of all payloads ever appended up to and including `index`.
    [[nodiscard]] auto endOf(Index index) const -> std::size_t;

    /// Bytes of the payloads that were discarded since the log was reset.
    std::size_t m_discarded = 0;
    /// For each entry, the bytes of all payloads up to and including it since the log was reset.
    std::deque<std::size_t> m_ends;
    Index m_baseIndex = 0;
    Term m_baseTerm = 0;
    GroupTime m_baseTime{};
    std::deque<Entry> m_entries;
};

} // namespace heathergate::consensus::internal
