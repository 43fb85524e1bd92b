#include "troubles.h"

#include <array>

namespace heathergate::soak {

namespace {

/// Time after which a control instance that is back counts as caught up.
constexpr Duration kCatchUp = std::chrono::seconds(5);
/// Longest time that a process may take to end after SIGTERM.
constexpr Duration kGrace = std::chrono::seconds(8);
/// A series of troubles is followed by a calm stretch, in which promises with time bounds bind.
constexpr int kSeriesMs = 7000;
constexpr int kCalmMs = 7000;
constexpr Duration kFirstTrouble = std::chrono::seconds(3);

} // namespace

Troubles::Troubles(net::EventLoop &loop, Targets targets, int faultTolerance, Random random)
    : m_loop(loop)
    , m_targets(targets)
    , m_faultTolerance(faultTolerance)
    , m_random(random)
{
}

auto Troubles::start(TimePoint end) -> void
{
    m_end = end;
    m_calmUntil = m_loop.now() + kFirstTrouble;
    for (const auto &upstream : m_targets.upstreams)
        upstream->setUsualFaults(kUsualFaults);
    after(kFirstTrouble, [this] { next(); });
}

auto Troubles::after(Duration pause, Action action) -> void
{
    m_loop.at(m_loop.now() + pause, std::move(action));
}

auto Troubles::span(int leastMs, int mostMs) -> Duration
{
    const auto width = static_cast<std::uint64_t>(mostMs - leastMs);
    return std::chrono::milliseconds(leastMs + static_cast<int>(m_random.below(width)));
}

auto Troubles::note(const std::string &subject, Duration span) -> void
{
    m_targets.disturbances.note(subject, m_loop.now(), m_loop.now() + span);
}

auto Troubles::next() -> void
{
    if (m_stopped || m_loop.now() >= m_end)
        return;
    playOne();
    auto pause = span(100, 1500);
    // Now and then nothing happens for a while.
    if (m_loop.now() > m_calmUntil + std::chrono::milliseconds(kSeriesMs)) {
        pause = std::chrono::milliseconds(kCalmMs);
        m_calmUntil = m_loop.now() + pause;
    }
    after(pause, [this] { next(); });
}

auto Troubles::playOne() -> void
{
    struct Kind
    {
        const char *name;
        auto(Troubles::*play)() -> void;
        int weight;
    };
    static constexpr std::array kKinds{
        Kind{"gateway killed", &Troubles::killGateway, 3},
        Kind{"gateway stopped", &Troubles::stopGateway, 3},
        Kind{"gateway frozen", &Troubles::freezeGateway, 2},
        Kind{"control killed", &Troubles::killControl, 3},
        Kind{"control stopped", &Troubles::stopControl, 2},
        Kind{"control frozen", &Troubles::freezeControl, 3},
        Kind{"control wiped", &Troubles::wipeControl, 2},
        Kind{"control without folder", &Troubles::takeFolder, 1},
        Kind{"all controls killed", &Troubles::killAllControls, 1},
        Kind{"seeds exchanged", &Troubles::exchangeSeeds, 1},
        Kind{"settings reloaded", &Troubles::reload, 2},
        Kind{"peer connections harmed", &Troubles::harmPeer, 5},
        Kind{"upstream connections harmed", &Troubles::harmUpstreamPath, 4},
        Kind{"upstream faulty", &Troubles::harmUpstream, 5},
        Kind{"upstream crashed", &Troubles::crashUpstream, 3},
        Kind{"upstream drained", &Troubles::drainUpstream, 3},
        Kind{"configuration changed", &Troubles::change, 8},
    };
    int total = 0;
    for (const auto &kind : kKinds)
        total += kind.weight;
    auto rest = static_cast<int>(m_random.below(static_cast<std::uint64_t>(total)));
    for (const auto &kind : kKinds) {
        rest -= kind.weight;
        if (rest >= 0)
            continue;
        ++m_played[kind.name];
        (this->*kind.play)();
        return;
    }
}

auto Troubles::anyGateway() -> std::string
{
    const auto names = m_targets.processes.instances(InstanceRole::Gateway);
    return names[m_random.below(names.size())];
}

auto Troubles::anyControl(Duration span) -> std::optional<std::string>
{
    const auto now = m_loop.now();
    std::erase_if(m_lostControls, [now](const auto &item) { return item.second < now; });
    const auto names = m_targets.processes.instances(InstanceRole::Control);
    const auto &name = names[m_random.below(names.size())];
    if (static_cast<int>(m_lostControls.size()) >= m_faultTolerance
        || m_lostControls.contains(name))
        return std::nullopt;
    m_lostControls[name] = now + span + kCatchUp;
    note(kControlSubject, span);
    return name;
}

auto Troubles::anyUpstream() -> Upstream &
{
    return *m_targets.upstreams[m_random.below(m_targets.upstreams.size())];
}

auto Troubles::killGateway() -> void
{
    const auto name = anyGateway();
    const auto absence = span(50, 1500);
    note(m_targets.processes.hostOf(name), absence);
    m_targets.processes.signal(name, SIGKILL);
    after(absence, [this, name] { m_targets.processes.start(name); });
}

auto Troubles::stopGateway() -> void
{
    const auto name = anyGateway();
    if (m_frozen.contains(name))
        return;
    m_stopping[name] = m_loop.now();
    m_targets.processes.signal(name, SIGTERM);
    after(kGrace, [this, name] { m_targets.processes.signal(name, SIGKILL); });
    after(kGrace + span(100, 500), [this, name] {
        m_stopping.erase(name);
        m_targets.processes.start(name);
    });
}

auto Troubles::freezeGateway() -> void
{
    const auto name = anyGateway();
    const auto frozen = span(200, 4000);
    if (!m_frozen.insert(name).second)
        return;
    note(m_targets.processes.hostOf(name), frozen);
    m_targets.processes.signal(name, SIGSTOP);
    after(frozen, [this, name] {
        m_targets.processes.signal(name, SIGCONT);
        m_frozen.erase(name);
    });
}

auto Troubles::killControl() -> void
{
    const auto absence = span(50, 3000);
    const auto name = anyControl(absence);
    if (!name)
        return;
    m_targets.processes.signal(*name, SIGKILL);
    after(absence, [this, name = *name] { m_targets.processes.start(name); });
}

auto Troubles::stopControl() -> void
{
    const auto absence = span(2000, 3000);
    const auto name = anyControl(absence);
    if (!name)
        return;
    m_targets.processes.signal(*name, SIGTERM);
    after(absence, [this, name = *name] { m_targets.processes.start(name); });
}

auto Troubles::freezeControl() -> void
{
    const auto frozen = span(200, 4000);
    const auto name = anyControl(frozen);
    if (!name)
        return;
    m_frozen.insert(*name);
    m_targets.processes.signal(*name, SIGSTOP);
    after(frozen, [this, name = *name] {
        m_targets.processes.signal(name, SIGCONT);
        m_frozen.erase(name);
    });
}

auto Troubles::wipeControl() -> void
{
    const auto absence = span(300, 2000);
    const auto name = anyControl(absence + kCatchUp);
    if (!name)
        return;
    m_targets.processes.signal(*name, SIGKILL);
    after(absence, [this, name = *name] {
        if (m_targets.processes.isRunning(name))
            return; // It was started again by another trouble.
        m_targets.processes.wipe(name);
        m_targets.processes.start(name);
    });
}

auto Troubles::takeFolder() -> void
{
    const auto absence = span(500, 2500);
    const auto name = anyControl(absence);
    if (!name || !m_away.insert(*name).second)
        return;
    m_targets.processes.setFolderAway(*name, true);
    after(absence, [this, name = *name] {
        m_targets.processes.setFolderAway(name, false);
        m_away.erase(name);
        m_targets.processes.start(name); // It may have ended for lack of its folder.
    });
}

auto Troubles::killAllControls() -> void
{
    const auto absence = span(50, 1000);
    if (!m_away.empty())
        return;
    note(kControlSubject, absence);
    for (const auto &name : m_targets.processes.instances(InstanceRole::Control)) {
        m_targets.processes.signal(name, SIGKILL);
        after(absence, [this, name] { m_targets.processes.start(name); });
    }
}

auto Troubles::exchangeSeeds() -> void
{
    const auto controls =
        static_cast<int>(m_targets.processes.instances(InstanceRole::Control).size());
    const auto first = static_cast<int>(m_random.below(static_cast<std::uint64_t>(controls)));
    m_targets.processes.setSeeds(anyGateway(), {first, (first + 1) % controls});
}

auto Troubles::reload() -> void
{
    m_targets.processes.signal(anyGateway(), SIGHUP);
}

auto Troubles::harmPeer() -> void
{
    auto chosen = m_targets.peerProxies.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(m_random.below(m_targets.peerProxies.size())));
    auto &proxy = *chosen->second;
    const auto harmed = span(200, 3000);
    if (chosen->first.starts_with("control"))
        note(kControlSubject, harmed);
    note(m_targets.processes.hostOf(chosen->first), harmed);
    switch (m_random.below(4)) {
    case 0:
        proxy.setDelay(span(5, 300));
        after(harmed, [&proxy] { proxy.setDelay({}); });
        break;
    case 1:
        proxy.reset(m_random.unit(), m_random);
        break;
    case 2:
        proxy.silence(m_random.unit(), m_random);
        break;
    default:
        proxy.cut(static_cast<FaultProxy::Direction>(m_random.below(3)));
        after(harmed, [&proxy] { proxy.heal(); });
    }
}

