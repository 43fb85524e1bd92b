#include <heathergate/fleet/messages.h>

namespace heathergate::fleet {

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
    if (auto *presence = body.AsPresence())
        return Message(std::move(*presence));
    if (auto *feed = body.AsFeed())
        return Message(std::move(*feed));
    if (auto *redirect = body.AsRedirect())
        return Message(std::move(*redirect));
    if (auto *admission = body.AsAdmission())
        return Message(std::move(*admission));
    if (auto *grant = body.AsGrant())
        return Message(std::move(*grant));
    if (auto *refusal = body.AsRefusal())
        return Message(*refusal);
    if (auto *completion = body.AsCompletion())
        return Message(std::move(*completion));
    if (auto *piece = body.AsConfigurationPiece())
        return Message(std::move(*piece));
    if (auto *progress = body.AsConfigurationProgress())
        return Message(*progress);
    if (auto *statement = body.AsUpstreamStatement())
        return Message(std::move(*statement));
    if (auto *lost = body.AsConnectionsLost())
        return Message(std::move(*lost));
    return fail(Code::BadFrame, "a message without body");
}

} // namespace heathergate::fleet
