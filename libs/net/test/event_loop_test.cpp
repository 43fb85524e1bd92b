#include <boost/test/unit_test.hpp>

#include <heathergate/net/net.h>
#include <sys/resource.h>
#include <thread>

using namespace heathergate;
using namespace heathergate::net;
using namespace std::chrono_literals;

namespace {

/// A listener on loopback that keeps the accepted connections.
struct ListenerFixture
{
    EventLoop loop;
    std::vector<std::shared_ptr<TcpStream>> accepted;
    std::unique_ptr<TcpListener> listener;
    Endpoint address;

    ListenerFixture()
    {
        for (std::uint16_t port = 23'000; port < 24'000 && !listener; ++port) {
            address = {"127.0.0.1", port};
            auto opened =
                TcpListener::listen(loop, address, 1s, [this](std::shared_ptr<TcpStream> stream) {
                    accepted.push_back(std::move(stream));
                });
            if (opened)
                listener = std::move(*opened);
        }
        BOOST_REQUIRE(listener);
    }

    ~ListenerFixture()
    {
        for (const auto &stream : accepted)
            stream->close();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(EventLoopTest)

BOOST_FIXTURE_TEST_CASE(aHandlerSeesTheTimeAtWhichItsSocketBecameReady, ListenerFixture)
{
    Duration lag = 1h;
    const auto acceptedBefore = accepted.size();
    std::thread dialler([&] {
        std::this_thread::sleep_for(300ms);
        EventLoop other;
        auto stream = TcpStream::connect(other, address, 1s);
        other.runUntil(BootClock().now() + 100ms);
        stream->close();
    });
    listener.reset();
    auto opened = TcpListener::listen(loop, address, 1s, [&](std::shared_ptr<TcpStream> stream) {
        lag = BootClock().now() - loop.now();
        accepted.push_back(std::move(stream));
        loop.stop();
    });
    BOOST_REQUIRE(opened);
    listener = std::move(*opened);
    loop.run();
    dialler.join();
    BOOST_TEST(accepted.size() == acceptedBefore + 1);
    BOOST_TEST(lag < 50ms);
}

BOOST_FIXTURE_TEST_CASE(servesMoreConnectionsThanADescriptorSetHolds, ListenerFixture)
{
    constexpr std::size_t kConnections = 1200;
    struct rlimit limit = {};
    BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
    // Both ends of each connection are in this process.
    if (limit.rlim_cur < 2 * kConnections + 200) {
        BOOST_TEST_MESSAGE("the process may open only " << limit.rlim_cur << " files");
        return;
    }
    std::vector<std::shared_ptr<TcpStream>> clients;
    std::size_t connected = 0;
    for (std::size_t i = 0; i < kConnections; ++i) {
        clients.push_back(TcpStream::connect(loop, address, 5s));
        clients.back()->setHandlers({[&] { ++connected; }, {}, {}, {}});
        if (i % 100 == 0)
            loop.runUntil(BootClock().now() + 5ms);
    }
    for (int i = 0; i < 100 && (connected < kConnections || accepted.size() < kConnections); ++i)
        loop.runUntil(BootClock().now() + 20ms);
    BOOST_TEST(connected == kConnections);
    BOOST_TEST(accepted.size() == kConnections);
    BOOST_TEST(loop.refusedHandles() == 0U);
    std::size_t received = 0;
    for (const auto &stream : accepted)
        stream->setHandlers(
            {{}, [&](std::string_view bytes) { received += bytes.size(); }, {}, {}});
    for (const auto &client : clients)
        client->write("x");
    for (int i = 0; i < 100 && received < kConnections; ++i)
        loop.runUntil(BootClock().now() + 20ms);
    BOOST_TEST(received == kConnections);
    for (const auto &client : clients)
        client->close();
}

BOOST_FIXTURE_TEST_CASE(aRoundEndsSoonAlsoWhileManySocketsAreReady, ListenerFixture)
{
    constexpr int kConnections = 200;
    std::vector<std::shared_ptr<TcpStream>> clients;
    for (int i = 0; i < kConnections; ++i)
        clients.push_back(TcpStream::connect(loop, address, 5s));
    for (int i = 0; i < 100 && accepted.size() < kConnections; ++i)
        loop.runUntil(BootClock().now() + 10ms);
    BOOST_TEST_REQUIRE(accepted.size() == kConnections);
    int handled = 0;
    int mostInOneRound = 0;
    int handledBefore = 0;
    for (const auto &stream : accepted)
        stream->setHandlers({{},
                             [&](std::string_view) {
                                 ++handled;
                                 std::this_thread::sleep_for(200us);
                             },
                             {},
                             {}});
    loop.onRoundEnd([&] {
        mostInOneRound = std::max(mostInOneRound, handled - handledBefore);
        handledBefore = handled;
    });
    for (const auto &client : clients)
        client->write("x");
    for (int i = 0; i < 100 && handled < kConnections; ++i)
        loop.runUntil(BootClock().now() + 10ms);
    BOOST_TEST(handled == kConnections);
    // Answers are sent at the end of a round, so that they do not wait for all the others.
    BOOST_TEST(mostInOneRound <= 10);
    for (const auto &client : clients)
        client->close();
}

BOOST_AUTO_TEST_SUITE_END()
