#include <heathergate/fleet/stream_origins.h>

#include <algorithm>

namespace heathergate::fleet {

namespace {

/// Marks a time that is not set in a snapshot.
constexpr std::int64_t kNoTime = -1;

auto timeOf(std::int64_t count) -> std::optional<GroupTime>
{
    return count < 0 ? std::nullopt : std::optional(GroupTime(count));
}

auto countOf(const std::optional<GroupTime> &time) -> std::int64_t
{
    return time ? time->count() : kNoTime;
}

} // namespace

auto streamIdOf(const CustomerId &customer, std::string_view firstAttempt) -> StreamId
{
    if (firstAttempt.empty())
        return 0;
    const auto id = hash64(firstAttempt, hash64(customer.value));
    return id == 0 ? 1 : id;
}

auto originText(StreamOrigin::Kind kind) -> std::string_view
{
    switch (kind) {
    case StreamOrigin::Kind::Any:
        return "any";
    case StreamOrigin::Kind::One:
        return "one";
    case StreamOrigin::Kind::Unknown:
        return "unknown";
    }
    return "unknown";
}

auto StreamOrigins::isRemembered(GroupTime now, GroupTime servedUntil) const -> bool
{
    return servedUntil == kServing || now - servedUntil <= m_retention;
}

auto StreamOrigins::isMixed(GroupTime now, const ServiceVersions &service) const -> bool
{
    const auto remembered =
        std::count_if(service.servedUntil.begin(), service.servedUntil.end(),
                      [&](const auto &version) { return isRemembered(now, version.second); });
    return remembered > 1;
}

auto StreamOrigins::isRecording(GroupTime now) const -> bool
{
    return std::any_of(m_services.begin(), m_services.end(),
                       [&](const auto &service) { return isMixed(now, service.second); });
}

auto StreamOrigins::setServing(GroupTime now, const ServiceId &id,
                               const std::set<std::string> &versions) -> void
{
    removeExpired(now);
    auto &service = m_services[id];
    const auto wasMixed = isMixed(now, service);
    const auto before = service.servedUntil.empty() ? "" : service.servedUntil.begin()->first;
    for (auto &[version, servedUntil] : service.servedUntil) {
        if (servedUntil == kServing && !versions.contains(version))
            servedUntil = now;
    }
    for (const auto &version : versions)
        service.servedUntil[version] = kServing;
    if (!wasMixed && isMixed(now, service))
        service.beforeMixing = before;
    if (!m_recordingSince && isRecording(now))
        m_recordingSince = now;
}

auto StreamOrigins::positionOf(const ServiceId &service, const std::string &version)
    -> std::uint32_t
{
    const OriginVersion wanted{service, version};
    const auto found = std::find(m_versions.begin(), m_versions.end(), wanted);
    const auto position = static_cast<std::uint32_t>(found - m_versions.begin());
    if (found == m_versions.end())
        m_versions.push_back(wanted);
    return position;
}

auto StreamOrigins::record(GroupTime now, StreamId id, const ServiceId &service,
                           const std::string &version) -> void
{
    removeExpired(now);
    auto &stream = m_streams[id];
    stream.at = now;
    std::erase_if(stream.versions,
                  [&](std::uint32_t position) { return m_versions[position].service == service; });
    stream.versions.push_back(positionOf(service, version));
    m_byTime.emplace_back(now, id);
    while (m_streams.size() > kMaxStreams || m_byTime.size() > 2 * kMaxStreams) {
        const auto [at, oldest] = m_byTime.front();
        m_byTime.pop_front();
        const auto found = m_streams.find(oldest);
        if (found == m_streams.end() || found->second.at != at)
            continue; // It was recorded again later.
        m_droppedAt = at;
        m_streams.erase(found);
    }
}

auto StreamOrigins::removeExpired(GroupTime now) -> void
{
    while (!m_byTime.empty() && now - m_byTime.front().first > m_retention) {
        const auto [at, id] = m_byTime.front();
        m_byTime.pop_front();
        const auto found = m_streams.find(id);
        if (found != m_streams.end() && found->second.at == at)
            m_streams.erase(found);
    }
    for (auto &[id, service] : m_services)
        std::erase_if(service.servedUntil,
                      [&](const auto &version) { return !isRemembered(now, version.second); });
    std::erase_if(m_services, [](const auto &item) { return item.second.servedUntil.empty(); });
    if (m_recordingSince && !isRecording(now))
        m_recordingSince.reset();
    if (m_streams.empty())
        m_versions.clear();
}

auto StreamOrigins::isRecorded(StreamId id, const ServiceId &service,
                               const std::string &version) const -> bool
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return false;
    const auto &versions = found->second.versions;
    return std::any_of(versions.begin(), versions.end(), [&](std::uint32_t position) {
        return m_versions[position] == OriginVersion{service, version};
    });
}

