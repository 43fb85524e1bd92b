#include "fault_injector.h"

#include <array>

namespace heathergate::soak {

namespace {

/// Time after its restart until a control instance counts as caught up.
constexpr Duration kCatchUpTime = std::chrono::seconds(5);
/// Time after SIGTERM until a process that has not exited is killed.
constexpr Duration kStopTimeout = std::chrono::seconds(8);
/// A series of faults is followed by a calm period, in which invariants with time limits are
/// checked.
constexpr int kFaultSeriesMs = 7000;
constexpr int kCalmPeriodMs = 7000;
constexpr Duration kFirstFaultDelay = std::chrono::seconds(3);

} // namespace

FaultInjector::FaultInjector(net::EventLoop &loop, FaultTargets targets, int faultTolerance,
                             Random random)
    : m_loop(loop)
    , m_targets(targets)
    , m_faultTolerance(faultTolerance)
    , m_random(random)
{
}

auto FaultInjector::start(TimePoint end) -> void
{
    m_end = end;
    m_calmUntil = m_loop.now() + kFirstFaultDelay;
    for (const auto &upstream : m_targets.upstreams)
        upstream->setBaselineFaults(kBaselineFaults);
    after(kFirstFaultDelay, [this] { injectNext(); });
}

auto FaultInjector::after(Duration pause, Action action) -> void
{
    m_loop.at(m_loop.now() + pause, std::move(action));
}

auto FaultInjector::randomDuration(int minMs, int maxMs) -> Duration
{
    const auto width = static_cast<std::uint64_t>(maxMs - minMs);
    return std::chrono::milliseconds(minMs + static_cast<int>(m_random.below(width)));
}

auto FaultInjector::recordDisturbance(const std::string &subject, Duration duration) -> void
{
    m_targets.disturbances.record(subject, m_loop.now(), m_loop.now() + duration);
}

auto FaultInjector::injectNext() -> void
{
    if (m_stopped || m_loop.now() >= m_end)
        return;
    injectOne();
    auto pause = randomDuration(100, 1500);
    // A calm period follows each series of faults.
    if (m_loop.now() > m_calmUntil + std::chrono::milliseconds(kFaultSeriesMs)) {
        pause = std::chrono::milliseconds(kCalmPeriodMs);
        m_calmUntil = m_loop.now() + pause;
    }
    after(pause, [this] { injectNext(); });
}

auto FaultInjector::injectOne() -> void
{
    struct Kind
    {
        const char *name;
        auto(FaultInjector::*inject)() -> void;
        int weight;
    };
    static constexpr std::array kKinds{
        Kind{"gateway killed", &FaultInjector::killGateway, 3},
        Kind{"gateway stopped", &FaultInjector::stopGateway, 3},
        Kind{"gateway suspended", &FaultInjector::suspendGateway, 2},
        Kind{"control killed", &FaultInjector::killControl, 3},
        Kind{"control stopped", &FaultInjector::stopControl, 2},
        Kind{"control suspended", &FaultInjector::suspendControl, 3},
        Kind{"control wiped", &FaultInjector::wipeControl, 2},
        Kind{"control data folder detached", &FaultInjector::detachDataFolder, 1},
        Kind{"all controls killed", &FaultInjector::killAllControls, 1},
        Kind{"seeds changed", &FaultInjector::changeSeeds, 1},
        Kind{"settings reloaded", &FaultInjector::reloadSettings, 2},
        Kind{"peer connections disturbed", &FaultInjector::disturbPeerConnections, 5},
        Kind{"upstream connections disturbed", &FaultInjector::disturbUpstreamConnections, 4},
        Kind{"upstream faulty", &FaultInjector::injectUpstreamFault, 5},
        Kind{"upstream crashed", &FaultInjector::crashUpstream, 3},
        Kind{"upstream drained", &FaultInjector::drainUpstream, 3},
        Kind{"configuration changed", &FaultInjector::changeConfiguration, 8},
    };
    int total = 0;
    for (const auto &kind : kKinds)
        total += kind.weight;
    auto remaining = static_cast<int>(m_random.below(static_cast<std::uint64_t>(total)));
    for (const auto &kind : kKinds) {
        remaining -= kind.weight;
        if (remaining >= 0)
            continue;
        ++m_injectedFaults[kind.name];
        (this->*kind.inject)();
        return;
    }
}

auto FaultInjector::randomGateway() -> std::string
{
    const auto names = m_targets.processes.instances(InstanceRole::Gateway);
    return names[m_random.below(names.size())];
}

auto FaultInjector::randomControl(Duration duration) -> std::optional<std::string>
{
    const auto now = m_loop.now();
    std::erase_if(m_unavailableControls, [now](const auto &item) { return item.second < now; });
    const auto names = m_targets.processes.instances(InstanceRole::Control);
    const auto &name = names[m_random.below(names.size())];
    if (static_cast<int>(m_unavailableControls.size()) >= m_faultTolerance
        || m_unavailableControls.contains(name))
        return std::nullopt;
    m_unavailableControls[name] = now + duration + kCatchUpTime;
    recordDisturbance(kControlSubject, duration);
    return name;
}

auto FaultInjector::randomUpstream() -> Upstream &
{
    return *m_targets.upstreams[m_random.below(m_targets.upstreams.size())];
}

auto FaultInjector::killGateway() -> void
{
    const auto name = randomGateway();
    const auto downtime = randomDuration(50, 1500);
    recordDisturbance(m_targets.processes.hostOf(name), downtime);
    m_targets.processes.signal(name, SIGKILL);
    after(downtime, [this, name] { m_targets.processes.start(name); });
}

auto FaultInjector::stopGateway() -> void
{
    const auto name = randomGateway();
    if (m_suspended.contains(name))
        return;
    m_stopping[name] = m_loop.now();
    m_targets.processes.signal(name, SIGTERM);
    after(kStopTimeout, [this, name] { m_targets.processes.signal(name, SIGKILL); });
    after(kStopTimeout + randomDuration(100, 500), [this, name] {
        m_stopping.erase(name);
        m_targets.processes.start(name);
    });
}

auto FaultInjector::suspendGateway() -> void
{
    const auto name = randomGateway();
    const auto suspension = randomDuration(200, 4000);
    if (!m_suspended.insert(name).second)
        return;
    recordDisturbance(m_targets.processes.hostOf(name), suspension);
    m_targets.processes.signal(name, SIGSTOP);
    after(suspension, [this, name] {
        m_targets.processes.signal(name, SIGCONT);
        m_suspended.erase(name);
    });
}

auto FaultInjector::killControl() -> void
{
    const auto downtime = randomDuration(50, 3000);
    const auto name = randomControl(downtime);
    if (!name)
        return;
    m_targets.processes.signal(*name, SIGKILL);
    after(downtime, [this, name = *name] { m_targets.processes.start(name); });
}

auto FaultInjector::stopControl() -> void
{
    const auto downtime = randomDuration(2000, 3000);
    const auto name = randomControl(downtime);
    if (!name)
        return;
    m_targets.processes.signal(*name, SIGTERM);
    after(downtime, [this, name = *name] { m_targets.processes.start(name); });
}

auto FaultInjector::suspendControl() -> void
{
    const auto suspension = randomDuration(200, 4000);
    const auto name = randomControl(suspension);
    if (!name)
        return;
    m_suspended.insert(*name);
    m_targets.processes.signal(*name, SIGSTOP);
    after(suspension, [this, name = *name] {
        m_targets.processes.signal(name, SIGCONT);
        m_suspended.erase(name);
    });
}

auto FaultInjector::wipeControl() -> void
{
    const auto downtime = randomDuration(300, 2000);
    const auto name = randomControl(downtime + kCatchUpTime);
    if (!name)
        return;
    m_targets.processes.signal(*name, SIGKILL);
    after(downtime, [this, name = *name] {
        if (m_targets.processes.isRunning(name))
            return; // Another fault has restarted it.
        m_targets.processes.wipe(name);
        m_targets.processes.start(name);
    });
}

auto FaultInjector::detachDataFolder() -> void
{
    const auto downtime = randomDuration(500, 2500);
    const auto name = randomControl(downtime);
    if (!name || !m_detachedFolders.insert(*name).second)
        return;
    m_targets.processes.setFolderDetached(*name, true);
    after(downtime, [this, name = *name] {
        m_targets.processes.setFolderDetached(name, false);
        m_detachedFolders.erase(name);
        m_targets.processes.start(name); // It may have exited without its folder.
    });
}

auto FaultInjector::killAllControls() -> void
{
    const auto downtime = randomDuration(50, 1000);
    if (!m_detachedFolders.empty())
        return;
    recordDisturbance(kControlSubject, downtime);
    for (const auto &name : m_targets.processes.instances(InstanceRole::Control)) {
        m_targets.processes.signal(name, SIGKILL);
        after(downtime, [this, name] { m_targets.processes.start(name); });
    }
}

auto FaultInjector::changeSeeds() -> void
{
    const auto controls =
        static_cast<int>(m_targets.processes.instances(InstanceRole::Control).size());
    const auto first = static_cast<int>(m_random.below(static_cast<std::uint64_t>(controls)));
    m_targets.processes.setSeeds(randomGateway(), {first, (first + 1) % controls});
}

auto FaultInjector::reloadSettings() -> void
{
    m_targets.processes.signal(randomGateway(), SIGHUP);
}

auto FaultInjector::disturbPeerConnections() -> void
{
    auto chosen = m_targets.peerProxies.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(m_random.below(m_targets.peerProxies.size())));
    auto &proxy = *chosen->second;
    const auto faultDuration = randomDuration(200, 3000);
    if (chosen->first.starts_with("control"))
        recordDisturbance(kControlSubject, faultDuration);
    recordDisturbance(m_targets.processes.hostOf(chosen->first), faultDuration);
    switch (m_random.below(4)) {
    case 0:
        proxy.setDelay(randomDuration(5, 300));
        after(faultDuration, [&proxy] { proxy.setDelay({}); });
        break;
    case 1:
        proxy.reset(m_random.unit(), m_random);
        break;
    case 2:
        proxy.blackhole(m_random.unit(), m_random);
        break;
    default:
        proxy.partition(static_cast<FaultProxy::Direction>(m_random.below(3)));
        after(faultDuration, [&proxy] { proxy.heal(); });
    }
}