auto Troubles::harmUpstreamPath() -> void
{
    auto &proxy = anyUpstream().proxy();
    const auto harmed = span(200, 3000);
    note(kUpstreamSubject, harmed);
    switch (m_random.below(3)) {
    case 0:
        proxy.reset(m_random.unit(), m_random);
        break;
    case 1:
        proxy.silence(m_random.unit(), m_random);
        break;
    default:
        proxy.cut(static_cast<FaultProxy::Direction>(m_random.below(3)));
        after(harmed, [&proxy] { proxy.heal(); });
    }
}

auto Troubles::harmUpstream() -> void
{
    auto &upstream = anyUpstream();
    const auto harmed = span(300, 4000);
    constexpr double kMostShare = 0.5;
    UpstreamFaults faults;
    const auto share = m_random.unit() * kMostShare;
    switch (m_random.below(6)) {
    case 0:
        faults.loseAnswer = share;
        break;
    case 1:
        faults.breakOff = share;
        break;
    case 2:
        faults.fail = share;
        break;
    case 3:
        faults.decline = share;
        break;
    case 4:
        faults.slowness = 5;
        break;
    default:
        faults.isHanging = true;
    }
    note(kUpstreamSubject, harmed);
    upstream.setFaults(faults);
    after(harmed, [&upstream] { upstream.clearFaults(); });
}