auto StreamOrigins::originOf(GroupTime now, StreamId id, const ServiceId &serviceId) const
    -> StreamOrigin
{
    const auto service = m_services.find(serviceId);
    if (service == m_services.end())
        return {StreamOrigin::Kind::Any};
    if (!isMixed(now, service->second))
        return onlyVersionOf(now, service->second);
    if (id == 0 || isRecorded(id, serviceId, {}))
        return {StreamOrigin::Kind::Unknown};
    const auto found = m_streams.find(id);
    if (found != m_streams.end()) {
        for (const auto position : found->second.versions) {
            if (m_versions[position].service == serviceId)
                return {StreamOrigin::Kind::One, m_versions[position].version};
        }
    }
    // A stream without a record began before streams were recorded, if that is recent enough.
    const auto mayPrecedeRecords = m_recordingSince && now - *m_recordingSince <= m_retention
                                   && (!m_droppedAt || *m_droppedAt < *m_recordingSince);
    if (mayPrecedeRecords && !service->second.beforeMixing.empty())
        return {StreamOrigin::Kind::One, service->second.beforeMixing};
    if (found != m_streams.end() && !mayPrecedeRecords)
        return {StreamOrigin::Kind::Any}; // It has run only at other services.
    return {StreamOrigin::Kind::Unknown};
}

auto StreamOrigins::onlyVersionOf(GroupTime now, const ServiceVersions &service) const
    -> StreamOrigin
{
    for (const auto &[version, servedUntil] : service.servedUntil) {
        if (isRemembered(now, servedUntil))
            return {StreamOrigin::Kind::One, version, true};
    }
    return {StreamOrigin::Kind::Any};
}

auto StreamOrigins::snapshot() const -> fb::StreamOriginsT
{
    fb::StreamOriginsT table;
    table.recordingSince = countOf(m_recordingSince);
    table.droppedAt = countOf(m_droppedAt);
    for (const auto &[id, service] : m_services) {
        auto entry = std::make_unique<fb::ServiceVersionsT>();
        entry->service = id.value;
        entry->beforeMixing = service.beforeMixing;
        for (const auto &[version, servedUntil] : service.servedUntil) {
            auto served = std::make_unique<fb::ServedVersionT>();
            served->version = version;
            served->servedUntil = servedUntil == kServing ? kNoTime : servedUntil.count();
            entry->versions.push_back(std::move(served));
        }
        table.services.push_back(std::move(entry));
    }
    for (const auto &item : m_versions) {
        auto version = std::make_unique<fb::OriginVersionT>();
        version->service = item.service.value;
        version->version = item.version;
        table.versions.push_back(std::move(version));
    }
    for (const auto &[at, id] : m_byTime) {
        const auto found = m_streams.find(id);
        if (found == m_streams.end() || found->second.at != at)
            continue;
        for (const auto position : found->second.versions)
            table.streams.emplace_back(id, at.count(), position);
    }
    return table;
}

auto StreamOrigins::restore(const fb::StreamOriginsT &table) -> void
{
    const auto retention = m_retention;
    *this = StreamOrigins();
    m_retention = retention;
    m_recordingSince = timeOf(table.recordingSince);
    m_droppedAt = timeOf(table.droppedAt);
    for (const auto &entry : table.services) {
        auto &service = m_services[ServiceId(entry->service)];
        service.beforeMixing = entry->beforeMixing;
        for (const auto &served : entry->versions)
            service.servedUntil[served->version] = timeOf(served->servedUntil).value_or(kServing);
    }
    for (const auto &item : table.versions)
        m_versions.push_back({ServiceId(item->service), item->version});
    for (const auto &entry : table.streams) {
        if (entry.version() >= m_versions.size())
            continue;
        auto &stream = m_streams[entry.stream()];
        if (stream.versions.empty())
            m_byTime.emplace_back(GroupTime(entry.at()), entry.stream());
        stream.at = GroupTime(entry.at());
        stream.versions.push_back(entry.version());
    }
}

} // namespace heathergate::fleet
