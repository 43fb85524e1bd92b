#include "../observations.h"

#include <boost/test/unit_test.hpp>

using namespace heathergate;
using namespace heathergate::soak;
using namespace std::chrono_literals;

namespace {

/// A caller, an upstream and an operator whose words a test chooses.
struct Scene
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
        observations.answered({id, status, true, "proof", body, now});
    }

    [[nodiscard]] auto broken() const -> std::vector<std::string>
    {
        std::vector<std::string> promises;
        for (const auto &violation : observations.violations())
            promises.push_back(violation.promise);
        return promises;
    }
};

using Promises = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(ObservationsTest, Scene)

BOOST_AUTO_TEST_SUITE(OfARequest)

BOOST_AUTO_TEST_CASE(acceptsOneRunWithItsWholeAnswer)
{
    issue("r");
    observations.ran(runOf("r"));
    observations.produced("r", "proof", "answer");
    answer("r", 200, "answer");
    BOOST_TEST(broken().empty());
}

BOOST_AUTO_TEST_CASE(findsASecondRun)
{
    issue("r");
    observations.ran(runOf("r"));
    observations.ran(runOf("r"));
    BOOST_TEST(broken() == Promises{"runs at most once"});
}

BOOST_AUTO_TEST_CASE(letsIdempotentRequestsRunAgain)
{
    issue("r", RequestKind::Idempotent);
    observations.ran(runOf("r"));
    observations.ran(runOf("r"));
    BOOST_TEST(broken().empty());
}

BOOST_AUTO_TEST_CASE(findsARunThatNobodyAskedFor)
{
    observations.ran(runOf("r"));
    BOOST_TEST(broken() == Promises{"unknown request"});
}

BOOST_AUTO_TEST_CASE(findsAChangedRequestAnotherCustomerAndAKey)
{
    issue("r");
    auto run = runOf("r");
    run.body = "other";
    run.customer = "other";
    run.carriesKey = true;
    observations.ran(run);
    BOOST_TEST(broken()
               == (Promises{"unchanged request", "customer of the key", "no key at upstreams"}));
}

BOOST_AUTO_TEST_CASE(findsARefusalOfWhatHasRunInEitherOrder)
{
    issue("early");
    observations.ran(runOf("early"));
    answer("early", 503);
    issue("late");
    answer("late", 429);
    observations.ran(runOf("late"));
    BOOST_TEST(broken() == (Promises{"a refusal is true", "a refusal is true"}));
}

BOOST_AUTO_TEST_CASE(findsAForeignAndAShortenedAnswer)
{
    issue("r");
    observations.ran(runOf("r"));
    answer("r", 200, "answer");
    observations.produced("r", "proof", "answer");
    answer("r", 200, "answ");
    BOOST_TEST(broken() == (Promises{"own whole answer", "own whole answer"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfAStream)

BOOST_AUTO_TEST_CASE(findsAMissingAndAForeignEvent)
{
    observations.eventReceived("r", 0, 1, "a", "a");
    observations.eventReceived("r", 1, 3, "c", "c");
    observations.eventReceived("r", 3, 4, "x", "d");
    BOOST_TEST(broken() == (Promises{"events in order", "events of one request"}));
}

BOOST_AUTO_TEST_CASE(findsABudgetThatIsPassedOnce)
{
    observations.tokensReceived("p", 60, 100);
    observations.tokensReceived("p", 60, 100);
    observations.tokensReceived("p", 60, 100);
    BOOST_TEST(broken() == Promises{"budget"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfTime)

BOOST_AUTO_TEST_CASE(findsAWithdrawnKeyOnlyWhereNothingWasDisturbed)
{
    observations.keyWithdrawn("key", now);
    disturbances.note("gateway", now, now + 1s);
    now += 3s;
    issue("excused");
    observations.ran(runOf("excused"));
    now += 20s;
    issue("r");
    observations.ran(runOf("r"));
    BOOST_TEST(broken() == Promises{"withdrawn key"});
}

BOOST_AUTO_TEST_CASE(findsAnAcceptedKeyThatIsRefused)
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
    BOOST_TEST(broken() == Promises{"an accepted key works"});
}

BOOST_AUTO_TEST_CASE(findsWorkForAnUpstreamThatLeaves)
{
    observations.upstreamLeaves(UpstreamId("u"), now);
    now += 1s;
    issue("soon");
    observations.ran(runOf("soon"));
    now += 2s;
    issue("late");
    observations.ran(runOf("late"));
    BOOST_TEST(broken() == Promises{"leaving upstream"});
}

BOOST_AUTO_TEST_CASE(findsACustomerBeyondItsLimit)
{
    observations.setRateLimit("customer", {2, 2});
    for (int i = 0; i < 40; ++i) {
        issue("r" + std::to_string(i));
        observations.ran(runOf("r" + std::to_string(i)));
        now += 10ms;
    }
    observations.finish();
    BOOST_TEST(broken() == Promises{"rate and burst"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfAConfiguration)

BOOST_AUTO_TEST_CASE(findsAnOlderOneAfterTheTimeToApply)
{
    observations.configurationSent(3, "three");
    observations.configurationSent(7, "seven");
    observations.configurationAcknowledged(3, now);
    observations.configurationAcknowledged(7, now);
    observations.configurationRead(now + 1s, 3, "three");
    BOOST_TEST(broken().empty());
    observations.configurationRead(now + 3s, 3, "three");
    BOOST_TEST(broken() == Promises{"configuration never goes back"});
}

BOOST_AUTO_TEST_CASE(findsOtherContent)
{
    observations.configurationSent(3, "three");
    observations.configurationRead(now, 3, "other");
    BOOST_TEST(broken() == Promises{"configuration as sent"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
