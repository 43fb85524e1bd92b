#include "dispatcher_fixture.h"

#include <queue>

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;
using namespace std::chrono_literals;

namespace {

auto prompt(std::initializer_list<std::uint64_t> parts, std::int64_t tokens)
    -> routing::PromptPrefixes
{
    routing::PromptPrefixes result;
    std::int64_t sum = 0;
    std::uint64_t chain = 1;
    for (const auto part : parts) {
        sum += tokens;
        chain = chain * 31 + part;
        result.prefixes.push_back({chain, sum});
    }
    return result;
}

using Ids = std::vector<RequestId>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(DispatcherTest, DispatcherFixture)

BOOST_AUTO_TEST_SUITE(WhenSlotsAreFree)

BOOST_AUTO_TEST_CASE(placesARequestImmediately)
{
    add("u", kTools, 2);
    submit(work(kTools));
    BOOST_TEST(placedAt() == std::vector<std::string>{"u"});
}

// Guards against slots that stay taken for ever because the end of their requests was lost.
BOOST_AUTO_TEST_CASE(freesTheSlotOfARequestWhoseEndWasNotReported)
{
    add("u", kTools, 1);
    const auto first = submit(work(kTools));
    BOOST_TEST(placedAt().size() == 1U);
    now += 3500ms;
    dispatcher.tick(now);
    BOOST_TEST(dispatcher.takeOverdue().empty());
    now += 600ms;
    dispatcher.tick(now);
    BOOST_TEST(dispatcher.takeOverdue() == Ids{first});
    submit(work(kTools));
    BOOST_TEST(placedAt() == std::vector<std::string>{"u"});
}

BOOST_AUTO_TEST_CASE(spreadsRequestsOverTheUpstreams)
{
    add("u", kTools, 6);
    add("v", kTools, 6);
    for (int i = 0; i < 6; ++i)
        submit(work(kTools));
    const auto names = placedAt();
    BOOST_TEST(std::count(names.begin(), names.end(), "u") == 3);
}

BOOST_AUTO_TEST_CASE(prefersTheEngineThatHasCachedThePrompt)
{
    add("u", kEngines, 12);
    add("v", kEngines, 12);
    auto first = work(kEngines);
    first.prompt = prompt({1, 2}, 1000);
    submit(std::move(first));
    const auto where = placedAt().at(0);
    for (int turn = 0; turn < 4; ++turn) {
        auto next = work(kEngines);
        next.prompt = prompt({1, 2, 3}, 1000);
        submit(std::move(next));
        BOOST_TEST(placedAt().at(0) == where);
        dispatcher.finish(now, lastId, {AttemptOutcome::Answered, 100ms, 10ms});
    }
}

BOOST_AUTO_TEST_CASE(prefersAnUpstreamOfTheGatewaysFailureDomain)
{
    add("far", kTools, 6, "b");
    add("near", kTools, 6, "a");
    submit(work(kTools));
    BOOST_TEST(placedAt() == std::vector<std::string>{"near"});
}

BOOST_AUTO_TEST_CASE(placesNothingAtADrainingUpstream)
{
    add("u", kTools, 6);
    add("v", kTools, 6);
    setPhase("u", UpstreamPhase::Draining);
    for (int i = 0; i < 4; ++i)
        submit(work(kTools));
    const auto names = placedAt();
    BOOST_TEST(std::count(names.begin(), names.end(), "v") == 4);
}

BOOST_AUTO_TEST_CASE(returnsTheSamePlacementForARepeatedAdmission)
{
    add("u", kTools, 6);
    const auto item = work(kTools);
    submit(item);
    submit(item);
    BOOST_TEST(placedAt().size() == 2U);
    BOOST_TEST(dispatcher.running() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAllSlotsAreTaken)

BOOST_AUTO_TEST_CASE(placesTheBetterRankFirst)
{
    add("u", kTools, 1);
    const auto running = submit(work(kTools));
    const auto low = submit(work(kTools, 1));
    const auto high = submit(work(kTools, 0));
    BOOST_TEST(placedIds() == Ids{running});
    dispatcher.finish(now, running, {AttemptOutcome::Answered, 20ms, 20ms});
    BOOST_TEST(placedIds() == Ids{high});
    dispatcher.finish(now, high, {AttemptOutcome::Answered, 20ms, 20ms});
    BOOST_TEST(placedIds() == Ids{low});
}

BOOST_AUTO_TEST_CASE(placesStartedProgramsBeforeNewOnes)
{
    add("u", kTools, 1);
    const auto running = submit(work(kTools));
    auto fresh = work(kTools);
    fresh.isStarted = false;
    fresh.finishBy = now + 1s;
    submit(fresh);
    auto started = work(kTools);
    started.finishBy = now + 5s;
    const auto startedId = submit(started);
    static_cast<void>(placedIds());
    dispatcher.finish(now, running, {AttemptOutcome::Answered, 20ms, 20ms});
    BOOST_TEST(placedIds() == Ids{startedId});
}

BOOST_AUTO_TEST_CASE(rejectsImmediatelyWhatCannotStartInTime)
{
    add("u", kTools, 1);
    for (int i = 0; i < 30; ++i)
        submit(work(kTools));
    auto urgent = work(kTools);
    urgent.startBy = now + 500ms;
    const auto id = submit(urgent);
    const auto rejections = dispatcher.takeRejections();
    const auto found = std::find_if(rejections.begin(), rejections.end(),
                                    [&](const Rejection &item) { return item.request == id; });
    BOOST_TEST_REQUIRE((found != rejections.end()));
    BOOST_TEST((found->reason == RejectReason::Overload));
    BOOST_TEST((found->retryAfter > 500ms));
}

BOOST_AUTO_TEST_CASE(rejectsARequestWhoseStartDeadlineHasPassed)
{
    add("u", kTools, 1);
    submit(work(kTools));
    const auto waiting = submit(work(kTools));
    now += 2s;
    dispatcher.tick(now);
    const auto rejections = dispatcher.takeRejections();
    BOOST_TEST_REQUIRE(rejections.size() == 1U);
    BOOST_TEST(rejections[0].request == waiting);
}

BOOST_AUTO_TEST_CASE(freesTheSlotsOfARemovedGateway)
{
    add("u", kTools, 1);
    submit(work(kTools));
    auto other = work(kTools);
    other.gateway = InstanceId("h");
    const auto id = submit(other);
    static_cast<void>(placedIds());
    dispatcher.dropGateway(now, InstanceId("g"));
    BOOST_TEST(placedIds() == Ids{id});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenUpstreamsFail)

BOOST_AUTO_TEST_CASE(rejectsImmediatelyWithoutAnyUpstream)
{
    submit(work(kTools));
    const auto rejections = dispatcher.takeRejections();
    BOOST_TEST_REQUIRE(rejections.size() == 1U);
    BOOST_TEST((rejections[0].reason == RejectReason::NoUpstream));
}

BOOST_AUTO_TEST_CASE(avoidsAnUnreachableOneUntilItsNextHeartbeat)
{
    add("u", kTools, 6);
    const auto id = submit(work(kTools));
    dispatcher.finish(now, id, {AttemptOutcome::Unreachable, {}, {}});
    submit(work(kTools));
    BOOST_TEST(dispatcher.takeRejections().size() == 1U);
    now += 3s;
    dispatcher.heartbeat(now, UpstreamId("u"), {});
    static_cast<void>(placedAt());
    submit(work(kTools));
    BOOST_TEST(placedAt().size() == 1U);
}

BOOST_AUTO_TEST_CASE(keepsUsingOneAfterASingleTimeout)
{
    add("u", kTools, 6);
    const auto id = submit(work(kTools));
    dispatcher.finish(now, id, {AttemptOutcome::TimedOut, {}, {}});
    static_cast<void>(placedAt());
    submit(work(kTools));
    BOOST_TEST(placedAt().size() == 1U);
}

BOOST_AUTO_TEST_CASE(rejectsARequestWhoseResponseBrokeThreeTimes)
{
    add("u", kTools, 6);
    add("v", kTools, 6);
    for (int i = 0; i < 3; ++i) {
        auto item = work(kTools);
        item.fingerprint = 77;
        const auto id = submit(item);
        dispatcher.finish(now, id, {AttemptOutcome::Broken, {}, {}});
        now += 5s;
    }
    auto again = work(kTools);
    again.fingerprint = 77;
    submit(again);
    const auto rejections = dispatcher.takeRejections();
    BOOST_TEST_REQUIRE(rejections.size() == 1U);
    BOOST_TEST((rejections[0].reason == RejectReason::Poison));
    submit(work(kTools));
    BOOST_TEST(dispatcher.takeRejections().empty());
}

BOOST_AUTO_TEST_CASE(sendsFewerRequestsToASlowUpstream)
{
    add("slow", kTools, 6);
    add("fast", kTools, 6);
    int slow = 0;
    for (int i = 0; i < 200; ++i) {
        submit(work(kTools));
        const auto name = placedAt().at(0);
        slow += name == "slow" ? 1 : 0;
        dispatcher.finish(now, lastId,
                          {AttemptOutcome::Answered, name == "slow" ? 400ms : 100ms, {}});
        now += 10ms;
    }
    BOOST_TEST(slow < 50);
}

BOOST_AUTO_TEST_SUITE_END()

/// Simulates twice the load that two engines can process, in programs of four turns, and counts the
/// programs that finish in time.
BOOST_AUTO_TEST_SUITE(WhenStartedProgramsUseMostOfTheCapacity)

/// Ten slots of 100 ms serve 100 requests per second. Started programs send 90 of them, and 60 new
/// programs begin per second, each with a time of 7 s.
BOOST_AUTO_TEST_CASE(refusesNewOnesImmediatelyAndLeavesNoSlotUnused)
{
    constexpr int kSeconds = 20;
    constexpr Duration kRunTime = 100ms;
    constexpr Duration kQuarterOfTheTarget = 62ms;
    add("u", kTools, 10);
    Random random(7);
    std::map<RequestId, TimePoint> newOnes;
    std::multimap<TimePoint, RequestId> running;
    int refusedLate = 0;
    int refused = 0;
    int served = 0;
    const auto start = now;
    for (; now < start + kSeconds * 1s; now += 1ms) {
        while (!running.empty() && running.begin()->first <= now) {
            const auto id = running.begin()->second;
            running.erase(running.begin());
            dispatcher.finish(now, id, {AttemptOutcome::Answered, kRunTime, kRunTime});
        }
        if (random.unit() < 0.09)
            submit(work(kTools));
        if (random.unit() < 0.06) {
            auto item = work(kTools);
            item.isStarted = false;
            item.finishBy = now + 7s;
            newOnes[submit(item)] = now;
        }
        dispatcher.tick(now);
        for (const auto id : placedIds()) {
            running.emplace(now + kRunTime, id);
            ++served;
        }
        for (const auto &rejection : dispatcher.takeRejections()) {
            const auto found = newOnes.find(rejection.request);
            BOOST_TEST_REQUIRE((found != newOnes.end()), "a request of a started program");
            ++refused;
            refusedLate += now - found->second > kQuarterOfTheTarget ? 1 : 0;
        }
    }
    BOOST_TEST(served >= 95 * kSeconds);
    BOOST_TEST(refused >= 20 * kSeconds);
    BOOST_TEST(refusedLate <= refused / 4);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AtTwiceTheCapacity)

BOOST_AUTO_TEST_CASE(finishesMoreProgramsThanFirstComeFirstServed)
{
    constexpr int kTurns = 4;
    constexpr Duration kTurnTime = 250ms;
    const auto simulate = [&](bool ordersPrograms) {
        DispatcherFixture fixture;
        fixture.add("u", kEngines, 4);
        fixture.add("v", kEngines, 4);
        struct Program
        {
            int turns = 0;
            TimePoint finishBy{};
        };
        std::map<RequestId, Program> open;
        using End = std::pair<TimePoint, RequestId>;
        std::priority_queue<End, std::vector<End>, std::greater<>> ends;
        int finished = 0;
        const auto start = fixture.now;
        const auto submitTurn = [&](const Program &program) {
            auto item = fixture.work(kEngines);
            if (ordersPrograms) {
                item.isStarted = program.turns > 0;
                item.finishBy = program.finishBy;
            }
            const auto id = fixture.submit(std::move(item));
            open[id] = program;
        };
        for (; fixture.now < start + 30s; fixture.now += 10ms) {
            const auto elapsed = fixture.now - start;
            if (elapsed % 62'500us < 10ms)
                submitTurn({0, fixture.now + 2500ms});
            while (!ends.empty() && ends.top().first <= fixture.now) {
                const auto id = ends.top().second;
                ends.pop();
                fixture.dispatcher.finish(fixture.now, id,
                                          {AttemptOutcome::Answered, kTurnTime, 20ms});
                auto program = open.at(id);
                open.erase(id);
                if (++program.turns < kTurns)
                    submitTurn(program);
                else if (fixture.now <= program.finishBy)
                    ++finished;
            }
            fixture.dispatcher.tick(fixture.now);
            for (const auto id : fixture.placedIds())
                ends.emplace(fixture.now + kTurnTime, id);
            for (const auto &rejection : fixture.dispatcher.takeRejections())
                open.erase(rejection.request);
        }
        return finished;
    };
    const auto firstComeFirstServed = simulate(false);
    const auto withPrograms = simulate(true);
    BOOST_TEST_MESSAGE("finished in time: " << withPrograms << " against " << firstComeFirstServed);
    BOOST_TEST(withPrograms > firstComeFirstServed);
    // Eight slots can process 240 programs in 30 s; at least 200 of them have to finish in time.
    BOOST_TEST(withPrograms >= 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
