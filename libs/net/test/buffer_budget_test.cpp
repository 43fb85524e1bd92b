#include <boost/test/unit_test.hpp>
#include <heathergate/net/buffer_budget.h>

using namespace heathergate;
using namespace heathergate::net;
using namespace std::chrono_literals;

namespace {

/// Connections with charges, of which the one without progress for longest gives way.
struct BudgetFixture
{
    struct Buffer
    {
        TimePoint since;
        std::unique_ptr<BufferCharge> charge;
    };

    BufferBudget budget;
    std::vector<Buffer> buffers;
    std::vector<std::unique_ptr<ConnectionCharge>> connections;

    BudgetFixture()
    {
        budget.setLimits(1000, 3);
        BufferBudget::Holder holder;
        holder.stalestBuffer = [this]() -> std::optional<TimePoint> {
            if (buffers.empty())
                return std::nullopt;
            return stalest()->since;
        };
        holder.reclaimableBytes = [this] {
            std::size_t sum = 0;
            for (const auto &buffer : buffers)
                sum += buffer.charge->bytes();
            return sum;
        };
        holder.reclaimBuffer = [this] { buffers.erase(stalest()); };
        holder.stalestConnection = [this]() -> std::optional<TimePoint> {
            if (connections.empty())
                return std::nullopt;
            return TimePoint{1s};
        };
        holder.reclaimConnection = [this] { connections.erase(connections.begin()); };
        budget.addHolder(std::move(holder));
    }

    auto stalest() -> std::vector<Buffer>::iterator
    {
        return std::min_element(
            buffers.begin(), buffers.end(),
            [](const Buffer &left, const Buffer &right) { return left.since < right.since; });
    }

    auto hold(TimePoint since, std::size_t bytes) -> void
    {
        buffers.push_back({since, std::make_unique<BufferCharge>(budget)});
        buffers.back().charge->set(bytes);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BufferBudgetTest, BudgetFixture)

BOOST_AUTO_TEST_CASE(countsWhatIsChargedUntilItIsReleased)
{
    hold(TimePoint{1s}, 400);
    hold(TimePoint{2s}, 300);
    BOOST_TEST(budget.usedBytes() == 700U);
    buffers.front().charge->set(100);
    BOOST_TEST(budget.usedBytes() == 400U);
    buffers.clear();
    BOOST_TEST(budget.usedBytes() == 0U);
}

// Guards against a process that runs out of memory because many clients hold unfinished requests.
BOOST_AUTO_TEST_CASE(letsTheConnectionsWithoutProgressForLongestGiveWay)
{
    hold(TimePoint{3s}, 400);
    hold(TimePoint{1s}, 400);
    hold(TimePoint{2s}, 400);
    BOOST_TEST(budget.makeRoom());
    BOOST_TEST_REQUIRE(buffers.size() == 2U);
    BOOST_TEST((buffers.front().since == TimePoint{3s}));
    BOOST_TEST((buffers.back().since == TimePoint{2s}));
    BOOST_TEST(budget.counters().closedForMemory == 1U);
}

BOOST_AUTO_TEST_CASE(refusesWhatDoesNotFitOnceNobodyCanGiveWay)
{
    BufferCharge running(budget);
    running.set(900);
    BOOST_TEST(!budget.makeRoom(200));
    BOOST_TEST(budget.makeRoom(100));
}

// Guards against connections that are closed although the request is refused all the same.
BOOST_AUTO_TEST_CASE(closesNothingIfThatDoesNotMakeEnoughRoom)
{
    BufferCharge running(budget);
    running.set(900);
    hold(TimePoint{1s}, 50);
    BOOST_TEST(!budget.makeRoom(500));
    BOOST_TEST(buffers.size() == 1U);
}

// Guards against large requests that leave no memory for ordinary ones.
BOOST_AUTO_TEST_CASE(keepsAPartOfTheLimitForRequestsThatAreNotLarge)
{
    BufferCharge running(budget);
    running.set(700);
    BOOST_TEST(!budget.makeRoomForLarge(100));
    BOOST_TEST(budget.makeRoom(100));
}

BOOST_AUTO_TEST_CASE(letsAConnectionGiveWayForANewOne)
{
    for (int i = 0; i < 3; ++i)
        connections.push_back(std::make_unique<ConnectionCharge>(budget));
    BOOST_TEST(budget.makeRoomForConnection());
    BOOST_TEST(connections.size() == 3U);
    connections.push_back(std::make_unique<ConnectionCharge>(budget));
    BOOST_TEST(budget.makeRoomForConnection());
    BOOST_TEST(connections.size() == 3U);
    BOOST_TEST(budget.counters().closedForDescriptors == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
