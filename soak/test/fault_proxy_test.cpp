#include "../fault_proxy.h"

#include <boost/test/unit_test.hpp>

using namespace heathergate;
using namespace heathergate::soak;
using namespace std::chrono_literals;

namespace {

/// A client and an echoing server with a proxy between them.
struct ProxiedConnection
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

    ProxiedConnection()
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

    auto send(const std::string &text) -> void
    {
        client->write(text);
        run(40ms);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FaultProxyTest, ProxiedConnection)

BOOST_AUTO_TEST_CASE(forwardsInBothDirections)
{
    send("hello");
    BOOST_TEST(received == "hello");
}

BOOST_AUTO_TEST_CASE(delaysBytesAndKeepsTheirOrder)
{
    proxy.setDelay(100ms);
    send("one ");
    BOOST_TEST(received.empty());
    proxy.setDelay({});
    send("two");
    run(250ms);
    BOOST_TEST(received == "one two");
}

BOOST_AUTO_TEST_CASE(resetsOpenConnections)
{
    send("hello");
    proxy.reset(1, random);
    run(40ms);
    BOOST_TEST_REQUIRE(closedClean.has_value());
    BOOST_TEST(!*closedClean);
}

BOOST_AUTO_TEST_CASE(dropsBytesOfBlackholedConnectionsOnly)
{
    proxy.blackhole(1, random);
    send("lost");
    BOOST_TEST(received.empty());
    BOOST_TEST(!closedClean.has_value());
    connect();
    send("hello");
    BOOST_TEST(received == "hello");
}

BOOST_AUTO_TEST_CASE(partitionsOneDirection)
{
    proxy.partition(FaultProxy::Direction::ToClient);
    send("heard");
    BOOST_TEST(received.empty());
    proxy.heal();
    send("again");
    BOOST_TEST(received.empty()); // Bytes were lost on this connection.
    connect();
    send("hello");
    BOOST_TEST(received == "hello");
}

BOOST_AUTO_TEST_SUITE_END()
