#include <boost/test/unit_test.hpp>
#include <heathergate/fleet/configuration_change.h>

#include <algorithm>

using namespace heathergate;
using namespace heathergate::fleet;
using namespace std::chrono_literals;

namespace {

auto route(const std::string &prefix, Duration timeout) -> Route
{
    Route result;
    result.name = "route of " + prefix;
    result.host = prefix.size() % 2 == 0 ? "a.example" : "b.example";
    result.pathPrefix = prefix;
    result.timeout = timeout;
    result.targets = {{ServiceId("tools"), 1}};
    return result;
}

/// A configuration whose entries are drawn from a small set, so that successors share most of them.
auto drawConfiguration(std::uint64_t version, Random &random) -> Configuration
{
    Configuration result;
    result.version = version;
    for (int i = 0; i < 20; ++i) {
        if (random.below(4) != 0)
            result.routes.push_back(
                route("/" + std::to_string(i) + "/", Duration(1 + random.below(2))));
        if (i < 4 && random.below(3) != 0)
            result.services.push_back({ServiceId("s" + std::to_string(i)),
                                       static_cast<int>(random.below(3)), std::nullopt});
    }
    // Keys move between customers.
    for (int i = 0; i < 3; ++i)
        result.customers.push_back({CustomerId("c" + std::to_string(i)), {}, 0, 0, 0});
    for (int i = 0; i < 6; ++i)
        result.customers[random.below(3)].keys.push_back("key" + std::to_string(i));
    result.limits.maxBodyBytes = 1000 + random.below(2);
    return result;
}

/// Checks that lookups return what a configuration holds, and no more.
auto checkSame(const ActiveConfiguration &active, const Configuration &expected) -> void
{
    BOOST_TEST(active.version() == expected.version);
    BOOST_TEST(active.all().routes.size() == expected.routes.size());
    BOOST_TEST(active.all().services.size() == expected.services.size());
    BOOST_TEST(active.all().customers.size() == expected.customers.size());
    BOOST_TEST((active.all().limits == expected.limits));
    for (const auto &item : expected.routes) {
        const auto *found = active.route(item.host, item.pathPrefix + "x");
        BOOST_TEST_REQUIRE(found != nullptr);
        BOOST_TEST((*found == item));
    }
    for (const auto &item : expected.services) {
        BOOST_TEST_REQUIRE(active.service(item.id) != nullptr);
        BOOST_TEST((*active.service(item.id) == item));
    }
    for (const auto &item : expected.customers) {
        for (const auto &key : item.keys) {
            BOOST_TEST_REQUIRE(active.customerOf(key) != nullptr);
            BOOST_TEST(active.customerOf(key)->id.value == item.id.value);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationChangeTest)

BOOST_AUTO_TEST_CASE(leadsFromAnyVersionToAnyLaterOne)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        ActiveConfiguration newest;
        ConfigurationHistory history;
        std::vector<ActiveConfiguration> versions;
        for (std::uint64_t version = 1; version <= 12; ++version) {
            const auto configuration = drawConfiguration(version, random);
            const auto change = difference(newest, configuration);
            history.record(change);
            BOOST_TEST_REQUIRE(newest.apply(change).has_value());
            checkSame(newest, configuration);
            for (auto older : versions) {
                const auto catchUp = history.since(older.version(), newest);
                BOOST_TEST(catchUp.base == older.version());
                const auto decoded = decodeChange(encodeChange(catchUp));
                BOOST_TEST_REQUIRE(decoded.has_value());
                BOOST_TEST_REQUIRE(older.apply(*decoded).has_value());
                checkSame(older, configuration);
            }
            versions.push_back(newest);
        }
    }
}

BOOST_AUTO_TEST_CASE(holdsOnlyWhatDiffers)
{
    Configuration before;
    before.version = 1;
    before.routes = {route("/same/", 1s), route("/changed/", 1s), route("/removed/", 1s)};
    auto after = before;
    after.version = 2;
    after.routes = {route("/same/", 1s), route("/changed/", 2s), route("/added/", 1s)};
    const auto change = difference(ActiveConfiguration(before), after);
    BOOST_TEST(change.routes.size() == 2U);
    BOOST_TEST(change.removedRoutes.size() == 1U);
    BOOST_TEST(change.customers.empty());
    BOOST_TEST(!change.limits.has_value());
}

BOOST_AUTO_TEST_CASE(isRefusedOnAnotherBase)
{
    Configuration first;
    first.version = 1;
    ActiveConfiguration active(first);
    ConfigurationChange change;
    change.base = 2;
    change.version = 3;
    change.routes = {route("/a/", 1s)};
    BOOST_TEST(!active.apply(change).has_value());
    BOOST_TEST(active.version() == 1U);
    BOOST_TEST(active.all().routes.empty());
}

BOOST_AUTO_TEST_CASE(isNotDecodedFromTruncatedBytes)
{
    Random random(1);
    const auto bytes = encodeChange(completeChange(drawConfiguration(5, random)));
    for (std::size_t length = 0; length < bytes.size(); length += 7)
        BOOST_TEST(!decodeChange(std::string_view(bytes).substr(0, length)).has_value());
}

BOOST_AUTO_TEST_CASE(isCompleteForAVersionThatIsNotRemembered)
{
    Random random(1);
    ConfigurationHistory history;
    ActiveConfiguration active(drawConfiguration(5, random));
    BOOST_TEST(history.since(3, active).base == 0U);
    BOOST_TEST(history.since(0, active).routes.size() == active.all().routes.size());
}

BOOST_AUTO_TEST_SUITE_END()
