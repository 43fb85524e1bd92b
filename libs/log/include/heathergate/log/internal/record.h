#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The stored format of a log record: a fixed-size header (magic number, payload length, sequence
/// number, checksum; little-endian) followed by the payload.
namespace heathergate::log::internal {

constexpr std::size_t kRecordHeaderBytes = 24;
/// Maximum payload size. A header with a greater length is treated as damaged.
constexpr std::uint32_t kMaxRecordBytes = 256U * 1024 * 1024;

/// A record decoded from a segment; `payload` refers to the segment's bytes.
struct RecordView
{
    std::uint64_t sequence = 0;
    std::string_view payload;
    /// Size of the header and payload.
    std::size_t storedBytes = 0;
};

/// Appends a record in the stored format to `out`.
auto appendRecord(std::string &out, std::uint64_t sequence, std::string_view payload) -> void;

/// Decodes the record at the start of `bytes`; nothing if it is incomplete or damaged.
[[nodiscard]] auto parseRecord(std::string_view bytes) -> std::optional<RecordView>;

/// Returns the offset of the first complete record with this sequence number; `npos` if there is
/// none.
[[nodiscard]] auto findRecord(std::string_view bytes, std::uint64_t sequence) -> std::size_t;

/// Returns whether a complete record with a sequence number of at least `minimumSequence` starts
/// anywhere in `bytes`.
[[nodiscard]] auto containsRecord(std::string_view bytes, std::uint64_t minimumSequence) -> bool;

} // namespace heathergate::log::internal
