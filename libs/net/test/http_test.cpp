#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <heathergate/net/net.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace heathergate;
using namespace heathergate::net;
using namespace std::chrono_literals;

namespace {

/// A server and a raw TCP connection to it on loopback, on one event loop.
struct ServerFixture
{
    EventLoop loop;
    std::vector<std::pair<ExchangeId, HttpRequest>> requests;
    std::vector<ExchangeId> disconnected;
    HttpServer server{loop,
                      {[this](ExchangeId id, HttpRequest request) {
                           requests.emplace_back(id, std::move(request));
                       },
                       [this](ExchangeId id) { disconnected.push_back(id); }}};
    Endpoint address;
    std::string received;
    bool closed = false;
    std::shared_ptr<TcpStream> stream;

    ServerFixture()
    {
        HttpLimits limits;
        limits.maxHeadBytes = 2000;
        limits.maxBodyBytes = 1000;
        limits.headTimeout = 100ms;
        limits.idleTimeout = 300ms;
        server.setLimits(limits);
        for (std::uint16_t port = 21'000; port < 22'000; ++port) {
            address = {"127.0.0.1", port};
            if (server.listen(address))
                return;
        }
        BOOST_FAIL("no port is free");
    }

    ~ServerFixture()
    {
        if (stream)
            stream->close();
    }

    auto connect() -> void
    {
        stream = TcpStream::connect(loop, address, 1s);
        stream->setHandlers({{},
                             [this](std::string_view bytes) { received.append(bytes); },
                             [this](bool) { closed = true; },
                             {}});
    }

    auto send(const std::string &bytes) -> void
    {
        if (!stream)
            connect();
        stream->write(bytes);
        runFor(60ms);
    }

    /// Runs the loop for `length`; may be called repeatedly.
    auto runFor(Duration length) -> void
    {
        loop.runUntil(BootClock().now() + length);
    }
};

/// A client whose bytes are sent and received without the event loop, so that what it sends lies in
/// the server's socket until the loop runs.
class RawClient
{
public:
    explicit RawClient(const Endpoint &server)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        struct sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        ::inet_pton(AF_INET, server.host.c_str(), &address.sin_addr);
        BOOST_TEST_REQUIRE(
            ::connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
    }

    ~RawClient()
    {
        ::close(m_socket);
    }

    RawClient(const RawClient &) = delete;
    auto operator=(const RawClient &) -> RawClient & = delete;

    /// Returns whether the connection is still open.
    auto send(const std::string &bytes) const -> bool
    {
        return ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0;
    }

    /// What the client receives until nothing more arrives.
    struct Received
    {
        std::string bytes;
        bool isClosed = false;
        bool isReset = false;
    };

