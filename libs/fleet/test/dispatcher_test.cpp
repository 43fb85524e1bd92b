#include <boost/test/unit_test.hpp>
#include <heathergate/fleet/dispatcher.h>

#include <queue>

using namespace heathergate;
using namespace heathergate::fleet;
using namespace std::chrono_literals;

namespace {

const ServiceId kEngines("engines");
const ServiceId kTools("tools");

struct Places
{
    TimePoint now{1h};
    Dispatcher dispatcher;
    std::map<UpstreamId, UpstreamRecord> records;
    ActiveConfiguration configuration{makeConfiguration()};
    RequestId lastId = 0;

    static auto makeConfiguration() -> Configuration
    {
        Configuration result;
        result.version = 1;
        result.services.push_back({kEngines, 100, EngineLimits{100'000, 11}});
        result.services.push_back({kTools, 100, std::nullopt});
        return result;
    }

    auto add(const std::string &name, const ServiceId &service, int slots,
             const std::string &domain = "a") -> void
    {
        UpstreamRecord record;
        record.id = UpstreamId(name);
        record.service = service;
        record.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + records.size())};
        record.domain = FailureDomainId(domain);
        record.slots = slots;
        record.startedAt = std::chrono::milliseconds(1);
        records[record.id] = record;
        dispatcher.setUpstreams(now, records, configuration);
    }

    auto setPhase(const std::string &name, UpstreamPhase phase) -> void
    {
        records[UpstreamId(name)].phase = phase;
        dispatcher.setUpstreams(now, records, configuration);
    }

    auto work(const ServiceId &service, int rank = 0) -> Work
    {
        Work result;
        result.id = ++lastId;
        result.gateway = InstanceId("g");
        result.service = service;
        result.domain = FailureDomainId("a");
        result.rank = rank;
        result.deadline = now + 3s;
        result.startBy = now + 2s;
        result.fingerprint = lastId;
        return result;
    }

    auto submit(Work item) -> RequestId
    {
        const auto id = item.id;
        dispatcher.submit(now, std::move(item));
        return id;
    }

    auto placedAt() -> std::vector<std::string>
    {
        std::vector<std::string> names;
        for (const auto &placement : dispatcher.takePlacements())
            names.push_back(placement.upstream.value);
        return names;
    }

    auto placedIds() -> std::vector<RequestId>
    {
        std::vector<RequestId> ids;
        for (const auto &placement : dispatcher.takePlacements())
            ids.push_back(placement.request);
        return ids;
    }
};

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

BOOST_FIXTURE_TEST_SUITE(DispatcherTest, Places)

BOOST_AUTO_TEST_SUITE(WhenPlacesAreFree)

BOOST_AUTO_TEST_CASE(placesARequestAtOnce)
{
    add("u", kTools, 2);
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

BOOST_AUTO_TEST_CASE(keepsALineOnTheEngineThatHasReadItsPrompt)
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
        dispatcher.finish(now, lastId, {Ending::Answered, 100ms, 10ms});
    }
}

BOOST_AUTO_TEST_CASE(prefersAnUpstreamOfTheGatewaysFailureDomain)
{
    add("far", kTools, 6, "b");
    add("near", kTools, 6, "a");
    submit(work(kTools));
    BOOST_TEST(placedAt() == std::vector<std::string>{"near"});
}

BOOST_AUTO_TEST_CASE(placesNothingAtAnUpstreamThatLeaves)
{
    add("u", kTools, 6);
    add("v", kTools, 6);
    setPhase("u", UpstreamPhase::Draining);
    for (int i = 0; i < 4; ++i)
        submit(work(kTools));
    const auto names = placedAt();
    BOOST_TEST(std::count(names.begin(), names.end(), "v") == 4);
}

BOOST_AUTO_TEST_CASE(givesARepeatedAdmissionItsPlaceAgain)
{
    add("u", kTools, 6);
    const auto item = work(kTools);
    submit(item);
    submit(item);
    BOOST_TEST(placedAt().size() == 2U);
    BOOST_TEST(dispatcher.running() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAllPlacesAreTaken)

BOOST_AUTO_TEST_CASE(letsTheBetterRankGoFirst)
{
    add("u", kTools, 1);
    const auto running = submit(work(kTools));
    const auto low = submit(work(kTools, 1));
    const auto high = submit(work(kTools, 0));
    BOOST_TEST(placedIds() == Ids{running});
    dispatcher.finish(now, running, {Ending::Answered, 20ms, 20ms});
    BOOST_TEST(placedIds() == Ids{high});
    dispatcher.finish(now, high, {Ending::Answered, 20ms, 20ms});
    BOOST_TEST(placedIds() == Ids{low});
}

BOOST_AUTO_TEST_CASE(letsProgramsThatHaveBegunGoBeforeNewOnes)
{
    add("u", kTools, 1);
    const auto running = submit(work(kTools));
    auto fresh = work(kTools);
    fresh.isBegun = false;
    fresh.finishBy = now + 1s;
    submit(fresh);
    auto begun = work(kTools);
    begun.finishBy = now + 5s;
    const auto begunId = submit(begun);
    static_cast<void>(placedIds());
    dispatcher.finish(now, running, {Ending::Answered, 20ms, 20ms});
    BOOST_TEST(placedIds() == Ids{begunId});
}

BOOST_AUTO_TEST_CASE(rejectsAtOnceWhatCannotStartInTime)
{
    add("u", kTools, 1);
    for (int i = 0; i < 30; ++i)
        submit(work(kTools));
    auto hasty = work(kTools);
    hasty.startBy = now + 500ms;
    const auto id = submit(hasty);
    const auto rejections = dispatcher.takeRejections();
    const auto found = std::find_if(rejections.begin(), rejections.end(),
                                    [&](const Rejection &item) { return item.request == id; });
    BOOST_TEST_REQUIRE((found != rejections.end()));
    BOOST_TEST((found->reason == RejectReason::Overload));
    BOOST_TEST((found->retryAfter > 500ms));
}

BOOST_AUTO_TEST_CASE(rejectsWhatHasWaitedTooLong)
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

BOOST_AUTO_TEST_CASE(freesThePlacesOfAGatewayThatIsGone)
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

BOOST_AUTO_TEST_CASE(rejectsAtOnceWithoutAnyUpstream)
{
    submit(work(kTools));
    const auto rejections = dispatcher.takeRejections();
    BOOST_TEST_REQUIRE(rejections.size() == 1U);
    BOOST_TEST((rejections[0].reason == RejectReason::NoUpstream));
}

BOOST_AUTO_TEST_CASE(avoidsOneThatCannotBeReachedUntilItsNextHeartbeat)
{
    add("u", kTools, 6);
    const auto id = submit(work(kTools));
    dispatcher.finish(now, id, {Ending::Unreachable, {}, {}});
    submit(work(kTools));
    BOOST_TEST(dispatcher.takeRejections().size() == 1U);
    now += 3s;
    dispatcher.heartbeat(now, UpstreamId("u"), {});
    static_cast<void>(placedAt());
    submit(work(kTools));
    BOOST_TEST(placedAt().size() == 1U);
}

BOOST_AUTO_TEST_CASE(keepsOneThatLosesASingleAnswer)
{
    add("u", kTools, 6);
    const auto id = submit(work(kTools));
    dispatcher.finish(now, id, {Ending::Silent, {}, {}});
    static_cast<void>(placedAt());
    submit(work(kTools));
    BOOST_TEST(placedAt().size() == 1U);
}

BOOST_AUTO_TEST_CASE(stopsARequestThatBreaksThreeUpstreams)
{
    add("u", kTools, 6);
    add("v", kTools, 6);
    for (int i = 0; i < 3; ++i) {
        auto item = work(kTools);
        item.fingerprint = 77;
        const auto id = submit(item);
        dispatcher.finish(now, id, {Ending::Broken, {}, {}});
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

BOOST_AUTO_TEST_CASE(sendsLessToOneThatHasBecomeSlow)
{
    add("slow", kTools, 6);
    add("fast", kTools, 6);
    int slow = 0;
    for (int i = 0; i < 200; ++i) {
        submit(work(kTools));
        const auto name = placedAt().at(0);
        slow += name == "slow" ? 1 : 0;
        dispatcher.finish(now, lastId, {Ending::Answered, name == "slow" ? 400ms : 100ms, {}});
        now += 10ms;
    }
    BOOST_TEST(slow < 50);
}

BOOST_AUTO_TEST_SUITE_END()

/// Plays twice the load that two engines carry, in programs of four turns, and counts the programs
/// that finish in time.
BOOST_AUTO_TEST_SUITE(UnderTwiceTheLoad)

BOOST_AUTO_TEST_CASE(finishesMoreProgramsThanFirstComeFirstServed)
{
    constexpr int kTurns = 4;
    constexpr Duration kTurnTime = 250ms;
    const auto play = [&](bool knowsPrograms) {
        Places places;
        places.add("u", kEngines, 4);
        places.add("v", kEngines, 4);
        struct Program
        {
            int turns = 0;
            TimePoint finishBy{};
        };
        std::map<RequestId, Program> open;
        using End = std::pair<TimePoint, RequestId>;
        std::priority_queue<End, std::vector<End>, std::greater<>> ends;
        int finished = 0;
        const auto start = places.now;
        const auto submitTurn = [&](const Program &program) {
            auto item = places.work(kEngines);
            if (knowsPrograms) {
                item.isBegun = program.turns > 0;
                item.finishBy = program.finishBy;
            }
            const auto id = places.submit(std::move(item));
            open[id] = program;
        };
        for (; places.now < start + 30s; places.now += 10ms) {
            const auto elapsed = places.now - start;
            if (elapsed % 62'500us < 10ms)
                submitTurn({0, places.now + 2500ms});
            while (!ends.empty() && ends.top().first <= places.now) {
                const auto id = ends.top().second;
                ends.pop();
                places.dispatcher.finish(places.now, id, {Ending::Answered, kTurnTime, 20ms});
                auto program = open.at(id);
                open.erase(id);
                if (++program.turns < kTurns)
                    submitTurn(program);
                else if (places.now <= program.finishBy)
                    ++finished;
            }
            places.dispatcher.tick(places.now);
            for (const auto id : places.placedIds())
                ends.emplace(places.now + kTurnTime, id);
            for (const auto &rejection : places.dispatcher.takeRejections())
                open.erase(rejection.request);
        }
        return finished;
    };
    const auto naive = play(false);
    const auto withPrograms = play(true);
    BOOST_TEST_MESSAGE("finished in time: " << withPrograms << " against " << naive);
    BOOST_TEST(withPrograms > naive);
    // Eight places carry 240 programs in 30 s; nearly all of them should be used well.
    BOOST_TEST(withPrograms >= 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