auto FaultInjector::disturbUpstreamConnections() -> void
{
    auto &proxy = randomUpstream().proxy();
    const auto faultDuration = randomDuration(200, 3000);
    recordDisturbance(kUpstreamSubject, faultDuration);
    switch (m_random.below(3)) {
    case 0:
        proxy.reset(m_random.unit(), m_random);
        break;
    case 1:
        proxy.blackhole(m_random.unit(), m_random);
        break;
    default:
        proxy.partition(static_cast<FaultProxy::Direction>(m_random.below(3)));
        after(faultDuration, [&proxy] { proxy.heal(); });
    }
}

auto FaultInjector::injectUpstreamFault() -> void
{
    auto &upstream = randomUpstream();
    const auto faultDuration = randomDuration(300, 4000);
    constexpr double kMaxShare = 0.5;
    UpstreamFaults faults;
    const auto share = m_random.unit() * kMaxShare;
    switch (m_random.below(6)) {
    case 0:
        faults.dropAnswerShare = share;
        break;
    case 1:
        faults.truncateShare = share;
        break;
    case 2:
        faults.failShare = share;
        break;
    case 3:
        faults.declineShare = share;
        break;
    case 4:
        faults.slowdown = 5;
        break;
    default:
        faults.isUnresponsive = true;
    }
    recordDisturbance(kUpstreamSubject, faultDuration);
    upstream.setFaults(faults);
    after(faultDuration, [&upstream] { upstream.clearFaults(); });
}

