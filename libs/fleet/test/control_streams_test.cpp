#include "control_fleet.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;

namespace {

constexpr StreamId kStream = 77;

/// A fleet of control instances with upstreams of two software versions.
struct StreamsFixture
{
    StreamsFixture()
    {
        leader = fleet.waitForLeader();
        add("old", "v1", 1, 9000);
    }

    auto add(const std::string &id, const std::string &version, std::int64_t born,
             std::uint16_t port) -> void
    {
        auto record = upstream(id, born, ++sequence, port);
        record.softwareVersion = version;
        fleet.heartbeat(leader, record);
        fleet.run(50ms);
    }

    /// Reports that a gateway has lost its connections to an upstream.
    auto loseConnections(std::uint16_t port) -> void
    {
        fb::ConnectionsLostT message;
        message.address = "127.0.0.1:" + std::to_string(port);
        deliver(Message(message));
    }

    auto remove(const std::string &id) -> void
    {
        fleet.node(leader).upstreamLeft(fleet.now(), fleet.nextToken(), UpstreamId(id));
        fleet.run(50ms);
    }

    auto killAll() -> void
    {
        for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
            fleet.kill(name);
        for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
            fleet.restart(name);
        leader = fleet.waitForLeader();
        fleet.run(50ms);
    }

    auto request(StreamId stream, bool resumes, const std::string &avoid = {}) -> fb::AdmissionT
    {
        fb::AdmissionT admission;
        admission.request = ++lastRequest;
        admission.service = "tools";
        admission.budget = admission.finishIn = -1;
        admission.timeLeft = admission.patience = 1'000'000;
        admission.stream = stream;
        admission.resumes = resumes;
        if (!avoid.empty())
            admission.avoid.push_back(avoid);
        return admission;
    }

    auto send(const fb::AdmissionT &admission) -> void
    {
        deliver(Message(admission));
        fleet.run(60ms);
    }

    /// Returns the upstream that is granted, or the number of the refusal's code.
    auto ask(const fb::AdmissionT &admission) -> std::string
    {
        send(admission);
        const auto answers = fleet.sentTo("g");
        BOOST_TEST_REQUIRE(!answers.empty());
        if (const auto *grant = std::get_if<fb::GrantT>(&answers.front()))
            return grant->upstream;
        return std::to_string(std::get<fb::RefusalT>(answers.front()).code);
    }

    auto deliver(Message message) -> void
    {
        fleet.node(leader).receive(fleet.now(), InstanceId("g"), PeerFrame(std::move(message)));
    }

    /// Ends the placement of a request.
    auto complete(fb::AdmissionT &admission, AttemptOutcome outcome) -> void
    {
        fb::CompletionT completion;
        completion.request = admission.request;
        completion.ending = static_cast<std::uint8_t>(outcome);
        deliver(Message(completion));
        admission.again = true;
    }

    /// Reports that an attempt failed, and asks for another upstream.
    auto retry(fb::AdmissionT &admission, bool resumes, const std::vector<std::string> &avoid)
        -> std::string
    {
        complete(admission, AttemptOutcome::Broken);
        admission.resumes = resumes;
        admission.avoid = avoid;
        return ask(admission);
    }

    /// Takes the request for a place back and asks for another upstream, without waiting.
    auto takeBack(fb::AdmissionT &admission, bool resumes, const std::vector<std::string> &avoid)
        -> void
    {
        complete(admission, AttemptOutcome::Cancelled);
        ++admission.ask;
        admission.resumes = resumes;
        admission.avoid = avoid;
        deliver(Message(admission));
    }

    auto begin(StreamId stream, const std::string &avoid = {}) -> std::string
    {
        return ask(request(stream, false, avoid));
    }

    auto resume(StreamId stream, const std::string &avoid = {}) -> std::string
    {
        return ask(request(stream, true, avoid));
    }

    Fleet fleet;
    std::string leader;
    std::uint64_t sequence = 0;
    RequestId lastRequest = 0;
};

const auto kVersionGone = std::to_string(static_cast<int>(Code::StreamVersionGone));

} // namespace

BOOST_AUTO_TEST_SUITE(ControlStreamsTest)

BOOST_FIXTURE_TEST_SUITE(WhenACallerResumesAStream, StreamsFixture)

