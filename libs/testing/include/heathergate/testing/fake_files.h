#pragma once

#include <heathergate/log/file_layer.h>

#include <map>
#include <optional>

namespace heathergate::testing {

/// An in-memory file layer that discards all unsynced data when `crash` is called.
class FakeFiles
{
public:
    [[nodiscard]] auto list() -> Result<std::vector<std::string>>
    {
        std::vector<std::string> names;
        for (const auto &[name, content] : m_files)
            names.push_back(name);
        return names;
    }

    [[nodiscard]] auto read(const std::string &name) -> Result<std::string>
    {
        const auto file = m_files.find(name);
        if (file == m_files.end())
            return fail(Code::DiskFailed, "no file " + name);
        return file->second.content;
    }

    [[nodiscard]] auto readRange(const std::string &name, std::uint64_t offset, std::uint64_t size)
        -> Result<std::string>
    {
        auto content = read(name);
        if (!content || offset > content->size())
            return content ? Result<std::string>(std::string()) : content;
        return content->substr(offset, size);
    }

    [[nodiscard]] auto append(const std::string &name, std::string_view bytes) -> Result<void>
    {
        if (m_freeBytes && bytes.size() > *m_freeBytes)
            return fail(Code::DiskFull, "the fake disk is full");
        if (m_freeBytes)
            *m_freeBytes -= bytes.size();
        m_files[name].content.append(bytes);
        return {};
    }

    [[nodiscard]] auto truncate(const std::string &name, std::uint64_t size) -> Result<void>
    {
        m_files[name].content.resize(size);
        return {};
    }

    [[nodiscard]] auto sync(const std::string &name) -> Result<void>
    {
        ++m_syncs;
        if (auto failure = std::exchange(m_syncFailure, std::nullopt))
            return fail(*failure, "the sync failed");
        m_files[name].synced = m_files[name].content;
        return {};
    }

    [[nodiscard]] auto remove(const std::string &name) -> Result<void>
    {
        m_files.erase(name);
        return {};
    }

    [[nodiscard]] auto rename(const std::string &from, const std::string &to) -> Result<void>
    {
        if (auto failure = std::exchange(m_renameFailure, std::nullopt))
            return fail(*failure, "the rename failed");
        m_files[to] = m_files[from];
        m_files.erase(from);
        return {};
    }

    [[nodiscard]] auto syncFolder() -> Result<void>
    {
        if (auto failure = std::exchange(m_folderSyncFailure, std::nullopt))
            return fail(*failure, "the sync of the folder failed");
        m_durable.clear();
        for (const auto &[name, file] : m_files)
            m_durable[name] = file.synced;
        return {};
    }

    /// Discards every unsynced byte and file name, except for the first `keptBytes` bytes of the
    /// unsynced tail of each file.
    auto crash(std::size_t keptBytes = 0) -> void
    {
        std::map<std::string, File> remaining;
        for (auto &[name, durable] : m_durable) {
            const auto now = m_files.find(name);
            auto content = now == m_files.end() ? durable : now->second.synced;
            if (now != m_files.end() && now->second.content.size() > content.size()
                && now->second.content.starts_with(content))
                content = now->second.content.substr(0, content.size() + keptBytes);
            remaining[name] = File{content, content};
        }
        m_files = std::move(remaining);
    }

    /// Limits the bytes that can still be appended; `std::nullopt` removes the limit.
    auto setFreeBytes(std::optional<std::size_t> bytes) -> void
    {
        m_freeBytes = bytes;
    }

    /// Lets the next sync of a file fail. What it covered is not durable.
    auto failNextSync(Code code) -> void
    {
        m_syncFailure = code;
    }

    /// Lets the next sync of the folder fail.
    auto failNextFolderSync(Code code) -> void
    {
        m_folderSyncFailure = code;
    }

    /// Lets the next renaming fail.
    auto failNextRename(Code code) -> void
    {
        m_renameFailure = code;
    }

    /// Returns the number of file syncs so far.
    [[nodiscard]] auto syncs() const -> int
    {
        return m_syncs;
    }

    /// Returns the content of a file for tests that corrupt it.
    [[nodiscard]] auto content(const std::string &name) -> std::string &
    {
        return m_files[name].content;
    }

private:
    struct File
    {
        std::string content;
        std::string synced;
    };

    std::map<std::string, File> m_files;
    std::map<std::string, std::string> m_durable;
    std::optional<std::size_t> m_freeBytes;
    std::optional<Code> m_syncFailure;
    std::optional<Code> m_folderSyncFailure;
    std::optional<Code> m_renameFailure;
    int m_syncs = 0;
};

static_assert(log::RangeReadable<FakeFiles>);

} // namespace heathergate::testing
