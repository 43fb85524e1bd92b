#include "gateway_fixture.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;

namespace {

/// How an attempt at an upstream ends.
struct Ending
{
    std::string name;
    AttemptHead head;
    std::string body;
    AttemptEnd end;
};

constexpr AttemptEnd kComplete{true, true, true};
constexpr AttemptEnd kReset{false, true, true};

auto headOf(int status, bool isOtherMediaType = false) -> AttemptHead
{
    AttemptHead head{status, false, true};
    head.isOtherMediaType = isOtherMediaType;
    return head;
}

/// Returns the endings that do not continue a stream after event 2.
auto endingsWithoutContinuation() -> std::vector<Ending>
{
    const std::string error = "event: error\ndata: internal error\n\n";
    std::vector<Ending> endings;
    for (const auto status : {204, 206, 301, 400, 416, 429, 500, 502, 503, 504})
        endings.push_back({"status " + std::to_string(status), headOf(status), error, kComplete});
    endings.push_back({"long 500", headOf(500), std::string(300 * 1024, 'x'), kComplete});
    endings.push_back({"500, reset", headOf(500), error, kReset});
    endings.push_back({"other media type", headOf(200, true), "id: 3\n{}\n\n", kComplete});
    endings.push_back({"no identifier", headOf(200), error, kComplete});
    endings.push_back({"first event again", headOf(200), "id: 1\ndata: a\n\n", kComplete});
    endings.push_back({"skipped event", headOf(200), "id: 4\ndata: d\n\n", kComplete});
    endings.push_back({"part of an event", headOf(200), "id: 3\nda", kComplete});
    endings.push_back({"reset", headOf(200), "", kReset});
    endings.push_back({"not signed", {200, false, false}, "id: 3\ndata: c\n\n", kComplete});
    endings.push_back({"declined", {503, true, true}, error, kComplete});
    auto silent = headOf(200);
    silent.endsWithConnection = true;
    endings.push_back({"closed without events", silent, "", kComplete});
    return endings;
}

/// A caller that has received events 1 and 2 of a stream that broke off.
struct BrokenOffFixture : ConnectedFixture
{
    auto play(const StartAttempt &attempt, const Ending &ending) -> void
    {
        m_gateway.attemptHead(m_now, attempt.attempt, ending.head);
        if (!ending.body.empty())
            m_gateway.attemptData(m_now, attempt.attempt, ending.body);
        m_gateway.attemptEnd(m_now, attempt.attempt, ending.end);
    }

