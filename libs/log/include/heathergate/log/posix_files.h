#pragma once

#include <heathergate/log/file_layer.h>

#include <map>

namespace heathergate::log {

/// The file layer of a real data folder, which it locks against other processes.
class PosixFiles
{
public:
    /// Opens and locks `folder`, creating it if needed. Fails with `Code::DataLocked` if another
    /// process holds it, or with `Code::DiskFailed`.
    [[nodiscard]] static auto open(const std::string &folder) -> Result<PosixFiles>;

    PosixFiles(PosixFiles &&other) noexcept;
    auto operator=(PosixFiles &&other) noexcept -> PosixFiles &;
    PosixFiles(const PosixFiles &) = delete;
    auto operator=(const PosixFiles &) -> PosixFiles & = delete;
    ~PosixFiles();

    /// Returns the names of all regular files but the lock file.
    [[nodiscard]] auto list() -> Result<std::vector<std::string>>;
    /// Returns the whole content of a file.
    [[nodiscard]] auto read(const std::string &name) -> Result<std::string>;
    /// Appends to a file, creating it if needed. After a failure nothing of `bytes` is in the
    /// file; `Code::DiskFull` says that a later try may succeed.
    [[nodiscard]] auto append(const std::string &name, std::string_view bytes) -> Result<void>;
    /// Cuts a file to `size` bytes.
    [[nodiscard]] auto truncate(const std::string &name, std::uint64_t size) -> Result<void>;
    /// Makes a file's content last.
    [[nodiscard]] auto sync(const std::string &name) -> Result<void>;
    /// Removes a file.
    [[nodiscard]] auto remove(const std::string &name) -> Result<void>;
    /// Renames a file, replacing the target.
    [[nodiscard]] auto rename(const std::string &from, const std::string &to) -> Result<void>;
    /// Makes the folder's list of names last.
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

static_assert(FileLayer<PosixFiles>);

} // namespace heathergate::log
