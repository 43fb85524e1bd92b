#include "run.h"

namespace heathergate::soak {

namespace {

constexpr const char *kEngines = "engines";
constexpr const char *kServices = "services";
constexpr int kDomainCount = 3;
constexpr Duration kFormationTime = std::chrono::seconds(4);
/// Time in which the fleet has to recover after the last fault.
constexpr Duration kRecoveryTime = std::chrono::seconds(12);
/// Period after the recovery in which the share of failed requests is checked.
constexpr Duration kFinalPeriod = std::chrono::seconds(4);
constexpr double kMaxFailureShare = 0.05;
constexpr Duration kMonitorInterval = std::chrono::milliseconds(50);
constexpr Duration kMemorySampleInterval = std::chrono::seconds(2);
constexpr std::uint64_t kFirstVersion = 3;

auto domainOf(int number) -> std::string
{
    return std::string(1, static_cast<char>('a' + number % kDomainCount));
}

auto route(const char *prefix, fleet::RouteKind kind, const char *service) -> fleet::Route
{
    fleet::Route result;
    result.name = prefix;
    result.host = Caller::kHost;
    result.pathPrefix = prefix;
    result.kind = kind;
    result.timeout = std::chrono::seconds(3);
    result.targetLatency = std::chrono::milliseconds(250);
    result.targetGap = std::chrono::milliseconds(150);
    result.maxAttempts = kind == fleet::RouteKind::Unsafe ? 1 : 2;
    result.isResumable = kind == fleet::RouteKind::Stream;
    result.keepsHistory = kind == fleet::RouteKind::Stream;
    result.retention = std::chrono::seconds(60);
    result.targets.push_back({fleet::ServiceId(service), 1});
    return result;
}

auto firstConfiguration() -> fleet::Configuration
{
    fleet::Configuration result;
    result.version = kFirstVersion;
    result.routes = {route(Caller::kTurnPrefix, fleet::RouteKind::Stream, kEngines),
                     route(Caller::kIdempotentPrefix, fleet::RouteKind::Safe, kServices),
                     route(Caller::kRunsOncePrefix, fleet::RouteKind::Unsafe, kServices)};
    result.services = {
        {fleet::ServiceId(kEngines), 100, fleet::EngineLimits{100'000, Upstream::kTokensPerEvent}},
        {fleet::ServiceId(kServices), 100, std::nullopt}};
    result.customers = {{CustomerId("small"), {"small-key-0"}, 0, 8, 8},
                        {CustomerId("free"), {"free-key-0"}, 0, 0, 0},
                        {CustomerId("large"), {"large-key-0"}, 1, 60, 60}};
    return result;
}

/// One run with its fleet, callers, upstreams and faults.
class Run
{
public:
    explicit Run(const RunSettings &settings)
        : m_settings(settings)
        , m_network(settings.network)
        , m_random(settings.seed)
        , m_observations(m_disturbances)
        , m_processes(settings.fleet, m_network)
    {
        for (int i = 0; i < settings.fleet.controls; ++i) {
            m_controls.push_back({m_network.control(i), Network::kControlPort});
            m_directories.push_back({m_network.control(i), Network::kDirectoryPort});
        }
        m_operator = std::make_unique<Operator>(m_loop, m_controls, m_observations, forkRandom());
        addProxies();
        addUpstreams();
        m_faultInjector = std::make_unique<FaultInjector>(
            m_loop,
            FaultTargets{m_processes, m_peerProxies, m_upstreams, *m_operator, m_disturbances},
            settings.fleet.faultTolerance, forkRandom());
        addCallers();
        for (const auto &customer : firstConfiguration().customers)
            m_observations.setRateLimit(customer.id.value,
                                        {customer.ratePerSecond, customer.burst});
    }

    auto execute() -> RunReport
    {
        m_loop.runUntil(m_loop.now());
        m_processes.startAll();
        monitorProcesses();
        for (const auto &upstream : m_upstreams)
            upstream->start();
        m_operator->start(firstConfiguration());
        for (const auto &caller : m_callers)
            caller->start();
        m_loop.runUntil(m_loop.now() + kFormationTime);
        const auto end = m_loop.now() + m_settings.faultDuration;
        m_faultInjector->start(end);
        m_loop.runUntil(end);
        m_faultInjector->stop();
        m_loop.runUntil(m_loop.now() + kRecoveryTime);
        checkRecovery();
        m_observations.finish();
        return {m_observations.violations(), m_observations.requests(),
                m_observations.answersByStatus(), m_faultInjector->injectedFaults(),
                m_residentBytes};
    }

private:
    auto forkRandom() -> Random
    {
        return Random(m_random.next());
    }

    auto addProxies() -> void
    {
        for (const auto role : {InstanceRole::Control, InstanceRole::Gateway}) {
            for (const auto &name : m_processes.instances(role)) {
                const auto host = m_processes.hostOf(name);
                auto proxy =
                    std::make_unique<FaultProxy>(m_loop, Endpoint{host, Network::kPeerProxyPort},
                                                 Endpoint{host, Network::kPeerPort});
                if (const auto opened = proxy->open(); !opened)
                    throw std::runtime_error(opened.error().detail);
                m_peerProxies[name] = std::move(proxy);
            }
        }
    }

    auto addUpstreams() -> void
    {
        for (int i = 0; i < m_settings.engines + m_settings.services; ++i) {
            const auto isEngine = i < m_settings.engines;
            constexpr int kSlots = 6;
            Upstream::Identity identity{"u" + std::to_string(i),
                                        isEngine ? kEngines : kServices,
                                        domainOf(i),
                                        m_network.upstream(i),
                                        kSlots,
                                        isEngine};
            m_upstreams.push_back(std::make_unique<Upstream>(
                m_loop, std::move(identity), m_controls, m_observations, forkRandom()));
        }
    }

    auto addCallers() -> void
    {
        constexpr double kCancelShare = 0.05;
        for (int i = 0; i < m_settings.callers; ++i) {
            Caller::Settings settings{"c" + std::to_string(i), domainOf(i), i % 4 == 0,
                                      kCancelShare, m_directories};
            m_callers.push_back(std::make_unique<Caller>(
                m_loop, std::move(settings), m_observations, forkRandom(),
                [this] { return m_operator->account(); },
                [this](const InstanceId &gateway, TimePoint sentAt) {
                    return m_faultInjector->wasStoppedGracefully(gateway, sentAt);
                }));
        }
    }

    auto monitorProcesses() -> void
    {
        for (const auto &end : m_processes.reap())
            m_observations.reportViolation("no unexpected exit", end.instance + ", " + end.cause);
        if (m_loop.now() >= m_nextMemorySample) {
            m_nextMemorySample = m_loop.now() + kMemorySampleInterval;
            m_residentBytes = std::max(m_residentBytes, m_processes.residentBytes());
        }
        m_loop.at(m_loop.now() + kMonitorInterval, [this] { monitorProcesses(); });
    }

    [[nodiscard]] auto failureCounts() const -> std::pair<std::size_t, std::size_t>
    {
        std::size_t all = 0;
        std::size_t failed = 0;
        for (const auto &[status, count] : m_observations.answersByStatus()) {
            all += count;
            failed += status == 0 || status >= 500 ? count : 0;
        }
        return {all, failed};
    }

    auto checkRecovery() -> void
    {
        m_faultInjector->restartTerminated();
        const auto before = failureCounts();
        m_loop.runUntil(m_loop.now() + kFinalPeriod);
        const auto after = failureCounts();
        const auto all = after.first - before.first;
        const auto failed = after.second - before.second;
        if (all == 0 || static_cast<double>(failed) > kMaxFailureShare * static_cast<double>(all))
            m_observations.reportViolation("service recovers", std::to_string(failed) + " of "
                                                                   + std::to_string(all)
                                                                   + " failed");
        if (m_operator->lastReadVersion() < m_observations.newestAcknowledged())
            m_observations.reportViolation(
                "acknowledged configuration kept",
                "read " + std::to_string(m_operator->lastReadVersion()) + ", "
                    + std::to_string(m_observations.newestAcknowledged()) + " was acknowledged");
        if (m_operator->pendingUpdates() > 0)
            m_observations.reportViolation("updates are answered",
                                           std::to_string(m_operator->pendingUpdates())
                                               + " are pending");
        for (const auto &caller : m_callers)
            caller->finish();
    }

    RunSettings m_settings;
    Network m_network;
    Random m_random;
    net::EventLoop m_loop;
    Disturbances m_disturbances;
    Observations m_observations;
    Processes m_processes;
    std::vector<Endpoint> m_controls;
    std::vector<Endpoint> m_directories;
    std::map<std::string, std::unique_ptr<FaultProxy>> m_peerProxies;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    std::unique_ptr<Operator> m_operator;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::unique_ptr<FaultInjector> m_faultInjector;
    TimePoint m_nextMemorySample{};
    std::size_t m_residentBytes = 0;
};

} // namespace

auto executeRun(const RunSettings &settings) -> RunReport
{
    return Run(settings).execute();
}

} // namespace heathergate::soak
