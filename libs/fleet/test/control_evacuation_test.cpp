#include "control_fleet.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;

namespace {

const FailureDomainId kDomain("a");
const FailureDomainId kOtherDomain("b");

/// A fleet with an upstream in each of two failure domains.
struct EvacuatedFleet : Fleet
{
    EvacuatedFleet()
    {
        waitForLeader();
        heartbeat(leader(), upstream("u-a", 1, 1, 9000));
        auto other = upstream("u-b", 1, 1, 9001);
        other.domain = kOtherDomain;
        heartbeat(leader(), other);
        run(100ms);
    }

    auto order(const std::string &instance, const FailureDomainId &domain, bool isEvacuated)
        -> CallToken
    {
        const auto token = nextToken();
        node(instance).setEvacuation(now(), token, domain, isEvacuated);
        return token;
    }

    /// Repeats an order at the instance that leads until it is acknowledged, as operators do.
    auto orderUntilDone(const FailureDomainId &domain, bool isEvacuated) -> CallStatus
    {
        auto status = CallStatus::Unavailable;
        for (int i = 0; i < 50 && status != CallStatus::Done; ++i) {
            const auto token = order(waitForLeader(), domain, isEvacuated);
            run(100ms);
            if (const auto answered = answer(token))
                status = answered->status;
        }
        return status;
    }

