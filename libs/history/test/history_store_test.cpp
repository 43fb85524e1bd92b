#include "history_fleet.h"

using namespace heathergate;
using namespace heathergate::history;
using namespace heathergate::history::test;

namespace {

auto readText(HistoryFleet &fleet, const std::string &turn) -> std::string
{
    const auto result = fleet.read(turn);
    BOOST_TEST_REQUIRE((result.outcome == ClientOutcome::Found),
                       "the turn " << turn << " was read with outcome "
                                   << static_cast<int>(result.outcome));
    return *result.chain;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HistoryStore)

BOOST_AUTO_TEST_SUITE(WithAllReplicas)

BOOST_AUTO_TEST_CASE(returnsAllTurnsOfAChainOldestFirst)
{
    HistoryFleet fleet;
    BOOST_TEST((fleet.write("1", "", "in1 ", "out1 ") == ClientOutcome::Stored));
    BOOST_TEST((fleet.write("2", "1", "in2 ", "out2 ") == ClientOutcome::Stored));
    BOOST_TEST((fleet.write("3a", "2", "in3a ", "out3a ") == ClientOutcome::Stored));
    BOOST_TEST((fleet.write("3b", "2", "in3b ", "out3b ") == ClientOutcome::Stored));
    BOOST_TEST(readText(fleet, "3a") == "in1 out1 in2 out2 in3a out3a ");
    BOOST_TEST(readText(fleet, "3b") == "in1 out1 in2 out2 in3b out3b ");
}

BOOST_AUTO_TEST_CASE(knowsNeitherUnknownTurnsNorThoseOfAnotherCustomer)
{
    HistoryFleet fleet;
    fleet.write("1", "", "secret", "");
    BOOST_TEST((fleet.read("2").outcome == ClientOutcome::Absent));
    BOOST_TEST((fleet.read("1", "another").outcome == ClientOutcome::Absent));
}

BOOST_AUTO_TEST_CASE(keepsBytesOfAnyValue)
{
    HistoryFleet fleet;
    const std::string bytes("\0\r\n\xff end", 8);
    fleet.write("1", "", bytes, bytes);
    BOOST_TEST(readText(fleet, "1") == bytes + bytes);
}

BOOST_AUTO_TEST_CASE(rejectsAnotherTurnUnderTheSameKey)
{
    HistoryFleet fleet;
    BOOST_TEST((fleet.write("1", "", "in", "out") == ClientOutcome::Stored));
    BOOST_TEST((fleet.write("1", "", "in", "out") == ClientOutcome::Stored));
    BOOST_TEST((fleet.write("1", "", "in", "other") == ClientOutcome::Unavailable));
    BOOST_TEST(readText(fleet, "1") == "inout");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenReplicasDoNotAnswer)

BOOST_AUTO_TEST_CASE(acknowledgesWithAsManyDisksAsRequired)
{
    HistoryFleet fleet;
    fleet.suspend("10.0.0.1");
    BOOST_TEST((fleet.write("1", "", "in", "out") == ClientOutcome::Stored));
    fleet.suspend("10.0.0.2");
    BOOST_TEST((fleet.write("2", "", "in", "out") == ClientOutcome::Unavailable));
    BOOST_TEST(readText(fleet, "1") == "inout");
}

BOOST_AUTO_TEST_CASE(reportsATurnAsAbsentOnlyIfNoHolderCanBeMissing)
{
    HistoryFleet fleet;
    fleet.suspend("10.0.0.1");
    BOOST_TEST((fleet.read("1").outcome == ClientOutcome::Absent));
    fleet.suspend("10.0.0.2");
    BOOST_TEST((fleet.read("1").outcome == ClientOutcome::Unavailable));
}

BOOST_AUTO_TEST_CASE(aReplicaThatWasSuspendedCopiesWhatItMissed)
{
    HistoryFleet fleet;
    fleet.suspend("10.0.0.3");
    fleet.write("1", "", "in", "out");
    fleet.run(1s);
    fleet.resume("10.0.0.3");
    fleet.run(2s);
    BOOST_TEST(fleet.replica("10.0.0.3").index().size() == 1U);
    fleet.suspend("10.0.0.1");
    fleet.suspend("10.0.0.2");
    BOOST_TEST(readText(fleet, "1") == "inout");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenPowerOrDisksAreLost)

BOOST_AUTO_TEST_CASE(everyAcknowledgedTurnSurvivesALossOfPowerOfAll)
{
    HistoryFleet fleet;
    for (int turn = 1; turn <= 20; ++turn)
        fleet.write(std::to_string(turn), turn == 1 ? "" : std::to_string(turn - 1), "i", "o");
    for (const auto *instance : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        fleet.losePower(instance);
    BOOST_TEST(readText(fleet, "20").size() == 40U);
    BOOST_TEST((fleet.read("21").outcome == ClientOutcome::Absent));
}

BOOST_AUTO_TEST_CASE(aWipedReplicaIsNotAskedWhatIsAbsentBeforeItHasCopiedAll)
{
    HistoryFleet fleet;
    fleet.suspend("10.0.0.3");
    fleet.write("1", "", "in", "out");
    // The only other holder is suspended while the wiped replica starts.
    fleet.suspend("10.0.0.2");
    fleet.resume("10.0.0.3");
    const auto former = fleet.wipe("10.0.0.1");
    fleet.run(2s);
    BOOST_TEST(!fleet.replica("10.0.0.1").isComplete());
    BOOST_TEST((fleet.read("1").outcome == ClientOutcome::Unavailable));
    fleet.resume("10.0.0.2");
    fleet.run(2s);
    BOOST_TEST(fleet.replica("10.0.0.1").isComplete());
    fleet.removeMember(former);
    BOOST_TEST(readText(fleet, "1") == "inout");
}

BOOST_AUTO_TEST_CASE(turnsSurviveTheLossOfOneDiskAfterAnother)
{
    HistoryFleet fleet;
    for (int round = 0; round < 9; ++round) {
        const auto turn = std::to_string(round);
        BOOST_TEST((fleet.write(turn, round == 0 ? "" : std::to_string(round - 1), "i", "o")
                    == ClientOutcome::Stored));
        // The disk is lost directly after the acknowledgement.
        const auto instance = HistoryFleet::nameOf(static_cast<std::size_t>(round) % 3);
        const auto former = fleet.wipe(instance);
        fleet.run(1500ms);
        BOOST_TEST(fleet.replica(instance).isComplete());
        fleet.removeMember(former);
    }
    BOOST_TEST(readText(fleet, "8").size() == 18U);
}

BOOST_AUTO_TEST_CASE(twoDisksOfFiveMayBeLostAtOnce)
{
    HistoryFleet fleet(5, 3);
    for (int turn = 0; turn < 100; ++turn)
        fleet.write(std::to_string(turn), "", "in" + std::to_string(turn), "out");
    const auto loseTwo = [&](const std::string &first, const std::string &second) {
        // The set grows by one replica at a time, as the consensus group does.
        fleet.kill(second);
        for (const auto &instance : {first, second}) {
            const auto former = fleet.wipe(instance);
            fleet.run(2s);
            BOOST_TEST(fleet.replica(instance).isComplete());
            fleet.removeMember(former);
        }
    };
    loseTwo("10.0.0.1", "10.0.0.2");
    loseTwo("10.0.0.3", "10.0.0.4");
    loseTwo("10.0.0.5", "10.0.0.1");
    for (int turn = 0; turn < 100; ++turn)
        BOOST_TEST(readText(fleet, std::to_string(turn)) == "in" + std::to_string(turn) + "out");
}

BOOST_AUTO_TEST_CASE(aDamagedRecordIsCopiedFromAnotherReplica)
{
    HistoryFleet fleet;
    fleet.write("1", "", "in", "out");
    fleet.run(1s);
    auto &files = fleet.disk("10.0.0.1");
    files.content(files.list()->back())[40] ^= 1;
    fleet.suspend("10.0.0.2");
    BOOST_TEST(readText(fleet, "1") == "inout");
    fleet.suspend("10.0.0.3");
    // The only reachable replica finds the damage and does not guess.
    BOOST_TEST((fleet.read("1").outcome == ClientOutcome::Unavailable));
    BOOST_TEST(!fleet.replica("10.0.0.1").isComplete());
    fleet.resume("10.0.0.2");
    fleet.resume("10.0.0.3");
    fleet.run(2s);
    BOOST_TEST(fleet.replica("10.0.0.1").isComplete());
    BOOST_TEST(fleet.replica("10.0.0.1").index().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheReplicaSetChanges)

BOOST_AUTO_TEST_CASE(aClientThatKnowsAnOldSetCannotWriteToAMemberThatIsBeingEmptied)
{
    HistoryFleet fleet;
    fleet.addMember("10.0.0.4", "10.0.0.4");
    fleet.start("10.0.0.4", "10.0.0.4", false);
    fleet.announce();
    fleet.cutOffClient(true);
    fleet.setWritable("10.0.0.1", false);
    BOOST_TEST((fleet.write("1", "", "in", "out") == ClientOutcome::Unavailable));
    fleet.cutOffClient(false);
    BOOST_TEST((fleet.write("1", "", "in", "out") == ClientOutcome::Stored));
    BOOST_TEST(fleet.replica("10.0.0.1").index().size() == 0U);
}

BOOST_AUTO_TEST_CASE(theOthersReportWhenTheyHaveCopiedAMemberThatIsBeingEmptied)
{
    HistoryFleet fleet;
    fleet.suspend("10.0.0.2");
    fleet.write("1", "", "in", "out");
    fleet.addMember("10.0.0.4", "10.0.0.4");
    fleet.start("10.0.0.4", "10.0.0.4", false);
    fleet.setWritable("10.0.0.1", false);
    fleet.resume("10.0.0.2");
    fleet.run(2s);
    for (const auto *instance : {"10.0.0.2", "10.0.0.3", "10.0.0.4"}) {
        const auto synced = fleet.replica(instance).syncedMembers();
        BOOST_TEST(
            (std::find(synced.begin(), synced.end(), ReplicaId("10.0.0.1")) != synced.end()));
        BOOST_TEST(fleet.replica(instance).isComplete());
    }
    fleet.removeMember("10.0.0.1");
    fleet.kill("10.0.0.1");
    fleet.suspend("10.0.0.3");
    BOOST_TEST(readText(fleet, "1") == "inout");
}

BOOST_AUTO_TEST_CASE(aReplicaThatLeftTheSetNoLongerProvesThatATurnIsAbsent)
{
    HistoryFleet fleet(4, 2);
    fleet.removeMember("10.0.0.4");
    fleet.write("1", "", "in", "out");
    BOOST_TEST(!fleet.replica("10.0.0.4").isComplete());
    fleet.kill("10.0.0.4");
    fleet.start("10.0.0.4", "10.0.0.4", true);
    BOOST_TEST(!fleet.replica("10.0.0.4").isComplete());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
