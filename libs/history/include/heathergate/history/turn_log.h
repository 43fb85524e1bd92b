#pragma once

#include <heathergate/history/turn_index.h>
#include <heathergate/log/log.h>

#include <functional>
#include <set>

namespace heathergate::history {

/// Segment files of stored turns with group commit. In contrast to a write-ahead log, records are
/// read back one by one, and a damaged record does not affect the others, because other replicas
/// hold copies of it.
template <log::RangeReadable Files>
class TurnLog
{
public:
    /// Called with each stored record.
    using Visitor = std::function<void(const Location &, std::string_view payload)>;

    /// Opens the log and passes all intact records to `visit`, oldest first. Fails with the error
    /// of a file operation.
    [[nodiscard]] static auto open(Files &files, const Visitor &visit) -> Result<TurnLog>
    {
        TurnLog log(files);
        if (auto recovered = log.recover(visit); !recovered)
            return tl::unexpected(recovered.error());
        return log;
    }

    /// Returns whether records other than an unfinished last one were damaged.
    [[nodiscard]] auto wasDamaged() const -> bool
    {
        return m_wasDamaged;
    }

    /// Adds a record to the batch of the next `commit`. Returns its location.
    auto append(std::string_view payload) -> Location
    {
        const auto start = m_batch.size();
        log::internal::appendRecord(m_batch, m_segment, payload);
        return {m_segment, m_segmentBytes + start, m_batch.size() - start};
    }

    /// Writes and syncs the batch. `Code::DiskFull` means that nothing of it was written and a
    /// retry may succeed. Any other error is permanent.
    [[nodiscard]] auto commit() -> Result<void>
    {
        if (m_batch.empty())
            return {};
        const auto name = segmentName(m_segment);
        if (auto written = m_files->append(name, m_batch); !written)
            return written;
        m_segmentBytes += m_batch.size();
        m_batch.clear();
        if (auto synced = m_files->sync(name); !synced)
            return permanent(synced.error());
        if (m_segments.insert(m_segment).second) {
            if (auto synced = m_files->syncFolder(); !synced)
                return permanent(synced.error());
        }
        if (m_segmentBytes >= kSegmentBytes) {
            ++m_segment;
            m_segmentBytes = 0;
        }
        return {};
    }

    /// Returns the payload of a stored record. Fails with `Code::DataDamaged` if its checksum does
    /// not match, or with the error of the read.
    [[nodiscard]] auto read(const Location &at) -> Result<std::string>
    {
        auto bytes = m_files->readRange(segmentName(at.segment), at.offset, at.bytes);
        if (!bytes)
            return bytes;
        const auto record = log::internal::parseRecord(*bytes);
        if (!record || record->sequence != at.segment || record->storedBytes != at.bytes)
            return fail(Code::DataDamaged, "a turn in " + segmentName(at.segment) + " is damaged");
        return std::string(record->payload);
    }

    /// Removes a segment that is not written any more.
    [[nodiscard]] auto remove(std::uint64_t segment) -> Result<void>
    {
        if (segment == m_segment || m_segments.erase(segment) == 0)
            return {};
        return m_files->remove(segmentName(segment));
    }

    /// Returns the number of the segment that is written.
    [[nodiscard]] auto currentSegment() const -> std::uint64_t
    {
        return m_segment;
    }

private:
    static constexpr std::string_view kPrefix = "turns-";

    explicit TurnLog(Files &files)
        : m_files(&files)
    {
    }

    /// Pads the number with zeros, so that names sort by number.
    [[nodiscard]] static auto segmentName(std::uint64_t number) -> std::string
    {
        const auto digits = std::to_string(number);
        return std::string(kPrefix) + std::string(20 - digits.size(), '0') + digits;
    }

    /// A failed sync leaves the state of the written bytes unknown, so that a retry proves nothing.
    [[nodiscard]] static auto permanent(const Error &error) -> tl::unexpected<Error>
    {
        return fail(Code::DiskFailed, error.detail);
    }

    [[nodiscard]] auto recover(const Visitor &visit) -> Result<void>
    {
        auto names = m_files->list();
        if (!names)
            return tl::unexpected(names.error());
        for (const auto &name : *names) {
            if (name.starts_with(kPrefix))
                m_segments.insert(std::stoull(name.substr(kPrefix.size())));
        }
        for (const auto segment : m_segments) {
            if (auto status = readSegment(segment, visit); !status)
                return status;
        }
        // A killed process may have left records that were written and not synced.
        if (!m_segments.empty()) {
            if (auto synced = m_files->sync(segmentName(*m_segments.rbegin())); !synced)
                return permanent(synced.error());
        }
        // Recovered segments are not written again, so that a torn end needs no repair.
        m_segment = m_segments.empty() ? 1 : *m_segments.rbegin() + 1;
        return {};
    }

    [[nodiscard]] auto readSegment(std::uint64_t segment, const Visitor &visit) -> Result<void>
    {
        const auto content = m_files->read(segmentName(segment));
        if (!content)
            return tl::unexpected(content.error());
        std::string_view rest = *content;
        while (!rest.empty()) {
            const auto record = log::internal::parseRecord(rest);
            if (!record || record->sequence != segment) {
                const auto next = log::internal::findRecord(rest, segment);
                if (next == std::string_view::npos)
                    break;
                m_wasDamaged = true;
                rest.remove_prefix(next);
                continue;
            }
            visit({segment, content->size() - rest.size(), record->storedBytes}, record->payload);
            rest.remove_prefix(record->storedBytes);
        }
        return {};
    }

    Files *m_files;
    std::set<std::uint64_t> m_segments;
    std::uint64_t m_segment = 1;
    std::uint64_t m_segmentBytes = 0;
    std::string m_batch;
    bool m_wasDamaged = false;
};

} // namespace heathergate::history
