#pragma once

#include <heathergate/log/file_layer.h>
#include <heathergate/log/internal/record.h>

#include <optional>

namespace heathergate::log {

/// Stores `content` in a checksummed file, replacing an existing file atomically.
template <FileLayer Files>
[[nodiscard]] auto writeSnapshot(Files &files, const std::string &name, std::string_view content)
    -> Result<void>
{
    std::string stored;
    internal::appendRecord(stored, 0, content);
    const auto temporary = name + ".new";
    auto status = files.truncate(temporary, 0);
    if (status)
        status = files.append(temporary, stored);
    if (status)
        status = files.sync(temporary);
    if (status)
        status = files.rename(temporary, name);
    if (status)
        status = files.syncFolder();
    return status;
}

/// Reads a file stored by `writeSnapshot`. Returns nothing if the file does not exist. Fails with
/// `Code::DataDamaged` if the checksum does not match.
template <FileLayer Files>
[[nodiscard]] auto readSnapshot(Files &files, const std::string &name)
    -> Result<std::optional<std::string>>
{
    auto names = files.list();
    if (!names)
        return tl::unexpected(names.error());
    if (std::find(names->begin(), names->end(), name) == names->end())
        return std::optional<std::string>();
    auto stored = files.read(name);
    if (!stored)
        return tl::unexpected(stored.error());
    const auto record = internal::parseRecord(*stored);
    if (!record || record->storedBytes != stored->size())
        return fail(Code::DataDamaged, "snapshot " + name + " is damaged");
    return std::optional<std::string>(std::string(record->payload));
}

} // namespace heathergate::log
