#include <heathergate/routing/work_queue.h>

#include <algorithm>

namespace heathergate::routing {

namespace {

/// Attained service, in tokens, that one second of waiting compensates for.
constexpr double kAgingTokensPerSecond = 500;

auto rank(const WorkItem &item, TimePoint now) -> double
{
    const auto waited = std::chrono::duration<double>(now - item.arrivedAt).count();
    return item.attained - waited * kAgingTokensPerSecond;
}

} // namespace

auto WorkQueue::push(const WorkItem &item) -> bool
{
    if (m_size >= m_capacity)
        return false;
    auto &priorityClass = m_classes[item.priority];
    auto &queue = priorityClass.customers[item.customer];
    // A customer that was idle starts at the current virtual time of its class, so it gets no
    // credit for its idle time.
    if (queue.items.empty())
        queue.virtualTime = std::max(queue.virtualTime, priorityClass.virtualTime);
    queue.items.push_back(item);
    ++priorityClass.waiting;
    ++m_size;
    return true;
}

auto WorkQueue::pop(TimePoint now) -> std::optional<WorkItem>
{
    const auto priorityClass =
        std::find_if(m_classes.begin(), m_classes.end(),
                     [](const auto &entry) { return entry.second.waiting > 0; });
    if (priorityClass == m_classes.end())
        return std::nullopt;
    CustomerQueue *chosen = nullptr;
    for (auto &[customer, queue] : priorityClass->second.customers) {
        if (!queue.items.empty() && (chosen == nullptr || queue.virtualTime < chosen->virtualTime))
            chosen = &queue;
    }
    const auto index = nextItem(*chosen, now);
    const auto item = chosen->items[index];
    chosen->items.erase(chosen->items.begin() + static_cast<std::ptrdiff_t>(index));
    priorityClass->second.virtualTime =
        std::max(priorityClass->second.virtualTime, chosen->virtualTime);
    chosen->virtualTime += item.cost / item.weight;
    --priorityClass->second.waiting;
    --m_size;
    return item;
}

auto WorkQueue::putBack(const WorkItem &item) -> void
{
    auto &priorityClass = m_classes[item.priority];
    auto &queue = priorityClass.customers[item.customer];
    queue.items.push_back(item);
    queue.virtualTime -= item.cost / item.weight;
    ++priorityClass.waiting;
    ++m_size;
}

auto WorkQueue::remove(std::uint64_t request) -> bool
{
    for (auto &[priority, priorityClass] : m_classes) {
        for (auto &[customer, queue] : priorityClass.customers) {
            const auto removed = std::erase_if(
                queue.items, [&](const WorkItem &item) { return item.request == request; });
            priorityClass.waiting -= removed;
            m_size -= removed;
            if (removed > 0)
                return true;
        }
    }
    return false;
}

auto WorkQueue::takeExpired(TimePoint now) -> std::vector<WorkItem>
{
    std::vector<WorkItem> expired;
    for (auto &[priority, priorityClass] : m_classes) {
        for (auto &[customer, queue] : priorityClass.customers) {
            const auto firstExpired =
                std::stable_partition(queue.items.begin(), queue.items.end(),
                                      [now](const WorkItem &item) { return now < item.deadline; });
            priorityClass.waiting -= static_cast<std::size_t>(queue.items.end() - firstExpired);
            m_size -= static_cast<std::size_t>(queue.items.end() - firstExpired);
            expired.insert(expired.end(), firstExpired, queue.items.end());
            queue.items.erase(firstExpired, queue.items.end());
        }
    }
    return expired;
}

auto WorkQueue::charge(const CustomerId &customer, int priority, double weight, double difference)
    -> void
{
    m_classes[priority].customers[customer].virtualTime += difference / weight;
}

auto WorkQueue::nextDeadline() const -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto &[priority, priorityClass] : m_classes) {
        for (const auto &[customer, queue] : priorityClass.customers) {
            for (const auto &item : queue.items)
                next = std::min(next, item.deadline);
        }
    }
    return next;
}

auto WorkQueue::nextItem(const CustomerQueue &queue, TimePoint now) -> std::size_t
{
    const auto best = std::min_element(queue.items.begin(), queue.items.end(),
                                       [now](const WorkItem &left, const WorkItem &right) {
                                           return rank(left, now) < rank(right, now);
                                       });
    return static_cast<std::size_t>(best - queue.items.begin());
}

} // namespace heathergate::routing
