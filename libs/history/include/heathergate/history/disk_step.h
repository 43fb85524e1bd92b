#pragma once

#include <heathergate/history/turn_index.h>

#include <variant>

namespace heathergate::history {

/// Stores a turn. The disk reports its location with the same number.
struct AppendTurn
{
    std::uint64_t number = 0;
    /// The serialized turn.
    std::string content;
};

/// Copies a stored turn to the current segment. The disk reports its new location with the same
/// number.
struct MoveTurn
{
    std::uint64_t number = 0;
    Location from;
};

/// Reads stored turns.
struct ReadTurns
{
    std::uint64_t number = 0;
    std::vector<Location> locations;
};

/// Removes a segment whose turns have expired or were moved.
struct RemoveSegment
{
    std::uint64_t segment = 0;
};

/// Records whether the replica holds every turn that it should hold.
struct StoreCompleteness
{
    bool isComplete = false;
};

/// A step that the disk carries out, in the order of submission.
using DiskStep = std::variant<AppendTurn, MoveTurn, ReadTurns, RemoveSegment, StoreCompleteness>;

/// A turn became durable.
struct TurnDurable
{
    std::uint64_t number = 0;
    Location location;
};

/// The turn of a `MoveTurn` could not be read.
struct MoveFailed
{
    std::uint64_t number = 0;
};

/// Result of `ReadTurns`: the serialized turns in the order of their locations, or an error.
struct TurnsRead
{
    std::uint64_t number = 0;
    Result<std::vector<std::string>> turns;
};

using DiskEvent = std::variant<TurnDurable, MoveFailed, TurnsRead>;

} // namespace heathergate::history
