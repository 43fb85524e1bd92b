#include <heathergate/replay/naive_backend.h>

namespace heathergate::replay {

namespace {

constexpr Duration kServiceTime = std::chrono::milliseconds(5);
constexpr Duration kStep = std::chrono::milliseconds(1);

} // namespace

NaiveBackend::NaiveBackend(const Trace &trace)
    : m_slots(trace.fleet.slots)
{
    testing::FakeEngineSettings settings;
    settings.slots = trace.fleet.slots;
    settings.tokenTime = Duration(trace.fleet.tokenMicros);
    settings.tokenSlope = Duration(trace.fleet.slopeMicros);
    settings.prefillTime = Duration(trace.fleet.prefillMicros);
    settings.cacheTokens = trace.fleet.cacheTokens;
    for (int i = 0; i < trace.fleet.engines; ++i)
        m_engines.push_back({testing::FakeEngine(settings)});
    for (const auto &customer : trace.customers) {
        const limits::Limit limit{
            static_cast<limits::MicroTokens>(customer.rate * limits::kOneToken),
            static_cast<limits::MicroTokens>(customer.burst * limits::kOneToken), 1};
        m_buckets.emplace(customer.name, limits::TokenBucket(limit, m_clock.now()));
    }
}

auto NaiveBackend::run(Duration time) -> void
{
    const auto end = m_clock.now() + time;
    while (m_clock.now() < end) {
        m_clock.advance(kStep);
        for (auto &item : m_engines) {
            if (item.isDown || item.isUnresponsive)
                continue;
            for (const auto &event : item.engine.advance(m_clock.now())) {
                auto &work = m_work[event.id];
                work.text += event.token;
                if (!event.finished)
                    continue;
                work.messages.push_back({{"role", "assistant"}, {"content", work.text}});
                m_histories[work.program] = work.messages;
                m_answers[event.id].success = true;
            }
        }
        while (!m_services.empty() && m_services.begin()->first <= m_clock.now()) {
            m_answers[m_services.begin()->second].success = true;
            m_services.erase(m_services.begin());
        }
    }
    for (auto &item : m_engines) {
        m_busySlots += item.isDown ? 0 : std::min(m_slots, item.engine.requests());
        m_slotSteps += item.isDown ? 0 : m_slots;
    }
}

auto NaiveBackend::startProgram(const TraceProgram &program) -> void
{
    m_histories[program.name] = nlohmann::json::array();
}

auto NaiveBackend::submit(const ReplayCall &call, int) -> Ticket
{
    const auto ticket = ++m_lastTicket;
    if (!m_buckets.at(call.customer).tryTake(m_clock.now())) {
        ReplayAnswer refusal;
        refusal.overRate = true;
        refusal.retryAfter = m_buckets.at(call.customer).nextToken() - m_clock.now();
        m_answers[ticket] = refusal;
        return ticket;
    }
    if (!call.service.empty()) {
        m_services.emplace(m_clock.now() + kServiceTime, ticket);
        return ticket;
    }
    auto &work = m_work[ticket];
    work.program = call.program;
    work.messages = m_histories[call.program];
    if (!call.system.empty())
        work.messages.push_back({{"role", "system"}, {"content", call.system}});
    work.messages.push_back({{"role", "user"}, {"content", call.model}});
    work.tokens = call.tokens;
    dispatch(ticket);
    return ticket;
}

auto NaiveBackend::dispatch(Ticket ticket) -> void
{
    auto &work = m_work[ticket];
    for (std::size_t tried = 0; tried < m_engines.size(); ++tried) {
        work.engine = m_nextEngine++ % m_engines.size();
        if (!m_engines[work.engine].isDown)
            break;
    }
    testing::FakeEngineRequest request;
    request.id = ticket;
    request.prompt = testing::promptPrefixes(work.messages);
    request.maxTokens = work.tokens;
    m_engines[work.engine].engine.submit(m_clock.now(), std::move(request));
}

auto NaiveBackend::answer(Ticket ticket) -> std::optional<ReplayAnswer>
{
    const auto found = m_answers.find(ticket);
    if (found == m_answers.end())
        return std::nullopt;
    return found->second;
}

auto NaiveBackend::inject(const TraceFailure &failure) -> void
{
    const auto dash = failure.target.rfind('-');
    const auto number = std::strtoul(failure.target.c_str() + dash + 1, nullptr, 10);
    if (number >= m_engines.size())
        return;
    auto &item = m_engines[number];
    if (failure.what == "silence-engine")
        item.isUnresponsive = true;
    if (failure.what == "revive-engine")
        item.isDown = false;
    if (failure.what != "kill-engine")
        return;
    item.isDown = true;
    for (auto &[ticket, work] : m_work) {
        if (work.engine != number || m_answers.contains(ticket))
            continue;
        item.engine.cancel(m_clock.now(), ticket);
        work.text.clear();
        dispatch(ticket);
    }
}

auto NaiveBackend::computedPromptTokens() -> std::int64_t
{
    std::int64_t sum = 0;
    for (const auto &item : m_engines)
        sum += item.engine.computedPromptTokens();
    return sum;
}

auto NaiveBackend::occupancy() -> double
{
    return m_slotSteps == 0 ? 0 : m_busySlots / m_slotSteps;
}

} // namespace heathergate::replay
