#pragma once

#include <heathergate/limits/limits.h>
#include <heathergate/replay/backend.h>
#include <heathergate/replay/report.h>

#include <heathergate/testing/fake_engine.h>

#include <set>

namespace heathergate::replay {

/// Simulates the callers of a trace against a backend. Each program makes its calls one after the
/// other, retries refused and lost calls, and ends as "late" when its timeout expires.
template <Backend B>
class Replayer
{
public:
    Replayer(std::string name, const Trace &trace, B &backend)
        : m_trace(trace)
        , m_backend(backend)
        , m_startedAt(backend.now())
    {
        m_report.name = std::move(name);
        for (const auto &program : trace.programs) {
            Run run;
            run.program = &program;
            m_runs.push_back(std::move(run));
        }
        for (const auto &customer : trace.customers)
            m_buckets.emplace(customer.name, limits::TokenBucket(limitOf(customer), m_startedAt));
    }

    /// Runs until all programs have ended. May be called once.
    auto run() -> ReplayReport
    {
        std::size_t failure = 0;
        while (std::any_of(m_runs.begin(), m_runs.end(), [](const auto &r) { return !r.ended; })) {
            m_backend.run(kStep);
            const auto elapsed = m_backend.now() - m_startedAt;
            while (failure < m_trace.failures.size()
                   && std::chrono::milliseconds(m_trace.failures[failure].atMs) <= elapsed)
                m_backend.inject(m_trace.failures[failure++]);
            for (auto &run : m_runs) {
                if (!run.ended && std::chrono::milliseconds(run.program->atMs) <= elapsed)
                    step(run);
            }
        }
        m_report.computedPromptTokens = m_backend.computedPromptTokens();
        m_report.occupancy = m_backend.occupancy();
        for (auto &violation : m_backend.violations())
            m_report.violations.push_back(std::move(violation));
        return std::move(m_report);
    }

private:
    static constexpr Duration kStep = std::chrono::milliseconds(2);
    static constexpr Duration kResendPause = std::chrono::milliseconds(200);
    static constexpr Duration kAnswerTimeout = std::chrono::seconds(8);

    struct Run
    {
        const TraceProgram *program = nullptr;
        bool begun = false;
        bool ended = false;
        std::size_t next = 0;
        int tries = 0;
        std::optional<Ticket> ticket;
        TimePoint sentAt{};
        TimePoint notBefore{};
        TimePoint startedAt{};
        Duration paused{};
        nlohmann::json messages = nlohmann::json::array();
    };

    static auto limitOf(const TraceCustomer &customer) -> limits::Limit
    {
        return {static_cast<limits::MicroTokens>(customer.rate * limits::kOneToken),
                static_cast<limits::MicroTokens>(customer.burst * limits::kOneToken), 1};
    }

    auto step(Run &run) -> void
    {
        const auto now = m_backend.now();
        if (!std::exchange(run.begun, true)) {
            ++m_report.started;
            run.startedAt = now;
            m_backend.startProgram(*run.program);
        }
        if (now - run.startedAt > run.paused + std::chrono::milliseconds(run.program->patienceMs))
            return end(run, "late");
        if (run.ticket)
            return awaitAnswer(run, now);
        if (now < run.notBefore)
            return;
        if (run.next == run.program->steps.size())
            return end(run, "finished");
        const auto &current = run.program->steps[run.next];
        if (current.pauseMs > 0 && current.model.empty() && current.service.empty()) {
            run.paused += std::chrono::milliseconds(current.pauseMs);
            run.notBefore = now + std::chrono::milliseconds(current.pauseMs);
            ++run.next;
            return;
        }
        send(run, now);
    }

    auto send(Run &run, TimePoint now) -> void
    {
        const auto &current = run.program->steps[run.next];
        ReplayCall call;
        call.program = run.program->name;
        call.customer = run.program->customer;
        call.idempotencyKey = "step-" + std::to_string(run.next);
        call.model = current.model;
        call.tokens = current.tokens;
        call.service = current.service;
        if (run.next == 0)
            call.system = run.program->system;
        if (!current.model.empty() && run.tries == 0)
            countFreshTokens(run, call);
        run.sentAt = now;
        m_withinRate[&run] = m_buckets.at(call.customer).tryTake(now);
        run.ticket = m_backend.submit(call, run.tries);
    }

    /// Counts the prompt tokens that no earlier prompt contained: the minimum to be computed.
    auto countFreshTokens(Run &run, const ReplayCall &call) -> void
    {
        if (!call.system.empty())
            run.messages.push_back({{"role", "system"}, {"content", call.system}});
        run.messages.push_back({{"role", "user"}, {"content", call.model}});
        std::int64_t covered = 0;
        for (const auto &prefix : testing::promptPrefixes(run.messages).prefixes) {
            if (m_knownPrefixes.insert(prefix.hash).second)
                m_report.freshPromptTokens += prefix.tokens - covered;
            covered = prefix.tokens;
        }
    }

    auto awaitAnswer(Run &run, TimePoint now) -> void
    {
        const auto answer = m_backend.answer(*run.ticket);
        if (!answer && now - run.sentAt < kAnswerTimeout)
            return;
        run.ticket.reset();
        if (answer && answer->success) {
            ++run.next;
            run.tries = 0;
            return;
        }
        if (answer && answer->limited)
            return end(run, "limited");
        if (answer && answer->unknown)
            return end(run, "unknown");
        if (answer && answer->overRate) {
            ++m_report.refusedOverRate;
            // Programs of the over-rate customer exceed the rate on purpose, so they are not
            // counted.
            if (m_withinRate[&run] && run.program->outcome != "any")
                ++m_report.refusedWithinRate;
        }
        ++run.tries;
        ++m_report.resends;
        run.notBefore = now + std::max(kResendPause, answer ? answer->retryAfter : Duration{});
    }

    auto end(Run &run, const std::string &outcome) -> void
    {
        run.ended = true;
        const auto latency = m_backend.now() - run.startedAt - run.paused;
        if (outcome == "finished") {
            ++m_report.finished;
            if (run.program->outcome != "any") {
                m_report.programs.record(latency);
                m_report.byCustomer[run.program->customer].record(latency);
            }
        }
        // A non-idempotent call that may have run when its instance crashed must not be retried.
        const auto allowed = run.program->outcome == "any" || outcome == run.program->outcome
                             || (outcome == "unknown" && !m_trace.failures.empty());
        if (!allowed)
            m_report.violations.push_back("program " + run.program->name + " ended '" + outcome
                                          + "', expected '" + run.program->outcome + "'");
    }

    const Trace &m_trace;
    B &m_backend;
    TimePoint m_startedAt;
    std::vector<Run> m_runs;
    std::map<std::string, limits::TokenBucket> m_buckets;
    std::map<const Run *, bool> m_withinRate;
    std::set<std::uint64_t> m_knownPrefixes;
    ReplayReport m_report;
};

} // namespace heathergate::replay