BOOST_AUTO_TEST_CASE(doesNotJoinTwoSoftwareVersionsAfterAllInstancesWereKilled)
{
    add("new", "v2", 2, 9001);
    add("newest", "v3", 3, 9002);
    BOOST_TEST(begin(kStream, "old") != "old");
    const auto first = begin(kStream + 1, "old");
    killAll();
    const auto other = first == "new" ? "newest" : "new";
    // The upstream that began it is avoided, so that only other versions are left.
    BOOST_TEST(resume(kStream + 1, other) == first);
    BOOST_TEST(resume(kStream + 1) == first);
}

BOOST_AUTO_TEST_CASE(refusesAStreamWhoseVersionHasLeft)
{
    BOOST_TEST(begin(kStream) == "old");
    add("new", "v2", 2, 9001);
    remove("old");
    killAll();
    BOOST_TEST(resume(kStream) == kVersionGone);
    BOOST_TEST(begin(kStream + 1) == "new");
    BOOST_TEST(resume(kStream + 1) == "new");
}

BOOST_AUTO_TEST_CASE(refusesAStreamWhoseUpstreamRestartedWithAnotherVersion)
{
    BOOST_TEST(begin(kStream) == "old");
    add("old", "v2", 2, 9000);
    BOOST_TEST(resume(kStream) == kVersionGone);
}

// Guards against a stream that began at an upstream which had restarted with another version, and
// counts as one of the former version (review case 8).
BOOST_AUTO_TEST_CASE(refusesAStreamThatBeganBeforeItsUpstreamWasHeardOfAgain)
{
    add("new", "v2", 1, 9001);
    loseConnections(9000);
    BOOST_TEST(begin(kStream, "new") == "old");
    BOOST_TEST(resume(kStream, "old") == kVersionGone);
    BOOST_TEST(resume(kStream) == kVersionGone);
}

// Guards against the same when the upstream is the first one of the second version.
BOOST_AUTO_TEST_CASE(refusesSuchAStreamAlsoIfOnlyOneVersionWasKnown)
{
    loseConnections(9000);
    BOOST_TEST(begin(kStream) == "old");
    add("old", "v2", 2, 9000);
    BOOST_TEST(resume(kStream) == kVersionGone);
}

// Guards against refusals after each failure of an upstream while no other version is in sight.
BOOST_AUTO_TEST_CASE(goesOnWithSuchAStreamWhileOnlyOneVersionIsKnown)
{
    add("old2", "v1", 1, 9001);
    BOOST_TEST(begin(kStream, "old2") == "old");
    loseConnections(9000);
    BOOST_TEST(resume(kStream) == "old2");
    BOOST_TEST(begin(kStream + 1, "old2") == "old");
    BOOST_TEST(resume(kStream + 1, "old") == "old2");
}

// Guards against the same at an upstream to which no connection was open when it restarted; also
// for a stream that is resumed before its doubts are recorded.
BOOST_AUTO_TEST_CASE(refusesAStreamOfTheFirstConnectionOnceItsUpstreamIsInDoubt)
{
    add("new", "v2", 1, 9001);
    BOOST_TEST(begin(kStream, "new") == "old");
    loseConnections(9000);
    BOOST_TEST(resume(kStream) == kVersionGone);
    BOOST_TEST(begin(kStream + 1, "old") == "new");
    add("new", "v1", 2, 9001);
    BOOST_TEST(resume(kStream + 1) == kVersionGone);
    killAll();
    BOOST_TEST(resume(kStream) == kVersionGone);
    BOOST_TEST(resume(kStream + 1) == kVersionGone);
}

BOOST_AUTO_TEST_CASE(goesOnWithAStreamThatAHeartbeatHasConfirmed)
{
    add("new", "v2", 1, 9001);
    add("old2", "v1", 1, 9002);
    auto first = request(kStream, false);
    first.avoid = {"new", "old2"};
    BOOST_TEST(ask(first) == "old");
    auto draining = upstream("old", 1, ++sequence, 9000);
    draining.softwareVersion = "v1";
    draining.phase = UpstreamPhase::Draining;
    fleet.heartbeat(leader, draining);
    add("old2", "v1", 1, 9002);
    loseConnections(9000);
    BOOST_TEST(resume(kStream) == "old2");
}

