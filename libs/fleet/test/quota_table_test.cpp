#include <boost/test/unit_test.hpp>
#include <heathergate/fleet/quota_table.h>
#include <rapidcheck/boost_test.h>

#include <queue>

using namespace heathergate;
using namespace heathergate::fleet;
using namespace std::chrono_literals;

namespace {

constexpr Duration kWindow = 5s;
const CustomerId kCustomer("c");

auto request(const QuotaLimit &limit, const std::string &program = {}, bool isStarted = true)
    -> QuotaRequest
{
    QuotaRequest result;
    result.customer = kCustomer;
    result.limit = limit;
    result.program = program;
    result.isStarted = isStarted;
    result.finishIn = 2s;
    return result;
}

struct QuotaFixture
{
    TimePoint now{1h};
    QuotaTable table{kWindow};

    /// Sends requests at a constant interval; returns the times at which the admitted ones proceed.
    auto requestFor(Duration length, Duration pause, const QuotaLimit &limit)
        -> std::vector<TimePoint>
    {
        std::vector<TimePoint> admitted;
        for (const auto end = now + length; now < end; now += pause) {
            const auto decision = table.take(now, request(limit));
            if (decision.isAdmitted)
                admitted.push_back(now + decision.wait);
        }
        return admitted;
    }
};

auto maxInAnyWindow(std::vector<TimePoint> times) -> std::size_t
{
    std::sort(times.begin(), times.end());
    std::size_t maxCount = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= kWindow)
            ++first;
        maxCount = std::max(maxCount, last - first + 1);
    }
    return maxCount;
}

/// Result of the simulation of one customer's programs.
struct Outcome
{
    int started = 0;
    int inTime = 0;
    /// Programs that started but did not finish in time, so that their requests were wasted.
    int wasted = 0;
    std::size_t maxInWindow = 0;
};

/// Simulates programs of one customer, each of 12 requests in bursts of three, that start at a rate
/// beyond the limit. A refused request is retried after the returned wait; a program is abandoned
/// at its fourth refusal.
template <typename Take>
auto simulatePrograms(Duration pause, Take take) -> Outcome
{
    constexpr int kRequests = 12;
    constexpr int kBurst = 3;
    constexpr Duration kStep = 150ms;
    constexpr Duration kAllowed = 1500ms;
    struct Program
    {
        int sent = 0;
        int tries = 0;
        TimePoint finishBy{};
    };
    struct Event
    {
        TimePoint at{};
        int program = 0;
        auto operator>(const Event &other) const -> bool
        {
            return at > other.at;
        }
    };
    const TimePoint start{1h};
    std::vector<Program> programs;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    for (auto at = start; at < start + 40s; at += pause) {
        events.push({at, static_cast<int>(programs.size())});
        programs.push_back({0, 0, at + kAllowed});
    }
    Outcome outcome;
    std::vector<TimePoint> times;
    while (!events.empty()) {
        const auto event = events.top();
        events.pop();
        auto &program = programs[static_cast<std::size_t>(event.program)];
        const auto isNew = program.sent == 0;
        const QuotaDecision decision =
            take(event.at, "p" + std::to_string(event.program), !isNew, program.finishBy);
        if (!decision.isAdmitted) {
            if (++program.tries < 4 && event.at + decision.wait < program.finishBy)
                events.push({event.at + decision.wait, event.program});
            else
                outcome.wasted += isNew ? 0 : 1;
            continue;
        }
        outcome.started += isNew ? 1 : 0;
        times.push_back(event.at + decision.wait);
        ++program.sent;
        const auto next = event.at + decision.wait + (program.sent % kBurst == 0 ? kStep : 0ms);
        if (program.sent < kRequests)
            events.push({next, event.program});
        else if (event.at + decision.wait <= program.finishBy)
            ++outcome.inTime;
        else
            ++outcome.wasted;
    }
    outcome.maxInWindow = maxInAnyWindow(times);
    return outcome;
}

/// Baseline that admits requests in order of arrival from a token bucket of the same rate and
/// burst.
class TokenBucket
{
public:
    explicit TokenBucket(const QuotaLimit &limit)
        : m_limit(limit)
        , m_level(limit.burst)
    {
    }

