#include "caller.h"

#include "upstream.h"

#include <charconv>
#include <heathergate/platform/names.h>
#include <heathergate/platform/sender_formats.h>

namespace heathergate::soak {

namespace {

namespace header = platform::header;

constexpr Duration kTurnTimeout = std::chrono::seconds(3);
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
constexpr Duration kDirectoryTimeout = std::chrono::seconds(1);
constexpr Duration kThinkTime = std::chrono::milliseconds(60);
constexpr Duration kRetryPause = std::chrono::milliseconds(150);
constexpr Duration kCancelDelay = std::chrono::milliseconds(40);
constexpr int kMaxTurns = 6;
constexpr std::uint64_t kMaxEvents = 9;
constexpr std::uint64_t kMaxBodyBytes = 4000;
/// Share of programs that continue the conversation of the program before.
constexpr double kContinueShare = 0.5;
constexpr int kUnavailable = 503;
/// Share of interrupted streams that are resumed; the others begin anew.
constexpr double kResumeShare = 0.8;
constexpr std::size_t kMaxConversationBytes = 100'000;

auto retryAfter(const net::HttpHead &head) -> std::optional<Duration>
{
    const auto text = std::string(head.headers.value("Retry-After"));
    if (text.empty())
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::stod(text)));
}

} // namespace

Caller::Caller(net::EventLoop &loop, Settings settings, Observations &observations, Random random,
               AccountSource accounts, StopCheck stoppedGracefully)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_observations(observations)
    , m_random(random)
    , m_accounts(std::move(accounts))
    , m_stoppedGracefully(std::move(stoppedGracefully))
    , m_client(loop,
               {[this](net::OutgoingId id, const net::HttpHead &head) { headReceived(id, head); },
                [this](net::OutgoingId id, std::string_view bytes) { bodyReceived(id, bytes); },
                [this](net::OutgoingId id, net::OutgoingResult end) { ended(id, end); }})
{
}

auto Caller::start() -> void
{
    after(std::chrono::milliseconds(m_random.below(400)), [this] { beginProgram(); });
}

auto Caller::after(Duration pause, net::EventLoop::Action action) -> void
{
    m_loop.at(m_loop.now() + pause, std::move(action));
}

auto Caller::beginProgram() -> void
{
    if (m_finishing)
        return;
    auto conversation = std::move(m_program.conversation);
    m_program = {};
    m_program.name = m_settings.name + "-p" + std::to_string(++m_programs);
    m_program.account = m_accounts();
    // Some programs continue the conversation of an earlier one.
    if (conversation.customer == m_program.account.name
        && conversation.content.size() < kMaxConversationBytes && m_random.unit() < kContinueShare)
        m_program.conversation = std::move(conversation);
    m_program.turnsLeft = 1 + static_cast<int>(m_random.below(kMaxTurns));
    m_program.maxTurnTokens = Upstream::kTokensPerEvent * static_cast<std::int64_t>(kMaxEvents);
    // Some programs get a budget that their turns can exceed.
    m_program.budget = m_program.maxTurnTokens * (1 + static_cast<std::int64_t>(m_random.below(5)));
    nextStep();
}

auto Caller::nextStep() -> void
{
    if (m_program.turnsLeft == 0)
        return after(kThinkTime, [this] { beginProgram(); });
    const auto draw = m_random.unit();
    if (draw < 0.25)
        return issue(RequestKind::RunsOnce, 2);
    if (draw < 0.5)
        return issue(RequestKind::Idempotent, 3);
    --m_program.turnsLeft;
    ++m_program.turn;
    issue(RequestKind::Turn, 2);
}

auto Caller::targetOf(RequestKind kind) -> std::string
{
    const auto name = m_program.name + "/" + std::to_string(m_requests);
    switch (kind) {
    case RequestKind::Turn:
        return kTurnPrefix + name + "/" + std::to_string(1 + m_random.below(kMaxEvents));
    case RequestKind::Idempotent:
        return kIdempotentPrefix + name + "?q=%20a+b";
    case RequestKind::RunsOnce:
        break;
    }
    return kRunsOncePrefix + name;
}

auto Caller::issue(RequestKind kind, int tries) -> void
{
    m_exchange = {};
    m_exchange.triesLeft = tries;
    auto &issued = m_exchange.issued;
    issued.kind = kind;
    issued.customer = m_program.account.name;
    issued.key = m_program.account.key;
    issued.method = kind == RequestKind::Idempotent ? "GET" : "POST";
    issued.target = targetOf(kind);
    if (kind != RequestKind::Idempotent)
        issued.body = std::string(m_random.below(kMaxBodyBytes), 'b');
    if (kind == RequestKind::Turn) {
        issued.previousTurn = m_program.conversation.lastTurn;
        issued.history = m_program.conversation.content;
    }
    m_exchange.cancels = m_random.unit() < m_settings.cancelShare;
    chooseGateway();
}

