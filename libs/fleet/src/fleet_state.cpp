#include <heathergate/fleet/fleet_state.h>

namespace heathergate::fleet {

namespace {

/// Failure domains of former evacuations that are remembered.
constexpr std::size_t kMaxEvacuatedBefore = 64;
constexpr std::chrono::microseconds kSweepInterval = std::chrono::seconds(5);
/// Minimum time for which a budget is retained after its last use.
constexpr std::chrono::microseconds kMinRetention = std::chrono::seconds(60);
/// Resolution of recorded usage: a customer's uses within this span share one entry.
constexpr std::chrono::microseconds kUsageBucket = std::chrono::milliseconds(50);
/// Time for which recorded requests are remembered, so that one which its gateway submits again to
/// the next leader is not counted twice.
constexpr std::chrono::microseconds kRecordedRequestRetention = std::chrono::seconds(5);
/// Time after its last failure for which the failures of a request are retained.
constexpr std::chrono::microseconds kFailureRetention = std::chrono::seconds(120);
/// Maximum number of requests whose failures are retained.
constexpr std::size_t kMaxFailedRequests = 16'384;
/// Number of a caller's attempts at a stream, each as long as its route permits, for which the
/// origin of the stream is remembered.
constexpr int kStreamAttempts = 4;
/// Time for which a removed upstream's record is retained, so that its late heartbeats are ignored.
constexpr std::chrono::microseconds kRemovedRetention = std::chrono::seconds(60);

} // namespace

auto ProgramBudget::reserved() const -> std::int64_t
{
    std::int64_t sum = 0;
    for (const auto &[request, maxTokens] : outstanding)
        sum += maxTokens;
    return sum;
}

auto toTable(const UpstreamRecord &record) -> fb::UpstreamT
{
    fb::UpstreamT table;
    table.id = record.id.value;
    table.service = record.service.value;
    table.address = record.address.text();
    table.domain = record.domain.value;
    table.slots = record.slots;
    table.phase = static_cast<std::uint8_t>(record.phase);
    table.born = record.startedAt.count();
    table.sequence = record.sequence;
    table.softwareVersion = record.softwareVersion;
    return table;
}

auto fromTable(const fb::UpstreamT &table) -> UpstreamRecord
{
    UpstreamRecord record;
    record.id = UpstreamId(table.id);
    record.service = ServiceId(table.service);
    if (const auto address = parseEndpoint(table.address))
        record.address = *address;
    record.domain = FailureDomainId(table.domain);
    record.slots = table.slots;
    record.phase = static_cast<UpstreamPhase>(table.phase);
    record.startedAt = std::chrono::milliseconds(table.born);
    record.sequence = table.sequence;
    record.softwareVersion = table.softwareVersion;
    return record;
}

auto FleetState::apply(GroupTime now, const fb::CommandBatchT &batch) -> AppliedBatch
{
    AppliedBatch applied;
    for (const auto &command : batch.commands) {
        if (command->reserve)
            applied.reservations.push_back(
                {command->reserve->request, reserve(now, *command->reserve)});
        if (command->settle)
            settle(now, *command->settle);
        if (command->configuration) {
            if (const auto set = setConfiguration(*command->configuration); !set)
                applied.configurationError = set.error();
        }
        if (command->upstream && command->upstream->upstream)
            setUpstream(now, *command->upstream->upstream);
        if (command->stream)
            m_streams.record(now, command->stream->stream, ServiceId(command->stream->service),
                             command->stream->softwareVersion);
        if (command->failures)
            recordFailures(now, *command->failures);
        if (command->evacuation)
            setEvacuation(*command->evacuation);
        if (command->retiring && command->retiring->retiring)
            m_retiring.insert(InstanceId(command->retiring->instance));
        else if (command->retiring)
            m_retiring.erase(InstanceId(command->retiring->instance));
    }
    for (const auto &used : batch.used)
        recordUsage(now, *used);
    removeExpired(now);
    return applied;
}

auto FleetState::setEvacuation(const fb::SetEvacuationT &command) -> void
{
    const FailureDomainId domain(command.domain);
    if (command.evacuated)
        m_evacuated.insert(domain);
    else
        m_evacuated.erase(domain);
    if (m_evacuatedBefore.size() < kMaxEvacuatedBefore)
        m_evacuatedBefore.insert(domain);
}

auto FleetState::recordFailures(GroupTime now, const fb::RecordFailuresT &command) -> void
{
    if (command.failures == 0)
        m_failedRequests.erase(command.fingerprint);
    else if (m_failedRequests.size() < kMaxFailedRequests
             || m_failedRequests.contains(command.fingerprint))
        m_failedRequests[command.fingerprint] = {command.failures, now};
}

auto FleetState::recordUsage(GroupTime now, const fb::CustomerUseT &used) -> void
{
    while (!m_recordedRequests.empty()
           && now - m_recordedRequests.front().at > kRecordedRequestRetention)
        m_recordedRequests.pop_front();
    for (const auto request : used.requests)
        m_recordedRequests.push_back({request, now});
    auto &uses = m_usage[CustomerId(used.customer)];
    while (!uses.empty() && now - uses.front().at > kUsageRetention)
        uses.pop_front();
    if (!uses.empty() && now - uses.back().at < kUsageBucket)
        uses.back().count += used.count;
    else
        uses.push_back({now, used.count});
}

auto FleetState::reserve(GroupTime now, const fb::ReserveT &command) -> bool
{
    auto &program = m_budgets[command.program];
    program.usedAt = now;
    if (program.outstanding.contains(command.request))
        return true;
    if (program.spent + program.reserved() + command.most > command.budget)
        return false;
    program.outstanding.emplace(command.request, command.most);
    return true;
}

auto FleetState::hasStarted(const ProgramKey &program, RequestId request) const -> bool
{
    const auto found = m_budgets.find(program);
    if (found == m_budgets.end())
        return false;
    const auto &outstanding = found->second.outstanding;
    return found->second.spent > 0 || outstanding.size() > outstanding.count(request);
}

auto FleetState::settle(GroupTime now, const fb::SettleT &command) -> void
{
    const auto program = m_budgets.find(command.program);
    if (program == m_budgets.end())
        return;
    const auto reservation = program->second.outstanding.find(command.request);
    if (reservation == program->second.outstanding.end())
        return;
    program->second.spent += command.used;
    program->second.outstanding.erase(reservation);
    program->second.usedAt = now;
}

auto FleetState::commandFor(const Configuration &configuration, const std::string &document) const
    -> fb::SetConfigurationT
{
    fb::SetConfigurationT command;
    command.version = configuration.version;
    command.base = m_configuration.version();
    command.change = toBytes(compress(encodeChange(difference(m_configuration, configuration))));
    command.documentPatch = toBytes(compress(document, m_document));
    return command;
}

auto FleetState::setConfiguration(const fb::SetConfigurationT &command) -> Result<void>
{
    if (command.version <= m_configuration.version())
        return {};
    if (!command.content.empty()) {
        return decode<Configuration>(toText(command.content)).and_then([&](const auto &item) {
            return activate(difference(m_configuration, item), toText(command.document));
        });
    }
    if (command.base != m_configuration.version())
        return fail(Code::OutOfOrder, "the command has the base " + std::to_string(command.base));
    auto document = decompress(toText(command.documentPatch), kMaxDocumentBytes, m_document);
    if (!document)
        return tl::unexpected(document.error());
    return decompress(toText(command.change), kMaxConfigurationBytes)
        .and_then(decodeChange)
        .and_then([&](const ConfigurationChange &change) {
            return activate(change, std::move(*document));
        });
}

auto FleetState::activate(const ConfigurationChange &change, std::string document) -> Result<void>
{
    if (auto applied = m_configuration.apply(change); !applied)
        return applied;
    m_history.record(change);
    m_document = std::move(document);
    m_retention = kMinRetention;
    GroupTime longestRequest{};
    for (const auto &route : m_configuration.all().routes) {
        m_retention = std::max<std::chrono::microseconds>(m_retention, 2 * route.retention);
        longestRequest = std::max<GroupTime>(longestRequest,
                                             std::chrono::duration_cast<GroupTime>(route.timeout));
    }
    m_streams.setRetention(kStreamAttempts * longestRequest);
    return {};
}

auto FleetState::setUpstream(GroupTime now, const fb::UpstreamT &upstream) -> void
{
    auto record = fromTable(upstream);
    record.changedAt = now;
    const auto service = record.service;
    auto &known = m_upstreams[record.id];
    const auto formerService = std::exchange(known, std::move(record)).service;
    ++m_upstreamChanges;
    updateServingVersions(now, service);
    if (!formerService.empty() && formerService != service)
        updateServingVersions(now, formerService);
}

auto FleetState::updateServingVersions(GroupTime now, const ServiceId &service) -> void
{
    std::set<std::string> versions;
    for (const auto &[id, record] : m_upstreams) {
        if (record.service == service && record.phase != UpstreamPhase::Removed
            && !record.softwareVersion.empty())
            versions.insert(record.softwareVersion);
    }
    m_streams.setServing(now, service, versions);
}

auto FleetState::removeExpired(GroupTime now) -> void
{
    if (now - m_lastSweep < kSweepInterval)
        return;
    m_lastSweep = now;
    const auto retention = std::max(m_retention, kMinRetention);
    std::erase_if(m_budgets,
                  [&](const auto &item) { return now - item.second.usedAt > retention; });
    std::erase_if(m_usage,
                  [&](const auto &item) { return now - item.second.back().at > kUsageRetention; });
    std::erase_if(m_failedRequests,
                  [&](const auto &item) { return now - item.second.at > kFailureRetention; });
    std::erase_if(m_upstreams, [&](const auto &item) {
        return item.second.phase == UpstreamPhase::Removed
               && now - item.second.changedAt > kRemovedRetention;
    });
}

auto FleetState::snapshot() const -> std::string
{
    fb::StateSnapshotT table;
    table.sweptAt = m_lastSweep.count();
    if (m_configuration.version() != 0) {
        table.configuration = std::make_unique<fb::SetConfigurationT>(
            FleetState().commandFor(m_configuration.all(), m_document));
    }
    for (const auto &[id, record] : m_upstreams) {
        table.upstreams.push_back(std::make_unique<fb::UpstreamT>(toTable(record)));
        table.goneAt.push_back(record.changedAt.count());
    }
    for (const auto &[key, program] : m_budgets) {
        auto budget = std::make_unique<fb::ProgramBudgetT>();
        budget->program = key;
        budget->spent = program.spent;
        budget->usedAt = program.usedAt.count();
        for (const auto &[request, maxTokens] : program.outstanding) {
            auto outstanding = std::make_unique<fb::OutstandingT>();
            outstanding->request = request;
            outstanding->most = maxTokens;
            budget->outstanding.push_back(std::move(outstanding));
        }
        table.budgets.push_back(std::move(budget));
    }
    for (const auto &instance : m_retiring)
        table.retiring.push_back(instance.value);
    for (const auto &domain : m_evacuated)
        table.evacuated.push_back(domain.value);
    for (const auto &domain : m_evacuatedBefore)
        table.evacuatedBefore.push_back(domain.value);
    for (const auto &[customer, uses] : m_usage) {
        auto usage = std::make_unique<fb::CustomerUsageT>();
        usage->customer = customer.value;
        for (const auto &use : uses) {
            usage->at.push_back(use.at.count());
            usage->count.push_back(use.count);
        }
        table.usage.push_back(std::move(usage));
    }
    for (const auto &[fingerprint, failed] : m_failedRequests)
        table.failedRequests.emplace_back(fingerprint, failed.at.count(), failed.failures);
    for (const auto &recorded : m_recordedRequests)
        table.recordedRequests.emplace_back(recorded.request, recorded.at.count());
    table.streams = std::make_unique<fb::StreamOriginsT>(m_streams.snapshot());
    return pack(table);
}

auto FleetState::restore(std::string_view bytes) -> Result<void>
{
    const auto table = unpack<fb::StateSnapshotT>(bytes);
    if (!table)
        return tl::unexpected(table.error());
    *this = FleetState();
    m_lastSweep = GroupTime(table->sweptAt);
    if (table->configuration) {
        if (auto set = setConfiguration(*table->configuration); !set)
            return set;
    }
    for (std::size_t i = 0; i < table->upstreams.size(); ++i) {
        auto record = fromTable(*table->upstreams[i]);
        record.changedAt = GroupTime(i < table->goneAt.size() ? table->goneAt[i] : 0);
        m_upstreams[record.id] = std::move(record);
    }
    ++m_upstreamChanges;
    for (const auto &budget : table->budgets) {
        auto &program = m_budgets[budget->program];
        program.spent = budget->spent;
        program.usedAt = GroupTime(budget->usedAt);
        for (const auto &outstanding : budget->outstanding)
            program.outstanding.emplace(outstanding->request, outstanding->most);
    }
    for (const auto &instance : table->retiring)
        m_retiring.insert(InstanceId(instance));
    for (const auto &domain : table->evacuated)
        m_evacuated.insert(FailureDomainId(domain));
    for (const auto &domain : table->evacuatedBefore)
        m_evacuatedBefore.insert(FailureDomainId(domain));
    for (const auto &usage : table->usage) {
        auto &uses = m_usage[CustomerId(usage->customer)];
        for (std::size_t i = 0; i < usage->at.size() && i < usage->count.size(); ++i)
            uses.push_back({GroupTime(usage->at[i]), usage->count[i]});
        if (uses.empty())
            m_usage.erase(CustomerId(usage->customer));
    }
    for (const auto &failed : table->failedRequests)
        m_failedRequests[failed.fingerprint()] = {failed.failures(), GroupTime(failed.at())};
    for (const auto &recorded : table->recordedRequests)
        m_recordedRequests.push_back({recorded.request(), GroupTime(recorded.at())});
    if (table->streams)
        m_streams.restore(*table->streams);
    return {};
}

} // namespace heathergate::fleet
