#pragma once

#include <heathergate/core/core.h>
#include <heathergate/fleet/generated/fleet_generated.h>

#include <variant>

namespace heathergate::fleet {

/// Role of an instance in the fleet.
enum class Role : std::uint8_t { Gateway, Control, Storage };

/// Outcome of a request's attempt at an upstream, or of its wait for one.
enum class AttemptOutcome : std::uint8_t {
    /// The complete response was received.
    Answered,
    /// The upstream responded with a server error.
    Failed,
    /// The response was truncated or invalid.
    Broken,
    /// No connection could be established; the request was not sent.
    Unreachable,
    /// The upstream exceeded the idle timeout.
    TimedOut,
    /// The upstream reported that it did not run the request.
    Declined,
    /// The caller disconnected, the request was refused, or its deadline passed.
    Cancelled,
};

/// Lifecycle phase of an upstream.
enum class UpstreamPhase : std::uint8_t { Ready, Draining, Removed };

/// A message between instances.
using Message =
    std::variant<fb::PresenceT, fb::FeedT, fb::RedirectT, fb::AdmissionT, fb::GrantT, fb::RefusalT,
                 fb::CompletionT, fb::ConfigurationPieceT, fb::ConfigurationProgressT,
                 fb::UpstreamStatementT, fb::ConnectionsLostT>;

/// Serializes a table for storage or transmission.
template <typename Native>
[[nodiscard]] auto pack(const Native &native) -> std::string
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Native::TableType::Pack(builder, &native));
    const auto *bytes = reinterpret_cast<const char *>(builder.GetBufferPointer());
    return {bytes, builder.GetSize()};
}

/// Deserializes what `pack` returned. Fails with `Code::BadFrame`.
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

[[nodiscard]] auto encodeMessage(Message message) -> std::string;
/// Fails with `Code::BadFrame`.
[[nodiscard]] auto decodeMessage(std::string_view bytes) -> Result<Message>;

/// Converts a text to the byte vector that the generated tables use.
[[nodiscard]] inline auto toBytes(std::string_view text) -> std::vector<std::uint8_t>
{
    return {text.begin(), text.end()};
}

[[nodiscard]] inline auto toText(const std::vector<std::uint8_t> &bytes) -> std::string
{
    return {bytes.begin(), bytes.end()};
}

} // namespace heathergate::fleet
