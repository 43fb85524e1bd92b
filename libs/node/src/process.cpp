#include <heathergate/node/process.h>

#include <atomic>
#include <csignal>
#include <cstring>
#include <ctime>
#include <fstream>
#include <malloc.h>
#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace heathergate::node {

namespace {

using telemetry::LogImportance;

/// Time for which log lines are buffered before they are written together.
constexpr Duration kFlushInterval = std::chrono::milliseconds(250);
/// Maximum bytes of one write. A pipe that is ready for writing accepts this many bytes without
/// blocking.
constexpr std::size_t kMaxWriteBytes = 4096;
/// Maximum bytes of log output that are buffered while its reader does not read.
constexpr std::size_t kMaxUnwrittenBytes = 256 * 1024;
/// Interval at which the settings file is checked for changes.
constexpr Duration kFileCheckInterval = std::chrono::seconds(2);
/// Minimum time between two checks of the unsent output to other instances.
constexpr Duration kBacklogCheckInterval = std::chrono::milliseconds(100);
/// Time within which a peer must respond to a message before its connection counts as lost.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(1200);

/// Memory of a process apart from what it buffers for clients: the program, the fleet's state, and
/// what the allocator cannot reuse.
constexpr std::size_t kBaseMemoryMb = 32;
/// Part of the remaining memory that is buffered for clients. A buffer that grows exists twice for
/// a moment, and responses are assembled from parts.
constexpr std::size_t kBufferShare = 2;
constexpr std::size_t kBytesPerMb = 1024 * 1024;
/// Part of the handles that clients' connections may use, in percent. The others are for upstreams,
/// other instances, and files.
constexpr int kClientHandlesPercent = 60;
/// Size from which on memory is mapped by itself, so that it returns to the system once it is
/// freed. The allocator would otherwise raise this size with each freed buffer.
constexpr int kMappedBytes = 256 * 1024;

/// Start time of the process, set during static initialization.
const TimePoint startedAt = net::BootClock().now();

std::atomic<bool> stopRequested = false;
std::atomic<bool> reloadRequested = false;

auto onSignal(int number) -> void
{
    if (number == SIGHUP)
        reloadRequested = true;
    else
        stopRequested = true;
}

/// Returns the difference between the wall clock and the boot-time clock.
auto currentWallOffset() -> Duration
{
    struct timespec wall = {};
    ::clock_gettime(CLOCK_REALTIME, &wall);
    const auto time = std::chrono::duration_cast<Duration>(
        std::chrono::seconds(wall.tv_sec) + std::chrono::nanoseconds(wall.tv_nsec));
    return time - net::BootClock().now().time_since_epoch();
}

auto readFile(const std::string &file) -> std::string
{
    std::ifstream stream(file);
    std::ostringstream content;
    content << stream.rdbuf();
    return std::move(content).str();
}

} // namespace

auto installSignals() -> void
{
    struct sigaction action = {};
    action.sa_handler = &onSignal;
    for (const auto number : {SIGTERM, SIGINT, SIGHUP})
        sigaction(number, &action, nullptr);
    action.sa_handler = SIG_IGN;
    sigaction(SIGPIPE, &action, nullptr);
}

auto processStart() -> TimePoint
{
    return startedAt;
}

auto randomNumber() -> std::uint64_t
{
    std::uint64_t number = 0;
    const auto bytes = secureRandom(sizeof(number));
    std::memcpy(&number, bytes.data(), sizeof(number));
    return number;
}

Process::Process(NodeSettings settings, std::string file)
    : m_settings(std::move(settings))
    , m_file(std::move(file))
    , m_fileContent(readFile(m_file))
    , m_wallOffset(currentWallOffset())
    , m_log(m_wallOffset)
{
    ::mallopt(M_MMAP_THRESHOLD, kMappedBytes);
    const auto memory = m_settings.memoryMb * kBytesPerMb;
    m_loop.budget().setLimits((memory - kBaseMemoryMb * kBytesPerMb) / kBufferShare,
                              static_cast<std::size_t>(m_loop.maxHandles()) * kClientHandlesPercent
                                  / 100);
}

Process::~Process() = default;

auto Process::seeds() const -> std::vector<InstanceId>
{
    std::vector<InstanceId> ids;
    for (const auto &seed : m_settings.seeds)
        ids.emplace_back(seed.host);
    return ids;
}

