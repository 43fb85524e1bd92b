#include <boost/test/unit_test.hpp>
#include <heathergate/net/net.h>
#include <heathergate/net/peer_links.h>

using namespace heathergate;
using namespace heathergate::net;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMebibyte = 1024UL * 1024;

/// Links of one instance to peers that accept connections and never answer.
struct SilentPeersFixture
{
    EventLoop loop;
    std::vector<InstanceId> lost;
    PeerLinks links{loop,
                    {"fleet", InstanceId("self"), {"secret"}},
                    5s,
                    {[](const InstanceId &, std::string) {},
                     [this](const InstanceId &peer) { lost.push_back(peer); }}};
    std::unique_ptr<TcpListener> listener;
    std::vector<std::shared_ptr<TcpStream>> accepted;
    Endpoint address;

    SilentPeersFixture()
    {
        for (std::uint16_t port = 22'000; port < 23'000 && !listener; ++port) {
            address = {"127.0.0.1", port};
            auto opened =
                TcpListener::listen(loop, address, 5s, [this](std::shared_ptr<TcpStream> stream) {
                    accepted.push_back(std::move(stream));
                });
            if (opened)
                listener = std::move(*opened);
        }
        BOOST_TEST_REQUIRE(listener != nullptr);
    }

    ~SilentPeersFixture()
    {
        for (const auto &stream : accepted)
            stream->close();
    }

    auto send(const std::string &peer, std::size_t mebibytes) -> void
    {
        for (std::size_t i = 0; i < mebibytes; ++i)
            links.send(InstanceId(peer), address, std::string(kMebibyte, 'x'));
    }

    auto runFor(Duration length) -> void
    {
        loop.runUntil(BootClock().now() + length);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerLinksTest, SilentPeersFixture)

BOOST_AUTO_TEST_SUITE(WhenPeersDoNotAnswer)

BOOST_AUTO_TEST_CASE(limitsTheBytesThatWaitForOneOfThem)
{
    send("a", 100);
    BOOST_TEST(links.backlog().bytes <= 8 * kMebibyte);
}

BOOST_AUTO_TEST_CASE(limitsTheBytesThatWaitForAllOfThemByClosingTheLargest)
{
    for (int i = 0; i < 10; ++i)
        send("peer-" + std::to_string(i), i == 3 ? 7 : 3);
    runFor(20ms);
    BOOST_TEST(links.backlog().bytes <= 24 * kMebibyte);
    BOOST_TEST_REQUIRE(!lost.empty());
    BOOST_TEST(lost.front().value == "peer-3");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
