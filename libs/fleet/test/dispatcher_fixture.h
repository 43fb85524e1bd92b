#pragma once

#include <boost/test/unit_test.hpp>
#include <heathergate/fleet/dispatcher.h>

/// A dispatcher with upstreams of two services, for tests.
namespace heathergate::fleet::test {

using namespace std::chrono_literals;

inline const ServiceId kEngines("engines");
inline const ServiceId kTools("tools");

struct DispatcherFixture
{
    TimePoint now{1h};
    Dispatcher dispatcher;
    std::map<UpstreamId, UpstreamRecord> records;
    ActiveConfiguration configuration{makeConfiguration()};
    RequestId lastId = 0;

    static auto makeConfiguration() -> Configuration
    {
        Configuration result;
        result.version = 1;
        result.services.push_back({kEngines, 100, EngineLimits{100'000, 11}});
        result.services.push_back({kTools, 100, std::nullopt});
        return result;
    }

    auto add(const std::string &name, const ServiceId &service, int slots,
             const std::string &domain = "a") -> void
    {
        UpstreamRecord record;
        record.id = UpstreamId(name);
        record.service = service;
        record.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + records.size())};
        record.domain = FailureDomainId(domain);
        record.slots = slots;
        record.startedAt = std::chrono::milliseconds(1);
        records[record.id] = record;
        dispatcher.setUpstreams(now, records, configuration);
    }

    auto setVersion(const std::string &name, const std::string &version) -> void
    {
        records[UpstreamId(name)].softwareVersion = version;
        dispatcher.setUpstreams(now, records, configuration);
    }

    auto setPhase(const std::string &name, UpstreamPhase phase) -> void
    {
        records[UpstreamId(name)].phase = phase;
        dispatcher.setUpstreams(now, records, configuration);
    }

    auto work(const ServiceId &service, int rank = 0) -> Work
    {
        Work result;
        result.id = ++lastId;
        result.gateway = InstanceId("g");
        result.service = service;
        result.domain = FailureDomainId("a");
        result.rank = rank;
        result.deadline = now + 3s;
        result.startBy = now + 2s;
        result.fingerprint = lastId;
        return result;
    }

    /// Returns a request that resumes a stream of a software version.
    auto resumedWork(const std::string &version) -> Work
    {
        auto result = work(kEngines);
        result.origin = {StreamOrigin::Kind::One, version};
        return result;
    }

    auto submit(Work item) -> RequestId
    {
        const auto id = item.id;
        dispatcher.submit(now, std::move(item));
        return id;
    }

    auto placedAt() -> std::vector<std::string>
    {
        std::vector<std::string> names;
        for (const auto &placement : dispatcher.takePlacements())
            names.push_back(placement.upstream.value);
        return names;
    }

    auto placedIds() -> std::vector<RequestId>
    {
        std::vector<RequestId> ids;
        for (const auto &placement : dispatcher.takePlacements())
            ids.push_back(placement.request);
        return ids;
    }
};

} // namespace heathergate::fleet::test