auto Caller::chooseGateway() -> void
{
    if (m_settings.reusesGateway && m_gateway)
        return send();
    if (m_gateways.empty() || m_loop.now() >= m_gatewaysExpireAt)
        return requestDirectory();
    m_gateway = m_gateways[m_random.below(m_gateways.size())];
    send();
}

auto Caller::requestDirectory() -> void
{
    m_directoryBody.clear();
    m_directoryStatus = 0;
    m_directoryCall = ++m_lastId;
    const auto &to = m_settings.directories[m_directory++ % m_settings.directories.size()];
    m_client.send(
        m_directoryCall,
        platform::controlCall("GET", to, platform::directoryTarget(kHost, m_settings.domain), {}));
    after(kDirectoryTimeout, [this, id = m_directoryCall] {
        if (m_directoryCall != id)
            return;
        m_client.cancel(id);
        requestDirectory();
    });
}

auto Caller::requestBytes() const -> std::string
{
    const auto &issued = m_exchange.issued;
    const auto isTurn = issued.kind == RequestKind::Turn;
    const auto timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(isTurn ? kTurnTimeout : kCallTimeout);
    std::string out = issued.method + " " + issued.target + " HTTP/1.1\r\n";
    net::appendHeader(out, "Host", kHost);
    net::appendHeader(out, header::kRequestId, issued.id);
    net::appendHeader(out, header::kKey, issued.key);
    net::appendHeader(out, header::kCustomer, "forged");
    net::appendHeader(out, header::kDeadline, std::to_string(timeout.count()));
    net::appendHeader(out, header::kProgram, m_program.name);
    net::appendHeader(out, header::kFinishIn, "5000");
    if (isTurn) {
        if (m_exchange.resumes) {
            net::appendHeader(out, header::kLastEvent, std::to_string(m_exchange.lastEvent));
            net::appendHeader(out, header::kResumedAttempt, m_exchange.firstAttempt);
        }
        if (!issued.previousTurn.empty())
            net::appendHeader(out, header::kPreviousTurn, issued.previousTurn);
        net::appendHeader(out, header::kTokenBudget, std::to_string(m_program.budget));
        net::appendHeader(out, header::kTokenUsage,
                          "100," + std::to_string(m_program.maxTurnTokens));
        net::appendHeader(out, header::kPromptParts,
                          "aa:50," + toHex(m_program.name) + std::to_string(m_program.turn)
                              + ":50");
    }
    if (!issued.body.empty() || issued.method == "POST")
        net::appendHeader(out, "Content-Length", std::to_string(issued.body.size()));
    return out + "\r\n" + issued.body;
}

auto Caller::send() -> void
{
    auto &issued = m_exchange.issued;
    issued.id = m_settings.name + "-" + std::to_string(++m_requests);
    issued.gateway = InstanceId(m_gateway->host);
    issued.sentAt = m_loop.now();
    --m_exchange.triesLeft;
    m_exchange.head = {};
    m_exchange.body.clear();
    m_exchange.events.reset();
    if (m_exchange.lastEvent == 0 || m_random.unit() >= kResumeShare)
        forgetStream();
    m_exchange.resumes = m_exchange.lastEvent > 0;
    m_observations.issued(issued);
    m_current = ++m_lastId;
    net::OutgoingRequest request;
    request.to = *m_gateway;
    request.bytes = requestBytes();
    request.maxIdle = std::chrono::minutes(1);
    m_client.send(m_current, std::move(request));
    const auto isTurn = issued.kind == RequestKind::Turn;
    const auto timeout = m_exchange.cancels ? kCancelDelay : isTurn ? kTurnTimeout : kCallTimeout;
    after(timeout, [this, id = m_current] {
        if (m_current != id)
            return;
        m_client.cancel(id);
        m_current = 0;
        if (m_settings.reusesGateway)
            m_gateway.reset();
        nextStep();
    });
}

auto Caller::forgetStream() -> void
{
    m_exchange.output.clear();
    m_exchange.lastEvent = 0;
    m_exchange.firstAttempt.clear();
}

auto Caller::headReceived(net::OutgoingId id, const net::HttpHead &head) -> void
{
    if (id == m_directoryCall)
        m_directoryStatus = head.status;
    else if (id == m_current)
        m_exchange.head = head;
}

