#pragma once

#include <heathergate/fleet/fleet.h>
#include <heathergate/node/process.h>

namespace heathergate::node {

/// Runs a gateway. `Adapter` connects the gateway to callers and upstreams. It provides:
/// - `Adapter(Process &, fleet::Gateway &)`
/// - `open() -> Result<void>`
/// - `execute(fleet::GatewayEffect &)`
/// - `beginDraining()` and `finishDraining()`
/// - `openConnections() -> std::size_t`
/// - `static directoryTtl(const NodeSettings &) -> Duration`
template <typename Adapter>
class GatewayProgram
{
public:
    GatewayProgram(NodeSettings settings, const std::string &file)
        : m_process(std::move(settings), file)
        , m_gateway(gatewaySettings(), Random(randomNumber()), m_process.log(),
                    m_process.loop().now())
        , m_adapter(m_process, m_gateway)
    {
    }

    /// Starts listening on all addresses. Fails with `Code::BadSetting`.
    [[nodiscard]] auto open() -> Result<void>
    {
        Process::Hooks hooks;
        hooks.onFrame = [this](const InstanceId &from, const std::string &body) {
            auto frame = fleet::decodeFrame(body);
            if (frame)
                m_gateway.receive(now(), from, std::move(*frame));
            else
                m_process.log().add(now(), telemetry::LogImportance::Important, "peers",
                                    "frame_unreadable",
                                    {{"from", from.value}, {"detail", frame.error().detail}});
        };
        hooks.onPeerLost = [this](const InstanceId &peer) { m_gateway.peerLost(now(), peer); };
        hooks.onStop = [this] { beginDraining(); };
        hooks.onReload = [this](const NodeSettings &) { m_gateway.addControls(m_process.seeds()); };
        hooks.onRound = [this](TimePoint at) { return round(at); };
        hooks.metrics = [this]() -> telemetry::Metrics & { return m_gateway.metrics(); };
        if (auto opened = m_process.open(std::move(hooks)); !opened)
            return opened;
        return m_adapter.open();
    }

    [[nodiscard]] auto run() -> int
    {
        return m_process.run();
    }

private:
    /// Callers cache an answer of the directory for up to three times its time to live. After that
    /// no caller connects any more.
    static constexpr int kMaxCachedLifetimes = 3;
    /// Time until the directory no longer lists this gateway.
    static constexpr Duration kDirectoryUpdateDelay = std::chrono::milliseconds(500);
    /// Time reserved for the termination of the process.
    static constexpr Duration kExitMargin = std::chrono::milliseconds(700);
    /// Part of that time in which callers read the answers to the calls that were ended.
    static constexpr Duration kAnswerTime = std::chrono::milliseconds(300);

    [[nodiscard]] auto now() -> TimePoint
    {
        return m_process.loop().now();
    }

    [[nodiscard]] auto gatewaySettings() -> fleet::GatewaySettings
    {
        const auto &settings = m_process.settings();
        fleet::GatewaySettings result;
        result.self = m_process.self();
        result.name = settings.name;
        result.domain = settings.domain;
        result.callerAddress = settings.callers->text();
        result.boot = randomNumber() | 1U;
        result.seeds = m_process.seeds();
        return result;
    }

    auto round(TimePoint at) -> TimePoint
    {
        m_gateway.tick(at);
        executeEffects();
        auto next = m_gateway.nextDeadline();
        if (m_drainDeadline) {
            if (at >= *m_stopListeningAt && !std::exchange(m_listeningStopped, true))
                m_adapter.finishDraining();
            if (at >= *m_drainDeadline && !std::exchange(m_callsEnded, true)) {
                m_gateway.endCalls(at);
                executeEffects();
            }
            if (at >= *m_drainDeadline + kAnswerTime
                || (m_listeningStopped && m_adapter.openConnections() == 0))
                m_process.stop(0);
            constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(50);
            next = std::min(next, at + kDrainCheckInterval);
        }
        return next;
    }

    auto executeEffects() -> void
    {
        for (auto &effect : m_gateway.takeEffects()) {
            if (auto *out = std::get_if<fleet::PeerOut>(&effect))
                m_process.send(out->to, fleet::encodeFrame(std::move(out->frame)));
            else
                m_adapter.execute(effect);
        }
    }

    auto beginDraining() -> void
    {
        const auto &settings = m_process.settings();
        m_drainDeadline = now() + settings.shutdownGracePeriod - kExitMargin;
        m_gateway.leave(now(), *m_drainDeadline);
        m_adapter.beginDraining();
        m_stopListeningAt = std::min(*m_drainDeadline - kExitMargin,
                                     now() + kMaxCachedLifetimes * Adapter::directoryTtl(settings)
                                         + kDirectoryUpdateDelay);
    }

    Process m_process;
    fleet::Gateway m_gateway;
    Adapter m_adapter;
    /// Time at which a draining gateway stops accepting connections.
    std::optional<TimePoint> m_stopListeningAt;
    /// Time at which a draining gateway ends the open calls.
    std::optional<TimePoint> m_drainDeadline;
    bool m_callsEnded = false;
    bool m_listeningStopped = false;
};

} // namespace heathergate::node