auto FaultInjector::crashUpstream() -> void
{
    auto &upstream = randomUpstream();
    const auto downtime = randomDuration(100, 3000);
    const auto sameId = m_random.below(3) == 0;
    if (!upstream.isRunning())
        return;
    recordDisturbance(kUpstreamSubject, downtime);
    upstream.crash();
    after(downtime, [&upstream, sameId] { upstream.restart(sameId); });
}

auto FaultInjector::drainUpstream() -> void
{
    randomUpstream().drain();
}

auto FaultInjector::changeConfiguration() -> void
{
    switch (m_random.below(4)) {
    case 0:
        m_targets.configurations.changeKey();
        break;
    case 1:
        m_targets.configurations.sendInvalid();
        break;
    case 2: {
        m_targets.configurations.setAnswerLossShare(0.6);
        after(randomDuration(500, 2500),
              [this] { m_targets.configurations.setAnswerLossShare(0); });
        break;
    }
    default:
        m_targets.configurations.changeRoutes();
    }
}

auto FaultInjector::restartTerminated() -> void
{
    for (const auto role : {InstanceRole::Control, InstanceRole::Gateway}) {
        for (const auto &name : m_targets.processes.instances(role)) {
            if (m_stopped && !m_targets.processes.isRunning(name)
                && !m_detachedFolders.contains(name))
                m_targets.processes.start(name);
        }
    }
}

auto FaultInjector::stop() -> void
{
    m_stopped = true;
    for (const auto &name : m_suspended)
        m_targets.processes.signal(name, SIGCONT);
    for (const auto &name : m_detachedFolders)
        m_targets.processes.setFolderDetached(name, false);
    m_detachedFolders.clear();
    for (const auto &[name, proxy] : m_targets.peerProxies) {
        proxy->heal();
        proxy->setDelay({});
    }
    for (const auto &upstream : m_targets.upstreams) {
        upstream->proxy().heal();
        upstream->setBaselineFaults({});
        upstream->restart(false);
    }
    m_targets.configurations.setAnswerLossShare(0);
    // These changes have to be in effect before the run ends.
    m_targets.configurations.changeKey();
    m_targets.configurations.changeRoutes();
    restartTerminated();
}

auto FaultInjector::wasStoppedGracefully(const InstanceId &gateway, TimePoint sentAt) const -> bool
{
    const auto &disturbances = m_targets.disturbances;
    const auto from = sentAt - Disturbances::kSettlingTime;
    const auto isStopping =
        std::any_of(m_stopping.begin(), m_stopping.end(), [&](const auto &item) {
            return m_targets.processes.hostOf(item.first) == gateway.value
                   && sentAt < item.second + std::chrono::seconds(3);
        });
    return isStopping && disturbances.isUndisturbed(gateway.value, from, m_loop.now())
           && disturbances.isUndisturbed(kUpstreamSubject, from, m_loop.now());
}

} // namespace heathergate::soak
