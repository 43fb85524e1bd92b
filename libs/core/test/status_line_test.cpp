#include <boost/test/unit_test.hpp>
#include <heathergate/core/status_line.h>

using heathergate::statusOf;

BOOST_AUTO_TEST_SUITE(StatusLineTest)

BOOST_AUTO_TEST_CASE(readsTheStatusOfAValidLine)
{
    for (const auto *line : {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200",
                             "HTTP/1.1 200 ", "HTTP/1.1 200\r\n", "HTTP/2 200 ", "HTTP/1.1 200\n"})
        BOOST_TEST(statusOf(line).value_or(0) == 200, line);
    BOOST_TEST(statusOf("HTTP/1.1 100 Continue").value() == 100);
    BOOST_TEST(statusOf("HTTP/1.1 599 Own").value() == 599);
}

// Guards against an answer with a status that is none, such as 000.
BOOST_AUTO_TEST_CASE(readsNoStatusThatIsNone)
{
    for (const auto *line : {"HTTP/1.1 000 OK",
                             "HTTP/1.1 099 OK",
                             "HTTP/1.1 001 OK",
                             "HTTP/1.1 101 Switching Protocols",
                             "HTTP/1.1 600 OK",
                             "HTTP/1.1 999 OK",
                             "HTTP/1.1 20 OK",
                             "HTTP/1.1 2000 OK",
                             "HTTP/1.1 0200 OK",
                             "HTTP/1.1 20x OK",
                             "HTTP/1.1 +20 OK",
                             "HTTP/1.1 -20 OK",
                             "HTTP/1.1  200 OK",
                             "HTTP/1.1200 OK",
                             "HTTP/1.1 OK",
                             "HTTP/1.1",
                             "HTTP/2.0 200 OK",
                             "HTTP/0.9 200 OK",
                             "HTTP/1 200 OK",
                             "http/1.1 200 OK",
                             "ICY 200 OK",
                             "200 OK",
                             "",
                             " HTTP/1.1 200 OK",
                             "\r\nHTTP/1.1 200 OK"})
        BOOST_TEST(!statusOf(line), line);
}

BOOST_AUTO_TEST_SUITE_END()
