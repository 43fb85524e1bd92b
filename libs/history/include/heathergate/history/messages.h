#pragma once

#include <heathergate/core/core.h>
#include <heathergate/history/generated/history_generated.h>
#include <heathergate/history/turn.h>

#include <variant>

namespace heathergate::history {

/// Result of a write at one replica.
enum class StoreOutcome : std::uint8_t {
    /// The turn is durable.
    Durable,
    /// The sender knows another replica set than the replica.
    OtherSet,
    /// The replica holds another turn under the same key.
    Conflict,
};

/// Result of a read at one replica.
enum class ReadOutcome : std::uint8_t {
    Found,
    /// The replica holds every turn that it should hold, and this one is not among them.
    Absent,
    /// The replica cannot tell: it has not copied all turns yet, or lacks a part of the chain.
    Unsure,
    /// The sender knows another replica set than the replica.
    OtherSet,
};

/// A message between a client and a replica, or between two replicas.
using Message = std::variant<fb::StoreTurnT, fb::TurnStoredT, fb::ReadChainT, fb::ChainReadT,
                             fb::ListTurnsT, fb::TurnListT, fb::FetchTurnsT, fb::FetchedTurnsT>;

/// A message to be sent to another instance.
struct Outgoing
{
    InstanceId to;
    Message message;
};

[[nodiscard]] auto encodeMessage(Message message) -> std::string;
/// Fails with `Code::BadFrame`.
[[nodiscard]] auto decodeMessage(std::string_view bytes) -> Result<Message>;

/// Serializes a turn for storage.
[[nodiscard]] auto encodeTurn(const fb::TurnT &turn) -> std::string;
/// Deserializes what `encodeTurn` returned. Fails with `Code::BadFrame`.
[[nodiscard]] auto decodeTurn(std::string_view bytes) -> Result<fb::TurnT>;

[[nodiscard]] auto toTable(const TurnKey &key) -> std::unique_ptr<fb::TurnKeyT>;
/// Returns the key of a table; an empty key if the table is missing.
[[nodiscard]] auto fromTable(const std::unique_ptr<fb::TurnKeyT> &table) -> TurnKey;

/// Returns a hash of the content that is the same for every copy of a turn.
[[nodiscard]] auto contentDigest(const fb::TurnT &turn) -> std::uint64_t;

} // namespace heathergate::history
