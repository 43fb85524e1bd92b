#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <heathergate/http/client.h>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace heathergate;
using namespace heathergate::http;
using namespace std::chrono_literals;

namespace {

/// A server on loopback that sends the same bytes to each connection after its request, and closes.
class RawServer
{
public:
    RawServer()
        : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        struct sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_TEST_REQUIRE(
            ::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
        BOOST_TEST_REQUIRE(::listen(m_listener, 1) == 0);
        socklen_t size = sizeof(address);
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
    }

    ~RawServer()
    {
        ::close(m_listener);
    }

    RawServer(const RawServer &) = delete;
    auto operator=(const RawServer &) -> RawServer & = delete;

    [[nodiscard]] auto url() const -> std::string
    {
        return "http://127.0.0.1:" + std::to_string(m_port) + "/";
    }

    /// Serves one connection.
    auto serve(std::string_view response) const -> void
    {
        const auto connection = ::accept(m_listener, nullptr, nullptr);
        std::string request;
        std::array<char, 1024> buffer{};
        while (!request.ends_with("\r\n\r\n")) {
            const auto count = ::recv(connection, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                break;
            request.append(buffer.data(), static_cast<std::size_t>(count));
        }
        ::send(connection, response.data(), response.size(), MSG_NOSIGNAL);
        ::close(connection);
    }

private:
    int m_listener;
    std::uint16_t m_port = 0;
};

struct ClientFixture
{
    RawServer server;
    std::mutex mutex;
    std::condition_variable hasEnded;
    std::optional<AnswerEnd> ended;
    std::optional<int> status;
    std::unique_ptr<Client> client{Client::start([this](ClientEvent event) {
        const std::lock_guard lock(mutex);
        if (const auto *head = std::get_if<AnswerHead>(&event.what))
            status = head->status;
        if (auto *end = std::get_if<AnswerEnd>(&event.what)) {
            ended = std::move(*end);
            hasEnded.notify_one();
        }
    })};

    auto exchange(std::string_view response) -> AnswerEnd
    {
        ended.reset();
        status.reset();
        Outgoing request;
        request.id = ++lastId;
        request.method = "GET";
        request.url = server.url();
        request.ownConnection = true;
        BOOST_TEST_REQUIRE(client->send(std::move(request)));
        server.serve(response);
        std::unique_lock lock(mutex);
        BOOST_TEST_REQUIRE(hasEnded.wait_for(lock, 5s, [this] { return ended.has_value(); }));
        return *ended;
    }

    std::uint64_t lastId = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClientTest, ClientFixture)

// Guards against a head that was cut and is taken for a whole response without a body.
BOOST_AUTO_TEST_CASE(takesNoResponseThatWasCutForAWholeOne)
{
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nabc";
    for (std::size_t cut = 1; cut < response.size(); ++cut)
        BOOST_TEST(!exchange(std::string_view(response).substr(0, cut)).complete,
                   response.substr(0, cut));
    BOOST_TEST(exchange(response).complete);
    BOOST_TEST(status.value() == 200);
}

// Guards against an answer whose status is none, and that is recorded or passed on.
BOOST_AUTO_TEST_CASE(takesNoResponseWithoutAValidStatus)
{
    for (const auto *line :
         {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 Switching Protocols",
          "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK",
          "HTTP/1.1 OK"}) {
        const auto end = exchange(std::string(line) + "\r\nContent-Length: 3\r\n\r\nabc");
        BOOST_TEST(!end.complete, line);
        BOOST_TEST(end.sent, line);
        BOOST_TEST(!status, line);
    }
}

BOOST_AUTO_TEST_CASE(skipsInterimResponses)
{
    BOOST_TEST(exchange("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                   .complete);
    BOOST_TEST(status.value() == 200);
    BOOST_TEST(
        !exchange("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nLink: x\r\n").complete);
}

BOOST_AUTO_TEST_SUITE_END()