auto Process::open(Hooks hooks) -> Result<void>
{
    m_hooks = std::move(hooks);
    net::PeerIdentity identity{m_settings.cluster, self(), m_settings.secrets};
    m_links = std::make_unique<net::PeerLinks>(
        m_loop, std::move(identity), kPeerTimeout,
        net::PeerLinks::Handlers{[this](const InstanceId &from, std::string body) {
                                     m_hooks.onFrame(from, std::move(body));
                                 },
                                 [this](const InstanceId &peer) { m_hooks.onPeerLost(peer); }});
    if (auto listening = m_links->listen({m_settings.host, m_settings.peerPort}); !listening)
        return listening;
    if (auto opened = openMetrics(); !opened)
        return opened;
    m_loop.onRoundEnd([this] { roundEnded(); });
    m_loop.at(m_loop.now() + kFileCheckInterval, [this] { checkFile(); });
    return {};
}

auto Process::openMetrics() -> Result<void>
{
    if (m_settings.metricsPort == 0)
        return {};
    net::HttpServer::Handlers handlers;
    handlers.onRequest = [this](net::ExchangeId exchange, const net::HttpRequest &request) {
        net::HttpResponse response;
        if (request.head.target == "/metrics") {
            auto &metrics = m_hooks.metrics();
            metrics.set("heathergate_log_lines_left_out", {},
                        static_cast<double>(m_log.droppedLines()));
            metrics.set("heathergate_connections_refused_for_handles", {},
                        static_cast<double>(m_loop.refusedHandles()));
            metrics.set("heathergate_peer_backlog_bytes", {},
                        static_cast<double>(m_links->backlog().bytes));
            addBudgetMetrics(metrics);
            response.headers.add("Content-Type", "text/plain; version=0.0.4");
            response.body = metrics.render();
        } else {
            response.status = 404;
        }
        m_metricsServer->respond(exchange, response);
    };
    handlers.onDisconnect = [](net::ExchangeId) {};
    m_metricsServer = std::make_unique<net::HttpServer>(m_loop, std::move(handlers));
    net::HttpLimits limits;
    limits.maxBodyBytes = 0;
    m_metricsServer->setLimits(limits);
    return m_metricsServer->listen({m_settings.host, m_settings.metricsPort});
}

auto Process::send(const InstanceId &to, const std::string &body) -> void
{
    m_links->send(to, {to.value, m_settings.peerDialPort}, body);
}

auto Process::run() -> int
{
    m_log.add(m_loop.now(), LogImportance::Important, "process", "started",
              {{"name", m_settings.name},
               {"host", m_settings.host},
               {"role", static_cast<int>(m_settings.role)},
               {"domain", m_settings.domain.value},
               {"handles", m_loop.maxHandles()},
               {"bootstrap", m_settings.bootstrap ? 1 : 0}});
    m_loop.run();
    m_log.add(m_loop.now(), LogImportance::Important, "process", "stopped", {{"status", m_status}});
    flushLog();
    return m_status;
}

auto Process::stop(int status) -> void
{
    m_status = status;
    m_loop.stop();
}

auto Process::roundEnded() -> void
{
    if (stopRequested && !std::exchange(m_stopHandled, true)) {
        m_log.add(m_loop.now(), LogImportance::Important, "process", "stop_requested", {});
        m_hooks.onStop();
    }
    if (reloadRequested.exchange(false))
        reload("signal");
    const auto wake = m_hooks.onRound(m_loop.now());
    checkBacklog();
    if (wake != m_wakeTime) {
        m_loop.cancel(m_wakeTimer);
        m_wakeTime = wake;
        if (wake != TimePoint::max())
            m_wakeTimer = m_loop.at(wake, [this] { m_wakeTime = TimePoint::max(); });
    }
    if (m_log.pendingBytes() > 0 && !std::exchange(m_flushScheduled, true))
        m_loop.at(m_loop.now() + kFlushInterval, [this] { flushLog(); });
}

auto Process::checkFile() -> void
{
    m_loop.at(m_loop.now() + kFileCheckInterval, [this] { checkFile(); });
    reportRefusedHandles();
    reportBudget();
    if (readFile(m_file) != m_fileContent)
        reload("file_changed");
}

