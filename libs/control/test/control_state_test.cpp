#include <boost/test/unit_test.hpp>

#include <heathergate/control/control.h>

#include <rapidcheck/boost_test.h>

using namespace heathergate;
using namespace heathergate::control;
using namespace std::chrono_literals;

namespace {

auto edit(const std::string &id, const std::string &customer, Revision expected, double rate)
    -> EditRow
{
    return {id, CustomerId(customer), expected, RowValues{rate, 10, 100, 0, 1}};
}

auto feedOf(const std::vector<FeedEntry> &entries, std::int64_t requestedAt = 0) -> Feed
{
    return {requestedAt, entries.empty() ? 0 : entries.back().revision, std::nullopt, entries};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlStateTest)

BOOST_AUTO_TEST_SUITE(WhenRowsAreEdited)

BOOST_AUTO_TEST_CASE(anEditOfAnOldRevisionIsRefusedWithTheCurrentRow)
{
    ControlState state;
    BOOST_TEST(state.apply(1, 0s, edit("a", "pines", 0, 5)).revision == 1U);
    BOOST_TEST(state.apply(2, 0s, edit("b", "pines", 1, 6)).revision == 2U);
    const auto refused = state.apply(3, 0s, edit("c", "pines", 1, 7));
    BOOST_REQUIRE(refused.error.has_value());
    BOOST_TEST((refused.error->code == Code::RevisionConflict));
    BOOST_TEST(refused.row->values.rate == 6);
}

BOOST_AUTO_TEST_CASE(aResendReturnsTheFirstOutcomeEvenAfterLaterEdits)
{
    ControlState state;
    state.apply(1, 0s, edit("a", "pines", 0, 5));
    state.apply(2, 0s, edit("b", "pines", 1, 6));
    const auto again = state.apply(3, 0s, edit("a", "pines", 0, 5));
    BOOST_TEST(!again.error.has_value());
    BOOST_TEST(again.revision == 1U);
    BOOST_TEST(state.row(CustomerId("pines"))->values.rate == 6);
}

BOOST_AUTO_TEST_CASE(anInvalidValueChangesNothing)
{
    ControlState state;
    auto bad = edit("a", "pines", 0, -1);
    BOOST_TEST(state.apply(1, 0s, bad).error.has_value());
    BOOST_TEST(state.rows().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenKeysAreRevoked)

BOOST_AUTO_TEST_CASE(aRevokedKeyIsUnknown)
{
    ControlState state;
    state.apply(1, 0s, edit("a", "pines", 0, 5));
    state.apply(2, 0s, IssueKey{"g", "hash", KeyId("k"), KeyOwner::Caller, CustomerId("pines")});
    BOOST_TEST(state.key("hash") != nullptr);
    state.apply(3, 0s, RevokeKey{"w", KeyId("k")});
    BOOST_TEST(state.key("hash") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenRolesAreLeased)

BOOST_AUTO_TEST_CASE(eachNewHolderGetsAHigherFencingNumberOnlyAfterTheOldLeaseExpires)
{
    ControlState state;
    const auto first = state.apply(1, 0s, ClaimRole{"orders", InstanceId("a"), 1s});
    BOOST_TEST(state.apply(2, 500ms, ClaimRole{"orders", InstanceId("b"), 1s}).error.has_value());
    const auto renewed = state.apply(3, 900ms, ClaimRole{"orders", InstanceId("a"), 1s});
    BOOST_TEST(renewed.number == first.number);
    const auto second = state.apply(4, 2s, ClaimRole{"orders", InstanceId("b"), 1s});
    BOOST_TEST(!second.error.has_value());
    BOOST_TEST(second.number > first.number);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenUpstreamsChange)

BOOST_AUTO_TEST_CASE(anUpstreamThatRestartsIsANewIncarnation)
{
    ControlState state;
    UpstreamOffer offer;
    offer.id = UpstreamId("quill");
    offer.address = "127.0.0.1:1";
    offer.bootId = "one";
    const auto first = state.apply(1, 0s, AnnounceUpstream{offer});
    BOOST_TEST(state.apply(2, 0s, AnnounceUpstream{offer}).number == first.number);
    offer.bootId = "two";
    const auto second = state.apply(3, 0s, AnnounceUpstream{offer});
    BOOST_TEST(second.number > first.number);
    // A delayed removal of the first incarnation does not remove the second.
    BOOST_TEST(state.apply(4, 0s, RemoveUpstream{offer.id, first.number}).error.has_value());
    BOOST_TEST(state.upstreams().size() == 1U);
}

BOOST_AUTO_TEST_CASE(aRequestIsPoisonAfterTwoDifferentUpstreamsCrashed)
{
    ControlState state;
    state.apply(1, 0s, ReportCrash{"f", UpstreamId("a"), 1});
    state.apply(2, 0s, ReportCrash{"f", UpstreamId("a"), 1});
    BOOST_TEST(!state.isPoison("f"));
    state.apply(3, 0s, ReportCrash{"bystander", UpstreamId("a"), 1});
    state.apply(4, 0s, ClearSuspect{"bystander"});
    BOOST_TEST(!state.isSuspect("bystander"));
    BOOST_TEST(state.apply(5, 1s, ReportCrash{"f", UpstreamId("b"), 2}).number == 2U);
    BOOST_TEST(state.isPoison("f"));
    state.apply(6, 2s, ClearSuspect{"f"});
    BOOST_TEST(state.isPoison("f"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAViewReceivesFeeds)

/// Feeds may arrive delayed, repeated or out of order. The revision of a view never decreases, and
/// after all entries have arrived the view equals the leader's state.
RC_BOOST_PROP(aViewNeverRevertsAndReachesTheLeadersState, (std::uint64_t seed))
{
    Random random(seed);
    ControlState leader;
    std::vector<FeedEntry> all;
    std::vector<Feed> feeds;
    for (Revision revision = 1; revision <= 60; ++revision) {
        const auto command =
            ControlCommand(edit(std::to_string(revision), "c" + std::to_string(random.below(5)),
                                random.below(revision), 1.0 * revision));
        leader.apply(revision, GroupTime(revision), command);
        all.push_back({revision, GroupTime(revision), encodeVariant(command)});
        const auto first = random.below(all.size());
        if (random.below(4) == 0)
            feeds.push_back({0, revision, encode(leader), {}});
        else
            feeds.push_back(feedOf({all.begin() + static_cast<std::ptrdiff_t>(first), all.end()}));
    }
    ControlView view;
    Revision last = 0;
    for (int i = 0; i < 200; ++i) {
        view.receive(feeds[random.below(feeds.size())]);
        RC_ASSERT(view.state().revision() >= last);
        last = view.state().revision();
    }
    view.receive(feedOf(all));
    RC_ASSERT(encode(view.state()) == encode(leader));
}

BOOST_AUTO_TEST_CASE(itIsFreshForABoundedTimeAfterAConfirmedRequest)
{
    ControlView view;
    const TimePoint asked(1h);
    view.receive({asked.time_since_epoch().count(), 0, std::nullopt, {}});
    BOOST_TEST(view.isFresh(asked + 3s));
    BOOST_TEST(!view.isFresh(asked + kFreshnessBound));
    // A feed that was not requested does not confirm the state.
    view.receive({0, 0, std::nullopt, {}});
    BOOST_TEST(!view.isFresh(asked + kFreshnessBound));
}

BOOST_AUTO_TEST_CASE(itIsNotFreshWhileRevisionsAreMissing)
{
    ControlView view;
    view.receive({TimePoint(1h).time_since_epoch().count(), 7, std::nullopt, {}});
    BOOST_TEST(!view.isFresh(TimePoint(1h)));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
