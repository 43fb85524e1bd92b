#include "dispatcher_fixture.h"

#include <queue>

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;

namespace {

const InstanceId kGateway("g");
const UpstreamId kUpstream("u");

/// Gateways and engines in failure domains, and streams that must not run twice.
struct ConnectionLoad : DispatcherFixture
{
    static constexpr int kDomains = 4;
    static constexpr int kGatewayCount = 53;
    static constexpr int kEngineCount = 38;
    static constexpr double kPerSecond = 180;
    static constexpr Duration kLength = 200ms;

    struct Running
    {
        TimePoint due;
        RequestId id = 0;

        auto operator<(const Running &other) const -> bool
        {
            return due > other.due;
        }
    };

    std::uint64_t placed = 0;
    std::uint64_t opened = 0;
    Duration waited{};
    std::uint64_t otherDomain = 0;

    auto play(Duration connectionCost) -> void
    {
        dispatcher = Dispatcher(PlacementSettings{false, connectionCost});
        for (int i = 0; i < kEngineCount; ++i)
            add("e" + std::to_string(i), kEngines, 6, domainOf(i));
        Random random(7);
        std::priority_queue<Running> running;
        ConnectionTracker connections;
        std::map<RequestId, std::pair<InstanceId, UpstreamId>> places;
        double offered = 0;
        for (const auto end = now + 20s; now < end; now += 5ms) {
            while (!running.empty() && running.top().due <= now) {
                const auto id = running.top().id;
                running.pop();
                const auto &[gateway, upstream] = places.at(id);
                connections.released(now, gateway, upstream);
                dispatcher.finish(now, id, {AttemptOutcome::Answered, kLength, 30ms});
                places.erase(id);
            }
            for (offered += kPerSecond * 0.005; offered >= 1; offered -= 1) {
                const auto gateway = static_cast<int>(random.next() % kGatewayCount);
                auto item = work(kEngines);
                item.gateway = InstanceId("g" + std::to_string(gateway));
                item.domain = FailureDomainId(domainOf(gateway));
                item.needsRecentConnection = true;
                item.expectedTokens = 40;
                submit(std::move(item));
            }
            dispatcher.tick(now);
            for (const auto &placement : dispatcher.takePlacements()) {
                ++placed;
                waited += placement.waited;
                places[placement.request] = {placement.gateway, placement.upstream};
                opened += connections.used(now, placement.gateway, placement.upstream) ? 1 : 0;
                const auto gateway = std::stoi(placement.gateway.value.substr(1));
                otherDomain +=
                    records.at(placement.upstream).domain.value == domainOf(gateway) ? 0 : 1;
                running.push({now + kLength, placement.request});
            }
        }
    }

    static auto domainOf(int number) -> std::string
    {
        return std::string(1, static_cast<char>('a' + number % kDomains));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionTrackerTest)

BOOST_AUTO_TEST_CASE(expectsTheConnectionThatBecameIdleLast)
{
    ConnectionTracker tracker;
    const TimePoint start{1h};
    BOOST_TEST(tracker.used(start, kGateway, kUpstream));
    tracker.released(start + 1s, kGateway, kUpstream);
    BOOST_TEST(tracker.hasIdle(start + 1500ms, kGateway, kUpstream));
    BOOST_TEST(!tracker.used(start + 1500ms, kGateway, kUpstream));
    BOOST_TEST(!tracker.hasIdle(start + 1500ms, kGateway, kUpstream));
    BOOST_TEST(tracker.used(start + 1500ms, kGateway, kUpstream));
}

BOOST_AUTO_TEST_CASE(expectsNoneThatWasIdleForTooLong)
{
    ConnectionTracker tracker;
    const TimePoint start{1h};
    tracker.released(start, kGateway, kUpstream);
    BOOST_TEST(tracker.hasIdle(start + 1300ms, kGateway, kUpstream));
    BOOST_TEST(!tracker.hasIdle(start + kMaxIdleIfRunsOnce, kGateway, kUpstream));
}

BOOST_AUTO_TEST_CASE(forgetsGatewaysAndUpstreamsThatRestart)
{
    ConnectionTracker tracker;
    const TimePoint start{1h};
    tracker.released(start, kGateway, kUpstream);
    tracker.dropUpstream(kUpstream);
    BOOST_TEST(!tracker.hasIdle(start, kGateway, kUpstream));
    tracker.released(start, kGateway, kUpstream);
    tracker.dropGateway(kGateway);
    BOOST_TEST(!tracker.hasIdle(start, kGateway, kUpstream));
}

// Load: 53 gateways that each send three or four streams a second, which must not run twice, to 38
// engines. Spread evenly, nearly each one needs a new connection.
BOOST_AUTO_TEST_CASE(opensFarFewerConnectionsAndKeepsNobodyWaiting)
{
    ConnectionLoad without;
    without.play(Duration::zero());
    ConnectionLoad with;
    with.play(12ms);
    BOOST_TEST_MESSAGE("connections " << without.opened << " -> " << with.opened << " of "
                                      << with.placed);
    BOOST_TEST(with.placed == without.placed);
    BOOST_TEST(2 * with.opened <= without.opened);
    BOOST_TEST((with.waited <= without.waited + 1s));
    BOOST_TEST(with.otherDomain <= without.otherDomain + without.placed / 50);
}

BOOST_AUTO_TEST_SUITE_END()
