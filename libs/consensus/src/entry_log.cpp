#include <heathergate/consensus/internal/entry_log.h>

namespace heathergate::consensus::internal {

auto EntryLog::reset(Index index, Term term, GroupTime time) -> void
{
    m_entries.clear();
    m_ends.clear();
    m_discarded = 0;
    m_baseIndex = index;
    m_baseTerm = term;
    m_baseTime = time;
}

auto EntryLog::append(Entry entry) -> void
{
    m_ends.push_back((m_ends.empty() ? m_discarded : m_ends.back()) + entry.payload.size());
    m_entries.push_back(std::move(entry));
}

auto EntryLog::truncateFrom(Index from) -> void
{
    while (!m_entries.empty() && m_entries.back().index >= from) {
        m_ends.pop_back();
        m_entries.pop_back();
    }
}

auto EntryLog::discardUpTo(Index upTo) -> void
{
    while (!m_entries.empty() && m_entries.front().index <= upTo) {
        m_baseIndex = m_entries.front().index;
        m_baseTerm = m_entries.front().term;
        m_baseTime = m_entries.front().time;
        m_discarded = m_ends.front();
        m_ends.pop_front();
        m_entries.pop_front();
    }
}

auto EntryLog::termAt(Index index) const -> std::optional<Term>
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

auto EntryLog::at(Index index) const -> const Entry &
{
    return m_entries.at(index - m_baseIndex - 1);
}

auto EntryLog::endOf(Index index) const -> std::size_t
{
    if (index <= m_baseIndex || m_ends.empty())
        return m_discarded;
    return m_ends.at(std::min(index, lastIndex()) - m_baseIndex - 1);
}

auto EntryLog::bytesBetween(Index from, Index to) const -> std::size_t
{
    return to <= from ? 0 : endOf(to) - endOf(from);
}

auto EntryLog::oldestOf(Index to, std::size_t maxBytes) const -> Index
{
    auto oldest = to;
    while (oldest > m_baseIndex && bytesBetween(oldest - 1, to) <= maxBytes)
        --oldest;
    return oldest;
}

auto EntryLog::slice(Index from, std::size_t maxBytes) const -> std::vector<Entry>
{
    std::vector<Entry> entries;
    std::size_t bytes = 0;
    for (auto index = from; index <= lastIndex(); ++index) {
        const auto &entry = at(index);
        bytes += entry.payload.size() + sizeof(Entry);
        if (!entries.empty() && bytes > maxBytes)
            break;
        entries.push_back(entry);
    }
    return entries;
}

} // namespace heathergate::consensus::internal
