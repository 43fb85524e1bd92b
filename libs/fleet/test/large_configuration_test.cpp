#include "rated_fleet.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kControls = 6;
constexpr std::size_t kGateways = 127;
/// Enough where only the control instances are checked.
constexpr std::size_t kFewGateways = 2;
constexpr std::size_t kManyRoutes = 3000;
/// Time within which an acknowledged change must be in force on all gateways.
constexpr Duration kApplyTime = 2s;
/// Time within which the service must be back after a restart of all instances.
constexpr Duration kRecoveryTime = 12s;
/// A quarter of the memory of a control instance.
constexpr std::size_t kMaxBacklogBytes = 30UL * 1024 * 1024;
/// A tenth of the memory of a control instance.
constexpr std::size_t kMaxLogBytes = 12UL * 1024 * 1024;
/// Time within which callers expect the first answer.
constexpr Duration kTargetLatency = 250ms;

/// A fleet, of 133 instances by default, that has a first configuration in force.
struct RunningFleet : RatedFleet
{
    explicit RunningFleet(std::size_t gateways = kGateways)
        : RatedFleet(kControls, gateways)
    {
        BOOST_TEST_REQUIRE(runUntil(5s, [&] { return leader() != nullptr; }).has_value());
        store(configurationWith(1, 30));
        registerUpstream();
        run(3s);
    }

    /// Stores a configuration and waits until it is acknowledged.
    auto store(const Configuration &configuration) -> void
    {
        const auto token = put(configuration);
        BOOST_TEST_REQUIRE(runUntil(4s, [&] { return answer(token).has_value(); }).has_value());
        BOOST_TEST((answer(token)->status == CallStatus::Done));
    }

    /// Returns the time until all gateways have a version in force; nothing after `limit`.
    auto timeUntilInForce(std::uint64_t version, Duration limit) -> std::optional<Duration>
    {
        return runUntil(limit, [&] { return oldestVersion() >= version; });
    }
};

/// Returns a configuration each of whose routes differs from its predecessor's.
auto movedConfiguration(std::uint64_t version, std::size_t routes) -> Configuration
{
    auto result = configurationWith(version, routes);
    for (auto &route : result.routes)
        route.timeout =
            std::chrono::milliseconds(hash64(route.name + std::to_string(version)) % 9000 + 1);
    return result;
}

/// Returns the largest power of two times `kManyRoutes` that a document may hold.
auto mostRoutes() -> std::size_t
{
    auto routes = kManyRoutes;
    while (documentOf(movedConfiguration(2, 2 * routes)).size() <= kMaxDocumentBytes)
        routes *= 2;
    return routes;
}

auto lastPrefix(const Configuration &configuration) -> std::string
{
    return configuration.routes.back().pathPrefix;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LargeConfigurationTest)

BOOST_AUTO_TEST_SUITE(WhenThousandsOfRoutesAreAdded)

BOOST_AUTO_TEST_CASE(isInForceOnAllGatewaysInTimeWithoutFillingTheMemoryOfTheLeader)
{
    RunningFleet fleet;
    const auto term = fleet.leader()->replica().term();
    fleet.store(configurationWith(2, kManyRoutes));
    BOOST_TEST(fleet.timeUntilInForce(2, kApplyTime).has_value());
    BOOST_TEST(fleet.peakBacklog() < kMaxBacklogBytes);
    BOOST_TEST_REQUIRE(fleet.leader() != nullptr);
    BOOST_TEST(fleet.leader()->replica().term() == term);
}

BOOST_AUTO_TEST_CASE(doesNotDelayThePlacementOfRequests)
{
    RunningFleet fleet;
    const auto configuration = configurationWith(2, kManyRoutes);
    const auto path = configuration.routes.front().pathPrefix;
    fleet.put(configuration);
    for (std::size_t i = 0; i < kGateways; ++i) {
        fleet.request(i, path);
        fleet.run(10ms);
    }
    fleet.run(1s);
    BOOST_TEST(fleet.refusals() == 0U);
    BOOST_TEST_REQUIRE(fleet.placementTimes().size() == kGateways);
    const auto slowest =
        *std::max_element(fleet.placementTimes().begin(), fleet.placementTimes().end());
    BOOST_TEST(slowest.count() < kTargetLatency.count());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenChangesFollowInAStorm)

