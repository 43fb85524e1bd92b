#include <heathergate/control/control_state.h>

namespace heathergate::control {

namespace {

/// Number of edits whose outcomes are cached for resends. The oldest are discarded first.
constexpr std::size_t kMaxCachedEdits = 20'000;
/// The oldest orders are discarded first, whatever their state.
constexpr std::size_t kMaxRetainedOrders = 1'000;
/// Time after its last crash for which a suspect request is retained, unless it is poison.
constexpr Duration kSuspectTtl = std::chrono::minutes(10);

} // namespace

auto ControlState::apply(Revision revision, GroupTime time, const ControlCommand &command)
    -> ControlOutcome
{
    m_revision = revision;
    m_time = std::max(m_time, time);
    return std::visit(
        [this](const auto &item) {
            if constexpr (requires { item.editId; }) {
                if (const auto *cached = cachedOutcome(item.editId))
                    return *cached;
                auto outcome = applyOne(item);
                cacheOutcome(item.editId, outcome);
                return outcome;
            } else {
                return applyOne(item);
            }
        },
        command);
}

auto ControlState::row(const CustomerId &customer) const -> const TableRow *
{
    const auto found = m_rows.find(customer);
    return found == m_rows.end() ? nullptr : &found->second;
}

auto ControlState::key(const std::string &keyHash) const -> const KeyRecord *
{
    const auto found = m_keys.find(keyHash);
    return found == m_keys.end() ? nullptr : &found->second;
}

auto ControlState::isPoison(const std::string &fingerprint) const -> bool
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && found->second.crashes.size() >= kPoisonCrashes;
}

auto ControlState::isSuspect(const std::string &fingerprint) const -> bool
{
    return m_suspects.contains(fingerprint);
}

auto ControlState::applyOne(const EditRow &edit) -> ControlOutcome
{
    const auto *current = row(edit.customer);
    const auto currentRevision = current == nullptr ? 0 : current->revision;
    if (edit.expected != currentRevision) {
        auto outcome = refused(Code::RevisionConflict,
                               "the row has revision " + std::to_string(currentRevision));
        if (current != nullptr)
            outcome.row = *current;
        return outcome;
    }
    if (!edit.values) {
        m_rows.erase(edit.customer);
        return accepted();
    }
    if (const auto allowed = checkRow(*edit.values); !allowed)
        return refused(allowed.error().code, allowed.error().detail);
    auto outcome = accepted();
    outcome.row = TableRow{edit.customer, *edit.values, m_revision};
    m_rows[edit.customer] = *outcome.row;
    return outcome;
}

auto ControlState::applyOne(const IssueKey &issue) -> ControlOutcome
{
    if (m_keys.contains(issue.keyHash))
        return refused(Code::AlreadyExists, "the key exists");
    if (issue.owner == KeyOwner::Caller && !m_rows.contains(issue.holder))
        return refused(Code::UnknownCustomer, "no row for customer " + issue.holder.value);
    m_keys[issue.keyHash] = KeyRecord{issue.id, issue.owner, issue.holder, m_revision};
    return accepted();
}

auto ControlState::applyOne(const RevokeKey &revocation) -> ControlOutcome
{
    const auto removed =
        std::erase_if(m_keys, [&](const auto &item) { return item.second.id == revocation.id; });
    if (removed == 0)
        return refused(Code::UnknownKey, "no key " + revocation.id.value);
    return accepted();
}

auto ControlState::applyOne(const AnnounceUpstream &announce) -> ControlOutcome
{
    auto outcome = accepted();
    const auto found = m_upstreams.find(announce.offer.id);
    if (found != m_upstreams.end() && found->second.offer.bootId == announce.offer.bootId) {
        outcome.number = found->second.incarnation;
        return outcome;
    }
    std::erase_if(m_upstreams, [&](const auto &item) {
        return item.second.offer.address == announce.offer.address;
    });
    m_upstreams[announce.offer.id] = UpstreamRecord{announce.offer, m_revision, false};
    outcome.number = m_revision;
    return outcome;
}

auto ControlState::applyOne(const RemoveUpstream &removal) -> ControlOutcome
{
    const auto found = m_upstreams.find(removal.id);
    if (found == m_upstreams.end() || found->second.incarnation != removal.incarnation)
        return refused(Code::UnknownUpstream, "no such incarnation of " + removal.id.value);
    m_upstreams.erase(found);
    return accepted();
}

auto ControlState::applyOne(const DrainUpstream &drain) -> ControlOutcome
{
    const auto found = m_upstreams.find(drain.id);
    if (found == m_upstreams.end())
        return refused(Code::UnknownUpstream, "no upstream " + drain.id.value);
    found->second.draining = drain.draining;
    return accepted();
}

auto ControlState::applyOne(const JoinInstance &join) -> ControlOutcome
{
    auto outcome = accepted();
    auto &record = m_instances[join.offer.id];
    if (record.offer.bootId == join.offer.bootId && !record.failed && record.incarnation > 0) {
        outcome.number = record.incarnation;
        return outcome;
    }
    record = InstanceRecord{join.offer, m_revision, false, false};
    outcome.number = m_revision;
    return outcome;
}

auto ControlState::applyOne(const DrainInstance &drain) -> ControlOutcome
{
    const auto found = m_instances.find(drain.id);
    if (found == m_instances.end() || found->second.incarnation != drain.incarnation)
        return refused(Code::BadRequest, "no such incarnation of " + drain.id.value);
    found->second.draining = true;
    return accepted();
}

