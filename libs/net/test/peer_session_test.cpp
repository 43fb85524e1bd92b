#include <boost/test/unit_test.hpp>

#include <heathergate/net/peer_session.h>

using namespace heathergate;
using heathergate::net::PeerIdentity;
using heathergate::net::PeerSession;

namespace {

auto identityOf(const std::string &name, std::vector<std::string> secrets = {"the fleet's secret"},
                const std::string &cluster = "kumasi") -> PeerIdentity
{
    return {cluster, InstanceId(name), std::move(secrets)};
}

auto nonceOf(char fill) -> std::string
{
    return std::string(16, fill);
}

/// Exchanges the output of both sides until the handshake ends. Returns the first error.
auto exchangeHandshake(PeerSession &left, PeerSession &right) -> std::string
{
    for (int i = 0; i < 4; ++i) {
        if (const auto taken = right.receive(left.takeOutput()); !taken)
            return taken.error().detail;
        if (const auto taken = left.receive(right.takeOutput()); !taken)
            return taken.error().detail;
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerSessionTest)

BOOST_AUTO_TEST_CASE(authenticatesMembersOfTheSameFleet)
{
    const auto a = identityOf("a");
    const auto b = identityOf("b");
    PeerSession left(a, InstanceId("b"), nonceOf('1'));
    PeerSession right(b, std::nullopt, nonceOf('2'));
    BOOST_TEST(exchangeHandshake(left, right) == "");
    BOOST_TEST(right.peer().value == "a");
    left.send("hello");
    left.send("again");
    const auto bodies = right.receive(left.takeOutput());
    BOOST_REQUIRE(bodies.has_value());
    BOOST_TEST(*bodies == (std::vector<std::string>{"hello", "again"}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(rejectsAPeerWithAnotherSecret)
{
    const auto member = identityOf("a");
    const auto stranger = identityOf("b", {"a guessed secret"});
    PeerSession left(member, std::nullopt, nonceOf('1'));
    PeerSession right(stranger, std::nullopt, nonceOf('2'));
    BOOST_TEST(exchangeHandshake(left, right) != "");
    BOOST_TEST(!left.isEstablished());
}

BOOST_AUTO_TEST_CASE(rejectsAnotherFleetAndAnUnexpectedInstance)
{
    const auto a = identityOf("a");
    const auto otherFleet = identityOf("b", {"the fleet's secret"}, "prairie");
    PeerSession one(a, std::nullopt, nonceOf('1'));
    PeerSession two(otherFleet, std::nullopt, nonceOf('2'));
    BOOST_TEST(exchangeHandshake(one, two) == "the peer belongs to another fleet");
    const auto c = identityOf("c");
    PeerSession dialled(a, InstanceId("b"), nonceOf('1'));
    PeerSession answered(c, std::nullopt, nonceOf('2'));
    BOOST_TEST(exchangeHandshake(dialled, answered) != "");
}

BOOST_AUTO_TEST_CASE(rejectsItsOwnReflectedHandshake)
{
    const auto a = identityOf("a");
    PeerSession session(a, std::nullopt, nonceOf('1'));
    BOOST_TEST(!session.receive(session.takeOutput()).has_value());
}

BOOST_AUTO_TEST_CASE(supportsRotationOfTheSecret)
{
    const auto beforeRotation = identityOf("a", {"the old secret"});
    const auto duringRotation = identityOf("b", {"the old secret", "the new secret"});
    const auto rotated = identityOf("c", {"the new secret", "the old secret"});
    PeerSession one(beforeRotation, std::nullopt, nonceOf('1'));
    PeerSession two(duringRotation, std::nullopt, nonceOf('2'));
    BOOST_TEST(exchangeHandshake(one, two) == "");
    PeerSession three(duringRotation, std::nullopt, nonceOf('3'));
    PeerSession four(rotated, std::nullopt, nonceOf('4'));
    BOOST_TEST(exchangeHandshake(three, four) == "");
    BOOST_TEST((three.isEstablished() && four.isEstablished()));
}

BOOST_AUTO_TEST_CASE(rejectsFramesThatAreChangedRepeatedOrOmitted)
{
    const auto a = identityOf("a");
    const auto b = identityOf("b");
    const auto established = [&](auto tamper) {
        PeerSession left(a, std::nullopt, nonceOf('1'));
        PeerSession right(b, std::nullopt, nonceOf('2'));
        BOOST_REQUIRE(exchangeHandshake(left, right).empty());
        left.send("first");
        const auto first = left.takeOutput();
        left.send("second");
        return right.receive(tamper(first, left.takeOutput())).has_value();
    };
    BOOST_TEST(established([](auto one, auto two) { return one + two; }));
    BOOST_TEST(!established([](auto one, auto) { return one + one; }));
    BOOST_TEST(!established([](auto, auto two) { return two; }));
    BOOST_TEST(!established([](auto one, auto two) {
        one.back() ^= 1;
        return one + two;
    }));
}

BOOST_AUTO_TEST_SUITE_END()
