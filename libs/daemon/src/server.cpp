#include <heathergate/daemon/server.h>

#include <heathergate/daemon/ace_clock.h>
#include <heathergate/daemon/data_folder.h>
#include <heathergate/daemon/instance.h>
#include <heathergate/daemon/peer_network.h>
#include <heathergate/telemetry/logging.h>

#include <atomic>
#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>

namespace heathergate::daemon {

namespace {

constexpr std::size_t kEventRingCapacity = 16'384;
/// Maximum number of events taken from each ring per round.
constexpr std::size_t kEventsPerRound = 512;
/// Maximum wait for events; signals are detected at this interval at the latest.
constexpr Duration kMaxWait = std::chrono::milliseconds(100);
constexpr std::chrono::microseconds kRingFullRetryInterval{50};
/// Position of the server number in the upper bits of a token.
constexpr unsigned kServerShift = 48;
/// Time between the deregistration of the instance and the end of the process.
constexpr Duration kLeaveGracePeriod = std::chrono::milliseconds(500);

std::atomic<bool> stopRequested = false;
std::atomic<bool> reloadRequested = false;

const telemetry::Logger kLog("serve");

auto onSignal(int number) -> void
{
    if (number == SIGHUP)
        reloadRequested = true;
    else
        stopRequested = true;
}

auto installSignalHandlers() -> void
{
    struct sigaction action
    {
    };
    action.sa_handler = &onSignal;
    for (const auto number : {SIGTERM, SIGINT, SIGHUP})
        sigaction(number, &action, nullptr);
    action.sa_handler = SIG_IGN;
    sigaction(SIGPIPE, &action, nullptr);
}

auto readFile(const std::string &path) -> Result<std::string>
{
    std::ifstream stream(path);
    std::ostringstream content;
    content << stream.rdbuf();
    if (!stream || content.str().empty())
        return fail(Code::BadSetting, "cannot read " + path);
    return content.str();
}

auto readTls(const Settings &settings) -> Result<std::optional<http::TlsMaterial>>
{
    if (settings.certificateFile.empty())
        return std::optional<http::TlsMaterial>();
    const auto certificate = readFile(settings.certificateFile);
    const auto key = readFile(settings.privateKeyFile);
    if (!certificate || !key)
        return tl::unexpected(certificate ? key.error() : certificate.error());
    return std::optional<http::TlsMaterial>({*certificate, *key});
}

struct HttpRequestEvent
{
    http::Token token = 0;
    http::Request request;
};

struct HttpClosedEvent
{
    http::Token token = 0;
};

struct PeerEvent
{
    InstanceId from;
    wire::PeerMessage message;
};

using HttpEvent = std::variant<std::monostate, HttpRequestEvent, HttpClosedEvent>;

auto randomNumber() -> std::uint64_t
{
    std::uint64_t number = 0;
    const auto bytes = secureRandom(sizeof(number));
    std::memcpy(&number, bytes.data(), sizeof(number));
    return number;
}

/// The threads of an instance and the rings between them. The calling thread runs the state
/// machine.
class InstanceRunner
{
public:
    explicit InstanceRunner(const Settings &settings)
        : m_settings(settings)
        , m_upstreamEvents(kEventRingCapacity, [this] { m_notifier.notify(); })
        , m_peerEvents(kEventRingCapacity, [this] { m_notifier.notify(); })
        , m_syncedEvents(kEventRingCapacity, [this] { m_notifier.notify(); })
    {
    }

    auto start() -> Result<void>
    {
        const Random random(randomNumber());
        auto host = openHost();
        if (!host)
            return tl::unexpected(host.error());
        const auto bootId = randomNumber() >> 12;
        m_instance = std::make_unique<Instance>(m_settings, bootId, std::move(*host), random);
        m_client = http::Client::start(
            [this](http::ClientEvent event) { pushBlocking(m_upstreamEvents, std::move(event)); });
        if (m_settings.peer.port != 0) {
            net::PeerIdentity identity{m_settings.cluster, m_settings.id, m_settings.fleetSecrets};
            auto peers = PeerNetwork::start(
                std::move(identity), m_settings.peer,
                [this](InstanceId from, wire::PeerMessage message) {
                    static_cast<void>(m_peerEvents.push({std::move(from), std::move(message)}));
                });
            if (!peers)
                return tl::unexpected(peers.error());
            m_peers = std::move(*peers);
        }
        return openServer();
    }