auto Caller::bodyReceived(net::OutgoingId id, std::string_view bytes) -> void
{
    if (id == m_directoryCall)
        m_directoryBody.append(bytes);
    else if (id == m_current && m_exchange.issued.kind == RequestKind::Turn
             && m_exchange.head.status == 200)
        takeEvents(bytes);
    else if (id == m_current)
        m_exchange.body.append(bytes);
}

auto Caller::takeEvents(std::string_view bytes) -> void
{
    const auto &issued = m_exchange.issued;
    for (const auto &event : m_exchange.events.feed(bytes)) {
        const auto number = event.id.value_or(0);
        const auto data = event.bytes.substr(event.bytes.find("data: ") + 6);
        const auto version = Upstream::versionOf(fleet::eventData(event.bytes));
        m_observations.eventReceived(issued.id, m_exchange.lastEvent, number, data,
                                     Upstream::eventData(issued.target, number, version) + "\n\n");
        if (m_exchange.firstAttempt.empty())
            m_exchange.firstAttempt = issued.id;
        m_observations.versionReceived(m_exchange.firstAttempt, issued.id, version);
        m_exchange.lastEvent = number;
        m_exchange.output += fleet::eventData(event.bytes) + '\n';
        m_observations.tokensReceived(m_program.name, Upstream::kTokensPerEvent,
                                      m_program.budget + m_program.maxTurnTokens);
    }
}

auto Caller::ended(net::OutgoingId id, net::OutgoingResult end) -> void
{
    if (id == m_directoryCall) {
        m_directoryCall = 0;
        const auto answer = platform::readDirectory(m_directoryBody);
        if (!end.complete || m_directoryStatus != 200 || !answer || answer->gateways.empty())
            return after(kRetryPause, [this] { requestDirectory(); });
        m_gateways = answer->gateways;
        m_gatewaysExpireAt = m_loop.now() + answer->timeToLive;
        return chooseGateway();
    }
    if (id == m_current)
        requestEnded(end);
}

auto Caller::requestEnded(const net::OutgoingResult &end) -> void
{
    m_current = 0;
    const auto &issued = m_exchange.issued;
    const auto &head = m_exchange.head;
    ObservedAnswer answer;
    answer.id = issued.id;
    answer.status = head.status;
    answer.complete = end.complete;
    answer.signature = head.headers.value(header::kSignature);
    answer.body = m_exchange.body;
    answer.at = m_loop.now();
    if (head.headers.value(header::kLeaving) == "1")
        answer.leaving = Upstream::idOf(answer.signature);
    m_observations.answered(answer);
    const auto isCompleteStream =
        issued.kind == RequestKind::Turn && end.complete && head.status == 200;
    if (isCompleteStream && m_exchange.lastEvent != Upstream::eventCount(issued.target))
        m_observations.streamTruncated(issued.id, m_exchange.lastEvent);
    if (isCompleteStream)
        continueConversation();
    if (head.status == kUnavailable)
        forgetStream(); // The stream may be impossible to resume, so that it begins anew.
    constexpr int kNotFound = 404;
    if (head.status == kNotFound && !issued.previousTurn.empty())
        m_observations.turnDenied(issued.id, issued.previousTurn);
    if (!end.complete && end.connected && m_observations.hasRun(issued.id)
        && m_stoppedGracefully(issued.gateway, issued.sentAt))
        m_observations.interruptedByGracefulStop(issued.id, issued.gateway);
    if (!end.complete) {
        std::erase_if(m_gateways,
                      [&](const Endpoint &item) { return item.host == issued.gateway.value; });
        m_gateway.reset();
    }
    const auto pause = retryPause();
    if (m_exchange.triesLeft > 0 && pause)
        after(*pause, [this] { chooseGateway(); });
    else
        after(kThinkTime, [this] { nextStep(); });
}

auto Caller::continueConversation() -> void
{
    auto &conversation = m_program.conversation;
    if (m_exchange.resumes) {
        conversation = {}; // No gateway holds all events of a stream that its caller resumed.
        return;
    }
    conversation.customer = m_exchange.issued.customer;
    conversation.lastTurn = m_exchange.issued.id;
    conversation.content += m_exchange.issued.body + m_exchange.output;
}

/// Returns the delay before a retry; `std::nullopt` if the request must not be retried.
auto Caller::retryPause() const -> std::optional<Duration>
{
    const auto status = m_exchange.head.status;
    if (status == kUnavailable || status == 429)
        return retryAfter(m_exchange.head).value_or(kRetryPause);
    const auto failed = status == 0 || status >= 500;
    if (failed && m_exchange.issued.kind != RequestKind::RunsOnce)
        return kRetryPause;
    return std::nullopt;
}

} // namespace heathergate::soak