auto Troubles::crashUpstream() -> void
{
    auto &upstream = anyUpstream();
    const auto absence = span(100, 3000);
    const auto sameId = m_random.below(3) == 0;
    if (!upstream.isRunning())
        return;
    note(kUpstreamSubject, absence);
    upstream.crash();
    after(absence, [&upstream, sameId] { upstream.restart(sameId); });
}

auto Troubles::drainUpstream() -> void
{
    anyUpstream().drain();
}

auto Troubles::change() -> void
{
    switch (m_random.below(4)) {
    case 0:
        m_targets.configurations.changeKey();
        break;
    case 1:
        m_targets.configurations.sendInvalid();
        break;
    case 2: {
        m_targets.configurations.setLostAnswers(0.6);
        after(span(500, 2500), [this] { m_targets.configurations.setLostAnswers(0); });
        break;
    }
    default:
        m_targets.configurations.changeRoutes();
    }
}

auto Troubles::restartEnded() -> void
{
    for (const auto role : {InstanceRole::Control, InstanceRole::Gateway}) {
        for (const auto &name : m_targets.processes.instances(role)) {
            if (m_stopped && !m_targets.processes.isRunning(name) && !m_away.contains(name))
                m_targets.processes.start(name);
        }
    }
}

auto Troubles::stop() -> void
{
    m_stopped = true;
    for (const auto &name : m_frozen)
        m_targets.processes.signal(name, SIGCONT);
    for (const auto &name : m_away)
        m_targets.processes.setFolderAway(name, false);
    m_away.clear();
    for (const auto &[name, proxy] : m_targets.peerProxies) {
        proxy->heal();
        proxy->setDelay({});
    }
    for (const auto &upstream : m_targets.upstreams) {
        upstream->proxy().heal();
        upstream->setUsualFaults({});
        upstream->restart(false);
    }
    m_targets.configurations.setLostAnswers(0);
    // What changes now has to be in force before the run ends.
    m_targets.configurations.changeKey();
    m_targets.configurations.changeRoutes();
    restartEnded();
}

auto Troubles::wasStoppedGracefully(const InstanceId &gateway, TimePoint sentAt) const -> bool
{
    const auto &calm = m_targets.disturbances;
    const auto from = sentAt - Disturbances::kSettling;
    const auto isAsked = std::any_of(m_stopping.begin(), m_stopping.end(), [&](const auto &item) {
        return m_targets.processes.hostOf(item.first) == gateway.value
               && sentAt < item.second + std::chrono::seconds(3);
    });
    return isAsked && calm.isCalm(gateway.value, from, m_loop.now())
           && calm.isCalm(kUpstreamSubject, from, m_loop.now());
}

} // namespace heathergate::soak