    auto run() -> int
    {
        kLog.info("Serving callers on " + m_settings.caller.text() + ".");
        std::optional<TimePoint> leavingUntil;
        while (!m_failed) {
            const auto busy = round();
            const auto now = m_clock.now();
            if (reloadRequested.exchange(false))
                reloadCertificate();
            if (stopRequested && !std::exchange(m_draining, true)) {
                kLog.info("Draining.");
                m_instance->drain(now);
            }
            if (!leavingUntil && m_draining && m_instance->isDrained(now) && openRequests() == 0) {
                m_instance->leave(now);
                for (const auto &server : m_servers)
                    server->stopAccepting();
                leavingUntil = now + kLeaveGracePeriod;
            }
            if (leavingUntil && now >= *leavingUntil)
                break;
            if (!busy)
                m_notifier.wait(
                    std::clamp(m_instance->nextDeadline() - now, Duration::zero(), kMaxWait));
        }
        kLog.info(m_failed ? "Stopped after a failure." : "Stopped.");
        return m_failed ? 1 : 0;
    }

private:
    auto openHost() -> Result<std::unique_ptr<ReplicaHost>>
    {
        if (!m_settings.hasDisk())
            return std::unique_ptr<ReplicaHost>();
        auto files = log::PosixFiles::open(m_settings.dataFolder);
        if (!files)
            return tl::unexpected(files.error());
        m_files = std::make_unique<log::PosixFiles>(std::move(*files));
        const auto identity = openIdentity(*m_files, m_settings);
        if (!identity)
            return tl::unexpected(identity.error());
        auto recovered = storage::recoverGroups(*m_files, m_settings.shards);
        if (!recovered)
            return tl::unexpected(recovered.error());
        HostSettings settings;
        settings.self = m_settings.id;
        settings.replica = identity->replica;
        settings.shards = m_settings.shards;
        if (identity->genesis)
            settings.genesis = genesisConfiguration(m_settings);
        kLog.info("Opened " + m_settings.dataFolder + " as replica " + identity->replica.value
                  + ".");
        auto host = std::make_unique<ReplicaHost>(std::move(settings), std::move(recovered->second),
                                                  Random(randomNumber()), m_clock.now());
        m_log = std::make_unique<storage::LogWriter>(
            *m_files, std::move(recovered->first),
            [this](std::vector<storage::SyncedUpTo> synced) {
                pushBlocking(m_syncedEvents, std::move(synced));
            },
            [this](const Error &) { m_failed = true; });
        return host;
    }

    auto openServer() -> Result<void>
    {
        auto tls = readTls(m_settings);
        if (!tls)
            return tl::unexpected(tls.error());
        http::ServerSettings settings;
        settings.address = m_settings.caller.host;
        settings.port = m_settings.caller.port;
        settings.maxBodyBytes = m_settings.maxBodyBytes;
        settings.maxHeaderBytes = m_settings.maxHeaderBytes;
        settings.maxConnections = m_settings.maxConnections;
        settings.maxConnectionsPerAddress = m_settings.maxConnectionsPerAddress;
        settings.idleTimeout = m_settings.idleTimeout;
        settings.tls = std::move(*tls);
        const auto number = m_servers.size();
        m_httpEvents.push_back(
            std::make_unique<Ring<HttpEvent>>(kEventRingCapacity, [this] { m_notifier.notify(); }));
        auto &ring = *m_httpEvents.back();
        const auto globalToken = [number](http::Token token) {
            return token | (number << kServerShift);
        };
        auto server = http::Server::start(
            settings,
            [&ring, globalToken](http::Token token, http::Request request) {
                return ring.push(
                    HttpEvent(HttpRequestEvent{globalToken(token), std::move(request)}));
            },
            [&ring, globalToken](http::Token token) {
                static_cast<void>(ring.push(HttpEvent(HttpClosedEvent{globalToken(token)})));
            });
        if (!server)
            return tl::unexpected(server.error());
        m_servers.push_back(std::move(*server));
        return {};
    }

    auto reloadCertificate() -> void
    {
        if (const auto tls = readTls(m_settings); !tls) {
            kLog.error("Cannot reload the certificate, keeping the current one: "
                       + tls.error().detail + ".");
            return;
        }
        // Open connections stay with the old server; the new server accepts new ones.
        m_servers.back()->stopAccepting();
        if (const auto opened = openServer(); !opened)
            kLog.error("Cannot listen with the reloaded certificate: " + opened.error().detail
                       + ".");
        else
            kLog.info("Reloaded the certificate.");
    }

    /// Runs one round. Returns whether any event or output was processed.
    auto round() -> bool
    {
        const auto now = m_clock.now();
        const auto handled = processEvents(now);
        m_instance->tick(now);
        auto output = m_instance->takeOutput(now);
        const auto busy = handled || !output.effects.empty() || !output.storage.empty();
        if (!output.storage.empty())
            m_log->write(std::move(output.storage));
        for (auto &effect : output.effects)
            std::visit([this](auto &item) { execute(item); }, effect);
        logChanges(now);
        return busy;
    }

    /// Logs changes of readiness and leadership.
    auto logChanges(TimePoint now) -> void
    {
        const auto ready = m_instance->entry().isReady(now);
        if (ready != std::exchange(m_wasReady, ready))
            kLog.info(ready ? "Ready: admitting requests." : "Not ready: refusing requests.");
        if (m_instance->host() == nullptr)
            return;
        for (GroupId group = 0; group <= m_settings.shards; ++group) {
            const auto &replica = m_instance->host()->replica(group);
            const auto leads = replica.role() == consensus::Role::Leader;
            if (leads != std::exchange(m_leads[group], leads))
                kLog.info(std::string(leads ? "Leads" : "No longer leads") + " group "
                          + std::to_string(group) + " in term " + std::to_string(replica.term())
                          + ".");
        }
    }

