#include <heathergate/core/json_text.h>
#include <heathergate/testing/fake_engine.h>

#include <algorithm>

namespace heathergate::testing {

namespace {

constexpr std::int64_t kBytesPerToken = 4;
constexpr std::int64_t kMinAnswerTokens = 4;

auto wordAt(std::uint64_t seed, std::int64_t position) -> std::string
{
    constexpr std::string_view kWords[] = {"gold", "leaf",  "bunk",  "camp", "cockerel", "spire",
                                           "lake", "trail", "quote", "date", "size",     "ready",
                                           "slot", "form",  "week",  "price"};
    auto random = Random(seed + static_cast<std::uint64_t>(position));
    return std::string(kWords[random.below(std::size(kWords))]) + " ";
}

} // namespace

auto promptPrefixes(const nlohmann::json &messages) -> routing::PromptPrefixes
{
    routing::PromptPrefixes prompt;
    std::uint64_t hash = 0;
    std::int64_t tokens = 0;
    for (const auto &message : messages) {
        const auto text = jsonText(message);
        hash = hash64(text, hash);
        tokens += 1 + static_cast<std::int64_t>(text.size()) / kBytesPerToken;
        prompt.prefixes.push_back({hash, tokens});
    }
    return prompt;
}

auto FakeEngine::submit(TimePoint now, FakeEngineRequest request) -> void
{
    const auto after = [&](const FakeEngineRequest &other) {
        return other.priority > request.priority;
    };
    const auto position = std::find_if(m_waiting.begin(), m_waiting.end(), after);
    m_waiting.insert(position, std::move(request));
    admit(now);
}

auto FakeEngine::cancel(TimePoint now, std::uint64_t id) -> void
{
    m_running.erase(id);
    std::erase_if(m_waiting, [id](const auto &request) { return request.id == id; });
    admit(now);
}

auto FakeEngine::release(const std::string &program) -> void
{
    m_programs.erase(program);
}

auto FakeEngine::advance(TimePoint now) -> std::vector<FakeEngineEvent>
{
    std::vector<FakeEngineEvent> events;
    while (true) {
        const auto next = std::min_element(
            m_running.begin(), m_running.end(), [](const auto &left, const auto &right) {
                return left.second.nextToken < right.second.nextToken;
            });
        if (next == m_running.end() || next->second.nextToken > now)
            return events;
        auto &running = next->second;
        const auto at = running.nextToken;
        events.push_back(produce(running));
        if (events.back().finished) {
            m_running.erase(next);
            admit(at);
        } else {
            running.nextToken = at + interval();
        }
    }
}

auto FakeEngine::nextEvent() const -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto &[id, running] : m_running)
        next = std::min(next, running.nextToken);
    return next;
}

auto FakeEngine::admit(TimePoint now) -> void
{
    while (!m_waiting.empty() && static_cast<int>(m_running.size()) < m_settings.slots) {
        Running running;
        running.request = std::move(m_waiting.front());
        m_waiting.erase(m_waiting.begin());
        const auto &prompt = running.request.prompt;
        running.cached = m_cache.cachedTokens(prompt);
        m_cache.touch(prompt);
        const auto computed = prompt.totalTokens() - running.cached;
        m_computed += computed;
        running.seed = prompt.prefixes.empty() ? 1 : prompt.prefixes.back().hash;
        const auto spread = std::max(1, m_settings.maxAnswerTokens);
        running.length = std::min<std::int64_t>(
            running.request.maxTokens,
            kMinAnswerTokens
                + static_cast<std::int64_t>(running.seed % static_cast<std::uint64_t>(spread)));
        running.nextToken = now + m_settings.prefillTime * computed + interval();
        if (!running.request.program.empty())
            m_programs.insert(running.request.program);
        m_running.emplace(running.request.id, std::move(running));
    }
}

auto FakeEngine::produce(Running &running) -> FakeEngineEvent
{
    FakeEngineEvent event;
    event.id = running.request.id;
    event.token = wordAt(running.seed, running.produced);
    ++running.produced;
    event.finished = running.produced >= running.length;
    event.promptTokens = running.request.prompt.totalTokens();
    event.cachedTokens = running.cached;
    event.completionTokens = running.produced;
    return event;
}

auto FakeEngine::interval() const -> Duration
{
    return m_settings.tokenTime
           + m_settings.tokenSlope * static_cast<std::int64_t>(m_running.size());
}

} // namespace heathergate::testing