auto Process::reportRefusedHandles() -> void
{
    const auto refused = m_loop.refusedHandles();
    if (std::exchange(m_reportedRefusals, refused) == refused)
        return;
    m_log.add(m_loop.now(), LogImportance::Important, "process", "handles_exhausted",
              {{"limit", m_loop.maxHandles()}, {"refused", refused}});
}

auto Process::reportBudget() -> void
{
    const auto &budget = m_loop.budget();
    const auto &counters = budget.counters();
    const auto before = std::exchange(m_reportedCounters, counters);
    if (counters.closedForMemory == before.closedForMemory
        && counters.closedForDescriptors == before.closedForDescriptors
        && counters.refused == before.refused)
        return;
    m_log.add(m_loop.now(), LogImportance::Important, "process", "clients_gave_way",
              {{"buffered_bytes", budget.usedBytes()},
               {"limit_bytes", budget.maxBytes()},
               {"connections", budget.connections()},
               {"closed_for_memory", counters.closedForMemory - before.closedForMemory},
               {"closed_for_handles", counters.closedForDescriptors - before.closedForDescriptors},
               {"refused", counters.refused - before.refused}});
}

auto Process::addBudgetMetrics(telemetry::Metrics &metrics) -> void
{
    const auto &budget = m_loop.budget();
    const auto &counters = budget.counters();
    const auto set = [&](const char *name, std::uint64_t value) {
        metrics.set(name, {}, static_cast<double>(value));
    };
    set("heathergate_client_buffer_bytes", budget.usedBytes());
    set("heathergate_client_buffer_limit_bytes", budget.maxBytes());
    set("heathergate_client_connections", budget.connections());
    set("heathergate_clients_closed_for_memory", counters.closedForMemory);
    set("heathergate_clients_closed_for_handles", counters.closedForDescriptors);
    set("heathergate_requests_refused_for_memory", counters.refused);
}

/// Logs the unsent output to other instances each time it has doubled, and once it is small again.
auto Process::checkBacklog() -> void
{
    if (m_loop.now() < m_nextBacklogCheck)
        return;
    m_nextBacklogCheck = m_loop.now() + kBacklogCheckInterval;
    const auto backlog = m_links->backlog();
    const auto isReported = m_nextBacklogReport > kMinReportedBacklogBytes;
    if (backlog.bytes < m_nextBacklogReport
        && !(isReported && backlog.bytes < kMinReportedBacklogBytes / 2))
        return;
    m_nextBacklogReport = std::max(2 * backlog.bytes, kMinReportedBacklogBytes);
    m_log.add(m_loop.now(), LogImportance::Important, "peers", "backlog",
              {{"bytes", backlog.bytes},
               {"largest_peer", backlog.largestPeer.value},
               {"largest_bytes", backlog.largestBytes}});
}

auto Process::reload(std::string_view reason) -> void
{
    auto content = readFile(m_file);
    const auto changed = content != m_fileContent;
    m_fileContent = std::move(content);
    auto settings = parseNodeSettings(m_fileContent, m_file);
    m_log.add(m_loop.now(), LogImportance::Important, "process", "reload",
              {{"why", reason},
               {"changed", changed ? 1 : 0},
               {"outcome", settings ? std::string("in_force") : settings.error().detail}});
    if (!settings)
        return;
    // Addresses, role and identity are fixed for the lifetime of the process.
    m_settings.seeds = settings->seeds;
    m_settings.shutdownGracePeriod = settings->shutdownGracePeriod;
    m_hooks.onReload(m_settings);
}

auto Process::flushLog() -> void
{
    m_flushScheduled = false;
    m_unwritten += m_log.take(m_loop.now());
    std::size_t written = 0;
    while (written < m_unwritten.size()) {
        struct pollfd standardOutput = {STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&standardOutput, 1, 0) != 1 || (standardOutput.revents & POLLOUT) == 0)
            break;
        const auto count = ::write(STDOUT_FILENO, m_unwritten.data() + written,
                                   std::min(kMaxWriteBytes, m_unwritten.size() - written));
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    m_unwritten.erase(0, written);
    if (m_unwritten.size() > kMaxUnwrittenBytes)
        m_unwritten.clear(); // Discards the output because the log must not exhaust the memory.
}

} // namespace heathergate::node
