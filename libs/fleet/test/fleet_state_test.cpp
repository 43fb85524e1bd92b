#include "large_configuration.h"

#include <boost/test/unit_test.hpp>
#include <heathergate/fleet/fleet_state.h>

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;

namespace {

constexpr std::int64_t kBudget = 1000;

struct StateFixture
{
    FleetState state;
    GroupTime now{std::chrono::seconds(1)};

    auto reserve(const std::string &program, RequestId request, std::int64_t maxTokens) -> bool
    {
        fb::CommandBatchT batch;
        batch.commands.push_back(std::make_unique<fb::CommandT>());
        auto &command = batch.commands.back()->reserve;
        command = std::make_unique<fb::ReserveT>();
        command->program = program;
        command->request = request;
        command->budget = kBudget;
        command->most = maxTokens;
        return state.apply(now, batch).reservations.at(0).granted;
    }

    auto settle(const std::string &program, RequestId request, std::int64_t used) -> void
    {
        fb::CommandBatchT batch;
        batch.commands.push_back(std::make_unique<fb::CommandT>());
        auto &command = batch.commands.back()->settle;
        command = std::make_unique<fb::SettleT>();
        command->program = program;
        command->request = request;
        command->used = used;
        state.apply(now, batch);
    }

    auto setConfiguration(std::uint64_t version, const std::string &document) -> void
    {
        Configuration configuration;
        configuration.version = version;
        fb::CommandBatchT batch;
        batch.commands.push_back(std::make_unique<fb::CommandT>());
        auto &command = batch.commands.back()->configuration;
        command = std::make_unique<fb::SetConfigurationT>();
        command->version = version;
        command->content = toBytes(encode(configuration));
        command->document = toBytes(document);
        state.apply(now, batch);
    }

    /// Returns why the command was not applied; nothing if it was.
    auto applyCommand(const fb::SetConfigurationT &command) -> std::optional<Error>
    {
        fb::CommandBatchT batch;
        batch.commands.push_back(std::make_unique<fb::CommandT>());
        batch.commands.back()->configuration = std::make_unique<fb::SetConfigurationT>(command);
        return state.apply(now, batch).configurationError;
    }

