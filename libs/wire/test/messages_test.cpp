#include <boost/test/unit_test.hpp>

#include <heathergate/wire/wire.h>

#include <rapidcheck/boost_test.h>

using namespace heathergate;
using namespace heathergate::wire;
using namespace std::chrono_literals;

namespace {

auto sampleMessages() -> std::vector<PeerMessage>
{
    using consensus::ReplicaId;
    const auto wrap = [](consensus::Message message) {
        return ConsensusMessage{3, {ReplicaId("a"), ReplicaId("b~1"), std::move(message)}};
    };
    consensus::AppendRequest append{5, 10, 4, 9, 7s, TimePoint(1h), {}};
    append.entries.push_back({11, 5, 8s, consensus::EntryKind::Command, std::string("\0x", 2)});
    consensus::SnapshotPiece piece;
    piece.meta = {9, 4, 3s, {{ReplicaId("a")}, {ReplicaId("c")}}};
    piece.bytes = "part";
    control::Feed feed{5, 6, "state", {{6, 1s, "command"}}};
    return {wrap(consensus::VoteRequest{1, 2, 3, true, false}),
            wrap(consensus::VoteReply{1, true, false}),
            wrap(append),
            wrap(consensus::AppendReply{5, true, 11, TimePoint(1h)}),
            wrap(piece),
            wrap(consensus::SnapshotReply{5, 9, 4, TimePoint(1h)}),
            wrap(consensus::TransferRequest{5}),
            Request{1, 2, RequestKind::Program, "body"},
            Reply{1, Error{Code::NotLeader, "why", Ran::Unknown, 5s}, InstanceId("a"), "body"},
            Follow{1, 2, 3, 4, {{UpstreamId("q"), 5, 6}}},
            FeedMessage{feed, {{UpstreamId("q"), 5, 6}}, {{InstanceId("x"), 7}}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(MessagesTest)

BOOST_AUTO_TEST_CASE(everyKindOfMessageIsUnchangedByARoundTrip)
{
    for (const auto &message : sampleMessages()) {
        const auto bytes = encodeMessage(message);
        const auto decoded = decodeMessage(bytes);
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST(decoded->index() == message.index());
        BOOST_TEST(encodeMessage(*decoded) == bytes);
    }
}

BOOST_AUTO_TEST_CASE(storedRecordsAndSnapshotsAreUnchangedByARoundTrip)
{
    StoredRecord record{2, consensus::HardState{7, consensus::ReplicaId("a")}, {}, 5};
    record.entries.push_back({1, 7, 1s, consensus::EntryKind::Empty, {}});
    const auto decoded = decodeRecord(encodeRecord(record));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->hardState == record.hardState));
    BOOST_TEST((decoded->entries == record.entries));
    BOOST_TEST(decoded->installIndex == 5U);
    const consensus::Snapshot snapshot{{4, 2, 1s, {{consensus::ReplicaId("a")}, {}}},
                                       std::make_shared<const std::string>("state")};
    const auto back = decodeSnapshot(encodeSnapshot(snapshot));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST(*back->state == "state");
    BOOST_TEST(back->meta.index == 4U);
}

RC_BOOST_PROP(randomBytesAreRefused, (const std::string &bytes))
{
    RC_ASSERT(!decodeMessage(bytes).has_value());
}

/// Random changes to the bytes of a frame must not cause reads outside its buffer. The frame is
/// either refused or decoded to some message.
RC_BOOST_PROP(mutatedFramesAreRefusedOrDecodedSafely, (std::uint64_t seed))
{
    Random random(seed);
    for (const auto &message : sampleMessages()) {
        auto bytes = encodeMessage(message);
        for (std::uint64_t i = 0; i <= random.below(4); ++i)
            bytes[random.below(bytes.size())] = static_cast<char>(random.next());
        bytes.resize(bytes.size() - random.below(3));
        if (const auto decoded = decodeMessage(bytes))
            static_cast<void>(encodeMessage(*decoded));
        static_cast<void>(decodeRecord(bytes));
        static_cast<void>(decodeSnapshot(bytes));
    }
}

BOOST_AUTO_TEST_SUITE_END()
