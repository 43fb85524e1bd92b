#include <heathergate/wire/messages.h>

#include <heathergate/wire/generated/peer_generated.h>

namespace heathergate::wire {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

template <typename T>
using Offset = flatbuffers::Offset<T>;

/// Limits of the FlatBuffers verifier for the tables in one buffer and their nesting.
constexpr std::size_t kMaxTables = 1'000'000;
constexpr std::size_t kMaxDepth = 16;

auto bytesOf(std::string_view text) -> const std::uint8_t *
{
    return reinterpret_cast<const std::uint8_t *>(text.data());
}

auto putBytes(Builder &builder, std::string_view text)
{
    return builder.CreateVector(bytesOf(text), text.size());
}

auto getBytes(const flatbuffers::Vector<std::uint8_t> *bytes) -> std::string
{
    if (bytes == nullptr)
        return {};
    return {reinterpret_cast<const char *>(bytes->data()), bytes->size()};
}

auto getText(const flatbuffers::String *text) -> std::string
{
    return text == nullptr ? std::string() : text->str();
}

auto toMicroseconds(TimePoint time) -> std::int64_t
{
    return time.time_since_epoch().count();
}

auto fromMicroseconds(std::int64_t count) -> TimePoint
{
    return TimePoint{Duration(count)};
}

auto put(Builder &builder, const consensus::Entry &entry) -> Offset<fb::Entry>
{
    const auto payload = putBytes(builder, entry.payload);
    return fb::CreateEntry(builder, entry.index, entry.term, entry.time.count(),
                           static_cast<std::uint8_t>(entry.kind), payload);
}

auto put(Builder &builder, const std::vector<consensus::Entry> &entries)
{
    std::vector<Offset<fb::Entry>> offsets;
    offsets.reserve(entries.size());
    for (const auto &entry : entries)
        offsets.push_back(put(builder, entry));
    return builder.CreateVector(offsets);
}

auto get(const fb::Entry &entry) -> consensus::Entry
{
    return {entry.index(), entry.term(), GroupTime(entry.time()),
            static_cast<consensus::EntryKind>(entry.kind()), getBytes(entry.payload())};
}

template <typename Entries>
auto getEntries(const Entries *entries) -> std::vector<consensus::Entry>
{
    std::vector<consensus::Entry> out;
    if (entries == nullptr)
        return out;
    for (const auto *entry : *entries)
        out.push_back(get(*entry));
    return out;
}

auto put(Builder &builder, const std::vector<consensus::ReplicaId> &ids)
{
    std::vector<std::string> names;
    for (const auto &id : ids)
        names.push_back(id.value);
    return builder.CreateVectorOfStrings(names);
}

template <typename Names>
auto getIds(const Names *names) -> std::vector<consensus::ReplicaId>
{
    std::vector<consensus::ReplicaId> ids;
    if (names == nullptr)
        return ids;
    for (const auto *name : *names)
        ids.emplace_back(name->str());
    return ids;
}

auto put(Builder &builder, const consensus::SnapshotMeta &meta) -> Offset<fb::SnapshotMeta>
{
    const auto voters = put(builder, meta.configuration.voters);
    const auto learners = put(builder, meta.configuration.learners);
    return fb::CreateSnapshotMeta(builder, meta.index, meta.term, meta.time.count(), voters,
                                  learners);
}

auto get(const fb::SnapshotMeta &meta) -> consensus::SnapshotMeta
{
    return {meta.index(),
            meta.term(),
            GroupTime(meta.time()),
            {getIds(meta.voters()), getIds(meta.learners())}};
}

struct UnionPart
{
    fb::ConsensusBody type;
    Offset<void> offset;
};

auto put(Builder &b, const consensus::VoteRequest &m) -> UnionPart
{
    return {
        fb::ConsensusBody::VoteRequest,
        fb::CreateVoteRequest(b, m.term, m.lastIndex, m.lastTerm, m.preVote, m.transfer).Union()};
}

auto put(Builder &b, const consensus::VoteReply &m) -> UnionPart
{
    return {fb::ConsensusBody::VoteReply,
            fb::CreateVoteReply(b, m.term, m.granted, m.preVote).Union()};
}

auto put(Builder &b, const consensus::AppendRequest &m) -> UnionPart
{
    const auto entries = put(b, m.entries);
    return {fb::ConsensusBody::AppendRequest,
            fb::CreateAppendRequest(b, m.term, m.previousIndex, m.previousTerm, m.commit,
                                    m.groupTime.count(), toMicroseconds(m.round), entries)
                .Union()};
}

auto put(Builder &b, const consensus::AppendReply &m) -> UnionPart
{
    return {
        fb::ConsensusBody::AppendReply,
        fb::CreateAppendReply(b, m.term, m.success, m.matchIndex, toMicroseconds(m.round)).Union()};
}

auto put(Builder &b, const consensus::SnapshotPiece &m) -> UnionPart
{
    const auto meta = put(b, m.meta);
    const auto bytes = putBytes(b, m.bytes);
    return {fb::ConsensusBody::SnapshotPiece,
            fb::CreateSnapshotPiece(b, m.term, meta, m.size, m.digest, m.offset,
                                    toMicroseconds(m.round), bytes)
                .Union()};
}

auto put(Builder &b, const consensus::SnapshotReply &m) -> UnionPart
{
    return {fb::ConsensusBody::SnapshotReply,
            fb::CreateSnapshotReply(b, m.term, m.index, m.offset, toMicroseconds(m.round)).Union()};
}

auto put(Builder &b, const consensus::TransferRequest &m) -> UnionPart
{
    return {fb::ConsensusBody::TransferRequest, fb::CreateTransferRequest(b, m.term).Union()};
}

auto getConsensusBody(const fb::Consensus &frame) -> Result<consensus::Message>
{
    if (const auto *m = frame.body_as_VoteRequest())
        return consensus::VoteRequest{m->term(), m->last_index(), m->last_term(), m->pre_vote(),
                                      m->transfer()};
    if (const auto *m = frame.body_as_VoteReply())
        return consensus::VoteReply{m->term(), m->granted(), m->pre_vote()};
    if (const auto *m = frame.body_as_AppendRequest())
        return consensus::AppendRequest{m->term(),
                                        m->previous_index(),
                                        m->previous_term(),
                                        m->commit(),
                                        GroupTime(m->group_time()),
                                        fromMicroseconds(m->round()),
                                        getEntries(m->entries())};
    if (const auto *m = frame.body_as_AppendReply())
        return consensus::AppendReply{m->term(), m->success(), m->match_index(),
                                      fromMicroseconds(m->round())};
    const auto *piece = frame.body_as_SnapshotPiece();
    if (piece != nullptr && piece->meta() != nullptr)
        return consensus::SnapshotPiece{piece->term(),           get(*piece->meta()),
                                        piece->size(),           piece->digest(),
                                        piece->offset(),         fromMicroseconds(piece->round()),
                                        getBytes(piece->bytes())};
    if (const auto *m = frame.body_as_SnapshotReply())
        return consensus::SnapshotReply{m->term(), m->index(), m->offset(),
                                        fromMicroseconds(m->round())};
    if (const auto *m = frame.body_as_TransferRequest())
        return consensus::TransferRequest{m->term()};
    return fail(Code::BadFrame, "a consensus message has no body");
}

auto put(Builder &builder, const std::vector<UpstreamLoad> &loads)
{
    std::vector<Offset<fb::UpstreamLoad>> offsets;
    for (const auto &load : loads) {
        const auto id = builder.CreateString(load.id.value);
        offsets.push_back(fb::CreateUpstreamLoad(builder, id, load.incarnation, load.requests));
    }
    return builder.CreateVector(offsets);
}

template <typename Loads>
auto getLoads(const Loads *loads) -> std::vector<UpstreamLoad>
{
    std::vector<UpstreamLoad> out;
    if (loads == nullptr)
        return out;
    for (const auto *load : *loads)
        out.push_back({UpstreamId(getText(load->id())), load->incarnation(), load->requests()});
    return out;
}

auto putInstances(Builder &builder, const std::vector<InstanceLoad> &loads)
{
    std::vector<Offset<fb::InstanceLoad>> offsets;
    for (const auto &load : loads) {
        const auto id = builder.CreateString(load.id.value);
        offsets.push_back(fb::CreateInstanceLoad(builder, id, load.load));
    }
    return builder.CreateVector(offsets);
}

auto finish(Builder &builder, fb::PeerBody type, Offset<void> body) -> void
{
    builder.Finish(fb::CreatePeerFrame(builder, type, body));
}

auto putFrame(Builder &builder, const ConsensusMessage &message) -> void
{
    const auto part =
        std::visit([&](const auto &body) { return put(builder, body); }, message.envelope.message);
    const auto from = builder.CreateString(message.envelope.from.value);
    const auto to = builder.CreateString(message.envelope.to.value);
    finish(builder, fb::PeerBody::Consensus,
           fb::CreateConsensus(builder, message.group, from, to, part.type, part.offset).Union());
}

auto putFrame(Builder &builder, const Request &request) -> void
{
    const auto body = putBytes(builder, request.body);
    finish(builder, fb::PeerBody::Request,
           fb::CreateRequest(builder, request.id, request.group,
                             static_cast<std::uint8_t>(request.kind), body)
               .Union());
}

auto putFrame(Builder &builder, const Reply &reply) -> void
{
    Offset<fb::Error> error;
    if (reply.error) {
        const auto detail = builder.CreateString(reply.error->detail);
        error = fb::CreateError(builder, static_cast<int>(reply.error->code), detail,
                                static_cast<std::uint8_t>(reply.error->ran),
                                reply.error->retryAfter.count());
    }
    const auto leader = builder.CreateString(reply.leader.value);
    const auto body = putBytes(builder, reply.body);
    finish(builder, fb::PeerBody::Reply,
           fb::CreateReply(builder, reply.id, error, leader, body).Union());
}

auto putFrame(Builder &builder, const Follow &follow) -> void
{
    const auto upstreams = put(builder, follow.upstreams);
    finish(builder, fb::PeerBody::Follow,
           fb::CreateFollow(builder, follow.incarnation, follow.requestedAt, follow.revision,
                            follow.load, upstreams)
               .Union());
}

auto putFrame(Builder &builder, const FeedMessage &message) -> void
{
    const auto &feed = message.feed;
    Offset<flatbuffers::Vector<std::uint8_t>> state;
    if (feed.state)
        state = putBytes(builder, *feed.state);
    std::vector<Offset<fb::FeedEntry>> offsets;
    for (const auto &entry : feed.entries) {
        const auto command = putBytes(builder, entry.command);
        offsets.push_back(
            fb::CreateFeedEntry(builder, entry.revision, entry.time.count(), command));
    }
    const auto entries = builder.CreateVector(offsets);
    const auto upstreams = put(builder, message.upstreams);
    const auto instances = putInstances(builder, message.instances);
    finish(builder, fb::PeerBody::Feed,
           fb::CreateFeed(builder, feed.requestedAt, feed.leaderRevision, state, entries, upstreams,
                          instances)
               .Union());
}

auto getReply(const fb::Reply &frame) -> Reply
{
    Reply reply;
    reply.id = frame.id();
    if (const auto *error = frame.error())
        reply.error = Error{static_cast<Code>(error->code()), getText(error->detail()),
                            static_cast<Ran>(error->ran()), Duration(error->retry_after())};
    reply.leader = InstanceId(getText(frame.leader()));
    reply.body = getBytes(frame.body());
    return reply;
}

auto getFeed(const fb::Feed &frame) -> FeedMessage
{
    FeedMessage message;
    message.feed.requestedAt = frame.requested_at();
    message.feed.leaderRevision = frame.leader_revision();
    if (frame.state() != nullptr)
        message.feed.state = getBytes(frame.state());
    if (frame.entries() != nullptr) {
        for (const auto *entry : *frame.entries())
            message.feed.entries.push_back(
                {entry->revision(), GroupTime(entry->time()), getBytes(entry->command())});
    }
    message.totalLoad = frame.total_load();
    message.upstreams = getLoads(frame.upstreams());
    if (frame.instances() != nullptr) {
        for (const auto *load : *frame.instances())
            message.instances.push_back({InstanceId(getText(load->id())), load->load()});
    }
    return message;
}

auto getFrame(const fb::PeerFrame &frame) -> Result<PeerMessage>
{
    if (const auto *consensusFrame = frame.body_as_Consensus()) {
        auto body = getConsensusBody(*consensusFrame);
        if (!body)
            return tl::unexpected(body.error());
        return ConsensusMessage{consensusFrame->group(),
                                {consensus::ReplicaId(getText(consensusFrame->from())),
                                 consensus::ReplicaId(getText(consensusFrame->to())),
                                 std::move(*body)}};
    }
    if (const auto *request = frame.body_as_Request())
        return Request{request->id(), request->group(), static_cast<RequestKind>(request->kind()),
                       getBytes(request->body())};
    if (const auto *reply = frame.body_as_Reply())
        return getReply(*reply);
    if (const auto *follow = frame.body_as_Follow())
        return Follow{follow->incarnation(), follow->requested_at(), follow->revision(),
                      follow->load(), getLoads(follow->upstreams())};
    if (const auto *feed = frame.body_as_Feed())
        return getFeed(*feed);
    return fail(Code::BadFrame, "a frame has no body");
}

auto takeBuffer(const Builder &builder) -> std::string
{
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

/// A copy of a buffer at an aligned address, which FlatBuffers requires to verify and read in
/// place.
class AlignedCopy
{
public:
    explicit AlignedCopy(std::string_view bytes)
        : m_words(bytes.size() / sizeof(std::uint64_t) + 1)
        , m_size(bytes.size())
    {
        std::copy(bytes.begin(), bytes.end(), reinterpret_cast<char *>(m_words.data()));
    }

    [[nodiscard]] auto data() const -> const std::uint8_t *
    {
        return reinterpret_cast<const std::uint8_t *>(m_words.data());
    }

    [[nodiscard]] auto verifier() const -> flatbuffers::Verifier
    {
        return {data(), m_size, kMaxDepth, kMaxTables};
    }

private:
    std::vector<std::uint64_t> m_words;
    std::size_t m_size;
};

} // namespace

auto encodeMessage(const PeerMessage &message) -> std::string
{
    Builder builder;
    std::visit([&](const auto &body) { putFrame(builder, body); }, message);
    return takeBuffer(builder);
}

auto decodeMessage(std::string_view bytes) -> Result<PeerMessage>
{
    const AlignedCopy copy(bytes);
    auto verifier = copy.verifier();
    if (!fb::VerifyPeerFrameBuffer(verifier))
        return fail(Code::BadFrame, "a frame is malformed");
    return getFrame(*fb::GetPeerFrame(copy.data()));
}

auto encodeRecord(const StoredRecord &record) -> std::string
{
    Builder builder;
    const auto vote = builder.CreateString(record.hardState ? record.hardState->vote.value : "");
    const auto entries = put(builder, record.entries);
    builder.Finish(fb::CreateStoredRecord(builder, record.group, record.hardState.has_value(),
                                          record.hardState ? record.hardState->term : 0, vote,
                                          entries, record.installIndex));
    return takeBuffer(builder);
}

auto decodeRecord(std::string_view bytes) -> Result<StoredRecord>
{
    const AlignedCopy copy(bytes);
    auto verifier = copy.verifier();
    if (!verifier.VerifyBuffer<fb::StoredRecord>(nullptr))
        return fail(Code::DataDamaged, "a stored record is malformed");
    const auto &stored = *flatbuffers::GetRoot<fb::StoredRecord>(copy.data());
    StoredRecord record;
    record.group = stored.group();
    if (stored.has_hard_state())
        record.hardState =
            consensus::HardState{stored.term(), consensus::ReplicaId(getText(stored.vote()))};
    record.entries = getEntries(stored.entries());
    record.installIndex = stored.install_index();
    return record;
}

auto encodeSnapshot(const consensus::Snapshot &snapshot) -> std::string
{
    Builder builder;
    const auto meta = put(builder, snapshot.meta);
    const auto bytes = putBytes(builder, *snapshot.state);
    builder.Finish(
        fb::CreateSnapshotPiece(builder, 0, meta, snapshot.state->size(), 0, 0, 0, bytes));
    return takeBuffer(builder);
}

auto decodeSnapshot(std::string_view bytes) -> Result<consensus::Snapshot>
{
    const AlignedCopy copy(bytes);
    auto verifier = copy.verifier();
    if (!verifier.VerifyBuffer<fb::SnapshotPiece>(nullptr))
        return fail(Code::DataDamaged, "a stored snapshot is malformed");
    const auto &stored = *flatbuffers::GetRoot<fb::SnapshotPiece>(copy.data());
    if (stored.meta() == nullptr)
        return fail(Code::DataDamaged, "a stored snapshot has no position");
    return consensus::Snapshot{get(*stored.meta()),
                               std::make_shared<const std::string>(getBytes(stored.bytes()))};
}

} // namespace heathergate::wire
