#pragma once

#include <heathergate/core/core.h>

#include <chrono>
#include <string>

/// Storage of the turns of programs on several disks: replicas that store turns, and clients that
/// write them and read chains of them.
namespace heathergate::history {

using TurnId = TextId<struct TurnTag>;

/// Time since the Unix epoch. Retention is measured with it, because it has to outlast restarts.
using WallTime = std::chrono::sys_time<std::chrono::microseconds>;

/// Identifies a turn. Turns of different customers never share a key.
struct TurnKey
{
    CustomerId customer;
    TurnId turn;

    auto operator<=>(const TurnKey &) const = default;
};

/// A turn that ended: what the caller sent and what it received.
struct Turn
{
    TurnKey key;
    /// The turn that this one continues; empty for the first turn of a chain.
    TurnId previous;
    std::string input;
    std::string output;
    /// Time for which the turn and its chain are retained.
    Duration retention{};
};

} // namespace heathergate::history

template <>
struct std::hash<heathergate::history::TurnKey>
{
    auto operator()(const heathergate::history::TurnKey &key) const noexcept -> std::size_t
    {
        return static_cast<std::size_t>(
            heathergate::hash64(key.turn.value, heathergate::hash64(key.customer.value)));
    }
};
