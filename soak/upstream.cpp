#include "upstream.h"

#include "network.h"

#include <charconv>
#include <heathergate/platform/names.h>
#include <heathergate/platform/sender_formats.h>

namespace heathergate::soak {

namespace {

namespace header = platform::header;
namespace call = platform::call;

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(800);
constexpr Duration kHeartbeatRetryInterval = std::chrono::milliseconds(200);
constexpr Duration kFirstEventDelay = std::chrono::milliseconds(20);
constexpr Duration kEventInterval = std::chrono::milliseconds(12);
constexpr Duration kMinCallTime = std::chrono::milliseconds(5);
constexpr std::uint64_t kCallTimeSpreadMs = 40;
/// Separates the version from the rest of an event's data.
constexpr char kVersionMark = '@';
/// Number of software versions among which the starts of upstreams alternate at random.
constexpr std::uint64_t kSoftwareVersions = 2;
/// Separates the identifier of the upstream from that of the request in a signature.
constexpr char kSignatureMark = '.';
/// Time that an upstream serves after its drain was acknowledged.
constexpr Duration kDrainTime = std::chrono::milliseconds(3500);
constexpr Duration kRestartDelay = std::chrono::milliseconds(500);
constexpr int kMaxRedirects = 2;
constexpr std::uint64_t kMaxBodyBytes = 20'000;

auto wallClockMilliseconds() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

auto eventText(const std::string &target, std::uint64_t number, const std::string &version)
    -> std::string
{
    return "id: " + std::to_string(number)
           + "\ndata: " + Upstream::eventData(target, number, version) + "\n\n";
}

} // namespace

auto Upstream::eventData(const std::string &target, std::uint64_t number,
                         const std::string &version) -> std::string
{
    const auto hash = hash64(target, number);
    return toHex({reinterpret_cast<const char *>(&hash), sizeof(hash)}) + kVersionMark + version;
}

auto Upstream::versionOf(const std::string &eventData) -> std::string
{
    const auto mark = eventData.find(kVersionMark);
    return mark == std::string::npos ? std::string() : eventData.substr(mark + 1);
}

auto Upstream::eventCount(const std::string &target) -> std::uint64_t
{
    const auto digits = std::string_view(target).substr(target.rfind('/') + 1);
    std::uint64_t count = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), count);
    return count;
}

Upstream::Upstream(net::EventLoop &loop, Identity identity, std::vector<Endpoint> controls,
                   Observations &observations, Random random)
    : m_loop(loop)
    , m_identity(std::move(identity))
    , m_controls(std::move(controls))
    , m_observations(observations)
    , m_random(random)
    , m_proxy(loop, {m_identity.host, Network::kUpstreamProxyPort},
              {m_identity.host, Network::kUpstreamPort})
    , m_client(loop,
               {[this](net::OutgoingId id, const net::HttpHead &head) { reportAnswered(id, head); },
                [](net::OutgoingId, std::string_view) {},
                [this](net::OutgoingId id, net::OutgoingResult end) {
                    if (id != m_reportId || end.complete)
                        return;
                    ++m_controlIndex; // The next heartbeat goes to another control instance.
                    m_reportId = 0;
                }})
{
}

Upstream::~Upstream() = default;

auto Upstream::start() -> void
{
    if (const auto opened = m_proxy.open(); !opened)
        throw std::runtime_error(opened.error().detail);
    restart(false);
}

auto Upstream::restart(bool sameId) -> void
{
    if (m_server)
        return;
    ++m_starts;
    if (!sameId || m_id.empty())
        m_id = m_identity.name + "-" + std::to_string(m_starts);
    m_softwareVersion = "v" + std::to_string(1 + m_random.below(kSoftwareVersions));
    m_startTimeMs = wallClockMilliseconds();
    m_sequence = 0;
    m_state = State::Ready;
    m_leaveAcknowledged = false;
    m_faults = m_baselineFaults;
    m_observations.upstreamRestarted(UpstreamId(m_id));
    listen();
    runHeartbeat();
}

auto Upstream::listen() -> void
{
    m_server = std::make_unique<net::HttpServer>(
        m_loop, net::HttpServer::Handlers{
                    [this](net::ExchangeId exchange, const net::HttpRequest &request) {
                        requested(exchange, request);
                    },
                    [this](net::ExchangeId exchange) { removeExchange(exchange); }});
    if (const auto opened = m_server->listen({m_identity.host, Network::kUpstreamPort}); !opened)
        throw std::runtime_error(opened.error().detail);
}

