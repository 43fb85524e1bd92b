#include <heathergate/history/history_client.h>

#include <algorithm>

namespace heathergate::history {

namespace {

/// Time after which a read is sent to another replica, too.
constexpr Duration kReadHedgeDelay = std::chrono::milliseconds(40);
/// Time after which replicas that have not answered are asked again.
constexpr Duration kRepeatDelay = std::chrono::milliseconds(150);
/// Time for which an instance that did not answer in time is asked last.
constexpr Duration kSlowPeriod = std::chrono::seconds(1);

} // namespace

HistoryClient::HistoryClient(FailureDomainId domain, std::size_t cacheBytes)
    : m_domain(std::move(domain))
    , m_cache(cacheBytes)
{
}

auto HistoryClient::setReplicas(TimePoint now, const ReplicaSet &set) -> void
{
    if (set.version <= m_set.version)
        return;
    const auto isSame = set.digest() == m_set.digest();
    m_set = set;
    if (isSame)
        return;
    for (auto &[ticket, read] : m_reads) {
        read.absent.clear();
        read.asked.clear();
        read.askAgainAt = now;
    }
    for (auto &[ticket, write] : m_writes)
        write.sendAgainAt = now;
}

auto HistoryClient::read(TimePoint now, Ticket ticket, const TurnKey &key, TimePoint deadline)
    -> void
{
    if (auto chain = m_cache.find(key))
        return finish(ticket, ClientOutcome::Found, std::move(chain));
    auto &read = m_reads[ticket];
    read.key = key;
    read.deadline = deadline;
    ask(now, ticket, read, false);
}

auto HistoryClient::write(TimePoint now, Ticket ticket, Turn turn, const Chain &previous,
                          TimePoint deadline) -> void
{
    auto &write = m_writes[ticket];
    write.chain = std::make_shared<const std::string>((previous ? *previous : std::string())
                                                      + turn.input + turn.output);
    write.deadline = deadline;
    write.message.request = ticket;
    auto &table = write.message.turn = std::make_unique<fb::TurnT>();
    table->key = toTable(turn.key);
    table->previous = turn.previous.value;
    table->input.assign(turn.input.begin(), turn.input.end());
    table->output.assign(turn.output.begin(), turn.output.end());
    table->retention = turn.retention.count();
    send(now, write);
}

auto HistoryClient::cancel(Ticket ticket) -> void
{
    m_reads.erase(ticket);
    m_writes.erase(ticket);
}

auto HistoryClient::receive(TimePoint now, const InstanceId &from, const Message &message) -> void
{
    std::visit([&](const auto &body) { handle(now, from, body); }, message);
}

auto HistoryClient::handle(TimePoint now, const InstanceId &from, const fb::ChainReadT &reply)
    -> void
{
    m_slowUntil.erase(from);
    const auto found = m_reads.find(reply.request);
    if (found == m_reads.end())
        return;
    auto &read = found->second;
    switch (static_cast<ReadOutcome>(reply.outcome)) {
    case ReadOutcome::Found: {
        auto chain =
            std::make_shared<const std::string>(reply.content.begin(), reply.content.end());
        m_cache.insert(read.key, chain);
        return finish(reply.request, ClientOutcome::Found, std::move(chain));
    }
    case ReadOutcome::Absent:
        if (m_set.find(ReplicaId(reply.replica)) != nullptr)
            read.absent.insert(ReplicaId(reply.replica));
        if (m_set.provesAbsence(read.absent.size()))
            return finish(reply.request, ClientOutcome::Absent);
        return ask(now, reply.request, read, true);
    case ReadOutcome::OtherSet:
        m_isStale = true;
        return;
    case ReadOutcome::Unsure:
        return ask(now, reply.request, read, true);
    }
}

auto HistoryClient::handle(TimePoint, const InstanceId &, const fb::TurnStoredT &reply) -> void
{
    const auto found = m_writes.find(reply.request);
    if (found == m_writes.end())
        return;
    auto &write = found->second;
    switch (static_cast<StoreOutcome>(reply.outcome)) {
    case StoreOutcome::Durable:
        write.durable.insert(ReplicaId(reply.replica));
        if (countDurable(write) < m_set.copies)
            return;
        m_cache.insert(fromTable(write.message.turn->key), write.chain);
        return finish(reply.request, ClientOutcome::Stored);
    case StoreOutcome::OtherSet:
        m_isStale = true;
        return;
    case StoreOutcome::Conflict:
        return finish(reply.request, ClientOutcome::Unavailable);
    }
}

auto HistoryClient::countDurable(const Write &write) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(write.durable.begin(), write.durable.end(), [this](const auto &id) {
            const auto *member = m_set.find(id);
            return member != nullptr && member->isWritable;
        }));
}

