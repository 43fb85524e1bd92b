#pragma once

#include <heathergate/limits/limits.h>
#include <heathergate/replay/backend.h>
#include <heathergate/testing/fake_engine.h>
#include <heathergate/testing/manual_clock.h>

namespace heathergate::replay {

/// Baseline for comparison: a single process with one token bucket per customer, round robin over
/// the engines and first-come, first-served queues, without prompt affinity or priorities.
class NaiveBackend
{
public:
    explicit NaiveBackend(const Trace &trace);

    [[nodiscard]] auto now() -> TimePoint
    {
        return m_clock.now();
    }
    auto run(Duration time) -> void;
    auto startProgram(const TraceProgram &program) -> void;
    [[nodiscard]] auto submit(const ReplayCall &call, int tries) -> Ticket;
    [[nodiscard]] auto answer(Ticket ticket) -> std::optional<ReplayAnswer>;
    auto inject(const TraceFailure &failure) -> void;
    [[nodiscard]] auto computedPromptTokens() -> std::int64_t;
    [[nodiscard]] auto occupancy() -> double;
    [[nodiscard]] auto violations() -> std::vector<std::string>
    {
        return {};
    }

private:
    struct Engine
    {
        testing::FakeEngine engine;
        bool isDown = false;
        bool isUnresponsive = false;
    };

    struct Work
    {
        std::string program;
        nlohmann::json messages;
        std::int64_t tokens = 0;
        std::size_t engine = 0;
        std::string text;
    };

    auto dispatch(Ticket ticket) -> void;

    int m_slots;
    testing::ManualClock m_clock;
    std::vector<Engine> m_engines;
    std::size_t m_nextEngine = 0;
    Ticket m_lastTicket = 0;
    std::map<Ticket, Work> m_work;
    std::map<Ticket, ReplayAnswer> m_answers;
    std::multimap<TimePoint, Ticket> m_services;
    std::map<std::string, nlohmann::json> m_histories;
    std::map<std::string, limits::TokenBucket> m_buckets;
    double m_busySlots = 0;
    double m_slotSteps = 0;
};

static_assert(Backend<NaiveBackend>);

} // namespace heathergate::replay
