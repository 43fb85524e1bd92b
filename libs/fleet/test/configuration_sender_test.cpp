#include <boost/test/unit_test.hpp>
#include <heathergate/fleet/configuration_sender.h>
#include <map>

using namespace heathergate;
using namespace heathergate::fleet;
using namespace std::chrono_literals;

namespace {

using Sender = ConfigurationSender;

/// A sender whose changes are texts of a chosen size that name their versions.
struct SenderFixture
{
    auto activate(std::uint64_t version) -> void
    {
        m_version = version;
        m_sender.activate(version);
    }

    auto bodyOf(std::uint64_t base) const -> std::string
    {
        const auto label = std::to_string(base) + ">" + std::to_string(m_version) + " ";
        return label + std::string(base == 0 ? m_completeBytes : m_changeBytes, 'x');
    }

    auto pieces() -> std::vector<Sender::Piece>
    {
        return m_sender.takePieces(m_now, [this](std::uint64_t base) { return bodyOf(base); });
    }

    auto confirm(const Sender::Piece &piece, std::uint64_t inForce, std::uint64_t received) -> void
    {
        fb::ConfigurationProgressT progress;
        progress.version = piece.message.version;
        progress.inForce = inForce;
        progress.received = received;
        m_sender.confirmed(piece.to, progress);
    }

    /// Confirms a piece as a gateway does that applies the change once it is complete.
    auto confirmAll(const Sender::Piece &piece) -> void
    {
        const auto received = piece.message.offset + piece.message.bytes.size();
        const auto isComplete = received == piece.message.size;
        confirm(piece, isComplete ? piece.message.version : piece.message.base, received);
    }

