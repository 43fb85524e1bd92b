#include "control_fleet.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;

namespace {

const InstanceId kGateway("g");
constexpr double kRate = 20;
constexpr double kBurst = 20;
/// Requests of the customer in a window of five seconds.
constexpr int kMaxInWindow = 120;
/// Requests that a leader may admit before their record is committed.
constexpr int kMaxUnrecorded = 4;

/// A fleet with a customer that has a limit, and with one upstream.
struct LimitedFleet
{
    explicit LimitedFleet(int slots = 500)
        : slots(slots)
    {
        leader = fleet.waitForLeader();
        Configuration configuration;
        configuration.version = 2;
        configuration.customers.push_back({CustomerId("c"), {"key"}, 0, kRate, kBurst});
        fleet.node(leader).putConfiguration(fleet.now(), fleet.nextToken(), configuration, "two");
        registerUpstream();
    }

    auto registerUpstream() -> void
    {
        auto record = upstream("u", 1, ++sequence);
        record.slots = slots;
        fleet.heartbeat(leader, record);
        fleet.run(50ms);
        fleet.sentTo(kGateway.value);
    }

    auto ask(RequestId request, const std::string &runningAt = {}) -> void
    {
        fb::AdmissionT admission;
        admission.request = request;
        admission.customer = "c";
        admission.service = "tools";
        admission.budget = admission.finishIn = -1;
        admission.timeLeft = admission.patience = 3'000'000;
        admission.runningAt = runningAt;
        fleet.node(leader).receive(fleet.now(), kGateway, PeerFrame(Message(admission)));
    }

    /// Asks for many requests at once.
    auto askFor(int count) -> void
    {
        for (int i = 0; i < count; ++i)
            ask(++last);
    }

    auto killLeader() -> void
    {
        fleet.kill(leader);
        leader = fleet.waitForLeader();
        registerUpstream();
    }

    template <typename T>
    auto received() -> std::vector<RequestId>
    {
        std::vector<RequestId> found;
        for (const auto &message : fleet.sentTo(kGateway.value)) {
            if (const auto *item = std::get_if<T>(&message))
                found.push_back(item->request);
        }
        return found;
    }

    int slots;
    Fleet fleet;
    std::string leader;
    RequestId last = 0;
    std::uint64_t sequence = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ControlQuotaTest)

BOOST_AUTO_TEST_SUITE(WhenTheLeaderFailsRightAfterManyAdmissions)

// Guards against requests that a killed leader admitted and its successor admits again (review
// case 5).
BOOST_AUTO_TEST_CASE(admitsNoMoreThanTheLimitInAll)
{
    for (auto killedAfter = Duration::zero(); killedAfter <= 200ms; killedAfter += 5ms) {
        LimitedFleet test;
        test.askFor(2 * kMaxInWindow);
        test.fleet.run(killedAfter);
        const auto before = test.received<fb::GrantT>().size();
        test.killLeader();
        test.askFor(2 * kMaxInWindow);
        test.fleet.run(300ms);
        const auto after = test.received<fb::GrantT>().size();
        BOOST_TEST(before + after <= static_cast<std::size_t>(kMaxInWindow + kMaxUnrecorded),
                   "killed after " << killedAfter / 1ms << " ms: " << before << " + " << after);
    }
}

// Guards against admissions whose record is dropped when a leader hands over.
BOOST_AUTO_TEST_CASE(admitsNoMoreThanTheLimitIfItIsStopped)
{
    LimitedFleet test;
    test.askFor(kMaxUnrecorded);
    test.fleet.run(5ms);
    test.fleet.node(test.leader).leave(test.fleet.now());
    test.fleet.run(50ms);
    const auto before = test.received<fb::GrantT>().size();
    BOOST_TEST(before == static_cast<std::size_t>(kMaxUnrecorded));
    test.killLeader();
    test.askFor(2 * kMaxInWindow);
    test.fleet.run(300ms);
    BOOST_TEST(before + test.received<fb::GrantT>().size()
               == static_cast<std::size_t>(kMaxInWindow));
}

// Guards against requests that are refused because a former leader has counted them.
BOOST_AUTO_TEST_CASE(refusesNoneThatItsPredecessorAdmitted)
{
    constexpr int kSlots = 6;
    LimitedFleet test(kSlots);
    test.askFor(kMaxInWindow / 2);
    test.fleet.run(300ms);
    const auto running = test.received<fb::GrantT>();
    BOOST_TEST(running.size() >= static_cast<std::size_t>(kSlots));
    test.killLeader();
    for (RequestId request = 1; request <= test.last; ++request) {
        const auto runs = std::find(running.begin(), running.end(), request) != running.end();
        test.ask(request, runs ? "u" : "");
    }
    test.askFor(kMaxInWindow / 2);
    test.fleet.run(20ms);
    for (const auto &message : test.fleet.sentTo(kGateway.value)) {
        const auto *refusal = std::get_if<fb::RefusalT>(&message);
        const auto isOverLimit =
            refusal != nullptr && refusal->code == static_cast<int>(Code::RateExceeded);
        BOOST_TEST(!isOverLimit);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenACustomerSendsFewRequests)

BOOST_AUTO_TEST_CASE(grantsThemBeforeTheyAreRecorded)
{
    LimitedFleet test;
    test.askFor(kMaxUnrecorded);
    test.fleet.run(5ms);
    test.fleet.run(5ms);
    BOOST_TEST(test.received<fb::GrantT>().size() == static_cast<std::size_t>(kMaxUnrecorded));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
