#include "dispatcher_fixture.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;

namespace {

/// Two failure domains with plain upstreams of four slots each.
struct EvacuationFixture : DispatcherFixture
{
    EvacuationFixture()
    {
        add("a1", kTools, 4, "a");
        add("b1", kTools, 4, "b");
    }

    auto evacuate(std::initializer_list<const char *> domains) -> void
    {
        std::set<FailureDomainId> names;
        for (const auto *domain : domains)
            names.emplace(domain);
        dispatcher.setEvacuated(now, names);
    }

    auto countAt(const std::string &upstream) -> std::ptrdiff_t
    {
        const auto names = placedAt();
        return std::count(names.begin(), names.end(), upstream);
    }

    auto answer(RequestId request) -> void
    {
        dispatcher.finish(now, request, {AttemptOutcome::Answered, 50ms, 50ms});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DispatcherEvacuationTest, EvacuationFixture)

BOOST_AUTO_TEST_SUITE(WhenAFailureDomainIsEvacuated)

// Guards against requests that reach upstreams of an evacuated failure domain.
BOOST_AUTO_TEST_CASE(placesNothingThere)
{
    evacuate({"a"});
    for (int i = 0; i < 6; ++i)
        submit(work(kTools));
    BOOST_TEST(countAt("a1") == 0);
    now += 100ms;
    dispatcher.tick(now);
    BOOST_TEST(countAt("a1") == 0);
}

// Guards against a placement that is returned again after its domain was evacuated, because its
// gateway has not received it.
BOOST_AUTO_TEST_CASE(placesARepeatedAdmissionElsewhere)
{
    auto item = work(kTools);
    item.domain = FailureDomainId("a");
    submit(item);
    BOOST_TEST(placedAt() == std::vector<std::string>{"a1"});
    evacuate({"a"});
    submit(item);
    BOOST_TEST(placedAt() == std::vector<std::string>{"b1"});
    BOOST_TEST(dispatcher.running() == 1U);
}

BOOST_AUTO_TEST_CASE(letsRunningRequestsEnd)
{
    std::vector<RequestId> running;
    for (int i = 0; i < 8; ++i)
        running.push_back(submit(work(kTools)));
    BOOST_TEST(countAt("a1") == 4);
    evacuate({"a"});
    BOOST_TEST(dispatcher.running() == 8U);
    BOOST_TEST(dispatcher.takeRejections().empty());
    for (const auto request : running)
        answer(request);
    BOOST_TEST(dispatcher.running() == 0U);
}

// Load: requests for the slots of two domains while one of them is evacuated. Guards against
// estimates that still count the evacuated slots, so that requests wait until they expire.
BOOST_AUTO_TEST_CASE(rejectsImmediatelyWhatTheOthersCannotServeInTime)
{
    evacuate({"a"});
    std::size_t rejected = 0;
    for (int i = 0; i < 60; ++i) {
        auto item = work(kTools);
        item.startBy = now + 500ms;
        submit(std::move(item));
        rejected += dispatcher.takeRejections().size();
    }
    // Four slots and 0.1 s a request: about 20 can start within 0.5 s.
    BOOST_TEST(rejected >= 30U);
    BOOST_TEST(countAt("b1") >= 4);
    BOOST_TEST(dispatcher.waiting() + dispatcher.running() + rejected == 60U);
}

BOOST_AUTO_TEST_CASE(servesTheBetterRankFirst)
{
    evacuate({"a"});
    std::vector<RequestId> running;
    for (int i = 0; i < 4; ++i)
        running.push_back(submit(work(kTools)));
    const auto low = submit(work(kTools, 2));
    const auto high = submit(work(kTools, 0));
    auto placed = placedIds();
    answer(running.at(0));
    answer(running.at(1));
    placed = placedIds();
    BOOST_TEST_REQUIRE(placed.size() >= 1U);
    BOOST_TEST(placed.front() == high);
    BOOST_TEST(std::count(placed.begin(), placed.end(), low) <= 1);
}

BOOST_AUTO_TEST_CASE(rejectsAStreamThatMayResumeOnlyThere)
{
    evacuate({"a"});
    auto item = work(kTools);
    item.pinnedUpstream = UpstreamId("a1");
    submit(std::move(item));
    BOOST_TEST(placedAt().empty());
    BOOST_TEST_REQUIRE(dispatcher.takeRejections().size() == 1U);
}

// Guards against a queued stream that waits for an evacuated upstream until its deadline.
BOOST_AUTO_TEST_CASE(rejectsAQueuedStreamThatMayResumeOnlyThere)
{
    for (int i = 0; i < 12; ++i)
        submit(work(kTools));
    auto item = work(kTools);
    item.pinnedUpstream = UpstreamId("a1");
    item.rank = 1;
    const auto id = submit(std::move(item));
    BOOST_TEST_REQUIRE(dispatcher.isKnown(id));
    static_cast<void>(dispatcher.takeRejections());
    evacuate({"a"});
    const auto rejections = dispatcher.takeRejections();
    const auto isRejected = std::any_of(rejections.begin(), rejections.end(),
                                        [&](const Rejection &item) { return item.request == id; });
    BOOST_TEST(isRejected);
}

BOOST_AUTO_TEST_CASE(resumesAStreamAtTheSameSoftwareVersionElsewhere)
{
    add("e-a", kEngines, 4, "a");
    add("e-b", kEngines, 4, "b");
    setVersion("e-a", "v1");
    setVersion("e-b", "v1");
    evacuate({"a"});
    submit(resumedWork("v1"));
    BOOST_TEST(placedAt() == std::vector<std::string>{"e-b"});
}

BOOST_AUTO_TEST_CASE(rejectsAStreamWhoseSoftwareVersionIsOnlyThere)
{
    add("e-a", kEngines, 4, "a");
    add("e-b", kEngines, 4, "b");
    setVersion("e-a", "v1");
    setVersion("e-b", "v2");
    evacuate({"a"});
    submit(resumedWork("v1"));
    const auto rejections = dispatcher.takeRejections();
    BOOST_TEST_REQUIRE(rejections.size() == 1U);
    BOOST_TEST((rejections.front().reason == RejectReason::StreamVersionGone));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAllFailureDomainsAreEvacuated)

// Guards against requests that wait although no upstream may receive them.
BOOST_AUTO_TEST_CASE(rejectsQueuedAndNewRequestsImmediately)
{
    for (int i = 0; i < 14; ++i)
        submit(work(kTools));
    const auto queued = dispatcher.waiting();
    BOOST_TEST(queued > 0U);
    static_cast<void>(dispatcher.takeRejections());
    evacuate({"a", "b"});
    BOOST_TEST(dispatcher.waiting() == 0U);
    BOOST_TEST(dispatcher.takeRejections().size() == queued);
    submit(work(kTools));
    BOOST_TEST(dispatcher.takeRejections().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheEvacuationEnds)

BOOST_AUTO_TEST_CASE(placesQueuedRequestsThereAtOnce)
{
    evacuate({"a"});
    for (int i = 0; i < 10; ++i)
        submit(work(kTools));
    BOOST_TEST(countAt("a1") == 0);
    BOOST_TEST(dispatcher.waiting() > 0U);
    evacuate({});
    BOOST_TEST(countAt("a1") > 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