auto ControlState::applyOne(const RemoveInstance &removal) -> ControlOutcome
{
    const auto found = m_instances.find(removal.id);
    if (found == m_instances.end() || found->second.incarnation != removal.incarnation)
        return refused(Code::BadRequest, "no such incarnation of " + removal.id.value);
    if (removal.failed)
        found->second.failed = true;
    else
        m_instances.erase(found);
    return accepted();
}

auto ControlState::applyOne(const ClaimRole &claim) -> ControlOutcome
{
    auto &lease = m_roleLeases[claim.duty];
    const auto held = lease.expiresAt > m_time && !lease.holder.empty();
    if (held && lease.holder != claim.holder) {
        auto outcome = refused(Code::NotLeader, claim.duty + " is held by " + lease.holder.value);
        outcome.number = lease.fencing;
        return outcome;
    }
    // A holder whose lease expired gets a new fencing number, because another instance may have
    // held the lease in the meantime.
    if (!held)
        ++lease.fencing;
    lease.holder = claim.holder;
    lease.expiresAt = m_time + elapsedUpperBound(claim.ttl);
    auto outcome = accepted();
    outcome.number = lease.fencing;
    return outcome;
}

auto ControlState::applyOne(const IssueOrder &order) -> ControlOutcome
{
    if (!m_upstreams.contains(order.upstream))
        return refused(Code::UnknownUpstream, "no upstream " + order.upstream.value);
    auto outcome = accepted();
    outcome.number = m_revision;
    m_orders[m_revision] =
        OrderRecord{m_revision, order.upstream, order.action, order.argument, OrderState::Pending};
    while (m_orders.size() > kMaxRetainedOrders)
        m_orders.erase(m_orders.begin());
    return outcome;
}

auto ControlState::applyOne(const ResolveOrder &resolution) -> ControlOutcome
{
    const auto found = m_orders.find(resolution.number);
    if (found == m_orders.end() || found->second.state != OrderState::Pending)
        return refused(Code::BadRequest, "no pending order of this number");
    found->second.state = resolution.state;
    return accepted();
}

auto ControlState::applyOne(const ReportCrash &report) -> ControlOutcome
{
    // Suspects without further crashes expire, so that a request that was merely running when an
    // upstream crashed is not treated as a possible cause for long.
    std::erase_if(m_suspects, [this](const auto &item) {
        return item.second.crashes.size() < kPoisonCrashes
               && item.second.lastCrash + kSuspectTtl < m_time;
    });
    auto &suspect = m_suspects[report.fingerprint];
    suspect.crashes.insert(report.upstream.value + "#" + std::to_string(report.incarnation));
    suspect.lastCrash = m_time;
    auto outcome = accepted();
    outcome.number = suspect.crashes.size();
    return outcome;
}

auto ControlState::applyOne(const ClearSuspect &cleared) -> ControlOutcome
{
    if (!isPoison(cleared.fingerprint))
        m_suspects.erase(cleared.fingerprint);
    return accepted();
}

auto ControlState::applyOne(const StartReplacement &start) -> ControlOutcome
{
    if (!m_replacements.empty())
        return refused(Code::CallInProgress, "another replacement is under way");
    m_replacements.push_back(start.replacement);
    return accepted();
}

auto ControlState::applyOne(const EndReplacement &end) -> ControlOutcome
{
    std::erase_if(m_replacements,
                  [&](const auto &item) { return item.oldReplica == end.oldReplica; });
    return accepted();
}

auto ControlState::accepted() const -> ControlOutcome
{
    ControlOutcome outcome;
    outcome.revision = m_revision;
    return outcome;
}

auto ControlState::refused(Code code, std::string detail) const -> ControlOutcome
{
    ControlOutcome outcome;
    outcome.error = Error{code, std::move(detail), Ran::No, {}};
    return outcome;
}

auto ControlState::cachedOutcome(const std::string &editId) const -> const ControlOutcome *
{
    const auto found = m_outcomes.find(editId);
    return found == m_outcomes.end() ? nullptr : &found->second;
}

auto ControlState::cacheOutcome(const std::string &editId, const ControlOutcome &outcome) -> void
{
    m_edits.push_back({editId, outcome});
    m_outcomes[editId] = outcome;
    if (m_edits.size() <= kMaxCachedEdits)
        return;
    m_outcomes.erase(m_edits.front().editId);
    m_edits.pop_front();
}

auto to_json(nlohmann::json &json, const ControlState &state) -> void
{
    json = {{"revision", state.m_revision},   {"time", state.m_time},
            {"rows", state.m_rows},           {"keys", state.m_keys},
            {"upstreams", state.m_upstreams}, {"instances", state.m_instances},
            {"duties", state.m_roleLeases},   {"orders", state.m_orders},
            {"suspects", state.m_suspects},   {"replacements", state.m_replacements},
            {"edits", state.m_edits}};
}

auto from_json(const nlohmann::json &json, ControlState &state) -> void
{
    json.at("revision").get_to(state.m_revision);
    json.at("time").get_to(state.m_time);
    json.at("rows").get_to(state.m_rows);
    json.at("keys").get_to(state.m_keys);
    json.at("upstreams").get_to(state.m_upstreams);
    json.at("instances").get_to(state.m_instances);
    json.at("duties").get_to(state.m_roleLeases);
    json.at("orders").get_to(state.m_orders);
    json.at("suspects").get_to(state.m_suspects);
    json.at("replacements").get_to(state.m_replacements);
    json.at("edits").get_to(state.m_edits);
    state.m_outcomes.clear();
    for (const auto &edit : state.m_edits)
        state.m_outcomes[edit.editId] = edit.outcome;
}

} // namespace heathergate::control
