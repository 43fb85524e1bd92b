#include <heathergate/core/hash.h>
#include <heathergate/log/internal/record.h>

#include <cstring>

namespace heathergate::log::internal {

namespace {

constexpr std::uint32_t kMagic = 0x31524748; // "HGR1"

template <typename T>
auto putNumber(std::string &out, T value) -> void
{
    for (std::size_t shift = 0; shift < sizeof(T) * 8; shift += 8)
        out.push_back(static_cast<char>((value >> shift) & 0xff));
}

template <typename T>
auto getNumber(std::string_view bytes, std::size_t offset) -> T
{
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value |= static_cast<T>(static_cast<unsigned char>(bytes[offset + i])) << (i * 8);
    return value;
}

auto checksum(std::uint64_t sequence, std::string_view payload) -> std::uint64_t
{
    return hash64(payload, sequence * 0x9e3779b97f4a7c15ULL + payload.size());
}

} // namespace

auto appendRecord(std::string &out, std::uint64_t sequence, std::string_view payload) -> void
{
    putNumber<std::uint32_t>(out, kMagic);
    putNumber<std::uint32_t>(out, static_cast<std::uint32_t>(payload.size()));
    putNumber<std::uint64_t>(out, sequence);
    putNumber<std::uint64_t>(out, checksum(sequence, payload));
    out.append(payload);
}

auto parseRecord(std::string_view bytes) -> std::optional<RecordView>
{
    if (bytes.size() < kRecordHeaderBytes || getNumber<std::uint32_t>(bytes, 0) != kMagic)
        return std::nullopt;
    const auto length = getNumber<std::uint32_t>(bytes, 4);
    if (length > kMaxRecordBytes || bytes.size() - kRecordHeaderBytes < length)
        return std::nullopt;
    const auto sequence = getNumber<std::uint64_t>(bytes, 8);
    const auto payload = bytes.substr(kRecordHeaderBytes, length);
    if (getNumber<std::uint64_t>(bytes, 16) != checksum(sequence, payload))
        return std::nullopt;
    return RecordView{sequence, payload, kRecordHeaderBytes + length};
}

auto findRecord(std::string_view bytes, std::uint64_t sequence) -> std::size_t
{
    for (std::size_t offset = 0; offset + kRecordHeaderBytes <= bytes.size(); ++offset) {
        if (getNumber<std::uint32_t>(bytes, offset) != kMagic)
            continue;
        const auto record = parseRecord(bytes.substr(offset));
        if (record && record->sequence == sequence)
            return offset;
    }
    return std::string_view::npos;
}

auto containsRecord(std::string_view bytes, std::uint64_t minimumSequence) -> bool
{
    for (std::size_t offset = 0; offset + kRecordHeaderBytes <= bytes.size(); ++offset) {
        if (getNumber<std::uint32_t>(bytes, offset) != kMagic)
            continue;
        const auto record = parseRecord(bytes.substr(offset));
        if (record && record->sequence >= minimumSequence)
            return true;
    }
    return false;
}

} // namespace heathergate::log::internal
