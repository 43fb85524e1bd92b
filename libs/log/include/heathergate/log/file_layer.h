#pragma once

#include <heathergate/core/result.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heathergate::log {

/// Access to the files of one data folder. Written data is durable only after `sync` of the file;
/// the creation, renaming and removal of files is durable only after `syncFolder`.
template <typename T>
concept FileLayer = requires(T &files, const std::string &name, std::string_view bytes,
                             std::uint64_t size)
{
    {
        files.list()
        } -> std::same_as<Result<std::vector<std::string>>>;
    {
        files.read(name)
        } -> std::same_as<Result<std::string>>;
    {
        files.append(name, bytes)
        } -> std::same_as<Result<void>>;
    {
        files.truncate(name, size)
        } -> std::same_as<Result<void>>;
    {
        files.sync(name)
        } -> std::same_as<Result<void>>;
    {
        files.remove(name)
        } -> std::same_as<Result<void>>;
    {
        files.rename(name, name)
        } -> std::same_as<Result<void>>;
    {
        files.syncFolder()
        } -> std::same_as<Result<void>>;
};

/// A file layer that can read a part of a file.
template <typename T>
concept RangeReadable = FileLayer<T> && requires(T &files, const std::string &name,
                                                 std::uint64_t offset, std::uint64_t size)
{
    {
        files.readRange(name, offset, size)
        } -> std::same_as<Result<std::string>>;
};

} // namespace heathergate::log