auto Upstream::crash() -> void
{
    m_loop.cancel(std::exchange(m_heartbeatTimer, 0));
    for (const auto &[exchange, running] : m_running)
        m_loop.cancel(running.timer);
    m_running.clear();
    // The server may be the caller of this function.
    m_loop.defer([server = std::shared_ptr<net::HttpServer>(std::move(m_server))] {});
}

auto Upstream::drain() -> void
{
    if (!m_server || m_state != State::Ready)
        return;
    m_state = State::Draining;
    m_loop.cancel(std::exchange(m_heartbeatTimer, 0));
    runHeartbeat();
}

auto Upstream::scaled(Duration duration) const -> Duration
{
    return std::chrono::duration_cast<Duration>(duration * m_faults.slowdown);
}

auto Upstream::requested(net::ExchangeId exchange, const net::HttpRequest &request) -> void
{
    const auto &headers = request.head.headers;
    const auto expected = headers.value(header::kExpectedUpstream);
    const auto isMisdirected = !expected.empty() && expected != m_id;
    const auto isFull = m_running.size() >= static_cast<std::size_t>(m_identity.slots);
    if (isMisdirected || isFull || m_random.unit() < m_faults.declineShare)
        return decline(exchange, request);
    observe(request);
    if (m_faults.isUnresponsive) {
        m_running[exchange] = {std::string(headers.value(header::kRequestId)), request.head.target,
                               1, false, 0};
        return;
    }
    if (m_random.unit() < m_faults.dropAnswerShare) {
        m_server->abort(exchange);
        return;
    }
    if (m_identity.isEngine)
        beginStream(exchange, request);
    else
        beginCall(exchange, request);
}

auto Upstream::answerHeaders(const std::string &request) const -> net::HeaderList
{
    net::HeaderList headers{{std::string(header::kSignature), m_id + kSignatureMark + request},
                            {std::string(header::kRequestId), request}};
    if (m_state != State::Ready)
        headers.add(std::string(header::kLeaving), "1");
    return headers;
}

auto Upstream::idOf(const std::string &signature) -> UpstreamId
{
    return UpstreamId(signature.substr(0, signature.find(kSignatureMark)));
}

auto Upstream::decline(net::ExchangeId exchange, const net::HttpRequest &request) -> void
{
    constexpr int kUnavailable = 503;
    net::HttpResponse response;
    response.status = kUnavailable;
    response.headers.add(std::string(header::kRequestId),
                         std::string(request.head.headers.value(header::kRequestId)));
    response.headers.add(std::string(header::kNotExecuted), "1");
    if (m_state != State::Ready)
        response.headers.add(std::string(header::kLeaving), "1");
    m_server->respond(exchange, response);
}

auto Upstream::observe(const net::HttpRequest &request) -> void
{
    const auto &headers = request.head.headers;
    ObservedRun run;
    run.id = headers.value(header::kRequestId);
    run.upstream = UpstreamId(m_id);
    run.customer = headers.value(header::kCustomer);
    run.method = request.head.method;
    run.target = request.head.target;
    run.body = request.body;
    run.carriesKey = headers.find(header::kKey) != nullptr;
    run.at = m_loop.now();
    m_observations.ran(run);
}

auto Upstream::beginStream(net::ExchangeId exchange, const net::HttpRequest &request) -> void
{
    const auto &headers = request.head.headers;
    Running running;
    running.request = headers.value(header::kRequestId);
    running.target = request.head.target;
    running.truncates = m_random.unit() < m_faults.truncateShare;
    const auto last = headers.value(header::kLastEvent);
    std::uint64_t number = 0;
    std::from_chars(last.data(), last.data() + last.size(), number);
    running.nextEvent = number + 1;
    running.timer = m_loop.at(m_loop.now() + scaled(kFirstEventDelay),
                              [this, exchange] { sendEvent(exchange); });
    auto answer = answerHeaders(running.request);
    answer.add("Content-Type", "text/event-stream");
    m_observations.produced(running.request, std::string(answer.value(header::kSignature)), {});
    m_running[exchange] = std::move(running);
    m_server->beginStream(exchange, 200, answer);
}

