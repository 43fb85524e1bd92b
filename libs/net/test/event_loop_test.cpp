#include <boost/test/unit_test.hpp>

#include <heathergate/net/net.h>
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

BOOST_AUTO_TEST_SUITE_END()
