#pragma once

#include <heathergate/history/turn.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace heathergate::history {

/// Size from which on a segment file is not written any more.
constexpr std::uint64_t kSegmentBytes = 8ULL * 1024 * 1024;

/// Position of a stored turn on the disk.
struct Location
{
    /// Number of the segment file.
    std::uint64_t segment = 0;
    std::uint64_t offset = 0;
    /// Size of the record in bytes, including its header.
    std::uint64_t bytes = 0;

    auto operator==(const Location &) const -> bool = default;
};

/// A stored turn, without its content.
struct IndexEntry
{
    TurnId previous;
    Location location;
    std::uint64_t digest = 0;
    WallTime expiresAt{};
    /// Position in the order in which this replica stored its turns.
    std::uint64_t position = 0;
};

/// The turns that a replica holds, by key. A turn keeps the turns of its chain alive.
class TurnIndex
{
public:
    /// Adds a turn, or changes the location of one that is already known. Extends the retention of
    /// its chain.
    auto insert(const TurnKey &key, const TurnId &previous, const Location &location,
                std::uint64_t digest, WallTime expiresAt) -> void;
    [[nodiscard]] auto find(const TurnKey &key) const -> const IndexEntry *;
    /// Returns the locations of a turn's chain, oldest turn first; nothing if a turn is missing.
    [[nodiscard]] auto chain(const TurnKey &key) const -> std::optional<std::vector<Location>>;
    auto remove(const TurnKey &key) -> void;
    /// Removes the turns that have expired. Returns their number.
    auto removeExpired(WallTime now) -> std::size_t;

    /// Returns up to `limit` keys with their positions after `position`, in order.
    [[nodiscard]] auto after(std::uint64_t position, std::size_t limit) const
        -> std::vector<std::pair<std::uint64_t, TurnKey>>;
    /// Returns the position of the turn that was added last.
    [[nodiscard]] auto lastPosition() const -> std::uint64_t
    {
        return m_lastPosition;
    }
    [[nodiscard]] auto size() const -> std::size_t
    {
        return m_entries.size();
    }
    /// Returns the bytes of the stored turns in each segment that holds any.
    [[nodiscard]] auto segments() const -> const std::map<std::uint64_t, std::uint64_t> &
    {
        return m_segments;
    }
    /// Forgets a segment that holds no turn any more.
    auto forgetSegment(std::uint64_t segment) -> void
    {
        m_segments.erase(segment);
    }
    /// Returns the keys of the turns in a segment.
    [[nodiscard]] auto keysIn(std::uint64_t segment) const -> std::vector<TurnKey>;

private:
    auto extendChain(const TurnKey &key, WallTime expiresAt) -> void;
    auto release(const Location &location) -> void;

    std::unordered_map<TurnKey, IndexEntry> m_entries;
    std::map<std::uint64_t, TurnKey> m_byPosition;
    std::map<std::uint64_t, std::uint64_t> m_segments;
    std::uint64_t m_lastPosition = 0;
};

} // namespace heathergate::history