    auto evacuatedAt(const std::string &instance) -> std::set<FailureDomainId>
    {
        return node(instance).state().evacuated();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ControlEvacuationTest, EvacuatedFleet)

BOOST_AUTO_TEST_SUITE(WhenAnOperatorEvacuatesAFailureDomain)

// Guards against an acknowledgement that a loss of the leader could revoke.
BOOST_AUTO_TEST_CASE(acknowledgesItOnceAMajorityHasStoredIt)
{
    const auto token = order(leader(), kDomain, true);
    BOOST_TEST(!answer(token).has_value());
    run(100ms);
    BOOST_TEST_REQUIRE(answer(token).has_value());
    BOOST_TEST((answer(token)->status == CallStatus::Done));
    run(200ms);
    for (const auto *instance : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        BOOST_TEST(evacuatedAt(instance).contains(kDomain));
}

BOOST_AUTO_TEST_CASE(acknowledgesARepeatedOrder)
{
    BOOST_TEST((orderUntilDone(kDomain, true) == CallStatus::Done));
    BOOST_TEST((orderUntilDone(kDomain, true) == CallStatus::Done));
    BOOST_TEST((orderUntilDone(kDomain, false) == CallStatus::Done));
    BOOST_TEST((orderUntilDone(kDomain, false) == CallStatus::Done));
    BOOST_TEST(evacuatedAt(leader()).empty());
}

// Guards against an accepted order whose repetition is refused because nothing is left there.
BOOST_AUTO_TEST_CASE(acknowledgesARepeatedEndAfterTheDomainHasGone)
{
    BOOST_TEST((orderUntilDone(kDomain, true) == CallStatus::Done));
    node(leader()).upstreamLeft(now(), nextToken(), UpstreamId("u-a"));
    for (std::uint64_t version = 1; version <= 8; ++version) {
        run(10s);
        put(waitForLeader(), version, std::to_string(version));
    }
    BOOST_TEST(!node(leader()).state().upstreams().contains(UpstreamId("u-a")));
    BOOST_TEST((orderUntilDone(kDomain, false) == CallStatus::Done));
    BOOST_TEST((orderUntilDone(kDomain, false) == CallStatus::Done));
}

BOOST_AUTO_TEST_CASE(refusesAnUnknownFailureDomainAndSaysWhy)
{
    run(2s); // A new leader does not know all instances yet.
    const auto token = order(leader(), FailureDomainId("nowhere"), true);
    run(50ms);
    BOOST_TEST((answer(token)->status == CallStatus::NotFound));
    BOOST_TEST(answer(token)->detail.find("nowhere") != std::string::npos);
    BOOST_TEST(evacuatedAt(leader()).empty());
}

BOOST_AUTO_TEST_CASE(isUnsureAboutAnUnknownFailureDomainJustAfterAnElection)
{
    kill(leader());
    const auto next = waitForLeader();
    const auto token = order(next, FailureDomainId("nowhere"), true);
    run(50ms);
    BOOST_TEST((answer(token)->status == CallStatus::Unavailable));
}

BOOST_AUTO_TEST_CASE(namesTheLeaderElsewhere)
{
    const auto leading = leader();
    const std::string other = leading == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    const auto token = order(other, kDomain, true);
    run(50ms);
    BOOST_TEST((answer(token)->status == CallStatus::Redirect));
    BOOST_TEST(answer(token)->leaderAddress == leading);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenInstancesFail)

BOOST_AUTO_TEST_CASE(keepsTheOrderAfterTheLossOfTheLeader)
{
    BOOST_TEST((orderUntilDone(kDomain, true) == CallStatus::Done));
    kill(leader());
    BOOST_TEST(evacuatedAt(waitForLeader()).contains(kDomain));
}

// Guards against an order that is acknowledged, or refused, wrongly if the leader is lost between
// the record and the answer.
BOOST_AUTO_TEST_CASE(isAcknowledgedByTheNextLeaderIfTheFirstOneIsLostBeforeItsAnswer)
{
    const auto first = leader();
    order(first, kDomain, true);
    run(5ms);
    kill(first);
    BOOST_TEST((orderUntilDone(kDomain, true) == CallStatus::Done));
    BOOST_TEST(evacuatedAt(leader()).contains(kDomain));
}

BOOST_AUTO_TEST_CASE(keepsTheOrderAfterARestartOfAllFromASnapshot)
{
    BOOST_TEST((orderUntilDone(kDomain, true) == CallStatus::Done));
    // More entries than are kept before the state is stored as a snapshot.
    for (std::uint64_t version = 1; version <= 80; ++version) {
        put(waitForLeader(), version, std::to_string(version));
        run(20ms);
    }
    for (const auto *instance : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        kill(instance);
    for (const auto *instance : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        restart(instance);
    const auto leading = waitForLeader();
    BOOST_TEST_REQUIRE(leading != "");
    BOOST_TEST(evacuatedAt(leading).contains(kDomain));
}

BOOST_AUTO_TEST_CASE(keepsTheOrderOnTheRemainingDisksAfterOneIsLost)
{
    BOOST_TEST((orderUntilDone(kDomain, true) == CallStatus::Done));
    restartWiped(leader());
    run(6s);
    const auto leading = waitForLeader();
    BOOST_TEST(evacuatedAt(leading).contains(kDomain));
}

BOOST_AUTO_TEST_CASE(isNotAcknowledgedByALeaderThatIsCutOff)
{
    const auto former = leader();
    isolate(former);
    const auto token = order(former, kDomain, true);
    run(4s);
    const auto answered = answer(token);
    BOOST_TEST((!answered || answered->status != CallStatus::Done));
    const auto next = waitForLeader();
    BOOST_TEST(next != former);
    BOOST_TEST(evacuatedAt(next).empty());
}

BOOST_AUTO_TEST_CASE(acknowledgesOrdersForTwoDomainsDuringAStormOfConfigurations)
{
    std::uint64_t version = 0;
    std::vector<std::pair<FailureDomainId, bool>> orders{
        {kDomain, true}, {kOtherDomain, true}, {kDomain, false}};
    const auto first = leader();
    order(first, kDomain, true);
    order(first, kOtherDomain, true);
    const auto change = [&](const std::string &instance) {
        ++version;
        put(instance, version, std::to_string(version));
    };
    for (int i = 0; i < 10; ++i) {
        change(first);
        run(5ms);
    }
    kill(first);
    for (const auto &[domain, isEvacuated] : orders) {
        change(waitForLeader());
        BOOST_TEST((orderUntilDone(domain, isEvacuated) == CallStatus::Done));
    }
    BOOST_TEST(evacuatedAt(leader()) == std::set<FailureDomainId>{kOtherDomain});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
