#include "control_fleet.h"

using namespace heathergate;
using namespace heathergate::fleet;
using namespace heathergate::fleet::test;
using consensus::ReplicaId;

namespace {

/// Time after which a new or restarted instance is expected to take part in the group.
constexpr Duration kCatchUp = 4s;
/// Time within which the fleet serves again after the last loss.
constexpr Duration kRecovery = 12s;

const std::string kSpare = "10.0.0.7";
const std::string kSecondSpare = "10.0.0.8";

/// Which of the voters a test chooses.
enum class Choice { Leader, Follower };

auto choose(Fleet &fleet, Choice choice, const std::set<std::string> &except = {}) -> std::string
{
    const auto leader = fleet.waitForLeader();
    if (choice == Choice::Leader)
        return leader;
    for (const auto &voter : fleet.node(leader).replica().configuration().voters) {
        const auto name = instanceOf(voter).value;
        if (name != leader && !except.contains(name))
            return name;
    }
    return {};
}

/// Writes a configuration, which the leader must acknowledge within two seconds.
auto write(Fleet &fleet, std::uint64_t version) -> void
{
    const auto token = fleet.put(fleet.waitForLeader(), version, std::to_string(version));
    for (int i = 0; i < 400 && !fleet.answer(token); ++i)
        fleet.run(5ms);
    BOOST_TEST_REQUIRE(fleet.answer(token).has_value());
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Done));
}

/// Wipes the disk of an instance, which is down for a second, and expects that the fleet serves the
/// newest configuration again.
auto loseDisk(Fleet &fleet, const std::string &instance, std::uint64_t version) -> void
{
    fleet.kill(instance);
    fleet.run(1s);
    fleet.startSpare(instance);
    for (auto waited = Duration::zero(); waited < kCatchUp + kRecovery; waited += 500ms) {
        fleet.run(500ms);
        if (fleet.leader() != "")
            break;
    }
    const auto leader = fleet.leader();
    BOOST_TEST_REQUIRE(leader != "", "no leader after the loss of " << instance);
    BOOST_TEST(fleet.read(leader).document == std::to_string(version));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlReplacementTest)

BOOST_AUTO_TEST_SUITE(WhenAnInstanceStopsForGood)

