#pragma once

#include <heathergate/log/file_layer.h>

#include <map>

namespace heathergate::log {

/// The file layer for a folder of the file system. It locks the folder against other processes.
class PosixFiles
{
public:
    /// Opens and locks `folder`, creating it if needed. Fails with `Code::DataLocked` if another
    /// process holds the lock, or with `Code::DiskFailed` or `Code::DiskFull`.
    [[nodiscard]] static auto open(const std::string &folder) -> Result<PosixFiles>;

    PosixFiles(PosixFiles &&other) noexcept;
    auto operator=(PosixFiles &&other) noexcept -> PosixFiles &;
    PosixFiles(const PosixFiles &) = delete;
    auto operator=(const PosixFiles &) -> PosixFiles & = delete;
    ~PosixFiles();

    /// Returns the names of all regular files except the lock file.
    [[nodiscard]] auto list() -> Result<std::vector<std::string>>;
    /// Returns the complete content of a file.
    [[nodiscard]] auto read(const std::string &name) -> Result<std::string>;
    /// Returns `size` bytes of a file from `offset` on; fewer if the file ends before.
    [[nodiscard]] auto readRange(const std::string &name, std::uint64_t offset, std::uint64_t size)
        -> Result<std::string>;
    /// Appends to a file, creating it if needed. After a failed write the file is truncated to its
    /// previous size. `Code::DiskFull` means that a retry may succeed.
    [[nodiscard]] auto append(const std::string &name, std::string_view bytes) -> Result<void>;
    /// Truncates a file to `size` bytes, creating it if needed.
    [[nodiscard]] auto truncate(const std::string &name, std::uint64_t size) -> Result<void>;
    /// Makes the content of a file durable.
    [[nodiscard]] auto sync(const std::string &name) -> Result<void>;
    [[nodiscard]] auto remove(const std::string &name) -> Result<void>;
    /// Renames a file, replacing the target if it exists.
    [[nodiscard]] auto rename(const std::string &from, const std::string &to) -> Result<void>;
    /// Makes the creation, renaming and removal of files durable.
    [[nodiscard]] auto syncFolder() -> Result<void>;

private:
    PosixFiles(std::string folder, int folderDescriptor, int lockDescriptor);

    [[nodiscard]] auto path(const std::string &name) const -> std::string;
    [[nodiscard]] auto descriptor(const std::string &name) -> Result<int>;
    auto closeCached(const std::string &name) -> void;
    auto closeAll() -> void;

    std::string m_folder;
    int m_folderDescriptor = -1;
    int m_lockDescriptor = -1;
    std::map<std::string, int> m_openFiles;
};

static_assert(RangeReadable<PosixFiles>);

} // namespace heathergate::log