    auto take(TimePoint now) -> QuotaDecision
    {
        const auto elapsed = std::chrono::duration<double>(now - m_at).count();
        m_level = std::min(m_limit.burst, m_level + elapsed * m_limit.ratePerSecond);
        m_at = now;
        if (m_level < 1)
            return {false, 200ms};
        m_level -= 1;
        return {};
    }

private:
    QuotaLimit m_limit;
    double m_level;
    TimePoint m_at{1h};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QuotaTableTest, QuotaFixture)

BOOST_AUTO_TEST_SUITE(WhenTheLeaderMayFail)

BOOST_AUTO_TEST_CASE(boundsWhatProceedsBeforeItIsRecorded)
{
    BOOST_TEST(table.maxUnrecorded({20, 20}) == 4U);
    BOOST_TEST(table.maxUnrecorded({1000, 0}) == 4U);
    BOOST_TEST(table.maxUnrecorded({4, 0}) == 2U);
    BOOST_TEST(table.maxUnrecorded({1, 1}) == 0U, "each request is recorded first");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ForSingleRequests)

BOOST_AUTO_TEST_CASE(admitsACustomerWithinItsRate)
{
    BOOST_TEST(requestFor(20s, 100ms, {10, 10}).size() == 200U);
}

BOOST_AUTO_TEST_CASE(admitsABurstThatFitsIntoTheWindow)
{
    int admitted = 0;
    while (table.take(now, request({10, 10})).wait == Duration::zero())
        ++admitted;
    BOOST_TEST(admitted == 60);
}

BOOST_AUTO_TEST_CASE(neverExceedsTheLimitInAnyWindow)
{
    const auto admitted = requestFor(60s, 2ms, {20, 30});
    BOOST_TEST(maxInAnyWindow(admitted) <= 130U);
    BOOST_TEST(admitted.size() >= 20U * 60U);
}

BOOST_AUTO_TEST_CASE(delaysARequestOfAStartedProgramUntilItFits)
{
    requestFor(1s, 10ms, {20, 0});
    now += 3600ms;
    const auto decision = table.take(now, request({20, 0}));
    BOOST_TEST(decision.isAdmitted);
    BOOST_TEST((decision.wait > Duration::zero()));
    BOOST_TEST((decision.wait <= 800ms));
}

BOOST_AUTO_TEST_CASE(returnsWhenARefusedRequestMayBeRetried)
{
    requestFor(1s, 10ms, {20, 0});
    const auto decision = table.take(now, request({20, 0}));
    BOOST_TEST(!decision.isAdmitted);
    BOOST_TEST(table.take(now + decision.wait, request({20, 0})).isAdmitted);
}

BOOST_AUTO_TEST_CASE(appliesALoweredLimitImmediately)
{
    requestFor(2s, 100ms, {1000, 1000});
    now += 5s;
    const auto admitted = requestFor(5s, 1ms, {2, 2});
    BOOST_TEST(maxInAnyWindow(admitted) <= 12U);
}

BOOST_AUTO_TEST_CASE(doesNotLimitACustomerWithoutRate)
{
    BOOST_TEST(requestFor(1s, 1ms, {0, 0}).size() == 1000U);
}

