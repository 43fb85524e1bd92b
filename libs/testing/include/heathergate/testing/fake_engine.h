#pragma once

#include <heathergate/core/core.h>
#include <heathergate/routing/prefix_index.h>

#include <map>
#include <set>

namespace heathergate::testing {

/// Speed and capacity of a fake engine.
struct FakeEngineSettings
{
    int slots = 8;
    /// Time between two tokens, without the increase for running requests.
    Duration tokenTime = std::chrono::milliseconds(5);
    /// Increase of the time between two tokens for each running request. The request itself counts
    /// after its first token.
    Duration tokenSlope = std::chrono::microseconds(200);
    /// Time to process one uncached prompt token.
    Duration prefillTime = std::chrono::microseconds(20);
    std::int64_t cacheTokens = 100'000;
    /// Answers have 4 to `maxAnswerTokens` + 3 tokens, or fewer if the request allows fewer.
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

/// One token of an answer. The token counts are totals of the request up to this event.
struct FakeEngineEvent
{
    std::uint64_t id = 0;
    std::string token;
    bool finished = false;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t completionTokens = 0;
};

/// Simulates the scheduling behaviour of a model engine: continuous batching whose token time grows
/// with the batch size, a prompt prefix cache of limited size, priorities and cancellation. Answers
/// are a deterministic function of the prompt. Performs no I/O and starts no threads.
class FakeEngine
{
public:
    explicit FakeEngine(FakeEngineSettings settings)
        : m_settings(settings)
        , m_cache(settings.cacheTokens)
    {
    }

    /// Adds a request. It is queued by priority while all slots are in use.
    auto submit(TimePoint now, FakeEngineRequest request) -> void;
    /// Cancels a running or queued request.
    auto cancel(TimePoint now, std::uint64_t id) -> void;
    /// Releases the memory held for a program.
    auto release(const std::string &program) -> void;
    /// Returns the tokens produced up to `now`, in order of time.
    [[nodiscard]] auto advance(TimePoint now) -> std::vector<FakeEngineEvent>;
    /// Returns when the next token is due; `TimePoint::max()` if no request runs.
    [[nodiscard]] auto nextEvent() const -> TimePoint;

    /// Returns the number of running and queued requests.
    [[nodiscard]] auto requests() const -> int
    {
        return static_cast<int>(m_running.size() + m_waiting.size());
    }
    /// Returns the programs whose memory has not been released.
    [[nodiscard]] auto programs() const -> const std::set<std::string> &
    {
        return m_programs;
    }
    /// Returns the number of uncached prompt tokens processed so far.
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

/// Returns the prefixes of a chat prompt with token counts estimated as in the router.
[[nodiscard]] auto promptPrefixes(const nlohmann::json &messages) -> routing::PromptPrefixes;

} // namespace heathergate::testing
