#include <boost/test/unit_test.hpp>

#include <heathergate/routing/routing.h>

using namespace heathergate;
using namespace heathergate::routing;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow(1h);

auto itemOf(std::uint64_t request, const std::string &customer, int priority = 0, double weight = 1)
    -> WorkItem
{
    WorkItem item;
    item.request = request;
    item.customer = CustomerId(customer);
    item.priority = priority;
    item.weight = weight;
    item.cost = 10;
    item.arrivedAt = kNow;
    item.deadline = kNow + 10s;
    return item;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkQueueTest)

BOOST_AUTO_TEST_CASE(servesAHigherPriorityClassFirst)
{
    WorkQueue queue(100);
    for (std::uint64_t i = 0; i < 10; ++i)
        BOOST_REQUIRE(queue.push(itemOf(i, "forms", 1)));
    for (std::uint64_t i = 100; i < 105; ++i)
        BOOST_REQUIRE(queue.push(itemOf(i, "alerts", 0)));
    // The higher class is served first regardless of the service it has received.
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(queue.pop(kNow)->customer.value == "alerts");
    BOOST_TEST(queue.pop(kNow)->customer.value == "forms");
}

BOOST_AUTO_TEST_CASE(sharesAClassByWeightRegardlessOfQueueLengths)
{
    WorkQueue queue(1000);
    for (std::uint64_t i = 0; i < 400; ++i)
        BOOST_REQUIRE(queue.push(itemOf(i, "single")));
    for (std::uint64_t i = 0; i < 100; ++i)
        BOOST_REQUIRE(queue.push(itemOf(1000 + i, "double", 0, 2)));
    int ofDouble = 0;
    for (int i = 0; i < 90; ++i)
        ofDouble += queue.pop(kNow)->customer.value == "double" ? 1 : 0;
    BOOST_TEST(ofDouble >= 59);
    BOOST_TEST(ofDouble <= 61);
}

BOOST_AUTO_TEST_CASE(prefersTheLeastServedProgramWithoutStarvingOthers)
{
    WorkQueue queue(100);
    auto old = itemOf(1, "pines");
    old.attained = 5000;
    auto young = itemOf(2, "pines");
    BOOST_REQUIRE(queue.push(old));
    BOOST_REQUIRE(queue.push(young));
    BOOST_TEST(queue.pop(kNow)->request == 2U);
    young.request = 3;
    young.arrivedAt = kNow + 11s;
    BOOST_REQUIRE(queue.push(young));
    BOOST_TEST(queue.pop(kNow + 11s)->request == 1U);
}

BOOST_AUTO_TEST_CASE(rejectsItemsWhenFullAndRemovesExpiredOnes)
{
    WorkQueue queue(1);
    BOOST_REQUIRE(queue.push(itemOf(1, "pines")));
    BOOST_TEST(!queue.push(itemOf(2, "pines")));
    BOOST_TEST(queue.takeExpired(kNow + 9s).empty());
    BOOST_TEST(queue.takeExpired(kNow + 10s).size() == 1U);
    BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RouterTest)

namespace {

auto targetOf(const std::string &id, std::uint64_t incarnation = 1) -> Target
{
    return {UpstreamId(id), incarnation, FailureDomainId("a"), {"model:quill"}, 2, 1000, false};
}

auto queryOf(std::vector<PromptPrefixes::Prefix> prefixes = {}) -> RouteQuery
{
    RouteQuery query;
    query.lane = "model:quill";
    query.prompt.prefixes = std::move(prefixes);
    return query;
}

} // namespace

BOOST_AUTO_TEST_CASE(routesAPromptToTheUpstreamThatCachesIt)
{
    Router<PrefixAffinity> router(FailureDomainId("a"));
    router.setTargets({targetOf("q1"), targetOf("q2"), targetOf("q3")});
    Random random(1);
    router.dispatched(UpstreamId("q2"), queryOf({{7, 100}}).prompt);
    router.finished(kNow, UpstreamId("q2"), 1, AttemptOutcome::Success);
    BOOST_TEST(router.choose(kNow, queryOf({{7, 100}, {8, 120}}), random)->value == "q2");
}