BOOST_AUTO_TEST_CASE(bringsEachIntoForceInTimeWithoutAnElection)
{
    constexpr Duration kGap = 150ms;
    constexpr std::uint64_t kChanges = 20;
    RunningFleet fleet;
    fleet.store(configurationWith(2, kManyRoutes));
    BOOST_TEST_REQUIRE(fleet.timeUntilInForce(2, kApplyTime).has_value());
    const auto term = fleet.leader()->replica().term();
    std::map<std::uint64_t, CallToken> tokens;
    std::map<std::uint64_t, TimePoint> acknowledged;
    Duration slowest{};
    auto nextChange = fleet.now();
    std::uint64_t version = 2;
    const auto end = fleet.now() + kGap * kChanges + kApplyTime;
    while (fleet.now() < end) {
        if (version < 2 + kChanges && fleet.now() >= nextChange) {
            ++version;
            tokens[version] = fleet.put(configurationWith(version, kManyRoutes + version));
            nextChange += kGap;
        }
        fleet.run(kStep);
        for (const auto &[item, token] : tokens) {
            if (!acknowledged.contains(item) && fleet.answer(token))
                acknowledged[item] = fleet.now();
        }
        while (!acknowledged.empty() && fleet.oldestVersion() >= acknowledged.begin()->first) {
            slowest = std::max(slowest, fleet.now() - acknowledged.begin()->second);
            tokens.erase(acknowledged.begin()->first);
            acknowledged.erase(acknowledged.begin());
        }
    }
    BOOST_TEST(tokens.empty());
    BOOST_TEST(slowest.count() < kApplyTime.count());
    BOOST_TEST(fleet.peakBacklog() < kMaxBacklogBytes);
    BOOST_TEST_REQUIRE(fleet.leader() != nullptr);
    BOOST_TEST(fleet.leader()->replica().term() == term);
}

BOOST_AUTO_TEST_CASE(keepsTheLogInMemoryThatDoesNotGrowWithTheNumberOfChanges)
{
    RunningFleet fleet(kFewGateways);
    fleet.store(configurationWith(2, kManyRoutes));
    for (std::uint64_t version = 3; version <= 42; ++version)
        fleet.store(movedConfiguration(version, kManyRoutes));
    BOOST_TEST(fleet.largestLog() < kMaxLogBytes);
}

BOOST_AUTO_TEST_CASE(keepsTheLogInMemoryThatBearsTheLargestConfiguration)
{
    RunningFleet fleet(kFewGateways);
    const auto routes = mostRoutes();
    for (std::uint64_t version = 2; version <= 12; ++version)
        fleet.store(movedConfiguration(version, routes));
    BOOST_TEST(fleet.timeUntilInForce(12, kApplyTime).has_value());
    BOOST_TEST(fleet.largestLog() < kMaxLogBytes);
}

BOOST_AUTO_TEST_CASE(bearsTheLargestConfigurationThatIsAccepted)
{
    RunningFleet fleet;
    const auto routes = mostRoutes();
    for (std::uint64_t version = 2; version <= 3; ++version)
        fleet.store(movedConfiguration(version, routes));
    BOOST_TEST(fleet.timeUntilInForce(3, kApplyTime).has_value());
    BOOST_TEST(fleet.largestLog() < kMaxLogBytes);
    BOOST_TEST(fleet.peakBacklog() < kMaxBacklogBytes);
    const auto token = fleet.put(movedConfiguration(4, 2 * routes));
    fleet.run(100ms);
    BOOST_TEST_REQUIRE(fleet.answer(token).has_value());
    BOOST_TEST((fleet.answer(token)->status == CallStatus::TooLarge));
    BOOST_TEST(!fleet.answer(token)->detail.empty());
}

BOOST_AUTO_TEST_CASE(sendsBytesInProportionToTheChange)
{
    const auto bytesOfChange = [](std::size_t routes) {
        RunningFleet fleet;
        fleet.store(configurationWith(2, routes));
        fleet.timeUntilInForce(2, 10s);
        fleet.run(1s);
        const auto before = fleet.bytesToGateways();
        fleet.store(configurationWith(3, routes + 1));
        fleet.run(1s);
        return fleet.bytesToGateways() - before;
    };
    BOOST_TEST(bytesOfChange(kManyRoutes) < 2 * bytesOfChange(30));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAllInstancesRestart)

BOOST_AUTO_TEST_CASE(servesAgainWithinTheRecoveryTime)
{
    RunningFleet fleet;
    const auto configuration = configurationWith(2, kManyRoutes);
    fleet.store(configuration);
    fleet.restartAll();
    const auto time = fleet.timeUntilInForce(2, kRecoveryTime);
    BOOST_TEST_REQUIRE(time.has_value());
    BOOST_TEST(fleet.peakBacklog() < kMaxBacklogBytes);
    fleet.request(0, lastPrefix(configuration));
    fleet.run(1s);
    BOOST_TEST(fleet.refusals() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
