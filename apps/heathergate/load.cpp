#include "load.h"

#include <heathergate/daemon/ace_clock.h>

#include <thread>

namespace heathergate::app {

namespace {

constexpr std::size_t kEventRingCapacity = 65'536;
constexpr std::chrono::microseconds kPollInterval{20};

struct InFlight
{
    std::size_t target = 0;
    TimePoint intended{};
    int status = 0;
    bool hasBody = false;
};

auto expandNumber(std::string text, std::uint64_t number) -> std::string
{
    constexpr std::string_view kPlaceholder = "{n}";
    for (auto at = text.find(kPlaceholder); at != std::string::npos;
         at = text.find(kPlaceholder, at))
        text.replace(at, kPlaceholder.size(), std::to_string(number));
    return text;
}

class LoadRun
{
public:
    LoadRun(const std::vector<LoadTarget> &targets, double rate)
        : m_targets(targets)
        , m_interval(static_cast<std::int64_t>(1e6 / rate))
        , m_results(targets.size())
        , m_events(kEventRingCapacity, [] {})
        , m_client(http::Client::start([this](http::ClientEvent event) {
            TimedEvent timed{m_clock.now(), std::move(event)};
            // A failed push does not move from its argument.
            while (!m_events.push(std::move(timed))) // NOLINT(bugprone-use-after-move)
                std::this_thread::sleep_for(kPollInterval);
        }))
    {
    }

    auto run(Duration duration, Duration drainTimeout) -> std::vector<LoadResult>
    {
        const auto start = m_clock.now();
        auto next = start;
        while (next < start + duration) {
            while (next <= m_clock.now() && next < start + duration) {
                send(next);
                next += m_interval;
            }
            takeEvents();
            std::this_thread::sleep_for(kPollInterval);
        }
        const auto end = m_clock.now() + drainTimeout;
        while (!m_inFlight.empty() && m_clock.now() < end) {
            takeEvents();
            std::this_thread::sleep_for(kPollInterval);
        }
        for (const auto &[id, item] : m_inFlight)
            ++m_results[item.target].outcomes["no answer"];
        for (auto &result : m_results)
            result.elapsed = m_clock.now() - start;
        return std::move(m_results);
    }

private:
    struct TimedEvent
    {
        TimePoint at{};
        http::ClientEvent event;
    };

    auto send(TimePoint intended) -> void
    {
        const auto number = ++m_lastId;
        const auto index = number % m_targets.size();
        const auto &target = m_targets[index];
        http::Outgoing request;
        request.id = number;
        request.url =
            target.addresses[(number / m_targets.size()) % target.addresses.size()] + target.path;
        request.headers["content-type"] = "application/json";
        if (!target.key.empty())
            request.headers["authorization"] = "Bearer " + target.key;
        if (target.programs > 0)
            request.headers["x-program-id"] =
                "load-" + std::to_string(number % static_cast<std::uint64_t>(target.programs));
        if (!target.idempotencyPrefix.empty())
            request.headers["idempotency-key"] = target.idempotencyPrefix + std::to_string(number);
        request.body = expandNumber(target.body, number);
        m_inFlight[number] = InFlight{index, intended, 0, false};
        ++m_results[index].sent;
        if (!m_client->send(std::move(request))) {
            ++m_results[index].outcomes["not sent"];
            m_inFlight.erase(number);
        }
    }

    auto takeEvents() -> void
    {
        while (auto timed = m_events.pop()) {
            const auto found = m_inFlight.find(timed->event.id);
            if (found == m_inFlight.end())
                continue;
            auto &item = found->second;
            auto &result = m_results[item.target];
            if (const auto *head = std::get_if<http::AnswerHead>(&timed->event.what)) {
                item.status = head->status;
            } else if (std::holds_alternative<http::AnswerData>(timed->event.what)) {
                if (!std::exchange(item.hasBody, true))
                    result.firstByte.record(timed->at - item.intended);
            } else {
                const auto &end = std::get<http::AnswerEnd>(timed->event.what);
                const auto success = end.complete && item.status == 200;
                if (success)
                    result.total.record(timed->at - item.intended);
                ++result.outcomes[end.complete ? std::to_string(item.status) : "cut"];
                m_inFlight.erase(found);
            }
        }
    }

    const std::vector<LoadTarget> &m_targets;
    daemon::AceClock m_clock;
    Duration m_interval;
    std::vector<LoadResult> m_results;
    std::map<std::uint64_t, InFlight> m_inFlight;
    std::uint64_t m_lastId = 0;
    Ring<TimedEvent> m_events;
    std::unique_ptr<http::Client> m_client;
};

} // namespace

auto runLoad(const std::vector<LoadTarget> &targets, double rate, Duration duration,
             Duration drainTimeout) -> std::vector<LoadResult>
{
    return LoadRun(targets, rate).run(duration, drainTimeout);
}

} // namespace heathergate::app