    auto replace(const Configuration &configuration) -> void
    {
        const auto error = applyCommand(state.commandFor(configuration, documentOf(configuration)));
        BOOST_TEST_REQUIRE(!error.has_value());
    }
};

auto largeConfiguration(std::uint64_t version) -> Configuration
{
    return configurationWith(version, 1000);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetStateTest, StateFixture)

BOOST_AUTO_TEST_SUITE(WhenAProgramHasABudget)

BOOST_AUTO_TEST_CASE(grantsTurnsUntilTheNextOneWouldNotFit)
{
    BOOST_TEST(reserve("c/p", 1, 400));
    BOOST_TEST(reserve("c/p", 2, 400));
    BOOST_TEST(!reserve("c/p", 3, 400));
}

BOOST_AUTO_TEST_CASE(countsAReservationInFullUntilItIsSettled)
{
    BOOST_TEST(reserve("c/p", 1, 900));
    BOOST_TEST(!reserve("c/p", 2, 200));
    settle("c/p", 1, 100);
    BOOST_TEST(reserve("c/p", 3, 900));
    BOOST_TEST(state.budgets().at("c/p").spent == 100);
}

BOOST_AUTO_TEST_CASE(countsARepeatedReservationOnce)
{
    BOOST_TEST(reserve("c/p", 1, 600));
    BOOST_TEST(reserve("c/p", 1, 600));
    BOOST_TEST(state.budgets().at("c/p").reserved() == 600);
}

BOOST_AUTO_TEST_CASE(countsARepeatedSettlementOnce)
{
    BOOST_TEST(reserve("c/p", 1, 600));
    settle("c/p", 1, 600);
    settle("c/p", 1, 600);
    BOOST_TEST(state.budgets().at("c/p").spent == 600);
}

BOOST_AUTO_TEST_CASE(doesNotCountAProgramAsStartedWhoseFirstTurnWasRefused)
{
    BOOST_TEST(!state.hasStarted("c/p", 1));
    BOOST_TEST(reserve("c/p", 1, 400));
    BOOST_TEST(!state.hasStarted("c/p", 1), "a next leader is asked about the same request");
    BOOST_TEST(state.hasStarted("c/p", 2));
    settle("c/p", 1, 0);
    BOOST_TEST(!state.hasStarted("c/p", 2));
    BOOST_TEST(reserve("c/p", 2, 400));
    settle("c/p", 2, 77);
    BOOST_TEST(state.hasStarted("c/p", 3));
}

BOOST_AUTO_TEST_CASE(keepsProgramsOfDifferentCustomersApart)
{
    BOOST_TEST(reserve("c/p", 1, 900));
    BOOST_TEST(reserve("d/p", 2, 900));
}

BOOST_AUTO_TEST_CASE(restoresASpentBudgetFromASnapshot)
{
    BOOST_TEST(reserve("c/p", 1, 900));
    settle("c/p", 1, 800);
    BOOST_TEST(reserve("c/p", 2, 150));
    StateFixture other;
    BOOST_TEST_REQUIRE(other.state.restore(state.snapshot()).has_value());
    BOOST_TEST(!other.reserve("c/p", 3, 100));
    BOOST_TEST(other.state.budgets().at("c/p").spent == 800);
}

BOOST_AUTO_TEST_CASE(removesABudgetOnlyAfterItsRetention)
{
    BOOST_TEST(reserve("c/p", 1, 900));
    now += std::chrono::seconds(59);
    BOOST_TEST(reserve("c/other", 2, 1));
    BOOST_TEST(state.budgets().contains("c/p"));
    now += std::chrono::seconds(10);
    BOOST_TEST(reserve("c/other", 3, 1));
    BOOST_TEST(!state.budgets().contains("c/p"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenConfigurationsArrive)

BOOST_AUTO_TEST_CASE(keepsTheHighestVersionWhateverTheOrder)
{
    setConfiguration(7, "seven");
    setConfiguration(5, "five");
    BOOST_TEST(state.configuration().version() == 7U);
    BOOST_TEST(state.configurationDocument() == "seven");
}

BOOST_AUTO_TEST_CASE(keepsTheFirstContentOfAVersion)
{
    setConfiguration(7, "first");
    setConfiguration(7, "second");
    BOOST_TEST(state.configurationDocument() == "first");
}

BOOST_AUTO_TEST_CASE(restoresItFromASnapshot)
{
    setConfiguration(9, "nine");
    FleetState other;
    BOOST_TEST_REQUIRE(other.restore(state.snapshot()).has_value());
    BOOST_TEST(other.configuration().version() == 9U);
    BOOST_TEST(other.configurationDocument() == "nine");
}

BOOST_AUTO_TEST_CASE(rejectsAMalformedSnapshot)
{
    BOOST_TEST(!state.restore("nothing of the kind").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenCustomersUseTheirLimits)

BOOST_AUTO_TEST_CASE(retainsTheirUsageForALimitedTimeAndInSnapshots)
{
    const auto use = [&](std::uint32_t count) {
        fb::CommandBatchT batch;
        batch.used.push_back(std::make_unique<fb::CustomerUseT>());
        batch.used.back()->customer = "c";
        batch.used.back()->count = count;
        state.apply(now, batch);
    };
    use(3);
    now += std::chrono::seconds(1);
    use(4);
    FleetState restored;
    BOOST_TEST(restored.restore(state.snapshot()).has_value());
    const auto &uses = restored.usage().at(CustomerId("c"));
    BOOST_TEST_REQUIRE(uses.size() == 2U);
    BOOST_TEST(uses[0].count == 3U);
    BOOST_TEST(uses[1].count == 4U);
    BOOST_TEST((uses[1].at == now));
    now += FleetState::kUsageRetention + std::chrono::seconds(1);
    use(5);
    BOOST_TEST(state.usage().at(CustomerId("c")).size() == 1U);
}

BOOST_AUTO_TEST_CASE(knowsRecentlyRecordedRequestsAlsoFromASnapshot)
{
    const auto record = [&](RequestId request) {
        fb::CommandBatchT batch;
        batch.used.push_back(std::make_unique<fb::CustomerUseT>());
        batch.used.back()->customer = "c";
        batch.used.back()->count = 1;
        batch.used.back()->requests = {request};
        state.apply(now, batch);
    };
    record(7);
    now += std::chrono::seconds(1);
    record(8);
    FleetState restored;
    BOOST_TEST(restored.restore(state.snapshot()).has_value());
    BOOST_TEST_REQUIRE(restored.recordedRequests().size() == 2U);
    BOOST_TEST(restored.recordedRequests().back().request == 8U);
    BOOST_TEST((restored.recordedRequests().back().at == now));
    now += std::chrono::seconds(10);
    record(9);
    BOOST_TEST(state.recordedRequests().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenALargeConfigurationChanges)

BOOST_AUTO_TEST_CASE(takesACommandOfTheSizeOfTheDifference)
{
    const auto before = largeConfiguration(1);
    replace(before);
    auto after = before;
    after.version = 2;
    after.routes.front().timeout = 7s;
    const auto command = state.commandFor(after, documentOf(after));
    BOOST_TEST(command.change.size() + command.documentPatch.size() < 2'000U);
    BOOST_TEST(!applyCommand(command).has_value());
    BOOST_TEST(state.configuration().version() == 2U);
    BOOST_TEST((state.configuration().all().routes.front().timeout == 7s));
    BOOST_TEST((state.configurationDocument() == documentOf(after)));
}

BOOST_AUTO_TEST_CASE(rejectsACommandForAnotherBaseAndChangesNothing)
{
    const auto first = largeConfiguration(1);
    replace(first);
    const auto command = state.commandFor(largeConfiguration(3), "third");
    replace(largeConfiguration(2));
    const auto error = applyCommand(command);
    BOOST_TEST_REQUIRE(error.has_value());
    BOOST_TEST((error->code == Code::OutOfOrder));
    BOOST_TEST(state.configuration().version() == 2U);
    BOOST_TEST((state.configurationDocument() == documentOf(largeConfiguration(2))));
}

BOOST_AUTO_TEST_CASE(isRestoredFromASnapshotThatIsSmallerThanItsDocument)
{
    const auto configuration = largeConfiguration(1);
    replace(configuration);
    const auto snapshot = state.snapshot();
    BOOST_TEST(snapshot.size() < documentOf(configuration).size());
    FleetState restored;
    BOOST_TEST_REQUIRE(restored.restore(snapshot).has_value());
    BOOST_TEST(restored.configuration().version() == 1U);
    BOOST_TEST(restored.configuration().all().routes.size() == configuration.routes.size());
    BOOST_TEST((restored.configurationDocument() == documentOf(configuration)));
}

BOOST_AUTO_TEST_CASE(takesEntriesOfAnOlderBinary)
{
    setConfiguration(4, "from an older binary");
    BOOST_TEST(state.configuration().version() == 4U);
    BOOST_TEST(state.configurationDocument() == "from an older binary");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
