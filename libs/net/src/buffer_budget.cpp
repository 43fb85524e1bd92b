#include <heathergate/net/buffer_budget.h>

namespace heathergate::net {

namespace {

/// Part of the limit that large requests may use.
constexpr std::size_t kLargeShareNumerator = 3;
constexpr std::size_t kLargeShareDenominator = 4;

/// Returns the holder whose `stalest` is the earliest; null if no connection can give way.
template <typename Holders, typename Stalest>
auto stalestHolder(const Holders &holders, Stalest stalest) -> const BufferBudget::Holder *
{
    const BufferBudget::Holder *chosen = nullptr;
    std::optional<TimePoint> earliest;
    for (const auto &[id, holder] : holders) {
        const auto since = stalest(holder)();
        if (!since || (earliest && *since >= *earliest))
            continue;
        earliest = since;
        chosen = &holder;
    }
    return chosen;
}

} // namespace

auto BufferBudget::addHolder(Holder holder) -> HolderId
{
    m_holders.emplace(++m_lastHolder, std::move(holder));
    return m_lastHolder;
}

auto BufferBudget::removeHolder(HolderId id) -> void
{
    m_holders.erase(id);
}

auto BufferBudget::makeRoom(std::size_t further) -> bool
{
    return makeRoomWithin(m_maxBytes, further);
}

auto BufferBudget::makeRoomForLarge(std::size_t further) -> bool
{
    return makeRoomWithin(m_maxBytes / kLargeShareDenominator * kLargeShareNumerator, further);
}

auto BufferBudget::makeRoomWithin(std::size_t limit, std::size_t further) -> bool
{
    if (m_usedBytes + further <= limit)
        return true;
    std::size_t reclaimable = 0;
    for (const auto &[id, holder] : m_holders)
        reclaimable += holder.reclaimableBytes();
    if (m_usedBytes + further > limit + reclaimable)
        return false;
    while (m_usedBytes + further > limit) {
        const auto *holder = stalestHolder(
            m_holders, [](const Holder &item) -> const auto & { return item.stalestBuffer; });
        const auto before = m_usedBytes;
        if (holder == nullptr)
            return false;
        holder->reclaimBuffer();
        ++m_counters.closedForMemory;
        if (m_usedBytes >= before)
            return false;
    }
    return true;
}

auto BufferBudget::makeRoomForConnection() -> bool
{
    if (m_connections <= m_maxConnections)
        return true;
    const auto *holder = stalestHolder(
        m_holders, [](const Holder &item) -> const auto & { return item.stalestConnection; });
    if (holder == nullptr)
        return false;
    holder->reclaimConnection();
    ++m_counters.closedForDescriptors;
    return true;
}

} // namespace heathergate::net
