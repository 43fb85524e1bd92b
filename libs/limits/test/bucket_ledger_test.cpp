#include <boost/test/unit_test.hpp>

#include <heathergate/limits/limits.h>
#include <heathergate/testing/fake_link.h>
#include <heathergate/testing/manual_clock.h>

#include <rapidcheck/boost_test.h>

using namespace heathergate;
using namespace heathergate::limits;
using namespace std::chrono_literals;
using heathergate::testing::FakeLink;
using heathergate::testing::ManualClock;

namespace {

const CustomerId kCustomer("pines");

auto limitOf(int rate, int burst, std::uint64_t revision = 1) -> Limit
{
    return {rate * kOneToken, burst * kOneToken, revision};
}

struct LimitMessage
{
    std::optional<AllowanceRequest> request;
    std::optional<AllowanceReply> reply;
};

/// Instances with allowance clients that share one bucket ledger over a faulty link.
class LimitedFleet
{
public:
    LimitedFleet(std::uint64_t seed, int instances, Limit limit)
        : m_limit(limit)
        , m_random(seed)
        , m_link(seed + 1)
    {
        for (int i = 0; i < instances; ++i)
            m_clients.emplace("i" + std::to_string(i), makeClient(i));
    }

    auto link() -> FakeLink<LimitMessage> &
    {
        return m_link;
    }

    auto setLimit(Limit limit) -> void
    {
        m_limit = limit;
    }

    /// Sets the clock error of an instance. A fast clock expires allowance early, a slow one late.
    auto setClockError(int instance, std::int64_t ppm) -> void
    {
        m_clockErrors["i" + std::to_string(instance)] = ppm;
    }

    /// Adds a request that waits at an instance.
    auto addRequest(int instance) -> void
    {
        ++m_waiting["i" + std::to_string(instance)];
    }

    /// Restarts an instance, which loses its allowance and its waiting requests.
    auto restart(int instance) -> void
    {
        const auto name = "i" + std::to_string(instance);
        m_waiting[name] = 0;
        m_clients.erase(name);
        m_clients.emplace(name, makeClient(instance));
    }

    auto run(Duration time) -> void
    {
        const auto end = m_clock.now() + time;
        while (m_clock.now() < end) {
            m_clock.advance(1ms);
            deliver();
            for (auto &[name, client] : m_clients)
                step(name, client);
        }
    }

    [[nodiscard]] auto admissions() const -> const std::vector<TimePoint> &
    {
        return m_admissions;
    }

    /// Returns the largest excess of admissions over burst + rate x window, over all windows.
    [[nodiscard]] auto largestExcess(double rate, double burst) const -> double
    {
        double excess = -burst;
        for (std::size_t first = 0; first < m_admissions.size(); ++first) {
            for (std::size_t last = first; last < m_admissions.size(); ++last) {
                const auto window =
                    std::chrono::duration<double>(m_admissions[last] - m_admissions[first]);
                const auto count = static_cast<double>(last - first + 1);
                excess = std::max(excess, count - burst - rate * window.count());
            }
        }
        return excess;
    }

private:
    auto makeClient(int instance) -> AllowanceClient
    {
        return {InstanceId("i" + std::to_string(instance)), ++m_incarnations};
    }

    auto local(const std::string &name) -> TimePoint
    {
        const auto elapsed = m_clock.now() - m_startedAt;
        return m_clock.now() + Duration(elapsed.count() * m_clockErrors[name] / 1'000'000);
    }

    auto deliver() -> void
    {
        for (auto &delivery : m_link.arrived(m_clock.now())) {
            if (delivery.message.request) {
                const auto time = m_clock.now() - m_startedAt;
                auto reply = m_ledger.apply(time, *delivery.message.request);
                m_link.send(m_clock.now(), "owner", delivery.from, {std::nullopt, reply});
            } else if (const auto client = m_clients.find(delivery.to); client != m_clients.end()) {
                client->second.receive(local(delivery.to), *delivery.message.reply);
            }
        }
    }

    auto step(const std::string &name, AllowanceClient &client) -> void
    {
        auto &waiting = m_waiting[name];
        while (waiting > 0 && client.tryAdmit(local(name), kCustomer)) {
            --waiting;
            m_admissions.push_back(m_clock.now());
        }
        client.setWaiting(kCustomer, m_limit, static_cast<std::size_t>(waiting));
        if (auto request = client.makeRequest(local(name), [](const auto &) { return true; }))
            m_link.send(m_clock.now(), name, "owner", {std::move(request), std::nullopt});
    }

