#pragma once

#include <heathergate/core/core.h>
#include <heathergate/routing/prefix_index.h>

#include <map>
#include <set>

namespace heathergate::testing {

/// Speed and size of a fake engine.
struct FakeEngineSettings
{
    int slots = 8;
    /// Time between two tokens of a request that runs alone.
    Duration tokenTime = std::chrono::milliseconds(5);
    /// How much every further running request adds to it.
    Duration tokenSlope = std::chrono::microseconds(200);
    /// Time to process one prompt token that is not cached.
    Duration prefillTime = std::chrono::microseconds(20);
    std::int64_t cacheTokens = 100'000;
    int maxAnswerTokens = 64;
};

/// A request to a fake engine.
struct FakeEngineRequest
{
    std::uint64_t id = 0;
    std::string program;
    routing::PromptPrefixes prompt;
    std::int64_t maxTokens = 16;
    int priority = 0;
};

/// Something a fake engine produced.
struct FakeEngineEvent
{
    std::uint64_t id = 0;
    std::string token;
    bool finished = false;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t completionTokens = 0;
};

/// A model engine reduced to what matters for scheduling: continuous batching with a slope per
/// running request, a prompt-prefix cache in limited memory, priorities, cancelling. Its answers
/// are a function of the prompt. Without I/O and threads.
class FakeEngine
{
public:
    explicit FakeEngine(FakeEngineSettings settings)
        : m_settings(settings)
        , m_cache(settings.cacheTokens)
    {
    }

    /// Adds a request, which waits if all slots are taken.
    auto submit(TimePoint now, FakeEngineRequest request) -> void;
    /// Gives up a request.
    auto cancel(TimePoint now, std::uint64_t id) -> void;
    /// Forgets what is held for a program.
    auto release(const std::string &program) -> void;
    /// Returns what was produced up to `now`.
    [[nodiscard]] auto advance(TimePoint now) -> std::vector<FakeEngineEvent>;
    /// Returns when the next token is due.
    [[nodiscard]] auto nextEvent() const -> TimePoint;

    /// Returns the requests running or waiting.
    [[nodiscard]] auto requests() const -> int
    {
        return static_cast<int>(m_running.size() + m_waiting.size());
    }
    /// Returns the programs for which memory is held.
    [[nodiscard]] auto programs() const -> const std::set<std::string> &
    {
        return m_programs;
    }
    /// Returns the prompt tokens processed that were not cached.
    [[nodiscard]] auto computedPromptTokens() const -> std::int64_t
    {
        return m_computed;
    }

private:
    struct Running
    {
        FakeEngineRequest request;
        std::int64_t cached = 0;
        std::int64_t produced = 0;
        std::int64_t length = 0;
        std::uint64_t seed = 0;
        TimePoint nextToken{};
    };

    auto admit(TimePoint now) -> void;
    [[nodiscard]] auto produce(Running &running) -> FakeEngineEvent;
    [[nodiscard]] auto interval() const -> Duration;

    FakeEngineSettings m_settings;
    routing::PrefixIndex m_cache;
    std::map<std::uint64_t, Running> m_running;
    std::vector<FakeEngineRequest> m_waiting;
    std::set<std::string> m_programs;
    std::int64_t m_computed = 0;
};

/// Returns the prefixes of a chat prompt as the router estimates them.
[[nodiscard]] auto promptPrefixes(const nlohmann::json &messages) -> routing::PromptPrefixes;

} // namespace heathergate::testing