RC_BOOST_PROP(neverExceedsAnyLimitAtAnyPace, ())
{
    QuotaFixture fixture;
    const auto rate = *rc::gen::inRange(1, 200);
    const auto burst = *rc::gen::inRange(0, 200);
    const auto pause = Duration(*rc::gen::inRange(500, 50'000));
    const auto admitted =
        fixture.requestFor(15s, pause, {static_cast<double>(rate), static_cast<double>(burst)});
    RC_ASSERT(maxInAnyWindow(admitted) <= static_cast<std::size_t>(rate * 5 + burst));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheLeaderChanges)

BOOST_AUTO_TEST_CASE(countsWhatTheFormerLeaderAdmitted)
{
    auto admitted = requestFor(20s, 2ms, {20, 30});
    table = QuotaTable(kWindow);
    for (const auto at : admitted)
        table.restore(kCustomer, at, 1);
    const auto later = requestFor(20s, 2ms, {20, 30});
    admitted.insert(admitted.end(), later.begin(), later.end());
    BOOST_TEST(maxInAnyWindow(admitted) <= 130U);
}

BOOST_AUTO_TEST_CASE(givesAnIdleCustomerItsFullLimit)
{
    table = QuotaTable(kWindow);
    BOOST_TEST(requestFor(1s, 10ms, {15, 30}).size() == 100U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ForPrograms)

BOOST_AUTO_TEST_CASE(admitsASecondProgramBesideAnOpenOne)
{
    BOOST_TEST(table.take(now, request({10, 10}, "a", false)).isAdmitted);
    BOOST_TEST(table.take(now, request({10, 10}, "b", false)).isAdmitted);
}

BOOST_AUTO_TEST_CASE(refusesAProgramThatDoesNotFitBesideTheOpenOnes)
{
    int started = 0;
    while (table.take(now, request({6, 6}, "p" + std::to_string(started), false)).isAdmitted)
        ++started;
    BOOST_TEST(started >= 1);
    BOOST_TEST(started <= 3);
    BOOST_TEST(table.take(now, request({6, 6}, "p0")).isAdmitted);
}

BOOST_AUTO_TEST_CASE(staggersTheRetryTimesOfRefusedPrograms)
{
    for (int i = 0; table.take(now, request({6, 6}, "p" + std::to_string(i), false)).isAdmitted;
         ++i) {
    }
    const auto first = table.take(now, request({6, 6}, "x", false));
    const auto second = table.take(now, request({6, 6}, "y", false));
    BOOST_TEST(!second.isAdmitted);
    BOOST_TEST((second.wait > first.wait));
}

BOOST_AUTO_TEST_CASE(defersToRefusedProgramsOfBetterRank)
{
    const auto ask = [&](const std::string &program, int rank) {
        auto item = request({6, 6}, program, false);
        item.rank = rank;
        return table.take(now, item);
    };
    for (int i = 0; ask("p" + std::to_string(i), 0).isAdmitted; ++i) {
    }
    now += 2400ms;
    BOOST_TEST(!ask("urgent", 0).isAdmitted);
    now += 200ms; // The open programs now count as ended, and the window has capacity.
    BOOST_TEST(!ask("patient", 1).isAdmitted);
    BOOST_TEST(ask("urgent", 0).isAdmitted);
    now += 3s;
    BOOST_TEST(ask("patient", 1).isAdmitted);
}

RC_BOOST_PROP(neverExceedsTheLimitBesideDelayedRequests, ())
{
    const auto rate = *rc::gen::inRange(1, 30);
    const auto pause = Duration(*rc::gen::inRange(5'000, 80'000));
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    QuotaFixture fixture;
    std::vector<TimePoint> admitted;
    for (const auto end = fixture.now + 20s; fixture.now < end; fixture.now += pause) {
        const auto program = "p" + std::to_string(random.below(40));
        auto item = request({static_cast<double>(rate), static_cast<double>(rate)}, program,
                            random.below(3) > 0);
        const auto decision = fixture.table.take(fixture.now, item);
        if (decision.isAdmitted)
            admitted.push_back(fixture.now + decision.wait);
    }
    RC_ASSERT(maxInAnyWindow(admitted) <= static_cast<std::size_t>(rate * 6));
}

BOOST_AUTO_TEST_CASE(finishesMoreProgramsBeyondTheLimitThanATokenBucket)
{
    constexpr QuotaLimit kLimit{20, 20};
    QuotaTable programs(kWindow);
    // Programs send 24 requests per 400 ms, which is three times the rate of the limit.
    const auto withForecast = simulatePrograms(
        200ms, [&](TimePoint at, const std::string &name, bool isStarted, TimePoint finishBy) {
            auto item = request(kLimit, name, isStarted);
            item.finishIn = finishBy - at;
            return programs.take(at, item);
        });
    TokenBucket bucket(kLimit);
    const auto withBucket = simulatePrograms(
        200ms, [&](TimePoint at, const std::string &, bool, TimePoint) { return bucket.take(at); });
    BOOST_TEST_MESSAGE("in time: " << withForecast.inTime << " of " << withForecast.started
                                   << " started, against " << withBucket.inTime << " of "
                                   << withBucket.started);
    BOOST_TEST(withForecast.inTime > withBucket.inTime);
    BOOST_TEST(withForecast.maxInWindow <= 120U);
    // The limit allows 67 programs in 40 s; at most a fifth of those that start may be wasted.
    BOOST_TEST(withForecast.inTime >= 50);
    BOOST_TEST(withForecast.wasted * 5 <= withForecast.started);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