    TimePoint m_now{1h};
    std::uint64_t m_version = 0;
    std::size_t m_completeBytes = 100'000;
    std::size_t m_changeBytes = 500;
    Sender m_sender;
    InstanceId m_gateway{"10.1.0.1"};
};

auto gatewayNumber(std::size_t number) -> InstanceId
{
    return InstanceId("10.1.0." + std::to_string(number));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationSenderTest, SenderFixture)

BOOST_AUTO_TEST_SUITE(WhenAGatewayHasNoConfiguration)

BOOST_AUTO_TEST_CASE(sendsACompleteOneInPiecesEachAfterTheConfirmationOfTheLast)
{
    activate(3);
    m_sender.reported(m_gateway, 0);
    ConfigurationReceiver receiver;
    std::string received;
    for (int i = 0; i < 10 && received.empty(); ++i) {
        const auto next = pieces();
        BOOST_TEST_REQUIRE(next.size() == 1U);
        BOOST_TEST(next.front().message.bytes.size() <= Sender::kMaxPieceBytes);
        BOOST_TEST(pieces().empty());
        received = receiver.add(next.front().message).value();
        confirmAll(next.front());
    }
    BOOST_TEST((received == bodyOf(0)));
    BOOST_TEST(pieces().empty());
    BOOST_TEST(m_sender.bytesInFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(completesATransferThatANewerVersionOvertakesAndSendsTheRestAsAChange)
{
    activate(3);
    m_sender.reported(m_gateway, 0);
    auto next = pieces();
    activate(4);
    confirmAll(next.front());
    std::vector<std::uint64_t> versions;
    for (int i = 0; i < 10; ++i) {
        next = pieces();
        if (next.empty())
            break;
        versions.push_back(next.front().message.version);
        confirmAll(next.front());
    }
    BOOST_TEST_REQUIRE(versions.size() == 4U);
    BOOST_TEST(versions[2] == 3U);
    BOOST_TEST(versions[3] == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenVersionsFollowFasterThanAGatewayConfirms)

BOOST_AUTO_TEST_CASE(sendsOnlyTheNewestOneAndOneAtATime)
{
    activate(3);
    m_sender.reported(m_gateway, 3);
    activate(4);
    const auto first = pieces();
    BOOST_TEST_REQUIRE(first.size() == 1U);
    for (std::uint64_t version = 5; version <= 9; ++version) {
        activate(version);
        BOOST_TEST(pieces().empty());
    }
    confirmAll(first.front());
    const auto second = pieces();
    BOOST_TEST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second.front().message.base == 4U);
    BOOST_TEST(second.front().message.version == 9U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenManyGatewaysNeedMuch)

BOOST_AUTO_TEST_CASE(limitsTheBytesOnTheirWayToAllOfThem)
{
    activate(3);
    for (std::size_t i = 1; i <= 300; ++i)
        m_sender.reported(gatewayNumber(i), 0);
    std::set<InstanceId> done;
    for (int i = 0; i < 2000 && done.size() < 300; ++i) {
        const auto next = pieces();
        BOOST_TEST(m_sender.bytesInFlight() < Sender::kMaxBytesInFlight + Sender::kMaxPieceBytes);
        for (const auto &piece : next) {
            confirmAll(piece);
            if (piece.message.offset + piece.message.bytes.size() == piece.message.size)
                done.insert(piece.to);
        }
    }
    BOOST_TEST(done.size() == 300U);
}

BOOST_AUTO_TEST_CASE(limitsTheBytesOfAllChangesThatItHoldsIfEachIsSentAnotherOne)
{
    constexpr std::size_t kGateways = 60;
    m_completeBytes = 1024UL * 1024;
    std::map<InstanceId, std::uint64_t> inForce;
    std::size_t most = 0;
    for (std::size_t i = 1; i <= kGateways; ++i) {
        activate(i);
        inForce[gatewayNumber(i)] = 0;
        m_sender.reported(gatewayNumber(i), 0);
        const auto next = pieces();
        // One in four does not confirm its first piece.
        for (const auto &piece : next) {
            if (hash64(piece.to.value) % 4 != 0)
                confirm(piece, 0, piece.message.offset + piece.message.bytes.size());
        }
        most = std::max(most, m_sender.bytesHeld());
    }
    const auto end = m_now + 60s;
    while (m_now < end) {
        for (const auto &piece : pieces()) {
            const auto received = piece.message.offset + piece.message.bytes.size();
            if (received == piece.message.size)
                inForce[piece.to] = piece.message.version;
            confirm(piece, inForce[piece.to], received);
        }
        most = std::max(most, m_sender.bytesHeld());
        m_now += 10ms;
        if (m_now.time_since_epoch() % 1s == Duration::zero()) {
            for (const auto &[gateway, version] : inForce)
                m_sender.reported(gateway, version);
        }
    }
    BOOST_TEST(most <= Sender::kMaxBytesHeld + m_completeBytes + 100);
    for (const auto &[gateway, version] : inForce)
        BOOST_TEST(version == kGateways, gateway.value << " has version " << version);
}

BOOST_AUTO_TEST_CASE(doesNotLetSilentOnesHoldUpTheOthers)
{
    activate(3);
    for (std::size_t i = 1; i <= 300; ++i)
        m_sender.reported(gatewayNumber(i), 0);
    const auto isSilent = [](const InstanceId &id) { return id.value.ends_with("7"); };
    std::set<InstanceId> done;
    const auto start = m_now;
    while (m_now - start < 2s) {
        for (const auto &piece : pieces()) {
            if (isSilent(piece.to))
                continue;
            confirmAll(piece);
            if (piece.message.offset + piece.message.bytes.size() == piece.message.size)
                done.insert(piece.to);
        }
        m_now += 5ms;
    }
    BOOST_TEST(done.size() == 270U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAPieceIsLost)

BOOST_AUTO_TEST_CASE(sendsItAgainOnceTheGatewayHasReported)
{
    activate(3);
    m_sender.reported(m_gateway, 0);
    const auto lost = pieces();
    BOOST_TEST_REQUIRE(lost.size() == 1U);
    m_now = m_sender.nextDeadline();
    BOOST_TEST(pieces().empty());
    BOOST_TEST(m_sender.bytesInFlight() == 0U);
    m_sender.reported(m_gateway, 0);
    const auto again = pieces();
    BOOST_TEST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again.front().message.offset == lost.front().message.offset);
}

BOOST_AUTO_TEST_CASE(continuesWhereAGatewayStands)
{
    activate(3);
    m_sender.reported(m_gateway, 0);
    const auto first = pieces();
    confirm(first.front(), 0, 10);
    const auto next = pieces();
    BOOST_TEST_REQUIRE(next.size() == 1U);
    BOOST_TEST(next.front().message.offset == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAGatewayCannotApplyAChange)

BOOST_AUTO_TEST_CASE(sendsACompleteConfigurationAfterTheNextReport)
{
    activate(3);
    m_sender.reported(m_gateway, 3);
    activate(4);
    const auto change = pieces();
    BOOST_TEST_REQUIRE(change.size() == 1U);
    BOOST_TEST(change.front().message.base == 3U);
    confirm(change.front(), 3, change.front().message.size);
    BOOST_TEST(pieces().empty());
    m_sender.reported(m_gateway, 3);
    const auto complete = pieces();
    BOOST_TEST_REQUIRE(complete.size() == 1U);
    BOOST_TEST(complete.front().message.base == 0U);
}

BOOST_AUTO_TEST_CASE(startsAgainForAGatewayThatRestarted)
{
    activate(3);
    m_sender.reported(m_gateway, 3);
    m_sender.reported(m_gateway, 0);
    const auto next = pieces();
    BOOST_TEST_REQUIRE(next.size() == 1U);
    BOOST_TEST(next.front().message.base == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ConfigurationReceiverTest)

BOOST_AUTO_TEST_CASE(refusesBytesThatDoNotMatchTheirDigest)
{
    ConfigurationReceiver receiver;
    fb::ConfigurationPieceT piece;
    piece.version = 1;
    piece.size = 4;
    piece.digest = hash64("good");
    piece.bytes = toBytes("bad!");
    BOOST_TEST(!receiver.add(piece).has_value());
    piece.bytes = toBytes("good");
    BOOST_TEST(receiver.add(piece).value() == "good");
}

BOOST_AUTO_TEST_CASE(startsAgainWithAnotherChange)
{
    ConfigurationReceiver receiver;
    fb::ConfigurationPieceT piece;
    piece.version = 1;
    piece.size = 8;
    piece.digest = hash64("longtext");
    piece.bytes = toBytes("long");
    BOOST_TEST(receiver.add(piece).value().empty());
    BOOST_TEST(receiver.received() == 4U);
    piece.version = 2;
    piece.size = 5;
    piece.digest = hash64("short");
    piece.bytes = toBytes("short");
    BOOST_TEST(receiver.add(piece).value() == "short");
}

BOOST_AUTO_TEST_SUITE_END()
