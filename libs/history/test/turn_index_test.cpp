#include <boost/test/unit_test.hpp>

#include <heathergate/history/chain_cache.h>
#include <heathergate/history/turn_index.h>

using namespace heathergate;
using namespace heathergate::history;
using namespace std::chrono_literals;

namespace {

auto key(const std::string &turn) -> TurnKey
{
    return {CustomerId("c"), TurnId(turn)};
}

auto at(std::uint64_t segment, std::uint64_t offset) -> Location
{
    return {segment, offset, 10};
}

const WallTime kStart{1000h};

} // namespace

BOOST_AUTO_TEST_SUITE(TurnIndexTest)

BOOST_AUTO_TEST_CASE(returnsEachChainOfATreeOldestFirst)
{
    TurnIndex index;
    index.insert(key("a"), {}, at(1, 0), 1, kStart);
    index.insert(key("b"), TurnId("a"), at(1, 10), 2, kStart);
    index.insert(key("c"), TurnId("a"), at(1, 20), 3, kStart);
    BOOST_TEST((index.chain(key("b")) == std::vector{at(1, 0), at(1, 10)}));
    BOOST_TEST((index.chain(key("c")) == std::vector{at(1, 0), at(1, 20)}));
}

BOOST_AUTO_TEST_CASE(returnsNoChainWithAMissingTurnOrACycle)
{
    TurnIndex index;
    index.insert(key("b"), TurnId("a"), at(1, 0), 1, kStart);
    BOOST_TEST(!index.chain(key("b")).has_value());
    index.insert(key("a"), TurnId("b"), at(1, 10), 2, kStart);
    BOOST_TEST(!index.chain(key("b")).has_value());
}

BOOST_AUTO_TEST_CASE(keepsAChainAsLongAsItsLastTurn)
{
    TurnIndex index;
    index.insert(key("a"), {}, at(1, 0), 1, kStart + 60s);
    index.insert(key("b"), TurnId("a"), at(1, 10), 2, kStart + 100s);
    index.insert(key("other"), {}, at(1, 20), 3, kStart + 60s);
    BOOST_TEST(index.removeExpired(kStart + 99s) == 1U);
    BOOST_TEST(index.chain(key("b")).has_value());
    BOOST_TEST(index.removeExpired(kStart + 101s) == 2U);
    BOOST_TEST(index.segments().at(1) == 0U);
}

BOOST_AUTO_TEST_CASE(listsTurnsInTheOrderInWhichTheyWereStored)
{
    TurnIndex index;
    for (const auto *name : {"x", "b", "a"})
        index.insert(key(name), {}, at(1, 0), 1, kStart);
    const auto listed = index.after(1, 10);
    BOOST_REQUIRE(listed.size() == 2U);
    BOOST_TEST(listed[0].second.turn.value == "b");
    BOOST_TEST(listed[1].second.turn.value == "a");
}

BOOST_AUTO_TEST_CASE(aMovedTurnFreesItsFormerSegment)
{
    TurnIndex index;
    index.insert(key("a"), {}, at(1, 0), 1, kStart);
    index.insert(key("a"), {}, at(2, 0), 1, kStart);
    BOOST_TEST(index.segments().at(1) == 0U);
    BOOST_TEST(index.segments().at(2) == 10U);
    BOOST_TEST(index.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ChainCacheTest)

BOOST_AUTO_TEST_CASE(dropsTheChainThatWasUsedLeastRecently)
{
    ChainCache cache(10);
    const auto chain = [](const char *text) { return std::make_shared<const std::string>(text); };
    cache.insert(key("a"), chain("aaaa"));
    cache.insert(key("b"), chain("bbbb"));
    BOOST_TEST(*cache.find(key("a")) == "aaaa");
    cache.insert(key("c"), chain("cccc"));
    BOOST_TEST(!cache.find(key("b")));
    BOOST_TEST(*cache.find(key("a")) == "aaaa");
    cache.insert(key("d"), chain("longer than the cache"));
    BOOST_TEST(!cache.find(key("d")));
    BOOST_TEST(cache.bytes() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
