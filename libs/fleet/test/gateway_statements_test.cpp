#include "gateway_fixture.h"

#include <array>

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;
using namespace std::chrono_literals;

namespace {

constexpr int kOk = 200;

struct StatementFixture : ConnectedFixture
{
    /// Sends a request to an upstream whose response states `rate`.
    auto answer(const std::string &upstream, std::optional<double> rate, bool isLimited = false)
        -> void
    {
        request("/safe/1");
        const auto attempt = grant(upstream, 1, isLimited).attempt;
        advance(5ms);
        m_gateway.attemptHead(m_now, attempt, {200, false, true, rate});
        m_gateway.attemptEnd(m_now, attempt, {true, true, true});
        advance(5ms);
    }

    auto answerLeaving(const std::string &upstream) -> void
    {
        request("/safe/1");
        const auto attempt = grant(upstream).attempt;
        m_gateway.attemptHead(m_now, attempt, {200, false, true, std::nullopt, true});
        m_gateway.attemptEnd(m_now, attempt, {true, true, true});
        advance(5ms);
    }

    auto statements() -> std::vector<fb::UpstreamStatementT>
    {
        return take<fb::UpstreamStatementT>();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GatewayStatementsTest, StatementFixture)

BOOST_AUTO_TEST_SUITE(WhenAResponseStatesARate)

BOOST_AUTO_TEST_CASE(tellsTheLeaderAtTheHeadOfTheResponse)
{
    request("/safe/1");
    const auto attempt = grant("u").attempt;
    m_gateway.attemptHead(m_now, attempt, {200, false, true, 7.4});
    const auto sent = statements();
    BOOST_TEST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent.front().upstream == "u");
    BOOST_TEST(sent.front().born == 1);
    BOOST_TEST(*sent.front().rate == 7.4);
}

BOOST_AUTO_TEST_CASE(tellsAnUnchangedRateAtIntervalsOnly)
{
    for (int i = 0; i < 50; ++i)
        answer("u", 7.4);
    const auto sent = statements().size();
    BOOST_TEST(sent >= 2U);
    BOOST_TEST(sent <= 4U);
    answer("u", 3.0);
    BOOST_TEST(statements().size() == 1U);
}

BOOST_AUTO_TEST_CASE(tellsANewLeaderWhatItKnows)
{
    answer("u", 7.4);
    answer("v", 3.0);
    statements();
    feed(InstanceId("10.0.0.2"), 2, 1);
    BOOST_TEST(statements().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheRateIsNotStatedAnyMore)

BOOST_AUTO_TEST_CASE(tellsTheLeaderOnce)
{
    answer("u", 7.4);
    statements();
    answer("u", std::nullopt);
    const auto sent = statements();
    BOOST_TEST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(!sent.front().rate.has_value());
    answer("u", std::nullopt);
    BOOST_TEST(statements().empty());
}

BOOST_AUTO_TEST_CASE(doesNotTakeAResponseThatIsNotTheUpstreamsOwnAsTheEndOfTheLimit)
{
    constexpr int kMisdirected = 421;
    const std::array<AttemptHead, 3> heads{
        AttemptHead{kOk, false, false}, AttemptHead{kMisdirected, true, false},
        AttemptHead{kOk, false, true, std::nullopt, false, "Server-Limit: many"}};
    for (const auto &head : heads) {
        answer("u", 7.4);
        statements();
        request("/safe/1");
        const auto attempt = grant("u", 1, true).attempt;
        advance(5ms);
        m_gateway.attemptHead(m_now, attempt, head);
        m_gateway.attemptEnd(m_now, attempt, {true, true, true});
        BOOST_TEST(statements().empty(),
                   "status " << head.status << ", signed " << head.isAuthentic);
    }
}

BOOST_AUTO_TEST_CASE(tellsALeaderThatLearntOfTheRateFromOthers)
{
    answer("u", std::nullopt, true);
    BOOST_TEST(statements().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(tellsTheLeaderThatAnUpstreamHasClosedItsConnections)
{
    m_gateway.connectionsLost(m_now, {"127.0.0.1", 9000});
    const auto lost = take<fb::ConnectionsLostT>();
    BOOST_TEST_REQUIRE(lost.size() == 1U);
    BOOST_TEST(lost.front().address == "127.0.0.1:9000");
}

BOOST_AUTO_TEST_SUITE(WhenAResponseStatesThatItsUpstreamIsAboutToEnd)

BOOST_AUTO_TEST_CASE(tellsTheLeaderAndEachNewLeader)
{
    answerLeaving("u");
    const auto sent = statements();
    BOOST_TEST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent.front().leaving);
    BOOST_TEST(sent.front().upstream == "u");
    feed(InstanceId("10.0.0.2"), 2, 1);
    const auto again = statements();
    BOOST_TEST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again.front().leaving);
}

BOOST_AUTO_TEST_CASE(sendsNoFurtherRequestThereAndRequestsAnotherPlace)
{
    answerLeaving("u");
    take<fb::CompletionT>();
    request("/safe/2");
    const auto admission = take<fb::AdmissionT>().back().request;
    grantRequest(admission, "u", 1);
    BOOST_TEST(take<StartAttempt>().empty());
    const auto returned = take<fb::CompletionT>();
    BOOST_TEST_REQUIRE(returned.size() == 1U);
    BOOST_TEST(!returned.front().final);
    const auto next = take<fb::AdmissionT>();
    BOOST_TEST_REQUIRE(next.size() == 1U);
    BOOST_TEST(next.front().avoid.at(0) == "u");
    grantRequest(admission, "v", 1);
    BOOST_TEST(take<StartAttempt>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(sendsRequestsToTheNextIncarnation)
{
    answerLeaving("u");
    request("/safe/2");
    grantRequest(take<fb::AdmissionT>().back().request, "u", 2);
    BOOST_TEST(take<StartAttempt>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(countsAStreamAtItsHead)
{
    request("/stream/1");
    const auto attempt = grant("u").attempt;
    m_gateway.attemptHead(m_now, attempt, {200, false, true, std::nullopt, true});
    request("/stream/2");
    grantRequest(take<fb::AdmissionT>().back().request, "u", 1);
    BOOST_TEST(take<StartAttempt>().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
