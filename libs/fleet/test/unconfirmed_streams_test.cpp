#include <boost/test/unit_test.hpp>

#include <heathergate/fleet/unconfirmed_streams.h>

using namespace heathergate;
using namespace heathergate::fleet;

namespace {

const UpstreamId kFirst("first");
const UpstreamId kSecond("second");

} // namespace

BOOST_AUTO_TEST_SUITE(UnconfirmedStreamsTest)

BOOST_AUTO_TEST_CASE(returnsEachStreamOnceAndOnlyForItsUpstream)
{
    UnconfirmedStreams streams;
    streams.add(kFirst, 1);
    streams.add(kFirst, 1);
    streams.add(kSecond, 2);
    BOOST_TEST(streams.take(kFirst) == std::vector<StreamId>{1});
    BOOST_TEST(streams.take(kFirst).empty());
    BOOST_TEST(streams.take(kSecond) == std::vector<StreamId>{2});
}

// Guards against doubts about a stream that was placed elsewhere meanwhile.
BOOST_AUTO_TEST_CASE(forgetsWhereAStreamWasPlacedBefore)
{
    UnconfirmedStreams streams;
    streams.add(kFirst, 1);
    streams.add(kSecond, 1);
    BOOST_TEST(streams.take(kFirst).empty());
    BOOST_TEST(streams.take(kSecond) == std::vector<StreamId>{1});
    streams.add(kFirst, 1);
    streams.remove(1);
    BOOST_TEST(streams.take(kFirst).empty());
    streams.add(kFirst, 1);
    streams.clear();
    BOOST_TEST(streams.take(kFirst).empty());
}

BOOST_AUTO_TEST_SUITE_END()
