#include <heathergate/history/history_replica.h>

#include <algorithm>

namespace heathergate::history {

namespace {

using telemetry::LogImportance;

/// Turns are removed this much later than their retention ends, because clocks of instances differ.
constexpr Duration kExpiryMargin = std::chrono::seconds(30);
constexpr Duration kReclaimInterval = std::chrono::seconds(1);
/// Writes, and likewise reads, that may wait for the disk; further requests are dropped, and their
/// senders repeat them.
constexpr std::size_t kMaxPending = 1024;
/// Maximum number of turns that a list names.
constexpr std::size_t kMaxListedTurns = 256;
/// Maximum size of the stored turns in one answer to another replica.
constexpr std::uint64_t kMaxCopyBytes = 256 * 1024;
/// A segment is rewritten when less than this fraction of it is still needed.
constexpr std::uint64_t kRewriteDivisor = 4;

auto appendContent(std::vector<std::uint8_t> &content, const fb::TurnT &turn) -> void
{
    content.insert(content.end(), turn.input.begin(), turn.input.end());
    content.insert(content.end(), turn.output.begin(), turn.output.end());
}

} // namespace

HistoryReplica::HistoryReplica(ReplicaSettings settings, const RecoveredTurns &recovered,
                               telemetry::EventLog &log, telemetry::Metrics &metrics, TimePoint now)
    : m_settings(std::move(settings))
    , m_log(log)
    , m_metrics(metrics)
    , m_repair(m_settings.self, m_settings.instance, m_settings.boot)
    , m_isComplete(recovered.isComplete)
    , m_currentSegment(recovered.currentSegment)
    , m_nextReclaim(now + kReclaimInterval)
{
    for (const auto &turn : recovered.turns)
        m_index.insert(turn.key, turn.previous, turn.location, turn.digest,
                       turn.storedAt + turn.retention + kExpiryMargin);
}

auto HistoryReplica::setReplicas(TimePoint now, const ReplicaSet &set) -> void
{
    if (set.version <= m_set.version)
        return;
    const auto isSame = set.digest() == m_set.digest();
    m_set = set;
    if (isSame)
        return;
    m_log.add(now, LogImportance::Important, "history", "replicas_changed",
              {{"version", set.version},
               {"members", set.members.size()},
               {"copies", set.copies},
               {"member", isMember() ? 1 : 0},
               {"complete", m_isComplete ? 1 : 0}});
    m_repair.setReplicas(now, set);
    // A replica outside the set receives no turns.
    if (!isMember() && m_isComplete)
        setComplete(now, false, "not a member");
}

auto HistoryReplica::isMember() const -> bool
{
    return m_set.find(m_settings.self) != nullptr;
}

auto HistoryReplica::holds(const TurnKey &key) const -> bool
{
    return m_index.find(key) != nullptr;
}

auto HistoryReplica::wallTime(TimePoint now) const -> WallTime
{
    return WallTime(now.time_since_epoch() + m_settings.wallOffset);
}

auto HistoryReplica::receive(TimePoint now, const InstanceId &from, Message message) -> void
{
    std::visit([&](auto &body) { handle(now, from, body); }, message);
}

auto HistoryReplica::handle(TimePoint now, const InstanceId &from, fb::StoreTurnT &message) -> void
{
    if (!message.turn || message.set != m_set.digest() || !isMember())
        return answerStore(from, message.request, StoreOutcome::OtherSet);
    const auto key = fromTable(message.turn->key);
    const auto digest = contentDigest(*message.turn);
    if (const auto *entry = m_index.find(key)) {
        const auto isSame = entry->digest == digest;
        if (!isSame)
            m_log.add(now, LogImportance::Important, "history", "conflict",
                      {{"customer", key.customer.value}, {"turn", key.turn.value}});
        return answerStore(from, message.request,
                           isSame ? StoreOutcome::Durable : StoreOutcome::Conflict);
    }
    if (const auto pending = m_pendingByKey.find(key); pending != m_pendingByKey.end()) {
        auto &turn = m_pendingTurns.at(pending->second);
        if (turn.digest != digest)
            return answerStore(from, message.request, StoreOutcome::Conflict);
        turn.waiting.emplace_back(from, message.request);
        return;
    }
    if (m_pendingTurns.size() >= kMaxPending) {
        m_log.add(now, LogImportance::Important, "history", "write_dropped",
                  {{"customer", key.customer.value},
                   {"turn", key.turn.value},
                   {"pending", m_pendingTurns.size()}});
        return;
    }
    message.turn->storedAt = wallTime(now).time_since_epoch().count();
    store(*message.turn).waiting.emplace_back(from, message.request);
}

auto HistoryReplica::store(const fb::TurnT &turn) -> PendingTurn &
{
    const auto number = ++m_lastStep;
    auto &pending = m_pendingTurns[number];
    pending.key = fromTable(turn.key);
    pending.previous = TurnId(turn.previous);
    pending.digest = contentDigest(turn);
    pending.expiresAt =
        WallTime(Duration(turn.storedAt)) + Duration(turn.retention) + kExpiryMargin;
    m_pendingByKey[pending.key] = number;
    m_output.steps.emplace_back(AppendTurn{number, encodeTurn(turn)});
    return pending;
}

auto HistoryReplica::diskDone(TimePoint now, DiskEvent event) -> void
{
    if (const auto *durable = std::get_if<TurnDurable>(&event))
        turnDurable(now, *durable);
    else if (const auto *failed = std::get_if<MoveFailed>(&event))
        moveFailed(now, *failed);
    else
        turnsRead(now, std::get<TurnsRead>(event));
}

auto HistoryReplica::turnDurable(TimePoint now, const TurnDurable &event) -> void
{
    const auto found = m_pendingTurns.find(event.number);
    if (found == m_pendingTurns.end())
        return;
    const auto turn = std::move(found->second);
    m_pendingTurns.erase(found);
    m_currentSegment = std::max(m_currentSegment, event.location.segment);
    m_pendingByKey.erase(turn.key);
    if (turn.isMove && !holds(turn.key))
        return; // It expired while it was moved.
    m_index.insert(turn.key, turn.previous, event.location, turn.digest, turn.expiresAt);
    for (const auto &[to, request] : turn.waiting)
        answerStore(to, request, StoreOutcome::Durable);
    m_metrics.count("heathergate_history_writes_total", {{"kind", turn.isMove ? "moved" : "new"}});
    m_repair.stored(now, turn.key);
    updateCompleteness(now);
}

auto HistoryReplica::moveFailed(TimePoint now, const MoveFailed &event) -> void
{
    const auto found = m_pendingTurns.find(event.number);
    if (found == m_pendingTurns.end())
        return;
    const auto key = found->second.key;
    m_pendingTurns.erase(found);
    m_pendingByKey.erase(key);
    m_index.remove(key);
    setComplete(now, false, "a stored turn is damaged");
    m_repair.restart(now);
}

auto HistoryReplica::handle(TimePoint now, const InstanceId &from, fb::ReadChainT &message) -> void
{
    if (message.set != m_set.digest() || !isMember())
        return answerRead(from, message.request, ReadOutcome::OtherSet);
    const auto key = fromTable(message.key);
    if (!holds(key))
        return answerRead(from, message.request,
                          m_isComplete ? ReadOutcome::Absent : ReadOutcome::Unsure);
    auto locations = m_index.chain(key);
    if (!locations || m_pendingReads.size() >= kMaxPending) {
        m_log.add(now, LogImportance::Important, "history",
                  locations ? "read_dropped" : "chain_broken",
                  {{"customer", key.customer.value},
                   {"turn", key.turn.value},
                   {"pending", m_pendingReads.size()}});
        return answerRead(from, message.request, ReadOutcome::Unsure);
    }
    const auto number = ++m_lastStep;
    m_pendingReads[number] = {from, message.request, {key}, {}};
    m_output.steps.emplace_back(ReadTurns{number, std::move(*locations)});
}

auto HistoryReplica::handle(TimePoint, const InstanceId &from, fb::ListTurnsT &message) -> void
{
    fb::TurnListT list;
    list.replica = m_settings.self.value;
    list.set = m_set.digest();
    list.boot = m_settings.boot;
    list.head = m_index.lastPosition();
    list.complete = m_isComplete;
    const auto after = message.boot == m_settings.boot ? message.after : 0;
    list.next = list.head;
    const auto keys = m_index.after(after, kMaxListedTurns);
    if (keys.size() == kMaxListedTurns)
        list.next = keys.back().first;
    for (const auto &[position, key] : keys)
        list.keys.push_back(toTable(key));
    m_output.messages.push_back({from, std::move(list)});
}

auto HistoryReplica::handle(TimePoint now, const InstanceId &, fb::TurnListT &message) -> void
{
    m_repair.listed(now, message, [this](const TurnKey &key) { return holds(key); });
    updateCompleteness(now);
}

auto HistoryReplica::handle(TimePoint, const InstanceId &from, fb::FetchTurnsT &message) -> void
{
    if (m_pendingReads.size() >= kMaxPending)
        return; // The other replica repeats its request.
    PendingRead read;
    read.from = from;
    std::vector<Location> locations;
    std::uint64_t bytes = 0;
    for (const auto &table : message.keys) {
        const auto key = fromTable(table);
        const auto *entry = m_index.find(key);
        if (entry == nullptr) {
            read.missing.push_back(key);
            continue;
        }
        bytes += entry->location.bytes;
        if (!locations.empty() && bytes > kMaxCopyBytes)
            break;
        read.keys.push_back(key);
        locations.push_back(entry->location);
    }
    const auto number = ++m_lastStep;
    m_pendingReads[number] = std::move(read);
    m_output.steps.emplace_back(ReadTurns{number, std::move(locations)});
}

auto HistoryReplica::turnsRead(TimePoint now, const TurnsRead &event) -> void
{
    const auto found = m_pendingReads.find(event.number);
    if (found == m_pendingReads.end())
        return;
    const auto read = std::move(found->second);
    m_pendingReads.erase(found);
    if (!event.turns)
        return readFailed(now, read, event.turns.error());
    if (read.request != 0)
        sendChain(read, *event.turns);
    else
        sendCopies(read, *event.turns);
}

auto HistoryReplica::sendChain(const PendingRead &read, const std::vector<std::string> &turns)
    -> void
{
    fb::ChainReadT reply;
    reply.request = read.request;
    reply.replica = m_settings.self.value;
    reply.outcome = static_cast<std::uint8_t>(ReadOutcome::Found);
    for (const auto &bytes : turns) {
        const auto turn = decodeTurn(bytes);
        if (!turn)
            return answerRead(read.from, read.request, ReadOutcome::Unsure);
        appendContent(reply.content, *turn);
    }
    m_metrics.count("heathergate_history_reads_total", {{"outcome", "found"}});
    m_output.messages.push_back({read.from, std::move(reply)});
}

auto HistoryReplica::sendCopies(const PendingRead &read, const std::vector<std::string> &turns)
    -> void
{
    fb::FetchedTurnsT reply;
    reply.replica = m_settings.self.value;
    for (const auto &bytes : turns) {
        if (auto turn = decodeTurn(bytes))
            reply.turns.push_back(std::make_unique<fb::TurnT>(std::move(*turn)));
    }
    for (const auto &key : read.missing)
        reply.missing.push_back(toTable(key));
    m_metrics.count("heathergate_history_copied_turns_total", {},
                    static_cast<double>(reply.turns.size()));
    m_output.messages.push_back({read.from, std::move(reply)});
}

/// A damaged turn is forgotten, so that it is copied from another replica.
auto HistoryReplica::readFailed(TimePoint now, const PendingRead &read, const Error &error) -> void
{
    m_log.add(now, LogImportance::Important, "history", "read_failed",
              {{"detail", error.detail},
               {"turns", read.keys.size()},
               {"turn", read.keys.empty() ? std::string() : read.keys.front().turn.value}});
    if (error.code == Code::DataDamaged) {
        for (const auto &key : read.keys)
            m_index.remove(key);
        setComplete(now, false, "a stored turn is damaged");
        m_repair.restart(now);
    }
    if (read.request != 0)
        answerRead(read.from, read.request, ReadOutcome::Unsure);
}

auto HistoryReplica::handle(TimePoint now, const InstanceId &, fb::FetchedTurnsT &message) -> void
{
    m_repair.fetched(now, message);
    for (auto &turn : message.turns) {
        const auto key = fromTable(turn->key);
        if (!holds(key) && !m_pendingByKey.contains(key))
            store(*turn);
    }
    updateCompleteness(now);
}

auto HistoryReplica::answerStore(const InstanceId &to, std::uint64_t request, StoreOutcome outcome)
    -> void
{
    fb::TurnStoredT reply;
    reply.request = request;
    reply.replica = m_settings.self.value;
    reply.outcome = static_cast<std::uint8_t>(outcome);
    m_output.messages.push_back({to, std::move(reply)});
}

auto HistoryReplica::answerRead(const InstanceId &to, std::uint64_t request, ReadOutcome outcome)
    -> void
{
    m_metrics.count("heathergate_history_reads_total",
                    {{"outcome", outcome == ReadOutcome::Absent   ? "absent"
                                 : outcome == ReadOutcome::Unsure ? "unsure"
                                                                  : "other_set"}});
    fb::ChainReadT reply;
    reply.request = request;
    reply.replica = m_settings.self.value;
    reply.outcome = static_cast<std::uint8_t>(outcome);
    m_output.messages.push_back({to, std::move(reply)});
}

auto HistoryReplica::updateCompleteness(TimePoint now) -> void
{
    if (m_isComplete || !isMember() || m_repair.completeSources() < m_set.sourcesForCompleteness())
        return;
    setComplete(now, true, "copied from the other replicas");
}

auto HistoryReplica::setComplete(TimePoint now, bool isComplete, std::string_view why) -> void
{
    if (std::exchange(m_isComplete, isComplete) == isComplete)
        return;
    m_log.add(now, LogImportance::Important, "history", isComplete ? "complete" : "incomplete",
              {{"why", why}, {"version", m_set.version}, {"turns", m_index.size()}});
    m_output.steps.emplace_back(StoreCompleteness{isComplete});
}

auto HistoryReplica::tick(TimePoint now) -> void
{
    for (auto &out : m_repair.tick(now))
        m_output.messages.push_back(std::move(out));
    if (now >= m_nextReclaim)
        reclaim(now);
}

auto HistoryReplica::nextDeadline() const -> TimePoint
{
    return std::min(m_repair.nextDeadline(), m_nextReclaim);
}

/// Removes expired turns and the segments that hold none any more, and rewrites at most one segment
/// of which little is needed.
auto HistoryReplica::reclaim(TimePoint now) -> void
{
    m_nextReclaim = now + kReclaimInterval;
    m_metrics.set("heathergate_history_turns", {}, static_cast<double>(m_index.size()));
    m_index.removeExpired(wallTime(now));
    bool isRewriting = !m_pendingTurns.empty();
    std::vector<std::uint64_t> empty;
    for (const auto &[segment, bytes] : m_index.segments()) {
        if (segment >= m_currentSegment)
            continue;
        if (bytes == 0) {
            empty.push_back(segment);
        } else if (bytes < kSegmentBytes / kRewriteDivisor && !std::exchange(isRewriting, true)) {
            for (const auto &key : m_index.keysIn(segment)) {
                const auto *entry = m_index.find(key);
                const auto number = ++m_lastStep;
                m_pendingTurns[number] = {
                    key, entry->previous, entry->digest, entry->expiresAt, true, {}};
                m_pendingByKey[key] = number;
                m_output.steps.emplace_back(MoveTurn{number, entry->location});
            }
        }
    }
    for (const auto segment : empty) {
        m_index.forgetSegment(segment);
        m_output.steps.emplace_back(RemoveSegment{segment});
    }
}

} // namespace heathergate::history