BOOST_AUTO_TEST_CASE(goesOnAtAnUpstreamThatLostItsConnectionsAndWasHeardOfAgain)
{
    add("new", "v2", 1, 9001);
    loseConnections(9000);
    add("old", "v1", 1, 9000);
    BOOST_TEST(begin(kStream, "new") == "old");
    BOOST_TEST(resume(kStream) == "old");
}

BOOST_AUTO_TEST_CASE(refusesAStreamThatItDoesNotName)
{
    BOOST_TEST(resume(0) == "old");
    add("new", "v2", 2, 9001);
    BOOST_TEST(resume(0) == kVersionGone);
}

BOOST_AUTO_TEST_CASE(keepsAStreamThatWaitsAtItsVersionWhenAnotherOneIsAdded)
{
    constexpr StreamId kMoreThanSlots = 8;
    for (StreamId stream = 1; stream <= kMoreThanSlots; ++stream)
        send(request(stream, false));
    BOOST_TEST(fleet.sentTo("g").size() < kMoreThanSlots);
    send(request(kStream, true));
    BOOST_TEST(fleet.sentTo("g").empty());
    add("new", "v2", 2, 9001);
    const auto resumed = lastRequest;
    fleet.run(50ms);
    for (const auto &message : fleet.sentTo("g")) {
        const auto *grant = std::get_if<fb::GrantT>(&message);
        BOOST_TEST((grant == nullptr || grant->request != resumed || grant->upstream == "old"));
    }
}

BOOST_AUTO_TEST_CASE(goesOnAtTheVersionThatServedBeforeTheSecondOne)
{
    BOOST_TEST(begin(kStream) == "old");
    add("new", "v2", 2, 9001);
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(resume(kStream) == "old");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenAnAttemptFails, StreamsFixture)

BOOST_AUTO_TEST_CASE(goesOnAtTheSameVersionInTheSameAnswer)
{
    add("new", "v2", 2, 9001);
    add("new2", "v2", 3, 9002);
    auto admission = request(kStream, false, "old");
    const auto first = ask(admission);
    const auto second = retry(admission, true, {first});
    BOOST_TEST(second == (first == "new" ? "new2" : "new"));
    fleet.node(leader).upstreamLeft(fleet.now(), fleet.nextToken(), UpstreamId("new"));
    fleet.node(leader).upstreamLeft(fleet.now(), fleet.nextToken(), UpstreamId("new2"));
    fleet.run(50ms);
    BOOST_TEST(retry(admission, true, {first, second}) == kVersionGone);
}

// Guards against the record of a placement that was taken back in the round in which it was made.
BOOST_AUTO_TEST_CASE(neitherRecordsNorGrantsAPlacementThatWasTakenBackAtOnce)
{
    add("new", "v2", 2, 9001);
    auto admission = request(kStream, false, "new");
    BOOST_TEST(ask(admission) == "old");
    takeBack(admission, false, {"old"});
    takeBack(admission, false, {"new"});
    fleet.run(60ms);
    const auto answers = fleet.sentTo("g");
    BOOST_TEST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(std::get<fb::GrantT>(answers[0]).upstream == "old");
    BOOST_TEST(std::get<fb::GrantT>(answers[0]).ask == admission.ask);
    BOOST_TEST(resume(kStream) == "old");
}

// Guards against a record of a placement that was taken back while it was on its way to the log,
// and that replaces the record of the version that runs the stream.
BOOST_AUTO_TEST_CASE(recordsTheVersionAgainIfAnotherRecordIsOnItsWay)
{
    add("new", "v2", 2, 9001);
    auto admission = request(kStream, false, "new");
    BOOST_TEST(ask(admission) == "old");
    takeBack(admission, false, {"old"});
    fleet.run(5ms);
    takeBack(admission, false, {"new"});
    fleet.run(60ms);
    const auto answers = fleet.sentTo("g");
    BOOST_TEST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(std::get<fb::GrantT>(answers[0]).upstream == "old");
    BOOST_TEST(resume(kStream) == "old");
}

BOOST_AUTO_TEST_CASE(mayChangeTheVersionBeforeTheFirstEvent)
{
    add("new", "v2", 2, 9001);
    auto admission = request(kStream, false, "new");
    BOOST_TEST(ask(admission) == "old");
    BOOST_TEST(retry(admission, false, {"old"}) == "new");
    BOOST_TEST(resume(kStream) == "new");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