    auto processEvents(TimePoint now) -> bool
    {
        bool any = false;
        for (std::size_t i = 0; i < kEventsPerRound; ++i) {
            auto synced = m_syncedEvents.pop();
            if (!synced)
                break;
            any = true;
            for (const auto &item : *synced)
                m_instance->synced(now, item.group, item.number);
        }
        for (std::size_t i = 0; i < kEventsPerRound; ++i) {
            auto event = m_peerEvents.pop();
            if (!event)
                break;
            any = true;
            m_instance->peerMessage(now, event->from, event->message);
        }
        for (std::size_t i = 0; i < kEventsPerRound; ++i) {
            auto event = m_upstreamEvents.pop();
            if (!event)
                break;
            any = true;
            m_instance->upstreamEvent(now, *event);
        }
        for (const auto &ring : m_httpEvents) {
            for (std::size_t i = 0; i < kEventsPerRound; ++i) {
                auto event = ring->pop();
                if (!event)
                    break;
                any = true;
                if (const auto *request = std::get_if<HttpRequestEvent>(&*event))
                    m_instance->httpRequest(now, request->token, request->request);
                else if (const auto *closed = std::get_if<HttpClosedEvent>(&*event))
                    m_instance->httpClosed(now, closed->token);
            }
        }
        return any;
    }

    auto serverOf(http::Token token) -> http::Server &
    {
        return *m_servers.at(token >> kServerShift);
    }

    static auto localToken(http::Token token) -> http::Token
    {
        return token & ((http::Token(1) << kServerShift) - 1);
    }

    auto execute(Respond &effect) -> void
    {
        serverOf(effect.token).respond(localToken(effect.token), std::move(effect.response));
    }

    auto execute(BeginStream &effect) -> void
    {
        serverOf(effect.token).beginStream(localToken(effect.token), std::move(effect.head));
    }

    auto execute(const StreamData &effect) -> void
    {
        serverOf(effect.token).write(localToken(effect.token), effect.bytes);
    }

    auto execute(const EndStream &effect) -> void
    {
        serverOf(effect.token).endStream(localToken(effect.token), effect.complete);
    }

    auto execute(SendUpstream &effect) -> void
    {
        const auto id = effect.request.id;
        if (!m_client->send(std::move(effect.request)))
            m_instance->upstreamEvent(
                m_clock.now(),
                {id, http::AnswerEnd{false, false, "too many requests to upstreams"}});
    }

    auto execute(const CancelUpstream &effect) -> void
    {
        static_cast<void>(m_client->cancel(effect.id));
    }

    auto execute(SendPeer &effect) -> void
    {
        if (m_peers)
            m_peers->send(
                {effect.to, m_instance->entry().peerAddress(effect.to), std::move(effect.message)});
    }

    [[nodiscard]] auto openRequests() const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto &server : m_servers)
            count += server->openRequests();
        return count;
    }

    /// Adds an event that must not be lost, and waits while the ring is full. The consumer waits
    /// for one of the producers only in `LogWriter::write`. This cannot deadlock: in each round the
    /// consumer removes the received sync notifications before it queues at most one item, so that
    /// the notifications never fill their ring, which is larger than the ring of the log writer.
    template <typename T>
    auto pushBlocking(Ring<T> &ring, T event) -> void
    {
        // A failed push does not move from its argument.
        while (!ring.push(std::move(event)) && !m_failed) // NOLINT(bugprone-use-after-move)
            std::this_thread::sleep_for(kRingFullRetryInterval);
    }

    const Settings &m_settings;
    AceClock m_clock;
    Notifier m_notifier;
    std::atomic<bool> m_failed = false;
    bool m_draining = false;
    bool m_wasReady = false;
    std::map<GroupId, bool> m_leads;
    Ring<http::ClientEvent> m_upstreamEvents;
    Ring<PeerEvent> m_peerEvents;
    Ring<std::vector<storage::SyncedUpTo>> m_syncedEvents;
    std::vector<std::unique_ptr<Ring<HttpEvent>>> m_httpEvents;
    std::unique_ptr<Instance> m_instance;
    std::unique_ptr<log::PosixFiles> m_files;
    std::unique_ptr<storage::LogWriter> m_log;
    std::unique_ptr<PeerNetwork> m_peers;
    std::unique_ptr<http::Client> m_client;
    std::vector<std::unique_ptr<http::Server>> m_servers;
};

} // namespace

auto serve(const Settings &settings) -> int
{
    telemetry::startLogging(settings.logLevel, settings.id.value);
    installSignalHandlers();
    InstanceRunner runner(settings);
    if (const auto started = runner.start(); !started) {
        kLog.error("Cannot start: " + started.error().detail + ".");
        return 1;
    }
    return runner.run();
}

auto checkTls(const Settings &settings) -> Result<void>
{
    const auto tls = readTls(settings);
    if (!tls)
        return tl::unexpected(tls.error());
    return {};
}

} // namespace heathergate::daemon
