#include <heathergate/history/messages.h>

namespace heathergate::history {

namespace {

template <typename Native>
auto pack(const Native &native) -> std::string
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Native::TableType::Pack(builder, &native));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

template <typename Native>
auto unpack(std::string_view bytes) -> Result<Native>
{
    // The copy has the alignment that the decoder requires.
    const std::vector<std::uint8_t> aligned(bytes.begin(), bytes.end());
    flatbuffers::Verifier verifier(aligned.data(), aligned.size());
    if (!verifier.VerifyBuffer<typename Native::TableType>(nullptr))
        return fail(Code::BadFrame, "the bytes are not the expected table");
    Native native;
    flatbuffers::GetRoot<typename Native::TableType>(aligned.data())->UnPackTo(&native);
    return native;
}

auto view(const std::vector<std::uint8_t> &bytes) -> std::string_view
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

} // namespace

auto encodeMessage(Message message) -> std::string
{
    fb::MessageT table;
    std::visit([&table](auto &body) { table.body.Set(std::move(body)); }, message);
    return pack(table);
}

auto decodeMessage(std::string_view bytes) -> Result<Message>
{
    auto table = unpack<fb::MessageT>(bytes);
    if (!table)
        return tl::unexpected(table.error());
    auto &body = table->body;
    if (auto *message = body.AsStoreTurn())
        return Message(std::move(*message));
    if (auto *message = body.AsTurnStored())
        return Message(std::move(*message));
    if (auto *message = body.AsReadChain())
        return Message(std::move(*message));
    if (auto *message = body.AsChainRead())
        return Message(std::move(*message));
    if (auto *message = body.AsListTurns())
        return Message(*message);
    if (auto *message = body.AsTurnList())
        return Message(std::move(*message));
    if (auto *message = body.AsFetchTurns())
        return Message(std::move(*message));
    if (auto *message = body.AsFetchedTurns())
        return Message(std::move(*message));
    return fail(Code::BadFrame, "a message without body");
}

auto encodeTurn(const fb::TurnT &turn) -> std::string
{
    return pack(turn);
}

auto decodeTurn(std::string_view bytes) -> Result<fb::TurnT>
{
    return unpack<fb::TurnT>(bytes);
}

auto toTable(const TurnKey &key) -> std::unique_ptr<fb::TurnKeyT>
{
    auto table = std::make_unique<fb::TurnKeyT>();
    table->customer = key.customer.value;
    table->turn = key.turn.value;
    return table;
}

auto fromTable(const std::unique_ptr<fb::TurnKeyT> &table) -> TurnKey
{
    return table ? TurnKey{CustomerId(table->customer), TurnId(table->turn)} : TurnKey{};
}

auto contentDigest(const fb::TurnT &turn) -> std::uint64_t
{
    return hash64(view(turn.output), hash64(view(turn.input), hash64(turn.previous)));
}

} // namespace heathergate::history
