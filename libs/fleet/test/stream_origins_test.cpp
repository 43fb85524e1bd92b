#include <boost/test/unit_test.hpp>
#include <heathergate/fleet/stream_origins.h>

using namespace heathergate;
using namespace heathergate::fleet;
using namespace std::chrono_literals;

namespace {

const ServiceId kEngines("engines");
const ServiceId kTools("tools");

struct OriginsFixture
{
    StreamOrigins origins;
    GroupTime now = 1h;

    auto kindOf(StreamId stream, const ServiceId &service = kEngines) const -> std::string
    {
        const auto origin = origins.originOf(now, stream, service);
        return origin.version.empty() ? std::string(originText(origin.kind)) : origin.version;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(StreamOriginsTest)

BOOST_FIXTURE_TEST_SUITE(WhileOneVersionServes, OriginsFixture)

BOOST_AUTO_TEST_CASE(bindsStreamsToItAndRecordsNothing)
{
    BOOST_TEST(kindOf(1) == "any");
    origins.setServing(now, kEngines, {"v1"});
    BOOST_TEST(!origins.isRecording(now));
    BOOST_TEST(kindOf(1) == "v1");
    BOOST_TEST(kindOf(0) == "v1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhileTwoVersionsServe, OriginsFixture)

BOOST_AUTO_TEST_CASE(keepsARecordedStreamAtItsVersion)
{
    origins.setServing(now, kEngines, {"v1", "v2"});
    BOOST_TEST(origins.isRecording(now));
    origins.record(now, 7, kEngines, "v2");
    BOOST_TEST(kindOf(7) == "v2");
    BOOST_TEST(origins.isRecorded(7, kEngines, "v2"));
    BOOST_TEST(!origins.isRecorded(7, kEngines, "v1"));
}

BOOST_AUTO_TEST_CASE(knowsThatAStreamWithoutARecordBeganBeforeTheSecondVersion)
{
    origins.setServing(now, kEngines, {"v1"});
    now += 1h;
    origins.setServing(now, kEngines, {"v1", "v2"});
    now += 5s;
    BOOST_TEST(kindOf(7) == "v1");
    origins.setServing(now, kEngines, {"v2"});
    BOOST_TEST(kindOf(7) == "v1");
}

BOOST_AUTO_TEST_CASE(doesNotGuessTheVersionOfAStreamThatNoRecordExplains)
{
    origins.setServing(now, kEngines, {"v1"});
    now += 1s;
    origins.setServing(now, kEngines, {"v1", "v2"});
    BOOST_TEST(kindOf(0) == "unknown");
    now += StreamOrigins::kMinRetention + 1s;
    BOOST_TEST(kindOf(7) == "unknown");
}

BOOST_AUTO_TEST_CASE(permitsAnyVersionForAStreamThatRanAtAnotherService)
{
    origins.setServing(now, kEngines, {"v1"});
    now += 1s;
    origins.setServing(now, kEngines, {"v1", "v2"});
    origins.record(now, 7, kTools, "t1");
    BOOST_TEST(kindOf(7) == "v1"); // It may have run here before streams were recorded.
    now += StreamOrigins::kMinRetention + 1s;
    origins.record(now, 7, kTools, "t1");
    BOOST_TEST(kindOf(7) == "any");
    origins.record(now, 7, kEngines, "v2");
    BOOST_TEST(kindOf(7) == "v2");
    BOOST_TEST(origins.isRecorded(7, kTools, "t1"));
}

BOOST_AUTO_TEST_CASE(replacesTheVersionOfAStreamThatBeganAnew)
{
    origins.setServing(now, kEngines, {"v1", "v2"});
    origins.record(now, 7, kEngines, "v1");
    origins.record(now, 7, kEngines, "v2");
    BOOST_TEST(kindOf(7) == "v2");
    BOOST_TEST(origins.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AfterAVersionHasLeft, OriginsFixture)

BOOST_AUTO_TEST_CASE(remembersItForTheRetention)
{
    origins.setServing(now, kEngines, {"v1", "v2"});
    origins.record(now, 7, kEngines, "v1");
    origins.setServing(now, kEngines, {"v2"});
    now += StreamOrigins::kMinRetention - 1s;
    BOOST_TEST(origins.isRecording(now));
    BOOST_TEST(kindOf(7) == "v1");
    now += 2s;
    BOOST_TEST(!origins.isRecording(now));
    BOOST_TEST(kindOf(7) == "v2");
}

BOOST_AUTO_TEST_CASE(remembersItForLongerIfRoutesPermitLongStreams)
{
    origins.setRetention(10min);
    origins.setServing(now, kEngines, {"v1", "v2"});
    origins.record(now, 7, kEngines, "v1");
    origins.setServing(now, kEngines, {"v2"});
    now += 9min;
    BOOST_TEST(kindOf(7) == "v1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WithManyStreams, OriginsFixture)

BOOST_AUTO_TEST_CASE(dropsTheOldestAndNoLongerExplainsWhatHasNoRecord)
{
    origins.setServing(now, kEngines, {"v1"});
    now += 1s;
    origins.setServing(now, kEngines, {"v1", "v2"});
    for (StreamId stream = 1; stream <= StreamOrigins::kMaxStreams + 1; ++stream) {
        now += 10us;
        origins.record(now, stream, kEngines, "v2");
    }
    BOOST_TEST(origins.size() == StreamOrigins::kMaxStreams);
    BOOST_TEST(kindOf(1) == "unknown");
    BOOST_TEST(kindOf(StreamOrigins::kMaxStreams + 1) == "v2");
}

BOOST_AUTO_TEST_CASE(forgetsThemAfterTheRetention)
{
    origins.setServing(now, kEngines, {"v1", "v2"});
    for (StreamId stream = 1; stream <= 1000; ++stream)
        origins.record(now, stream, kEngines, "v2");
    now += StreamOrigins::kMinRetention + 1s;
    origins.record(now, 2000, kEngines, "v1");
    BOOST_TEST(origins.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(InASnapshot, OriginsFixture)

BOOST_AUTO_TEST_CASE(keepsWhatItKnows)
{
    origins.setServing(now, kEngines, {"v1"});
    now += 1s;
    origins.setServing(now, kEngines, {"v1", "v2"});
    origins.setServing(now, kTools, {"t1"});
    origins.record(now, 7, kEngines, "v2");
    origins.record(now, 8, kTools, "t1");
    now += 1s;
    origins.setServing(now, kEngines, {"v2"});
    StreamOrigins restored;
    restored.restore(origins.snapshot());
    origins = restored;
    BOOST_TEST(kindOf(7) == "v2");
    BOOST_TEST(kindOf(8) == "v1");
    BOOST_TEST(kindOf(9) == "v1");
    BOOST_TEST(origins.isRecorded(8, kTools, "t1"));
    now += StreamOrigins::kMinRetention + 1s;
    BOOST_TEST(kindOf(9) == "v2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfAStream)

BOOST_AUTO_TEST_CASE(differsForCustomersWithTheSameNames)
{
    BOOST_TEST(streamIdOf(CustomerId("a"), "r") != streamIdOf(CustomerId("b"), "r"));
    BOOST_TEST(streamIdOf(CustomerId("a"), "r") == streamIdOf(CustomerId("a"), "r"));
    BOOST_TEST(streamIdOf(CustomerId("a"), "") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
