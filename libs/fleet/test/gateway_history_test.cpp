#include "gateway_fixture.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;

namespace {

const InstanceId kReplicas[] = {InstanceId("10.0.0.1"), InstanceId("10.0.0.2"),
                                InstanceId("10.0.0.3")};

/// A gateway with a route that keeps histories and three history replicas.
class HistoryFixture : public GatewayFixture
{
public:
    HistoryFixture()
    {
        m_gateway.tick(m_now);
        fb::FeedT message;
        message.term = 1;
        message.configurationVersion = 1;
        auto content = configuration(1);
        Route route;
        route.name = "/kept/";
        route.host = "h";
        route.pathPrefix = "/kept/";
        route.kind = RouteKind::Stream;
        route.timeout = 3s;
        route.targetLatency = 250ms;
        route.targets = {{ServiceId("engines"), 1}};
        route.keepsHistory = true;
        route.retention = 60s;
        content.routes.push_back(route);
        message.configuration = toBytes(encode(content));
        message.histories = std::make_unique<fb::HistoryReplicasT>();
        message.histories->version = 1;
        message.histories->copies = 2;
        for (const auto &replica : kReplicas) {
            auto member = std::make_unique<fb::HistoryMemberT>();
            member->replica = replica.value;
            member->domain = "a";
            member->writable = true;
            message.histories->members.push_back(std::move(member));
        }
        m_gateway.receive(m_now, kLeader, PeerFrame(Message(message)));
    }

    auto turn(const std::string &name, const std::string &previous) -> CallerToken
    {
        CallerRequest item;
        item.token = ++m_token;
        item.name = name;
        item.host = "h";
        item.path = "/kept/x";
        item.key = "key";
        item.callerTimeout = 3s;
        item.previousTurn = history::TurnId(previous);
        item.body = std::make_shared<const std::string>("new input");
        m_gateway.request(m_now, item);
        return m_token;
    }

    auto answerRead(const InstanceId &from, const history::fb::ReadChainT &read,
                    history::ReadOutcome outcome, const std::string &content = {}) -> void
    {
        history::fb::ChainReadT reply;
        reply.request = read.request;
        reply.replica = from.value;
        reply.outcome = static_cast<std::uint8_t>(outcome);
        reply.content = toBytes(content);
        m_gateway.receive(m_now, from, PeerFrame(history::Message(std::move(reply))));
    }

    auto answerStore(const InstanceId &from, const history::fb::StoreTurnT &store) -> void
    {
        history::fb::TurnStoredT reply;
        reply.request = store.request;
        reply.replica = from.value;
        m_gateway.receive(m_now, from, PeerFrame(history::Message(std::move(reply))));
    }

    auto streamWhole(AttemptId attempt) -> void
    {
        head(attempt);
        m_gateway.attemptData(m_now, attempt, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
        m_gateway.attemptEnd(m_now, attempt, {true, true, true});
    }

private:
    CallerToken m_token = 1000;
};

} // namespace

BOOST_AUTO_TEST_SUITE(GatewayHistory)

BOOST_FIXTURE_TEST_SUITE(BeforeATurnRuns, HistoryFixture)

BOOST_AUTO_TEST_CASE(theFirstTurnOfAChainIsPlacedImmediately)
{
    turn("t1", "");
    BOOST_TEST(take<fb::AdmissionT>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(aLaterTurnIsPlacedWithItsEarlierTurns)
{
    turn("t2", "t1");
    const auto reads = take<history::fb::ReadChainT>();
    BOOST_TEST_REQUIRE(reads.size() == 1U);
    BOOST_TEST(reads[0].key->customer == "c");
    BOOST_TEST(reads[0].key->turn == "t1");
    BOOST_TEST(take<fb::AdmissionT>().empty());
    answerRead(kReplicas[0], reads[0], history::ReadOutcome::Found, "earlier turns");
    const auto started = grant("e1");
    BOOST_TEST_REQUIRE(started.history);
    BOOST_TEST(*started.history == "earlier turns");
}

BOOST_AUTO_TEST_CASE(aTurnThatContinuesAnUnknownOneIsRefusedOnceThatIsCertain)
{
    turn("t2", "forged");
    answerRead(kReplicas[0], take<history::fb::ReadChainT>()[0], history::ReadOutcome::Absent);
    BOOST_TEST(take<RefuseCaller>().empty());
    const auto more = take<history::fb::ReadChainT>();
    BOOST_TEST_REQUIRE(!more.empty());
    answerRead(kReplicas[1], more[0], history::ReadOutcome::Absent);
    const auto refused = take<RefuseCaller>();
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].error.code == Code::UnknownTurn));
    BOOST_TEST((refused[0].error.ran == Ran::No));
    BOOST_TEST(take<fb::AdmissionT>().empty());
    BOOST_TEST(take<fb::CompletionT>().empty());
}