// Guards against a group that tolerates no lost disk after a planned replacement (review case 2).
BOOST_AUTO_TEST_CASE(toleratesALostDiskAtAnyMomentAfterIt)
{
    for (const auto stopped : {Choice::Follower, Choice::Leader}) {
        for (const auto lost : {Choice::Leader, Choice::Follower}) {
            for (auto delay = Duration::zero(); delay <= 5s; delay += 500ms) {
                BOOST_TEST_CONTEXT("stopped " << static_cast<int>(stopped) << ", lost "
                                              << static_cast<int>(lost) << " after " << delay / 1ms
                                              << " ms")
                {
                    Fleet fleet;
                    write(fleet, 1);
                    fleet.startSpare(kSpare);
                    fleet.run(kCatchUp + 1s);
                    const auto old = choose(fleet, stopped);
                    fleet.stop(old);
                    write(fleet, 2);
                    fleet.run(delay);
                    loseDisk(fleet, choose(fleet, lost, {old}), 2);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(toleratesALostDiskWhileItStillRuns)
{
    for (const auto lost : {Choice::Leader, Choice::Follower}) {
        for (auto delay = Duration::zero(); delay <= 1s; delay += 200ms) {
            Fleet fleet;
            fleet.startSpare(kSpare);
            fleet.run(kCatchUp + 1s);
            write(fleet, 2);
            const auto old = choose(fleet, Choice::Follower);
            fleet.node(old).leave(fleet.now());
            fleet.run(delay);
            const auto next = choose(fleet, lost, {old});
            fleet.kill(next);
            fleet.run(1s);
            fleet.startSpare(next);
            fleet.stop(old);
            fleet.run(kCatchUp + kRecovery);
            BOOST_TEST_REQUIRE(fleet.leader() != "", "after " << delay / 1ms << " ms");
            BOOST_TEST(fleet.read(fleet.leader()).document == "2");
        }
    }
}

BOOST_AUTO_TEST_CASE(endsAtOnceIfNobodyCanReplaceIt)
{
    Fleet fleet;
    const auto follower = choose(fleet, Choice::Follower);
    fleet.run(2s);
    fleet.node(follower).leave(fleet.now());
    BOOST_TEST(fleet.node(follower).isReplaced());
    const auto leader = fleet.leader();
    fleet.node(leader).leave(fleet.now());
    BOOST_TEST(fleet.node(leader).isReplaced());
}

BOOST_AUTO_TEST_CASE(toleratesTheSameForTheNextOnes)
{
    Fleet fleet;
    fleet.startSpare(kSpare);
    fleet.run(kCatchUp + 1s);
    fleet.stop(choose(fleet, Choice::Follower));
    fleet.startSpare(kSecondSpare);
    fleet.run(kCatchUp);
    fleet.stop(choose(fleet, Choice::Leader));
    write(fleet, 3);
    loseDisk(fleet, choose(fleet, Choice::Leader), 3);
    fleet.run(kCatchUp);
    write(fleet, 4);
    loseDisk(fleet, choose(fleet, Choice::Follower), 4);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnInstanceIsLostForGood)

// Guards against a group that has not replaced a lost voter when its successor has caught up.
BOOST_AUTO_TEST_CASE(toleratesALostDiskOnceItsSuccessorHasCaughtUp)
{
    for (const auto dead : {Choice::Follower, Choice::Leader}) {
        for (const auto startsAfter : {Duration::zero(), Duration(500ms), Duration(3s)}) {
            for (const auto lost : {Choice::Leader, Choice::Follower}) {
                Fleet fleet;
                write(fleet, 1);
                fleet.run(2s);
                const auto gone = choose(fleet, dead);
                fleet.kill(gone);
                fleet.run(startsAfter);
                fleet.startSpare(kSpare);
                fleet.run(kCatchUp);
                write(fleet, 2);
                loseDisk(fleet, choose(fleet, lost, {gone}), 2);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(toleratesALostDiskOnceAWipedInstanceHasCaughtUp)
{
    for (const auto wiped : {Choice::Follower, Choice::Leader}) {
        for (const auto lost : {Choice::Leader, Choice::Follower}) {
            Fleet fleet;
            write(fleet, 1);
            fleet.run(2s);
            const auto first = choose(fleet, wiped);
            fleet.kill(first);
            fleet.run(700ms);
            fleet.startSpare(first);
            fleet.run(kCatchUp);
            write(fleet, 2);
            loseDisk(fleet, choose(fleet, lost, {first}), 2);
        }
    }
}

BOOST_AUTO_TEST_CASE(toleratesALostDiskAfterASilentVoterHasReturned)
{
    Fleet fleet;
    fleet.startSpare(kSpare);
    fleet.run(kCatchUp);
    const auto silent = choose(fleet, Choice::Follower);
    fleet.suspend(silent);
    fleet.run(3200ms);
    fleet.resume(silent);
    fleet.run(kCatchUp);
    write(fleet, 2);
    loseDisk(fleet, choose(fleet, Choice::Leader), 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTwoDisksMayBeLost)

BOOST_AUTO_TEST_CASE(toleratesTwoAfterTwoWereLostAndHaveCaughtUp)
{
    Fleet fleet(5);
    write(fleet, 1);
    fleet.run(2s);
    const auto first = choose(fleet, Choice::Follower);
    const auto second = choose(fleet, Choice::Leader);
    fleet.kill(first);
    fleet.kill(second);
    fleet.run(1s);
    fleet.startSpare(first);
    fleet.startSpare(second);
    fleet.run(6s);
    write(fleet, 2);
    const auto third = choose(fleet, Choice::Leader);
    fleet.kill(third);
    fleet.kill(choose(fleet, Choice::Leader));
    fleet.run(kRecovery);
    BOOST_TEST_REQUIRE(fleet.leader() != "");
    BOOST_TEST(fleet.read(fleet.leader()).document == "2");
}

BOOST_AUTO_TEST_CASE(toleratesTwoAfterPlannedReplacements)
{
    Fleet fleet(5);
    fleet.startSpare(kSpare);
    fleet.startSpare(kSecondSpare);
    fleet.run(6s);
    fleet.stop(choose(fleet, Choice::Follower));
    fleet.stop(choose(fleet, Choice::Leader));
    write(fleet, 2);
    fleet.kill(choose(fleet, Choice::Leader));
    fleet.kill(choose(fleet, Choice::Leader));
    fleet.run(kRecovery);
    BOOST_TEST_REQUIRE(fleet.leader() != "");
    BOOST_TEST(fleet.read(fleet.leader()).document == "2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