BOOST_AUTO_TEST_CASE(choosesNoFullUpstream)
{
    Router<PrefixAffinity> router(FailureDomainId("a"));
    router.setTargets({targetOf("q1")});
    Random random(1);
    for (int i = 0; i < 2; ++i) {
        router.dispatched(UpstreamId("q1"), {});
        BOOST_TEST(router.choose(kNow, queryOf(), random).has_value());
    }
    router.dispatched(UpstreamId("q1"), {});
    BOOST_TEST(!router.choose(kNow, queryOf(), random).has_value());
}

BOOST_AUTO_TEST_CASE(countsTheReportedLoadOfOtherInstancesUntilItIsStale)
{
    Router<LeastLoaded> router(FailureDomainId("a"));
    router.setTargets({targetOf("q1"), targetOf("q2")});
    Random random(1);
    router.reportLoad(kNow, UpstreamId("q1"), 3);
    router.dispatched(UpstreamId("q2"), {});
    BOOST_TEST(router.choose(kNow + 1s, queryOf(), random)->value == "q2");
    BOOST_TEST(router.choose(kNow + 6s, queryOf(), random)->value == "q1");
}

BOOST_AUTO_TEST_CASE(doesNotCountOwnRequestsInALateReportAsLoadOfOthers)
{
    Router<LeastLoaded> router(FailureDomainId("a"));
    router.setTargets({targetOf("q1"), targetOf("q2")});
    Random random(1);
    router.dispatched(UpstreamId("q1"), {});
    router.dispatched(UpstreamId("q1"), {});
    router.finished(kNow, UpstreamId("q1"), 1, AttemptOutcome::Success);
    router.finished(kNow, UpstreamId("q1"), 1, AttemptOutcome::Success);
    router.reportLoad(kNow, UpstreamId("q1"), 2);
    router.dispatched(UpstreamId("q2"), {});
    BOOST_TEST(router.choose(kNow, queryOf(), random)->value == "q1");
}

BOOST_AUTO_TEST_CASE(fillsFewerSlotsWithASmallerShareOfTheFleet)
{
    Router<PrefixAffinity> router(FailureDomainId("a"));
    router.setTargets({targetOf("q1")});
    router.setShare(0.1);
    Random random(1);
    router.dispatched(UpstreamId("q1"), {});
    BOOST_TEST(!router.choose(kNow, queryOf(), random).has_value());
    router.setShare(1.0);
    BOOST_TEST(router.choose(kNow, queryOf(), random).has_value());
}

BOOST_AUTO_TEST_CASE(avoidsDrainingAndFailingUpstreams)
{
    Router<PrefixAffinity> router(FailureDomainId("a"));
    auto draining = targetOf("q1");
    draining.draining = true;
    router.setTargets({draining, targetOf("q2"), targetOf("q3")});
    Random random(1);
    for (int i = 0; i < 3; ++i)
        router.finished(kNow, UpstreamId("q2"), 1, AttemptOutcome::Failure);
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(router.choose(kNow, queryOf(), random)->value == "q3");
    // The failing upstream is readmitted after its ejection time.
    BOOST_TEST(router.choose(kNow + 2s, queryOf(), random).has_value());
}

BOOST_AUTO_TEST_CASE(probesAnUnresponsiveUpstreamWithOneRequestAtATime)
{
    Router<PrefixAffinity> router(FailureDomainId("a"));
    router.setTargets({targetOf("q1")});
    Random random(1);
    router.dispatched(UpstreamId("q1"), {});
    router.finished(kNow, UpstreamId("q1"), 1, AttemptOutcome::TimedOut);
    BOOST_TEST(!router.choose(kNow, queryOf(), random).has_value());
    BOOST_TEST(router.choose(kNow + 1100ms, queryOf(), random).has_value());
    router.dispatched(UpstreamId("q1"), {});
    BOOST_TEST(!router.choose(kNow + 1100ms, queryOf(), random).has_value());
}

BOOST_AUTO_TEST_CASE(resetsTheStateForANewIncarnation)
{
    Router<PrefixAffinity> router(FailureDomainId("a"));
    router.setTargets({targetOf("q1", 1)});
    router.dispatched(UpstreamId("q1"), {});
    router.dispatched(UpstreamId("q1"), {});
    router.setTargets({targetOf("q1", 2)});
    BOOST_TEST(router.inFlight(UpstreamId("q1")) == 0);
    router.finished(kNow, UpstreamId("q1"), 1, AttemptOutcome::Failure);
    BOOST_TEST(router.inFlight(UpstreamId("q1")) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