    auto breakOffAfterTwoEvents(const std::string &path) -> void
    {
        request(path);
        play(grant("u0"), {"", headOf(200), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3", kReset});
        BOOST_TEST(text() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        BOOST_TEST(take<ForwardHead>().size() == 1U);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(GatewayStreamsTest)

BOOST_FIXTURE_TEST_SUITE(WhenTheCallerHasEventsOfAStreamThatBrokeOff, BrokenOffFixture)

// Guards against a stream that holds the body of another attempt's failure (review case 4).
BOOST_AUTO_TEST_CASE(neverForwardsAResponseThatDoesNotContinueTheStream)
{
    for (const auto &ending : endingsWithoutContinuation()) {
        BOOST_TEST_CONTEXT(ending.name)
        {
            breakOffAfterTwoEvents("/stream/x");
            play(grant("u1"), ending);
            BOOST_TEST(text() == "");
            BOOST_TEST(take<EndResponse>().empty());
            BOOST_TEST(take<ForwardResponse>().empty());
            const auto third = grant("u2");
            BOOST_TEST(third.resumeAfter.value() == 2U);
            play(third, {"", headOf(200), "id: 3\ndata: c\n\n", kComplete});
            BOOST_TEST(text() == "id: 3\ndata: c\n\n");
            const auto ended = take<EndResponse>();
            BOOST_TEST_REQUIRE(ended.size() == 1U);
            BOOST_TEST(ended[0].complete);
            BOOST_TEST(take<ForwardHead>().empty());
        }
    }
}

// Guards against a broken stream that ends as if it were complete.
BOOST_AUTO_TEST_CASE(endsVisiblyBrokenWhenNoAttemptContinuesTheStream)
{
    for (const auto &ending : endingsWithoutContinuation()) {
        BOOST_TEST_CONTEXT(ending.name)
        {
            breakOffAfterTwoEvents("/stream/x");
            for (const auto *upstream : {"u1", "u2", "u3"})
                play(grant(upstream), ending);
            BOOST_TEST(text() == "");
            BOOST_TEST(take<RefuseCaller>().empty());
            const auto ended = take<EndResponse>();
            BOOST_TEST_REQUIRE(ended.size() == 1U);
            BOOST_TEST(!ended[0].complete);
        }
    }
}

BOOST_AUTO_TEST_CASE(isCompleteWhenOnlyTheEndOfTheStreamWasLost)
{
    breakOffAfterTwoEvents("/stream/x");
    play(grant("u1"), {"", headOf(200), "", kComplete});
    const auto ended = take<EndResponse>();
    BOOST_TEST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(ended[0].complete);
}

BOOST_AUTO_TEST_CASE(forwardsCommentsOfAnAttemptThatContinues)
{
    breakOffAfterTwoEvents("/stream/x");
    play(grant("u1"), {"", headOf(200), ": kept alive\n\nid: 3\ndata: c\n\n", kComplete});
    BOOST_TEST(text() == ": kept alive\n\nid: 3\ndata: c\n\n");
    BOOST_TEST(take<EndResponse>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenTheCallerHasReceivedNothing, BrokenOffFixture)

BOOST_AUTO_TEST_CASE(forwardsTheResponseOfALaterAttemptWithItsOwnHead)
{
    request("/stream/x");
    play(grant("u0"), {"", headOf(200), "id: 1\nda", kReset});
    const auto second = grant("u1");
    play(second, {"", headOf(500), "failure", kComplete});
    const auto passed = take<ForwardResponse>();
    BOOST_TEST_REQUIRE(passed.size() == 1U);
    BOOST_TEST(passed[0].attempt == second.attempt);
    BOOST_TEST(passed[0].body == "failure");
}

// Guards against events that are written before the head of their response.
BOOST_AUTO_TEST_CASE(forwardsTheHeadBeforeEventsThatOneOutOfOrderFollows)
{
    request("/stream/x");
    play(grant("u0"), {"", headOf(200), "id: 1\ndata: a\n\nid: 3\ndata: c\n\n", kComplete});
    BOOST_TEST(take<ForwardHead>().size() == 1U);
    BOOST_TEST(text() == "id: 1\ndata: a\n\n");
    BOOST_TEST(grant("u1").resumeAfter.value() == 1U);
}

// Guards against complete events that are skipped when the next event is too long.
BOOST_AUTO_TEST_CASE(forwardsTheEventsBeforeOneThatIsTooLong)
{
    request("/stream/x");
    const auto first = grant("u0").attempt;
    head(first);
    m_gateway.attemptData(m_now, first,
                          "id: 1\ndata: a\n\nid: 2\ndata: " + std::string(2 * 1024 * 1024, 'x'));
    BOOST_TEST(text() == "id: 1\ndata: a\n\n");
    BOOST_TEST(grant("u1").resumeAfter.value() == 1U);
}

// Guards against a 200 without a body that is framed as a whole stream.
BOOST_AUTO_TEST_CASE(doesNotTakeAClosedConnectionWithoutEventsForAStream)
{
    auto silent = headOf(200);
    silent.endsWithConnection = true;
    request("/once/x");
    play(grant("u0"), {"", silent, "", kComplete});
    BOOST_TEST(take<ForwardResponse>().empty());
    const auto refused = take<RefuseCaller>();
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].error.ran == Ran::Unknown));
}

BOOST_AUTO_TEST_CASE(forwardsAnotherMediaTypeAsAWholeResponse)
{
    request("/stream/x");
    play(grant("u0"), {"", headOf(200, true), "{}", kComplete});
    const auto passed = take<ForwardResponse>();
    BOOST_TEST_REQUIRE(passed.size() == 1U);
    BOOST_TEST(passed[0].body == "{}");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenTheCallerResumesAStream, BrokenOffFixture)

// Guards against events without a position after those that the caller already has.
BOOST_AUTO_TEST_CASE(forwardsOnlyTheEventAfterItsLastOne)
{
    for (const auto *body : {"id: 1\ndata: a\n\n", "id: 8\ndata: h\n\n", "data: error\n\n"}) {
        CallerRequest item;
        item.token = 1000;
        item.name = "again";
        item.host = "h";
        item.path = "/stream/x";
        item.key = "key";
        item.lastEvent = 6;
        m_gateway.request(m_now, item);
        play(grant("u0"), {"", headOf(200), body, kComplete});
        BOOST_TEST(text() == "");
        play(grant("u1"), {"", headOf(200), "id: 7\ndata: g\n\n", kComplete});
        BOOST_TEST(text() == "id: 7\ndata: g\n\n");
        take<EndResponse>();
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenTheCallerHasSomethingThatCannotBeContinued, BrokenOffFixture)

// Guards against a stream that is joined to one whose position nobody knows.
BOOST_AUTO_TEST_CASE(breaksOffAfterEventsWithoutIdentifiers)
{
    request("/stream/x");
    play(grant("u0"), {"", headOf(200), "data: a\n\ndata: b\n\n", kReset});
    BOOST_TEST(text() == "data: a\n\ndata: b\n\n");
    BOOST_TEST(take<StartAttempt>().empty());
    const auto ended = take<EndResponse>();
    BOOST_TEST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(!ended[0].complete);
}

// Guards against events that follow a part of the body of a failure.
BOOST_AUTO_TEST_CASE(breaksOffAfterPartOfABody)
{
    for (const auto *path : {"/stream/x", "/safe/x"}) {
        request(path);
        play(grant("u0"), {"", headOf(500), std::string(300 * 1024, 'x'), kReset});
        BOOST_TEST(take<ForwardHead>().size() == 1U);
        BOOST_TEST(text().size() == 300U * 1024);
        const auto ended = take<EndResponse>();
        BOOST_TEST_REQUIRE(ended.size() == 1U);
        BOOST_TEST(!ended[0].complete);
    }
}

BOOST_AUTO_TEST_CASE(completesALongBodyThatTheSameAttemptCompletes)
{
    for (const auto status : {200, 500}) {
        request("/safe/x");
        play(grant("u0"), {"", headOf(status), std::string(300 * 1024, 'x'), kComplete});
        const auto ended = take<EndResponse>();
        BOOST_TEST_REQUIRE(ended.size() == 1U);
        BOOST_TEST(ended[0].complete);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