    [[nodiscard]] auto receive() const -> Received
    {
        Received received;
        std::array<char, 4096> buffer;
        while (true) {
            const auto size = ::recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (size <= 0) {
                received.isClosed = size == 0;
                received.isReset = size < 0 && errno == ECONNRESET;
                return received;
            }
            received.bytes.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }

private:
    int m_socket;
};

const std::string kGet = "GET /a%2fb?q=%41&q=2 HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-a: 2\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpServerTest, ServerFixture)

BOOST_AUTO_TEST_SUITE(WhenARequestIsValid)

BOOST_AUTO_TEST_CASE(preservesTargetAndHeaders)
{
    send(kGet);
    BOOST_TEST_REQUIRE(requests.size() == 1U);
    const auto &head = requests[0].second.head;
    BOOST_TEST(head.target == "/a%2fb?q=%41&q=2");
    BOOST_TEST(head.headers.count("X-A") == 2U);
    BOOST_TEST(head.headers.fields().at(2).name == "x-a");
}

BOOST_AUTO_TEST_CASE(readsBodiesByLengthAndByChunks)
{
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    server.respond(requests.at(0).first, {200, {}, "x"});
    send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_TEST_REQUIRE(requests.size() == 2U);
    BOOST_TEST(requests[0].second.body == "abc");
    BOOST_TEST(requests[1].second.body == "de");
}

BOOST_AUTO_TEST_CASE(delaysAPipelinedRequestUntilThePreviousResponse)
{
    send(kGet + kGet);
    BOOST_TEST(requests.size() == 1U);
    server.respond(requests[0].first, {200, {}, "first"});
    runFor(30ms);
    BOOST_TEST(requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(sendsALongResponseCompletelyBeforeItCloses)
{
    constexpr std::size_t kLong = 8 * 1024 * 1024;
    send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    server.respond(requests.at(0).first, {200, {}, std::string(kLong, 'x')});
    for (int i = 0; i < 50 && !closed; ++i)
        runFor(20ms);
    BOOST_TEST(closed);
    BOOST_TEST(received.size() > kLong);
}

BOOST_AUTO_TEST_CASE(reportsAClientDisconnectImmediately)
{
    send(kGet);
    stream->close();
    runFor(50ms);
    BOOST_TEST(disconnected.size() == 1U);
}

BOOST_AUTO_TEST_CASE(closesAnIncompleteStreamWithoutItsLastChunk)
{
    send(kGet);
    server.beginStream(requests[0].first, 200, {});
    server.write(requests[0].first, "part");
    server.endStream(requests[0].first, false);
    runFor(30ms);
    BOOST_TEST(received.find("part") != std::string::npos);
    BOOST_TEST(received.find("0\r\n\r\n") == std::string::npos);
    BOOST_TEST(closed);
}

BOOST_AUTO_TEST_CASE(closesAConnectionThatStaysIdle)
{
    send(kGet);
    server.respond(requests[0].first, {200, {}, ""});
    runFor(400ms);
    BOOST_TEST(closed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAConnectionCountsAsIdle)

BOOST_AUTO_TEST_CASE(servesARequestThatArrivedBeforeItsTimeoutWasNoticed)
{
    const RawClient client(address);
    client.send(kGet);
    runFor(60ms);
    server.respond(requests.at(0).first, {200, {}, "first"});
    runFor(30ms);
    client.send(kGet);
    std::this_thread::sleep_for(400ms); // The process does not run, as on a busy machine.
    runFor(60ms);
    BOOST_TEST_REQUIRE(requests.size() == 2U);
    server.respond(requests[1].first, {200, {}, "second"});
    runFor(30ms);
    BOOST_TEST(client.receive().bytes.find("second") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(servesARequestThatArrivedBeforeIdleConnectionsWereClosed)
{
    const RawClient client(address);
    client.send(kGet);
    runFor(60ms);
    server.respond(requests.at(0).first, {200, {}, "first"});
    runFor(30ms);
    client.send(kGet);
    server.closeAfterResponses();
    server.closeIdle();
    runFor(60ms);
    BOOST_TEST_REQUIRE(requests.size() == 2U);
    server.respond(requests[1].first, {200, {}, "second"});
    runFor(60ms);
    const auto received = client.receive();
    BOOST_TEST(received.bytes.find("second") != std::string::npos);
    BOOST_TEST(received.isClosed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheServerDrains)

BOOST_AUTO_TEST_CASE(countsAConnectionUntilItsLastResponseWasSent)
{
    constexpr std::size_t kLong = 8 * 1024 * 1024;
    connect();
    runFor(30ms);
    stream->setReading(false);
    send(kGet);
    server.closeAfterResponses();
    server.respond(requests.at(0).first, {200, {}, std::string(kLong, 'x')});
    runFor(60ms);
    BOOST_TEST(server.connections() == 1U);
    stream->setReading(true);
    for (int i = 0; i < 50 && !closed; ++i)
        runFor(20ms);
    BOOST_TEST(received.size() > kLong);
    stream->close();
    runFor(30ms);
    BOOST_TEST(server.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(closesAConnectionWhoseStreamEndsAfterTheIdleOnesWereClosed)
{
    send(kGet);
    server.beginStream(requests.at(0).first, 200, {});
    server.closeAfterResponses();
    server.closeIdle();
    server.write(requests[0].first, "part");
    server.endStream(requests[0].first, true);
    runFor(60ms);
    BOOST_TEST(closed);
    BOOST_TEST(server.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(countsAConnectionWhoseRequestIsArriving)
{
    const RawClient client(address);
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
    runFor(30ms);
    server.closeAfterResponses();
    server.stopListening();
    server.closeIdle();
    runFor(30ms);
    BOOST_TEST(server.connections() == 1U);
    client.send("bc");
    runFor(30ms);
    BOOST_TEST_REQUIRE(requests.size() == 1U);
    server.respond(requests[0].first, {200, {}, "x"});
    runFor(30ms);
    BOOST_TEST(client.receive().bytes.starts_with("HTTP/1.1 200 "));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheLastResponseIsSentBeforeAllInputIsRead)

BOOST_AUTO_TEST_CASE(doesNotResetTheConnectionThatCarriesIt)
{
    const RawClient client(address);
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"
                + std::string(100'000, 'x'));
    runFor(60ms);
    const auto received = client.receive();
    BOOST_TEST(received.bytes.starts_with("HTTP/1.1 413 "));
    BOOST_TEST(received.isClosed);
    BOOST_TEST(!received.isReset);
}

BOOST_AUTO_TEST_CASE(closesTheConnectionOfAClientThatGoesOnSending)
{
    const RawClient client(address);
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n");
    runFor(60ms);
    const auto endsAt = BootClock().now() + 5s;
    while (client.send(std::string(1000, 'x')) && BootClock().now() < endsAt)
        runFor(20ms);
    BOOST_TEST((BootClock().now() < endsAt));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenARequestIsNotValid)

BOOST_AUTO_TEST_CASE(refusesAContentLengthWithChunkedEncoding)
{
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n");
    BOOST_TEST(requests.empty());
    BOOST_TEST(received.starts_with("HTTP/1.1 400 "));
    BOOST_TEST(closed);
}

BOOST_AUTO_TEST_CASE(refusesTwoContentLengths)
{
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 30\r\n\r\nabc");
    BOOST_TEST(requests.empty());
    BOOST_TEST(received.starts_with("HTTP/1.1 400 "));
}

// Guards against a header that this server takes for another one than the upstream does, so that it
// is forwarded past the list of reserved headers.
BOOST_AUTO_TEST_CASE(refusesASpaceInAHeaderName)
{
    for (const std::string field :
         {"Api-Key : key", "X-Heathergate-Tenant  : t", "Content-Length : 3",
          "Transfer-Encoding : chunked", "Two words: x"}) {
        received.clear();
        stream.reset();
        send("POST / HTTP/1.1\r\nHost: h\r\n" + field + "\r\n\r\n0\r\n\r\n");
        BOOST_TEST(requests.empty(), field);
        BOOST_TEST(received.starts_with("HTTP/1.1 400 "), field);
        BOOST_TEST(closed);
    }
}

BOOST_AUTO_TEST_CASE(refusesBytesThatAreNotARequest)
{
    send("\x16\x03\x01 this is not a request\r\n\r\n");
    BOOST_TEST(requests.empty());
    BOOST_TEST(closed);
}

BOOST_AUTO_TEST_CASE(refusesAProtocolUpgrade)
{
    send("GET / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nGET /b "
         "HTTP/1.1\r\n");
    BOOST_TEST(requests.empty());
    BOOST_TEST(closed);
}

BOOST_AUTO_TEST_CASE(refusesAnOversizedHeadAndBody)
{
    send("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(3000, 'x') + "\r\n\r\n");
    BOOST_TEST(requests.empty());
    BOOST_TEST(received.starts_with("HTTP/1.1 431 "));
    received.clear();
    stream.reset();
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
    BOOST_TEST(received.starts_with("HTTP/1.1 413 "));
}

BOOST_AUTO_TEST_CASE(timesOutAHeadThatArrivesTooSlowly)
{
    send("GET / HTTP/1.1\r\nHos");
    runFor(200ms);
    BOOST_TEST(received.starts_with("HTTP/1.1 408 "));
    BOOST_TEST(closed);
}

BOOST_AUTO_TEST_CASE(refusesABadHeadThatIsReadTogetherWithItsTimeout)
{
    const RawClient client(address);
    client.send("GET / HTTP/1.1\r\nHos");
    runFor(30ms);
    client.send("\r\n\x16 no field\r\n\r\n");
    // The refusal takes longer than the rest of the timeout, which is due when it has been sent.
    server.setLimits({2000, 1000, 0ms, 300ms});
    loop.at(loop.now(), [] { std::this_thread::sleep_for(200ms); });
    runFor(300ms);
    BOOST_TEST(client.receive().bytes.starts_with("HTTP/1.1 4"));
}

BOOST_AUTO_TEST_CASE(asksForNoBodyThatItWillRefuse)
{
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\nExpect: 100-continue\r\n\r\n");
    BOOST_TEST(received.find("100 Continue") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(closesTheConnectionOfAClientThatDoesNotReadAStream)
{
    connect();
    runFor(30ms);
    stream->setReading(false);
    send(kGet);
    server.beginStream(requests.at(0).first, 200, {});
    const std::string bytes(64 * 1024, 'x');
    std::size_t written = 0;
    while (disconnected.empty() && written < 200U * 1024 * 1024) {
        server.write(requests[0].first, bytes);
        written += bytes.size();
        runFor(1ms);
    }
    BOOST_TEST(disconnected.size() == 1U);
    BOOST_TEST(written < 32U * 1024 * 1024);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A client, and a server whose responses the test writes as raw bytes.
struct ClientFixture
{
    EventLoop loop;
    std::unique_ptr<TcpListener> listener;
    Endpoint address;
    std::vector<std::shared_ptr<TcpStream>> accepted;
    std::string requestBytes;
    std::vector<HttpHead> heads;
    std::string body;
    std::vector<OutgoingResult> ends;
    std::vector<Endpoint> lost;
    HttpClient client{loop,
                      {[this](OutgoingId, const HttpHead &head) { heads.push_back(head); },
                       [this](OutgoingId, std::string_view bytes) { body.append(bytes); },
                       [this](OutgoingId, OutgoingResult end) { ends.push_back(end); },
                       [this](const Endpoint &server) { lost.push_back(server); }}};
    OutgoingId lastId = 0;

    ClientFixture()
    {
        for (std::uint16_t port = 22'000; port < 23'000; ++port) {
            address = {"127.0.0.1", port};
            auto opened = TcpListener::listen(loop, address, 1s, [this](auto stream) {
                stream->setHandlers(
                    {{}, [this](std::string_view bytes) { requestBytes.append(bytes); }, {}, {}});
                accepted.push_back(std::move(stream));
            });
            if (opened) {
                listener = std::move(*opened);
                return;
            }
        }
        BOOST_FAIL("no port is free");
    }

    auto sendRequest(const std::string &id = "7") -> void
    {
        OutgoingRequest request;
        request.to = address;
        request.bytes = "GET / HTTP/1.1\r\nId: " + id + "\r\n\r\n";
        request.correlationHeader = "Id";
        request.correlationValue = id;
        request.maxIdle = 10s;
        client.send(++lastId, std::move(request));
        run();
    }

    auto sendResponse(const std::string &bytes) -> void
    {
        accepted.back()->write(bytes);
        run();
    }

    auto run() -> void
    {
        loop.runUntil(BootClock().now() + 40ms);
    }
};

auto okResponse(const std::string &id, const std::string &body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpClientTest, ClientFixture)

BOOST_AUTO_TEST_CASE(reusesAConnectionForTheNextRequest)
{
    sendRequest("1");
    sendResponse(okResponse("1", "a"));
    sendRequest("2");
    sendResponse(okResponse("2", "b"));
    BOOST_TEST(accepted.size() == 1U);
    BOOST_TEST(ends.size() == 2U);
    BOOST_TEST(body == "ab");
}

// Guards against a server that starts again, without a pause, and is taken for the former one
// (review case 8).
BOOST_AUTO_TEST_CASE(reportsAServerThatClosesItsLastConnection)
{
    sendRequest("7");
    sendRequest("8");
    BOOST_TEST_REQUIRE(accepted.size() == 2U);
    accepted[0]->write(okResponse("7", "a"));
    run();
    accepted[0]->close();
    run();
    BOOST_TEST(lost.empty(), "the other connection holds");
    accepted[1]->write(std::string("HTTP/1.1 200 OK\r\nId: 8\r\nContent-Length: 5\r\n\r\na"));
    accepted[1]->close();
    run();
    BOOST_TEST(lost == std::vector<Endpoint>{address});
    sendRequest("9");
    accepted[2]->write(okResponse("9", "a"));
    run();
    accepted[2]->close();
    run();
    BOOST_TEST(lost.size() == 2U, "an idle connection was the last one");
}

BOOST_AUTO_TEST_CASE(reportsNoServerThatClosesAtTheEndOfAResponseOrRefuses)
{
    sendRequest();
    sendResponse("HTTP/1.1 200 OK\r\nId: 7\r\n\r\na");
    accepted[0]->closeAfterWrite();
    run();
    BOOST_TEST_REQUIRE(ends.size() == 1U);
    BOOST_TEST(ends[0].complete);
    listener.reset();
    sendRequest();
    BOOST_TEST(ends.size() == 2U);
    BOOST_TEST(lost.empty());
}

BOOST_AUTO_TEST_CASE(skipsALateResponseToAnotherRequest)
{
    sendRequest("1");
    sendResponse(okResponse("1", "a"));
    sendRequest("2");
    sendResponse(okResponse("1", "late") + okResponse("2", "b"));
    BOOST_TEST(body == "ab");
}

BOOST_AUTO_TEST_CASE(doesNotBelieveARefusalThatMayBelongToAnEarlierRequest)
{
    const std::string refusal = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    sendRequest("1");
    sendResponse(refusal);
    BOOST_TEST(heads.size() == 1U);
    sendRequest("2");
    sendResponse(refusal);
    BOOST_TEST(heads.size() == 1U);
    BOOST_TEST_REQUIRE(ends.size() == 2U);
    BOOST_TEST(!ends[1].complete);
    BOOST_TEST(ends[1].sent);
}

BOOST_AUTO_TEST_CASE(closesAConnectionWithUnsolicitedBytes)
{
    sendRequest("1");
    sendResponse(okResponse("1", "a") + "extra");
    sendRequest("2");
    BOOST_TEST(accepted.size() == 2U);
}

BOOST_AUTO_TEST_CASE(reportsATruncatedResponseAsIncomplete)
{
    sendRequest();
    sendResponse("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 10\r\n\r\nabc");
    accepted.back()->close();
    run();
    BOOST_TEST_REQUIRE(ends.size() == 1U);
    BOOST_TEST(!ends[0].complete);
    BOOST_TEST(ends[0].sent);
}

// Guards against a response that was cut and is taken for a whole one.
BOOST_AUTO_TEST_CASE(takesNoResponseThatWasCutForAWholeOne)
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: 7\r\n";
    struct Case
    {
        std::string bytes;
        /// Number of bytes from which on an orderly close completes the response.
        std::size_t wholeFrom = 0;
    };
    const auto withLength = head + "Content-Length: 3\r\n\r\nabc";
    const auto inChunks = head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    const std::vector<Case> cases{{withLength, withLength.size()},
                                  {inChunks, inChunks.size()},
                                  {head + "\r\nabc", head.size() + 2}};
    for (const auto &[bytes, wholeFrom] : cases) {
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            const auto endsBefore = ends.size();
            sendRequest();
            accepted.back()->write(bytes.substr(0, cut));
            accepted.back()->closeAfterWrite();
            while (ends.size() == endsBefore)
                loop.runUntil(BootClock().now() + 1ms);
            BOOST_TEST(ends.back().complete == (cut >= wholeFrom), bytes.substr(0, cut));
        }
    }
}

BOOST_AUTO_TEST_CASE(completesAResponseWithoutLengthAtAnOrderlyClose)
{
    sendRequest();
    sendResponse("HTTP/1.1 200 OK\r\nId: 7\r\n\r\nabc");
    BOOST_TEST(ends.empty());
    accepted.back()->closeAfterWrite();
    run();
    BOOST_TEST_REQUIRE(ends.size() == 1U);
    BOOST_TEST(ends[0].complete);
}

BOOST_AUTO_TEST_CASE(opensANewConnectionForAtMostOnceRequestsAfterAStaleOne)
{
    sendRequest("1");
    sendResponse(okResponse("1", "a"));
    sendRequest("2");
    accepted.back()->abort(); // As if the server had closed it before the request arrived.
    run();
    sendRequest("3");
    sendResponse(okResponse("3", "c"));
    BOOST_TEST(accepted.size() == 2U);
    OutgoingRequest request;
    request.to = address;
    request.bytes = "GET / HTTP/1.1\r\n\r\n";
    request.maxIdle = 10s;
    request.atMostOnce = true;
    client.send(++lastId, std::move(request));
    run();
    BOOST_TEST(accepted.size() == 3U);
}

BOOST_AUTO_TEST_CASE(reportsNothingSentIfTheConnectionIsRefused)
{
    listener->close();
    sendRequest();
    run();
    BOOST_TEST_REQUIRE(ends.size() == 1U);
    BOOST_TEST(!ends[0].connected);
    BOOST_TEST(!ends[0].sent);
}

BOOST_AUTO_TEST_CASE(closesTheConnectionOfACancelledRequest)
{
    sendRequest();
    bool closed = false;
    accepted.back()->setHandlers({{}, {}, [&](bool) { closed = true; }, {}});
    BOOST_TEST(client.cancel(lastId));
    run();
    BOOST_TEST(closed);
    BOOST_TEST(ends.empty());
}

BOOST_AUTO_TEST_CASE(refusesBytesThatAreNotAResponse)
{
    sendRequest();
    sendResponse("what is this\r\n\r\n");
    BOOST_TEST_REQUIRE(ends.size() == 1U);
    BOOST_TEST(!ends[0].complete);
}

// Guards against a caller that gets an answer whose status is none, or waits for another one.
BOOST_AUTO_TEST_CASE(refusesAResponseWithoutAValidStatusAtOnce)
{
    for (const auto *line :
         {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 Switching Protocols",
          "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK",
          "HTTP/2.0 200 OK", "HTTP/1.1 \r\n\r\n"}) {
        for (const std::string before : {"", "HTTP/1.1 103 Early\r\n\r\n"}) {
            BOOST_TEST_CONTEXT("after '" << before << "': " << line)
            {
                const auto endsBefore = ends.size();
                sendRequest();
                sendResponse(before + line + "\r\nId: 7\r\nContent-Length: 3\r\n\r\nabc");
                BOOST_TEST_REQUIRE(ends.size() == endsBefore + 1);
                BOOST_TEST(!ends.back().complete);
                BOOST_TEST(ends.back().sent);
                BOOST_TEST(heads.empty());
                BOOST_TEST(body.empty());
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(removesSpacesBeforeTheColonsOfAResponse)
{
    sendRequest();
    sendResponse("HTTP/1.1 200 OK\r\nId : 7\r\nX-Own  : one\r\nContent-Length : 1\r\n\r\na");
    BOOST_TEST_REQUIRE(ends.size() == 1U);
    BOOST_TEST(ends[0].complete);
    BOOST_TEST(heads.at(0).headers.value("X-Own") == "one");
}

BOOST_AUTO_TEST_CASE(refusesAResponseWithASpaceInsideAHeaderName)
{
    sendRequest();
    sendResponse("HTTP/1.1 200 OK\r\nId: 7\r\nTwo words: x\r\nContent-Length: 1\r\n\r\na");
    BOOST_TEST_REQUIRE(ends.size() == 1U);
    BOOST_TEST(!ends[0].complete);
    BOOST_TEST(heads.empty());
}

BOOST_AUTO_TEST_CASE(refusesAnInvalidStatusThatArrivesInPieces)
{
    sendRequest();
    for (const auto piece : std::string("HTTP/1.1 000"))
        accepted.back()->write(std::string(1, piece));
    run();
    BOOST_TEST(ends.empty());
    sendResponse(" ");
    BOOST_TEST_REQUIRE(ends.size() == 1U);
    BOOST_TEST(!ends[0].complete);
}

BOOST_AUTO_TEST_CASE(acceptsAStatusWithoutAReason)
{
    sendRequest();
    sendResponse("HTTP/1.1 200\r\nId: 7\r\nContent-Length: 1\r\n\r\na");
    BOOST_TEST_REQUIRE(ends.size() == 1U);
    BOOST_TEST(ends[0].complete);
    BOOST_TEST(heads.at(0).status == 200);
}

BOOST_AUTO_TEST_CASE(endsARequestWhoseResponseNeverBegins)
{
    constexpr std::size_t kEndless = 200U * 1024 * 1024;
    const std::string filler(60 * 1024, 'x');
    const std::string interim =
        "HTTP/1.1 103 Early\r\nName: " + std::string(30'000, 'x') + "\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> cases{
        {"HTTP/1.1 200 OK\r\nName: ", filler},
        {"HTTP/1.1 200 ", filler},
        {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", filler},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
        {"", interim},
        {"", okResponse("another", filler)}};
    for (const auto &[start, repeated] : cases) {
        const auto endsBefore = ends.size();
        sendRequest();
        accepted.back()->write(start);
        std::string more;
        while (more.size() < 256 * 1024)
            more += repeated;
        std::size_t sent = 0;
        while (ends.size() == endsBefore && sent < kEndless) {
            accepted.back()->write(more);
            sent += more.size();
            loop.runUntil(BootClock().now() + 5ms);
        }
        BOOST_TEST_CONTEXT("a response that starts with " << start << repeated.substr(0, 20))
        {
            BOOST_TEST_REQUIRE(ends.size() == endsBefore + 1);
            BOOST_TEST(!ends.back().complete);
            BOOST_TEST(sent < 8U * 1024 * 1024);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
