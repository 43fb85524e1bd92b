#pragma once

#include <heathergate/log/file_layer.h>
#include <heathergate/log/internal/record.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

namespace heathergate::log {

/// A write-ahead log of numbered records in segment files, with group commit: any number of
/// appended records become durable in one sync.
///
/// `open` truncates a torn tail. It never skips a damaged record that is followed by a complete
/// one, but fails with `Code::DataDamaged`.
template <FileLayer Files>
class WriteAheadLog
{
public:
    using Visitor = std::function<Result<void>(std::uint64_t sequence, std::string_view payload)>;

    /// Opens the log in `files` and passes all stored records to `visit`, oldest first.
    [[nodiscard]] static auto open(Files &files, const Visitor &visit) -> Result<WriteAheadLog>
    {
        WriteAheadLog log(files);
        auto status = log.recover(visit);
        if (!status)
            return tl::unexpected(status.error());
        return log;
    }

    /// Adds a record to the batch that the next `commit` makes durable. Returns the sequence number
    /// of the record.
    auto append(std::string_view payload) -> std::uint64_t
    {
        internal::appendRecord(m_batch, m_nextSequence, payload);
        return m_nextSequence++;
    }

    /// Writes and syncs the batch. If the write fails with `Code::DiskFull`, the batch is retained
    /// and no part of it is stored, so that the call can be retried. All other errors, including
    /// any error of a sync, are permanent: every further call fails, because the state of the
    /// written records on the disk is unknown.
    [[nodiscard]] auto commit() -> Result<void>
    {
        if (m_failure)
            return tl::unexpected(*m_failure);
        if (m_batch.empty())
            return {};
        if (auto written = m_files->append(m_segment, m_batch); !written)
            return written;
        m_segmentBytes += m_batch.size();
        m_batch.clear();
        if (auto synced = m_files->sync(m_segment); !synced)
            return failPermanently(synced.error());
        if (m_folderSyncPending) {
            if (auto synced = m_files->syncFolder(); !synced)
                return failPermanently(synced.error());
            m_folderSyncPending = false;
        }
        return {};
    }

    /// Replaces all stored records with `payloads`. The replacement is atomic with respect to
    /// crashes, because the new segment is durable under its final name before the old segments are
    /// removed.
    [[nodiscard]] auto replaceAll(const std::vector<std::string> &payloads) -> Result<void>
    {
        if (auto pending = commit(); !pending)
            return pending;
        std::string content;
        const auto first = m_nextSequence;
        for (const auto &payload : payloads)
            internal::appendRecord(content, m_nextSequence++, payload);
        const std::string temporary = "log.new";
        const auto old = m_segments;
        const auto name = segmentName(first);
        auto status = writeNewFile(temporary, content);
        if (status)
            status = m_files->rename(temporary, name);
        if (status)
            status = m_files->syncFolder();
        if (!status)
            return status;
        m_segments.push_back(name);
        m_segment = name;
        m_segmentBytes = content.size();
        return removeSegments(old);
    }

    /// Returns the size of the current segment in bytes.
    [[nodiscard]] auto storedBytes() const -> std::uint64_t
    {
        return m_segmentBytes;
    }

private:
    explicit WriteAheadLog(Files &files)
        : m_files(&files)
    {
    }

    /// Pads the sequence number of the first record with zeros, so that names sort by number.
    [[nodiscard]] static auto segmentName(std::uint64_t first) -> std::string
    {
        auto digits = std::to_string(first);
        return "log-" + std::string(20 - digits.size(), '0') + digits;
    }

    [[nodiscard]] auto failPermanently(const Error &error) -> tl::unexpected<Error>
    {
        m_failure = Error{Code::DiskFailed, error.detail};
        return tl::unexpected(*m_failure);
    }

    [[nodiscard]] auto writeNewFile(const std::string &name, std::string_view content)
        -> Result<void>
    {
        auto status = m_files->truncate(name, 0);
        if (status)
            status = m_files->append(name, content);
        if (status)
            status = m_files->sync(name);
        return status;
    }

    [[nodiscard]] auto removeSegments(const std::vector<std::string> &old) -> Result<void>
    {
        for (const auto &name : old) {
            if (auto removed = m_files->remove(name); !removed)
                return removed;
            std::erase(m_segments, name);
        }
        return m_files->syncFolder();
    }

    [[nodiscard]] auto recover(const Visitor &visit) -> Result<void>
    {
        auto names = m_files->list();
        if (!names)
            return tl::unexpected(names.error());
        for (const auto &name : *names) {
            if (name.starts_with("log-"))
                m_segments.push_back(name);
        }
        std::sort(m_segments.begin(), m_segments.end());
        // Only the newest segment contains current records. Older segments exist if a crash ended a
        // compaction before it removed them; their records are superseded.
        if (m_segments.size() > 1) {
            const std::vector<std::string> old(m_segments.begin(), m_segments.end() - 1);
            if (auto removed = removeSegments(old); !removed)
                return removed;
        }
        if (m_segments.empty()) {
            m_segments.push_back(segmentName(m_nextSequence));
            m_folderSyncPending = true;
        }
        m_segment = m_segments.back();
        return m_folderSyncPending ? Result<void>{} : readSegment(visit);
    }

    [[nodiscard]] auto readSegment(const Visitor &visit) -> Result<void>
    {
        auto content = m_files->read(m_segment);
        if (!content)
            return tl::unexpected(content.error());
        m_nextSequence = std::stoull(m_segment.substr(4));
        std::string_view rest = *content;
        while (!rest.empty()) {
            const auto record = internal::parseRecord(rest);
            if (!record || record->sequence != m_nextSequence)
                break;
            if (auto visited = visit(record->sequence, record->payload); !visited)
                return visited;
            ++m_nextSequence;
            rest.remove_prefix(record->storedBytes);
        }
        m_segmentBytes = content->size() - rest.size();
        if (!rest.empty())
            return truncateTornTail(rest);
        // A killed process may have left records that were written and not synced.
        return m_files->sync(m_segment);
    }

    [[nodiscard]] auto truncateTornTail(std::string_view rest) -> Result<void>
    {
        if (internal::containsRecord(rest, m_nextSequence))
            return fail(Code::DataDamaged, m_segment + " is damaged at byte "
                                               + std::to_string(m_segmentBytes)
                                               + " and complete records follow");
        if (auto cut = m_files->truncate(m_segment, m_segmentBytes); !cut)
            return cut;
        return m_files->sync(m_segment);
    }

    Files *m_files;
    std::vector<std::string> m_segments;
    std::string m_segment;
    std::string m_batch;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_segmentBytes = 0;
    /// Whether the creation of the first segment is not durable yet.
    bool m_folderSyncPending = false;
    /// Error of a failed sync.
    std::optional<Error> m_failure;
};

} // namespace heathergate::log