    Limit m_limit;
    Random m_random;
    ManualClock m_clock;
    TimePoint m_startedAt = m_clock.now();
    FakeLink<LimitMessage> m_link;
    BucketLedger m_ledger;
    std::map<std::string, AllowanceClient> m_clients;
    std::map<std::string, int> m_waiting;
    std::map<std::string, std::int64_t> m_clockErrors;
    std::vector<TimePoint> m_admissions;
    std::uint64_t m_incarnations = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(BucketLedgerTest)

BOOST_AUTO_TEST_SUITE(WhenManyInstancesShareABucket)

BOOST_AUTO_TEST_CASE(admitsTheFirstBurstOnAnyInstance)
{
    LimitedFleet fleet(1, 20, limitOf(10, 20));
    for (int i = 0; i < 20; ++i)
        fleet.addRequest(i);
    fleet.run(100ms);
    BOOST_TEST(fleet.admissions().size() == 20U);
}

BOOST_AUTO_TEST_CASE(admitsASteadyRateCompletely)
{
    LimitedFleet fleet(2, 20, limitOf(100, 10));
    int sent = 0;
    for (int i = 0; i < 2000; ++i) {
        fleet.addRequest(i % 20);
        ++sent;
        fleet.run(10'100us);
    }
    fleet.run(500ms);
    BOOST_TEST(fleet.admissions().size() == static_cast<std::size_t>(sent));
}

RC_BOOST_PROP(neverAdmitsMoreThanBurstAndRateUnderAnyFault, (std::uint64_t seed))
{
    LimitedFleet fleet(seed, 5, limitOf(20, 10));
    Random random(seed);
    fleet.setClockError(0, kClockErrorPpm);
    fleet.setClockError(1, -kClockErrorPpm);
    fleet.link().setFaults({0.2, 0.2, 1ms, 120ms});
    for (int round = 0; round < 300; ++round) {
        const auto requests = random.below(6);
        for (std::uint64_t i = 0; i < requests; ++i)
            fleet.addRequest(static_cast<int>(random.below(5)));
        if (random.below(30) == 0)
            fleet.restart(static_cast<int>(random.below(5)));
        if (random.below(30) == 0)
            fleet.link().setPartitioned("i0", "owner", true);
        if (random.below(15) == 0)
            fleet.link().healPartitions();
        fleet.run(Duration(static_cast<std::int64_t>(random.below(40'000))));
    }
    RC_ASSERT(fleet.largestExcess(20, 10) <= 0.0);
    RC_ASSERT(fleet.admissions().size() > 10U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheLimitIsEdited)

BOOST_AUTO_TEST_CASE(enforcesALowerBurstOnceOldAllowanceHasExpired)
{
    LimitedFleet fleet(3, 3, limitOf(5, 50));
    for (int i = 0; i < 30; ++i)
        fleet.addRequest(i % 3);
    fleet.run(200ms);
    fleet.setLimit(limitOf(5, 2, 2));
    fleet.run(3s);
    const auto before = fleet.admissions().size();
    for (int i = 0; i < 30; ++i)
        fleet.addRequest(i % 3);
    fleet.run(1s);
    BOOST_TEST(fleet.admissions().size() - before <= 2U + 5U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAllowanceHasExpired)

BOOST_AUTO_TEST_CASE(doesNotUseItAfterItsTimeToLive)
{
    AllowanceClient client(InstanceId("x"), 1);
    const TimePoint sentAt(1h);
    client.setWaiting(kCustomer, limitOf(10, 10), 2);
    const auto request = client.makeRequest(sentAt, [](const auto &) { return true; });
    BOOST_REQUIRE(request.has_value());
    BucketLedger ledger;
    client.receive(sentAt + 10ms, ledger.apply(0s, *request));
    BOOST_TEST(client.tryAdmit(sentAt + 20ms, kCustomer));
    BOOST_TEST(!client.tryAdmit(sentAt + kAllowanceTtl, kCustomer));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnInstanceCrashesWithAllowance)

BOOST_AUTO_TEST_CASE(recoversTheAllowanceAfterItsExpiryAndNeverGrantsItTwice)
{
    BucketLedger ledger;
    const auto requestAllowance = [&](GroupTime at, const char *instanceName, MicroTokens want) {
        return ledger.apply(
            at, {InstanceId(instanceName), 1, 0, {{kCustomer, limitOf(10, 10), 0, 0, want, 0}}});
    };
    BOOST_TEST(requestAllowance(0s, "crashed", 10 * kOneToken).grants[0].grantedTotal
               == 10 * kOneToken);
    BOOST_TEST(requestAllowance(500ms, "live", 10 * kOneToken).grants[0].grantedTotal == 0);
    BOOST_TEST(requestAllowance(1000ms, "live", 10 * kOneToken).grants[0].heldElsewhere
               == 10 * kOneToken);
    const auto later = requestAllowance(2100ms, "live", 10 * kOneToken).grants[0];
    BOOST_TEST(later.grantedTotal <= 11 * kOneToken);
    BOOST_TEST(later.heldElsewhere == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenComparedWithOneBucket)

/// With one instance and no faults, the distributed limit admits the same requests as a plain
/// bucket.
RC_BOOST_PROP(admitsWithASingleInstanceWhatAPlainBucketAdmits, (std::uint64_t seed))
{
    Random random(seed);
    LimitedFleet fleet(seed, 1, limitOf(50, 5));
    int arrived = 0;
    for (int i = 0; i < 200; ++i) {
        if (random.below(2) == 0) {
            fleet.addRequest(0);
            ++arrived;
        }
        fleet.run(Duration(static_cast<std::int64_t>(random.below(60'000))));
    }
    fleet.run(5s);
    // The mean rate is about 17 requests per second, below the limit of 50, so every request is
    // admitted in the end.
    RC_ASSERT(fleet.admissions().size() == static_cast<std::size_t>(arrived));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
