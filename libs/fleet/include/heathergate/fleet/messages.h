#pragma once

#include <heathergate/core/core.h>
#include <heathergate/fleet/generated/fleet_generated.h>

#include <variant>

namespace heathergate::fleet {

/// What an instance does in the fleet.
enum class Role : std::uint8_t { Gateway, Control, Storage };

/// How a request's stay at an upstream, or its wait for one, ended.
enum class AttemptOutcome : std::uint8_t {
    /// The upstream's whole answer came.
    Answered,
    /// The upstream answered with a failure of its own.
    Failed,
    /// The answer broke off or could not be read.
    Broken,
    /// No connection could be opened; the request was not sent.
    Unreachable,
    /// The upstream sent nothing for too long.
    TimedOut,
    /// The upstream said that it did not run the request.
    Declined,
    /// The caller went away, or the request's time was up.
    Cancelled,
};

/// Where an upstream is in its life.
enum class UpstreamPhase : std::uint8_t { Ready, Draining, Removed };

/// A message between instances.
using Message = std::variant<fb::PresenceT, fb::FeedT, fb::RedirectT, fb::AdmissionT, fb::GrantT,
                             fb::RefusalT, fb::CompletionT>;

/// Returns the stored or sent form of a table.
template <typename Native>
[[nodiscard]] auto pack(const Native &native) -> std::string
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Native::TableType::Pack(builder, &native));
    const auto *bytes = reinterpret_cast<const char *>(builder.GetBufferPointer());
    return {bytes, builder.GetSize()};
}

/// Reads what `pack` returned. Fails with `Code::BadFrame`.
template <typename Native>
[[nodiscard]] auto unpack(std::string_view bytes) -> Result<Native>
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<typename Native::TableType>(nullptr))
        return fail(Code::BadFrame, "the bytes are not the expected table");
    Native native;
    flatbuffers::GetRoot<typename Native::TableType>(data)->UnPackTo(&native);
    return native;
}

/// Returns the sent form of a message.
[[nodiscard]] auto encodeMessage(Message message) -> std::string;
/// Decodes a message. Fails with `Code::BadFrame`.
[[nodiscard]] auto decodeMessage(std::string_view bytes) -> Result<Message>;

/// Returns the bytes of a text, as the generated tables hold them.
[[nodiscard]] inline auto toBytes(std::string_view text) -> std::vector<std::uint8_t>
{
    return {text.begin(), text.end()};
}

[[nodiscard]] inline auto toText(const std::vector<std::uint8_t> &bytes) -> std::string
{
    return {bytes.begin(), bytes.end()};
}

} // namespace heathergate::fleet
