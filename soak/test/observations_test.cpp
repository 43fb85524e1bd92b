#include "../observations.h"

#include <boost/test/unit_test.hpp>

using namespace heathergate;
using namespace heathergate::soak;
using namespace std::chrono_literals;

namespace {

/// Feeds observations of a caller, an upstream and an operator into the checks.
struct ObservationsFixture
{
    Disturbances disturbances;
    Observations observations{disturbances};
    TimePoint now{1h};

    auto issue(const std::string &id, RequestKind kind = RequestKind::RunsOnce,
               const std::string &key = "key") -> void
    {
        observations.issued(
            {id, kind, "customer", key, "POST", "/pay/" + id, "body", InstanceId("gateway"), now});
    }

    [[nodiscard]] auto runOf(const std::string &id) const -> ObservedRun
    {
        return {id, UpstreamId("u"), "customer", "POST", "/pay/" + id, "body", false, now};
    }

    auto answer(const std::string &id, int status, const std::string &body = {}) -> void
    {
        observations.answered({id, status, true, "proof", body, now, {}});
    }

    [[nodiscard]] auto violatedInvariants() const -> std::vector<std::string>
    {
        std::vector<std::string> invariants;
        for (const auto &violation : observations.violations())
            invariants.push_back(violation.invariant);
        return invariants;
    }
};

using Invariants = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(ObservationsTest, ObservationsFixture)

BOOST_AUTO_TEST_SUITE(Requests)

BOOST_AUTO_TEST_CASE(acceptsOneExecutionWithItsCompleteAnswer)
{
    issue("r");
    observations.ran(runOf("r"));
    observations.produced("r", "proof", "answer");
    answer("r", 200, "answer");
    BOOST_TEST(violatedInvariants().empty());
}

BOOST_AUTO_TEST_CASE(reportsASecondExecution)
{
    issue("r");
    observations.ran(runOf("r"));
    observations.ran(runOf("r"));
    BOOST_TEST(violatedInvariants() == Invariants{"at most one execution"});
}

BOOST_AUTO_TEST_CASE(allowsIdempotentRequestsToRunAgain)
{
    issue("r", RequestKind::Idempotent);
    observations.ran(runOf("r"));
    observations.ran(runOf("r"));
    BOOST_TEST(violatedInvariants().empty());
}

BOOST_AUTO_TEST_CASE(reportsAStreamWithEventsOfTwoSoftwareVersions)
{
    observations.versionReceived("first", "first", "v1");
    observations.versionReceived("first", "second", "v1");
    observations.versionReceived("other", "other", "v2");
    BOOST_TEST(violatedInvariants().empty());
    observations.versionReceived("first", "third", "v2");
    BOOST_TEST(violatedInvariants() == Invariants{"one software version in a stream"});
}

BOOST_AUTO_TEST_CASE(reportsAnExecutionWithoutARequest)
{
    observations.ran(runOf("r"));
    BOOST_TEST(violatedInvariants() == Invariants{"unknown request"});
}

BOOST_AUTO_TEST_CASE(reportsAChangedRequestAWrongCustomerAndAForwardedKey)
{
    issue("r");
    auto run = runOf("r");
    run.body = "other";
    run.customer = "other";
    run.carriesKey = true;
    observations.ran(run);
    BOOST_TEST(violatedInvariants()
               == (Invariants{"request forwarded unchanged", "customer matches the key",
                              "no caller key at upstreams"}));
}

BOOST_AUTO_TEST_CASE(reportsARefusalOfAnExecutedRequestInEitherOrder)
{
    issue("early");
    observations.ran(runOf("early"));
    answer("early", 503);
    issue("late");
    answer("late", 429);
    observations.ran(runOf("late"));
    BOOST_TEST(violatedInvariants()
               == (Invariants{"refused request not executed", "refused request not executed"}));
}

BOOST_AUTO_TEST_CASE(reportsAnUnknownAndATruncatedAnswer)
{
    issue("r");
    observations.ran(runOf("r"));
    answer("r", 200, "answer");
    observations.produced("r", "proof", "answer");
    answer("r", 200, "answ");
    BOOST_TEST(violatedInvariants()
               == (Invariants{"complete answer of the request", "complete answer of the request"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Streams)

BOOST_AUTO_TEST_CASE(reportsAMissingAndAnUnexpectedEvent)
{
    observations.eventReceived("r", 0, 1, "a", "a");
    observations.eventReceived("r", 1, 3, "c", "c");
    observations.eventReceived("r", 3, 4, "x", "d");
    BOOST_TEST(violatedInvariants() == (Invariants{"events in order", "events of the request"}));
}

BOOST_AUTO_TEST_CASE(reportsAnExceededBudgetOnce)
{
    observations.tokensReceived("p", 60, 100);
    observations.tokensReceived("p", 60, 100);
    observations.tokensReceived("p", 60, 100);
    BOOST_TEST(violatedInvariants() == Invariants{"token budget"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TimeBounds)

BOOST_AUTO_TEST_CASE(reportsAWithdrawnKeyOnlyWithoutDisturbances)
{
    observations.keyWithdrawn("key", now);
    disturbances.record("gateway", now, now + 1s);
    now += 3s;
    issue("excused");
    observations.ran(runOf("excused"));
    now += 20s;
    issue("r");
    observations.ran(runOf("r"));
    BOOST_TEST(violatedInvariants() == Invariants{"withdrawn key refused"});
}

BOOST_AUTO_TEST_CASE(reportsARefusedValidKey)
{
    observations.keyGiven("key", now);
    now += 1s;
    issue("soon");
    answer("soon", 401);
    now += 2s;
    issue("r");
    answer("r", 401);
    observations.keyWithdrawn("key", now);
    now += 3s;
    issue("withdrawn");
    answer("withdrawn", 401);
    BOOST_TEST(violatedInvariants() == Invariants{"valid key accepted"});
}

BOOST_AUTO_TEST_CASE(reportsWorkSentToALeavingUpstream)
{
    observations.upstreamLeaving(UpstreamId("u"), now);
    now += 1s;
    issue("soon");
    observations.ran(runOf("soon"));
    now += 2s;
    issue("late");
    observations.ran(runOf("late"));
    BOOST_TEST(violatedInvariants() == Invariants{"no new work at a leaving upstream"});
}

BOOST_AUTO_TEST_CASE(reportsWorkThatAGatewaySendsToAnUpstreamWhoseLeavingItHasPassedOn)
{
    issue("first");
    observations.answered({"first", 503, true, {}, {}, now, UpstreamId("u")});
    disturbances.record("control", now, now + 10s);
    now += 1s;
    issue("soon");
    observations.ran(runOf("soon"));
    BOOST_TEST(violatedInvariants().empty());
    now += 2s;
    issue("late");
    observations.ran(runOf("late"));
    BOOST_TEST(violatedInvariants()
               == Invariants{"no new work at an upstream that has stated that it leaves"});
}

BOOST_AUTO_TEST_CASE(acceptsSuchWorkOfAGatewayThatHasRestarted)
{
    issue("first");
    observations.answered({"first", 503, true, {}, {}, now, UpstreamId("u")});
    disturbances.record("gateway", now + 1s, now + 1s);
    now += 3s;
    issue("late");
    observations.ran(runOf("late"));
    BOOST_TEST(violatedInvariants().empty());
}

BOOST_AUTO_TEST_CASE(reportsACustomerOverItsRate)
{
    observations.setRateLimit("customer", {2, 2});
    for (int i = 0; i < 40; ++i) {
        issue("r" + std::to_string(i));
        observations.ran(runOf("r" + std::to_string(i)));
        now += 10ms;
    }
    observations.finish();
    BOOST_TEST(violatedInvariants() == Invariants{"rate and burst"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Configurations)

BOOST_AUTO_TEST_CASE(reportsAnOlderConfigurationAfterThePropagationLimit)
{
    observations.configurationSent(3, "three");
    observations.configurationSent(7, "seven");
    observations.configurationAcknowledged(3, now);
    observations.configurationAcknowledged(7, now);
    observations.configurationRead(now + 1s, 3, "three");
    BOOST_TEST(violatedInvariants().empty());
    observations.configurationRead(now + 3s, 3, "three");
    BOOST_TEST(violatedInvariants() == Invariants{"configuration version never decreases"});
}

BOOST_AUTO_TEST_CASE(reportsDifferentContent)
{
    observations.configurationSent(3, "three");
    observations.configurationRead(now, 3, "other");
    BOOST_TEST(violatedInvariants() == Invariants{"configuration unchanged"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
