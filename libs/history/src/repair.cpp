#include <heathergate/history/repair.h>

#include <algorithm>

namespace heathergate::history {

namespace {

/// Interval at which a member is listed whose turns are all held here.
constexpr Duration kListInterval = std::chrono::milliseconds(400);
/// Time after which a request without an answer is repeated.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(700);
/// Maximum number of turns that one request fetches.
constexpr std::size_t kMaxFetchedTurns = 32;

} // namespace

Repair::Repair(ReplicaId self, InstanceId instance, std::uint64_t boot)
    : m_self(std::move(self))
    , m_instance(std::move(instance))
    , m_boot(boot)
{
}

auto Repair::setReplicas(TimePoint now, const ReplicaSet &set) -> void
{
    m_digest = set.digest();
    std::erase_if(m_sources, [&](const auto &item) { return set.find(item.first) == nullptr; });
    for (const auto &member : set.members) {
        if (member.id == m_self || member.instance == m_instance)
            continue;
        auto &source = m_sources[member.id];
        source.instance = member.instance;
        source.isSynced = false;
        source.knowsSet = false;
        source.nextAt = now;
    }
}

auto Repair::restart(TimePoint now) -> void
{
    for (auto &[id, source] : m_sources) {
        const auto instance = source.instance;
        source = {};
        source.instance = instance;
        source.nextAt = now;
    }
}

auto Repair::listed(TimePoint now, const fb::TurnListT &list,
                    const std::function<bool(const TurnKey &)> &isHeld) -> void
{
    const auto found = m_sources.find(ReplicaId(list.replica));
    if (found == m_sources.end())
        return;
    auto &source = found->second;
    source.isWaiting = false;
    if (source.boot != list.boot) {
        // The positions of the former run are void; this list starts from the beginning.
        source.boot = list.boot;
        source.copiedTo = 0;
    }
    source.listedTo = list.next;
    source.head = list.head;
    source.knowsSet = list.set == m_digest;
    source.isComplete = list.complete;
    source.missing.clear();
    source.arrived.clear();
    for (const auto &table : list.keys) {
        auto key = fromTable(table);
        if (!isHeld(key))
            source.missing.insert(std::move(key));
    }
    advance(now, source);
}

auto Repair::advance(TimePoint now, Source &source) -> void
{
    source.nextAt = now;
    if (!source.missing.empty())
        return;
    source.copiedTo = source.listedTo;
    if (source.copiedTo < source.head)
        return;
    source.isSynced = source.isSynced || source.knowsSet;
    source.nextAt = now + kListInterval;
}

auto Repair::fetched(TimePoint now, const fb::FetchedTurnsT &message) -> void
{
    const auto found = m_sources.find(ReplicaId(message.replica));
    if (found == m_sources.end())
        return;
    auto &source = found->second;
    source.isWaiting = false;
    for (const auto &turn : message.turns) {
        if (const auto key = fromTable(turn->key); source.missing.contains(key))
            source.arrived.insert(key);
    }
    for (const auto &table : message.missing)
        source.missing.erase(fromTable(table));
    advance(now, source);
}

auto Repair::stored(TimePoint now, const TurnKey &key) -> void
{
    for (auto &[id, source] : m_sources) {
        if (source.missing.erase(key) == 0)
            continue;
        source.arrived.erase(key);
        if (source.missing.empty())
            advance(now, source);
    }
}

auto Repair::request(Source &source) const -> Message
{
    if (source.missing.empty()) {
        fb::ListTurnsT list;
        list.set = m_digest;
        list.boot = source.boot;
        list.after = source.copiedTo;
        return list;
    }
    fb::FetchTurnsT fetch;
    for (const auto &key : source.missing) {
        if (!source.arrived.contains(key) && fetch.keys.size() < kMaxFetchedTurns)
            fetch.keys.push_back(toTable(key));
    }
    return fetch;
}

auto Repair::tick(TimePoint now) -> std::vector<Outgoing>
{
    std::vector<Outgoing> out;
    for (auto &[id, source] : m_sources) {
        if (source.isWaiting && now - source.sentAt >= kAnswerTimeout) {
            source.isWaiting = false;
            source.arrived.clear();
            source.nextAt = now;
        }
        if (source.isWaiting || now < source.nextAt)
            continue;
        if (!source.missing.empty() && source.arrived.size() == source.missing.size()) {
            // All are being stored. What is not durable after the timeout is fetched again.
            source.arrived.clear();
            source.nextAt = now + kAnswerTimeout;
            continue;
        }
        source.isWaiting = true;
        source.sentAt = now;
        out.push_back({source.instance, request(source)});
    }
    return out;
}

auto Repair::nextDeadline() const -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto &[id, source] : m_sources)
        next = std::min(next, source.isWaiting ? source.sentAt + kAnswerTimeout : source.nextAt);
    return next;
}

auto Repair::syncedMembers() const -> std::vector<ReplicaId>
{
    std::vector<ReplicaId> ids;
    for (const auto &[id, source] : m_sources) {
        if (source.isSynced)
            ids.push_back(id);
    }
    return ids;
}

auto Repair::completeSources() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(m_sources.begin(), m_sources.end(), [](const auto &item) {
            return item.second.isSynced && item.second.isComplete;
        }));
}

} // namespace heathergate::history