BOOST_AUTO_TEST_CASE(aTurnIsRefusedForNowIfTheReplicasCannotTell)
{
    turn("t2", "t1");
    for (int i = 0; i < 150; ++i)
        advance(10ms);
    const auto refused = take<RefuseCaller>();
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].error.code == Code::HistoryUnavailable));
    BOOST_TEST((refused[0].error.retryAfter > 0ms));
    BOOST_TEST((refused[0].error.ran == Ran::No));
}

BOOST_AUTO_TEST_CASE(aNewLeaderIsNotAskedForATurnThatStillReads)
{
    turn("t2", "t1");
    feed(InstanceId("10.0.0.2"), 2, 0);
    BOOST_TEST(take<fb::AdmissionT>().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AfterATurnRan, HistoryFixture)

BOOST_AUTO_TEST_CASE(theResponseEndsOnlyWhenEnoughDisksHaveTheTurn)
{
    turn("t1", "");
    streamWhole(grant("e1").attempt);
    BOOST_TEST(text() == "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
    // The slot is free while the turn is stored.
    BOOST_TEST(take<fb::CompletionT>().size() == 1U);
    const auto stores = take<history::fb::StoreTurnT>();
    BOOST_TEST_REQUIRE(stores.size() == 3U);
    BOOST_TEST(stores[0].turn->key->turn == "t1");
    BOOST_TEST(toText(stores[0].turn->input) == "new input");
    BOOST_TEST(toText(stores[0].turn->output) == "one\ntwo\n");
    answerStore(kReplicas[0], stores[0]);
    answerStore(kReplicas[0], stores[0]);
    BOOST_TEST(take<EndResponse>().empty());
    answerStore(kReplicas[2], stores[0]);
    const auto ended = take<EndResponse>();
    BOOST_TEST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(ended[0].complete);
    BOOST_TEST(take<fb::CompletionT>().empty());
}

BOOST_AUTO_TEST_CASE(theNextTurnAtTheSameGatewayNeedsNoRead)
{
    turn("t1", "");
    streamWhole(grant("e1").attempt);
    const auto store = take<history::fb::StoreTurnT>()[0];
    answerStore(kReplicas[0], store);
    answerStore(kReplicas[1], store);
    turn("t2", "t1");
    BOOST_TEST(take<history::fb::ReadChainT>().empty());
    BOOST_TEST(*grant("e1").history == "new inputone\ntwo\n");
}

BOOST_AUTO_TEST_CASE(aResponseWhoseTurnCannotBeStoredIsNotComplete)
{
    turn("t1", "");
    streamWhole(grant("e1").attempt);
    const auto store = take<history::fb::StoreTurnT>()[0];
    answerStore(kReplicas[0], store);
    for (int i = 0; i < 310; ++i)
        advance(10ms);
    const auto ended = take<EndResponse>();
    BOOST_TEST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(!ended[0].complete);
}

BOOST_AUTO_TEST_CASE(aTurnThatTheUpstreamBrokeOffIsNotStored)
{
    turn("t1", "");
    const auto attempt = grant("e1").attempt;
    head(attempt);
    m_gateway.attemptData(m_now, attempt, "id: 1\ndata: one\n\n");
    m_gateway.attemptEnd(m_now, attempt, {false, true, true});
    BOOST_TEST(take<history::fb::StoreTurnT>().empty());
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesMeanwhileGetsNothingMore)
{
    const auto token = turn("t1", "");
    streamWhole(grant("e1").attempt);
    const auto store = take<history::fb::StoreTurnT>()[0];
    m_gateway.callerDisconnected(m_now, token);
    answerStore(kReplicas[0], store);
    answerStore(kReplicas[1], store);
    BOOST_TEST(take<EndResponse>().empty());
    BOOST_TEST(m_gateway.openCalls() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(eventDataJoinsTheFieldsOfAnEvent)
{
    BOOST_TEST(eventData("id: 1\ndata: one\n\n") == "one");
    BOOST_TEST(eventData("data:a\r\ndata: b\r\n\r\n") == "a\nb");
    BOOST_TEST(eventData(": comment\n\n").empty());
}

BOOST_AUTO_TEST_SUITE_END()