auto HistoryClient::finish(Ticket ticket, ClientOutcome outcome, Chain chain) -> void
{
    cancel(ticket);
    m_results.push_back({ticket, outcome, std::move(chain)});
}

/// Returns the instances of the set in the order in which a read asks them: quick ones before slow
/// ones, then those of the own failure domain, then by turn, so that reads spread over them.
auto HistoryClient::readOrder(TimePoint now, const TurnKey &key) const -> std::vector<InstanceId>
{
    std::vector<std::tuple<bool, bool, std::uint64_t, InstanceId>> order;
    for (const auto &member : m_set.members) {
        const auto slow = m_slowUntil.find(member.instance);
        order.emplace_back(slow != m_slowUntil.end() && now < slow->second,
                           member.domain != m_domain,
                           hash64(member.id.value, hash64(key.turn.value)), member.instance);
    }
    std::sort(order.begin(), order.end());
    std::vector<InstanceId> instances;
    for (auto &entry : order) {
        auto &instance = std::get<InstanceId>(entry);
        // A wiped replica and its successor are on the same instance.
        if (std::find(instances.begin(), instances.end(), instance) == instances.end())
            instances.push_back(std::move(instance));
    }
    return instances;
}

auto HistoryClient::ask(TimePoint now, Ticket ticket, Read &read, bool everyone) -> void
{
    fb::ReadChainT message;
    message.request = ticket;
    message.set = m_set.digest();
    const auto order = readOrder(now, read.key);
    for (const auto &instance : order) {
        if (!read.asked.insert(instance).second)
            continue;
        message.key = toTable(read.key);
        m_messages.push_back({instance, Message(fb::ReadChainT(message))});
        if (!everyone)
            break;
    }
    read.allAsked = read.asked.size() >= order.size();
    read.askAgainAt = now + (read.allAsked ? kRepeatDelay : kReadHedgeDelay);
}

auto HistoryClient::send(TimePoint now, Write &write) -> void
{
    write.sendAgainAt = now + kRepeatDelay;
    write.message.set = m_set.digest();
    std::set<InstanceId> addressed;
    for (const auto &member : m_set.members) {
        if (member.isWritable && !write.durable.contains(member.id)
            && addressed.insert(member.instance).second)
            m_messages.push_back({member.instance, Message(fb::StoreTurnT(write.message))});
    }
}

auto HistoryClient::tick(TimePoint now) -> void
{
    std::vector<Ticket> late;
    for (auto &[ticket, read] : m_reads) {
        if (now >= read.deadline) {
            late.push_back(ticket);
        } else if (now >= read.askAgainAt) {
            for (const auto &instance : read.asked)
                m_slowUntil[instance] = now + kSlowPeriod;
            if (read.allAsked)
                read.asked.clear();
            ask(now, ticket, read, !read.absent.empty());
        }
    }
    for (auto &[ticket, write] : m_writes) {
        if (now >= write.deadline)
            late.push_back(ticket);
        else if (now >= write.sendAgainAt)
            send(now, write);
    }
    for (const auto ticket : late)
        finish(ticket, ClientOutcome::Unavailable);
}

auto HistoryClient::nextDeadline() const -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto &[ticket, read] : m_reads)
        next = std::min({next, read.deadline, read.askAgainAt});
    for (const auto &[ticket, write] : m_writes)
        next = std::min({next, write.deadline, write.sendAgainAt});
    return next;
}

} // namespace heathergate::history
