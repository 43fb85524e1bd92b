#include "../fault_proxy.h"

#include <boost/test/unit_test.hpp>

using namespace heathergate;
using namespace heathergate::soak;
using namespace std::chrono_literals;

namespace {

/// A client and an echoing server with a proxy between them.
struct Path
{
    net::EventLoop loop;
    Random random{1};
    Endpoint at{"127.251.0.1", 18'091};
    Endpoint server{"127.251.0.1", 18'092};
    FaultProxy proxy{loop, at, server};
    std::unique_ptr<net::TcpListener> listener;
    std::vector<std::shared_ptr<net::TcpStream>> accepted;
    std::shared_ptr<net::TcpStream> client;
    std::string received;
    std::optional<bool> closedClean;

    Path()
    {
        listener = std::move(*net::TcpListener::listen(
            loop, server, 5s, [this](std::shared_ptr<net::TcpStream> stream) {
                stream->setHandlers(
                    {{},
                     [raw = stream.get()](std::string_view bytes) { raw->write(bytes); },
                     {},
                     {}});
                accepted.push_back(std::move(stream));
            }));
        BOOST_TEST_REQUIRE(proxy.open().has_value());
        connect();
    }

    auto connect() -> void
    {
        received.clear();
        closedClean.reset();
        client = net::TcpStream::connect(loop, at, 5s);
        client->setHandlers({{},
                             [this](std::string_view bytes) { received.append(bytes); },
                             [this](bool clean) { closedClean = clean; },
                             {}});
        run(20ms);
    }

    auto run(Duration length) -> void
    {
        loop.runUntil(net::BootClock().now() + length);
    }

    auto say(const std::string &text) -> void
    {
        client->write(text);
        run(40ms);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FaultProxyTest, Path)

BOOST_AUTO_TEST_CASE(forwardsInBothDirections)
{
    say("hello");
    BOOST_TEST(received == "hello");
}

BOOST_AUTO_TEST_CASE(holdsBytesBackAndKeepsTheirOrder)
{
    proxy.setDelay(100ms);
    say("one ");
    BOOST_TEST(received.empty());
    proxy.setDelay({});
    say("two");
    run(250ms);
    BOOST_TEST(received == "one two");
}

BOOST_AUTO_TEST_CASE(resetsOpenConnections)
{
    say("hello");
    proxy.reset(1, random);
    run(40ms);
    BOOST_TEST_REQUIRE(closedClean.has_value());
    BOOST_TEST(!*closedClean);
}

BOOST_AUTO_TEST_CASE(silencesOpenConnectionsForGoodWhileNewOnesWork)
{
    proxy.silence(1, random);
    say("lost");
    BOOST_TEST(received.empty());
    BOOST_TEST(!closedClean.has_value());
    connect();
    say("hello");
    BOOST_TEST(received == "hello");
}

BOOST_AUTO_TEST_CASE(cutsOneDirection)
{
    proxy.cut(FaultProxy::Direction::ToClient);
    say("heard");
    BOOST_TEST(received.empty());
    proxy.heal();
    say("again");
    BOOST_TEST(received.empty()); // Bytes were lost on this connection.
    connect();
    say("hello");
    BOOST_TEST(received == "hello");
}

BOOST_AUTO_TEST_SUITE_END()