auto Upstream::sendEvent(net::ExchangeId exchange) -> void
{
    auto &running = m_running.at(exchange);
    const auto count = eventCount(running.target);
    if (running.truncates && running.nextEvent > count / 2) {
        // The stream ends within an event.
        m_server->write(
            exchange, eventText(running.target, running.nextEvent, m_softwareVersion).substr(0, 9));
        m_server->endStream(exchange, false);
        return removeExchange(exchange);
    }
    if (running.nextEvent <= count)
        m_server->write(exchange, eventText(running.target, running.nextEvent, m_softwareVersion));
    if (++running.nextEvent > count) {
        m_server->endStream(exchange, true);
        return removeExchange(exchange);
    }
    running.timer =
        m_loop.at(m_loop.now() + scaled(kEventInterval), [this, exchange] { sendEvent(exchange); });
}

auto Upstream::beginCall(net::ExchangeId exchange, const net::HttpRequest &request) -> void
{
    Running running;
    running.request = request.head.headers.value(header::kRequestId);
    running.target = request.head.target;
    running.truncates = m_random.unit() < m_faults.truncateShare;
    const auto work = kMinCallTime + std::chrono::milliseconds(m_random.below(kCallTimeSpreadMs));
    running.timer = m_loop.at(m_loop.now() + scaled(work), [this, exchange] { endCall(exchange); });
    m_running[exchange] = std::move(running);
}

auto Upstream::endCall(net::ExchangeId exchange) -> void
{
    const auto running = m_running.at(exchange);
    m_running.erase(exchange);
    constexpr int kFailure = 500;
    net::HttpResponse response;
    if (m_random.unit() < m_faults.failShare)
        response.status = kFailure;
    response.headers = answerHeaders(running.request);
    response.body = running.request + std::string(m_random.below(kMaxBodyBytes), 'x');
    m_observations.produced(running.request,
                            std::string(response.headers.value(header::kSignature)), response.body);
    if (running.truncates) {
        m_server->beginStream(exchange, 200, response.headers);
        m_server->write(exchange, response.body.substr(0, response.body.size() / 2));
        m_server->endStream(exchange, false);
        return;
    }
    m_server->respond(exchange, response);
}

auto Upstream::removeExchange(net::ExchangeId exchange) -> void
{
    const auto running = m_running.find(exchange);
    if (running == m_running.end())
        return;
    m_loop.cancel(running->second.timer);
    m_running.erase(running);
}

auto Upstream::runHeartbeat() -> void
{
    report(m_state);
    const auto pause = m_state == State::Ready ? kHeartbeatInterval : kHeartbeatRetryInterval;
    m_heartbeatTimer = m_loop.at(m_loop.now() + pause, [this] { runHeartbeat(); });
}

auto Upstream::report(State state) -> void
{
    m_redirects = 0;
    platform::UpstreamHeartbeat heartbeat;
    heartbeat.service = m_identity.service;
    heartbeat.address = {m_identity.host, Network::kUpstreamProxyPort};
    heartbeat.domain = m_identity.domain;
    heartbeat.softwareVersion = m_softwareVersion;
    heartbeat.slots = m_identity.slots;
    heartbeat.isDraining = state != State::Ready;
    heartbeat.sequence = ++m_sequence;
    heartbeat.startTime = std::chrono::milliseconds(m_startTimeMs);
    m_reportBody = platform::writeHeartbeat(heartbeat);
    m_reportTarget = std::string(state == State::Leaving ? call::kLeave : call::kHeartbeat) + m_id;
    sendReport(m_controls[m_controlIndex % m_controls.size()], m_reportTarget);
}

auto Upstream::sendReport(const Endpoint &to, const std::string &target) -> void
{
    m_reportId = ++m_lastReport;
    m_client.send(m_reportId, platform::controlCall("POST", to, target, m_reportBody));
}

auto Upstream::reportAnswered(net::OutgoingId id, const net::HttpHead &head) -> void
{
    if (id != m_reportId || !m_server)
        return;
    if (const auto leader = platform::redirection(head); leader && m_redirects++ < kMaxRedirects)
        return sendReport(*leader, m_reportTarget);
    const auto isDone = head.status >= 200 && head.status < 300;
    if (!isDone) {
        ++m_controlIndex;
        return;
    }
    if (m_state == State::Draining && !std::exchange(m_leaveAcknowledged, true)) {
        m_observations.upstreamLeaving(UpstreamId(m_id), m_loop.now());
        m_loop.at(m_loop.now() + kDrainTime, [this] {
            if (m_server && m_state == State::Draining)
                m_state = State::Leaving;
        });
    } else if (m_state == State::Leaving) {
        crash();
        m_loop.at(m_loop.now() + kRestartDelay, [this] { restart(false); });
    }
}

} // namespace heathergate::soak
