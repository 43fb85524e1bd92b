#include <boost/test/unit_test.hpp>
#include <heathergate/core/core.h>

using namespace heathergate;

namespace {

constexpr std::size_t kMaxBytes = 4UL * 1024 * 1024;

/// A text of numbered lines whose content does not repeat.
auto lines(std::size_t count) -> std::string
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i)
        text += std::to_string(i) + " " + std::to_string(hash64(std::to_string(i))) + "\n";
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CompressionTest)

BOOST_AUTO_TEST_CASE(returnsTheDataThatWasCompressed)
{
    for (const auto &text : {std::string(), std::string("a"), lines(10'000)}) {
        const auto data = decompress(compress(text), kMaxBytes);
        BOOST_TEST_REQUIRE(data.has_value());
        BOOST_TEST((*data == text));
    }
}

BOOST_AUTO_TEST_SUITE(WithABase)

BOOST_AUTO_TEST_CASE(takesSpaceOnlyForWhatTheBaseLacks)
{
    const auto base = lines(30'000);
    auto changed = base;
    changed.insert(changed.size() / 2, "a new line\n");
    const auto bytes = compress(changed, base);
    BOOST_TEST(bytes.size() < 1024U);
    BOOST_TEST((decompress(bytes, kMaxBytes, base).value() == changed));
}

BOOST_AUTO_TEST_CASE(refusesAnotherBase)
{
    const auto base = lines(1'000);
    const auto bytes = compress(base + "more", base);
    BOOST_TEST(!decompress(bytes, kMaxBytes, lines(999)).has_value());
    BOOST_TEST(!decompress(bytes, kMaxBytes).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(refusesDamagedBytes)
{
    auto bytes = compress(lines(1'000));
    BOOST_TEST(!decompress(bytes.substr(0, bytes.size() / 2), kMaxBytes).has_value());
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
    BOOST_TEST(!decompress(bytes, kMaxBytes).has_value());
    BOOST_TEST(!decompress("not compressed", kMaxBytes).has_value());
}

BOOST_AUTO_TEST_CASE(refusesMoreDataThanAllowed)
{
    BOOST_TEST(!decompress(compress(std::string(1001, 'a')), 1000).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
