#include <heathergate/log/posix_files.h>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace heathergate::log {

namespace {

constexpr const char *kLockName = "lock";
constexpr mode_t kFileMode = 0600;

auto systemError(const std::string &what) -> tl::unexpected<Error>
{
    const auto number = errno;
    const auto code = number == ENOSPC || number == EDQUOT ? Code::DiskFull : Code::DiskFailed;
    return fail(code, what + ": " + std::strerror(number));
}

} // namespace

auto PosixFiles::open(const std::string &folder) -> Result<PosixFiles>
{
    std::error_code status;
    std::filesystem::create_directories(folder, status);
    if (status)
        return fail(Code::DiskFailed, "cannot create " + folder + ": " + status.message());
    const auto folderDescriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folderDescriptor < 0)
        return systemError("cannot open " + folder);
    const auto lockPath = folder + "/" + kLockName;
    const auto lockDescriptor = ::open(lockPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
    PosixFiles files(folder, folderDescriptor, lockDescriptor);
    if (lockDescriptor < 0)
        return systemError("cannot open " + lockPath);
    if (::flock(lockDescriptor, LOCK_EX | LOCK_NB) != 0)
        return fail(Code::DataLocked, "another process uses " + folder);
    return files;
}

PosixFiles::PosixFiles(std::string folder, int folderDescriptor, int lockDescriptor)
    : m_folder(std::move(folder))
    , m_folderDescriptor(folderDescriptor)
    , m_lockDescriptor(lockDescriptor)
{
}

PosixFiles::PosixFiles(PosixFiles &&other) noexcept
    : m_folder(std::move(other.m_folder))
    , m_folderDescriptor(std::exchange(other.m_folderDescriptor, -1))
    , m_lockDescriptor(std::exchange(other.m_lockDescriptor, -1))
    , m_openFiles(std::move(other.m_openFiles))
{
    other.m_openFiles.clear();
}

auto PosixFiles::operator=(PosixFiles &&other) noexcept -> PosixFiles &
{
    if (this == &other)
        return *this;
    closeAll();
    m_folder = std::move(other.m_folder);
    m_folderDescriptor = std::exchange(other.m_folderDescriptor, -1);
    m_lockDescriptor = std::exchange(other.m_lockDescriptor, -1);
    m_openFiles = std::exchange(other.m_openFiles, {});
    return *this;
}

PosixFiles::~PosixFiles()
{
    closeAll();
}

auto PosixFiles::list() -> Result<std::vector<std::string>>
{
    std::error_code status;
    std::vector<std::string> names;
    for (const auto &entry : std::filesystem::directory_iterator(m_folder, status)) {
        const auto name = entry.path().filename().string();
        if (entry.is_regular_file(status) && name != kLockName)
            names.push_back(name);
    }
    if (status)
        return fail(Code::DiskFailed, "cannot list " + m_folder + ": " + status.message());
    return names;
}

auto PosixFiles::read(const std::string &name) -> Result<std::string>
{
    std::ifstream stream(path(name), std::ios::binary);
    if (!stream)
        return fail(Code::DiskFailed, "cannot read " + path(name));
    std::ostringstream content;
    content << stream.rdbuf();
    if (stream.bad())
        return fail(Code::DiskFailed, "cannot read " + path(name));
    return std::move(content).str();
}

auto PosixFiles::readRange(const std::string &name, std::uint64_t offset, std::uint64_t size)
    -> Result<std::string>
{
    const auto file = descriptor(name);
    if (!file)
        return tl::unexpected(file.error());
    std::string content(size, '\0');
    std::size_t done = 0;
    while (done < content.size()) {
        const auto count = ::pread(*file, content.data() + done, content.size() - done,
                                   static_cast<off_t>(offset + done));
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return systemError("cannot read " + path(name));
        if (count == 0)
            break;
        done += static_cast<std::size_t>(count);
    }
    content.resize(done);
    return content;
}

auto PosixFiles::append(const std::string &name, std::string_view bytes) -> Result<void>
{
    const auto file = descriptor(name);
    if (!file)
        return tl::unexpected(file.error());
    const auto before = ::lseek(*file, 0, SEEK_END);
    while (!bytes.empty()) {
        const auto written = ::write(*file, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0) {
            auto error = systemError("cannot write " + path(name));
            if (::ftruncate(*file, before) != 0)
                return systemError("cannot truncate after a partial write of " + path(name));
            return error;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}

auto PosixFiles::truncate(const std::string &name, std::uint64_t size) -> Result<void>
{
    const auto file = descriptor(name);
    if (!file)
        return tl::unexpected(file.error());
    if (::ftruncate(*file, static_cast<off_t>(size)) != 0)
        return systemError("cannot truncate " + path(name));
    return {};
}

auto PosixFiles::sync(const std::string &name) -> Result<void>
{
    const auto file = descriptor(name);
    if (!file)
        return tl::unexpected(file.error());
    if (::fdatasync(*file) != 0)
        return systemError("cannot sync " + path(name));
    return {};
}

auto PosixFiles::remove(const std::string &name) -> Result<void>
{
    closeCached(name);
    if (::unlink(path(name).c_str()) != 0)
        return systemError("cannot remove " + path(name));
    return {};
}

auto PosixFiles::rename(const std::string &from, const std::string &to) -> Result<void>
{
    closeCached(from);
    closeCached(to);
    if (::rename(path(from).c_str(), path(to).c_str()) != 0)
        return systemError("cannot rename " + path(from));
    return {};
}

auto PosixFiles::syncFolder() -> Result<void>
{
    if (::fsync(m_folderDescriptor) != 0)
        return systemError("cannot sync " + m_folder);
    return {};
}

auto PosixFiles::path(const std::string &name) const -> std::string
{
    return m_folder + "/" + name;
}

auto PosixFiles::descriptor(const std::string &name) -> Result<int>
{
    const auto cached = m_openFiles.find(name);
    if (cached != m_openFiles.end())
        return cached->second;
    const auto file =
        ::open(path(name).c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
    if (file < 0)
        return systemError("cannot open " + path(name));
    m_openFiles.emplace(name, file);
    return file;
}

auto PosixFiles::closeCached(const std::string &name) -> void
{
    const auto cached = m_openFiles.find(name);
    if (cached == m_openFiles.end())
        return;
    ::close(cached->second);
    m_openFiles.erase(cached);
}

auto PosixFiles::closeAll() -> void
{
    for (const auto &[name, file] : m_openFiles)
        ::close(file);
    m_openFiles.clear();
    if (m_lockDescriptor >= 0)
        ::close(m_lockDescriptor);
    if (m_folderDescriptor >= 0)
        ::close(m_folderDescriptor);
}

} // namespace heathergate::log
