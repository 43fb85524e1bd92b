#include <boost/test/unit_test.hpp>

#include <heathergate/core/core.h>

#include <fstream>
#include <sstream>

using namespace heathergate;

BOOST_AUTO_TEST_SUITE(ResultCodesTest)

BOOST_AUTO_TEST_CASE(theReferencePageListsEveryCode)
{
    std::ifstream page(HEATHERGATE_SOURCE_DIR "/docs/reference/result-codes.md");
    BOOST_REQUIRE(page.good());
    std::ostringstream text;
    text << page.rdbuf();
    for (const auto &info : codeTable()) {
        std::ostringstream line;
        line << "| " << static_cast<int>(info.code) << " | " << info.name << " | "
             << info.httpStatus << " | " << info.meaning << " |";
        BOOST_TEST(text.str().find(line.str()) != std::string::npos,
                   "the page does not contain: " << line.str());
    }
}

BOOST_AUTO_TEST_CASE(codesAreOrderedAndUnique)
{
    int last = -1;
    for (const auto &info : codeTable()) {
        BOOST_TEST(static_cast<int>(info.code) > last);
        last = static_cast<int>(info.code);
    }
}

BOOST_AUTO_TEST_SUITE_END()
