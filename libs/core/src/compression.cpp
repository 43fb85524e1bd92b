#include <heathergate/core/compression.h>

#include <algorithm>
#include <bit>
#include <memory>
#include <stdexcept>
#include <zstd.h>

namespace heathergate {

namespace {

constexpr int kLevel = 1;
/// Bounds of the window, as powers of two; a window covers the base and the data.
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 27;

struct ContextDeleter
{
    auto operator()(ZSTD_CCtx *context) const -> void
    {
        ZSTD_freeCCtx(context);
    }
    auto operator()(ZSTD_DCtx *context) const -> void
    {
        ZSTD_freeDCtx(context);
    }
};

auto windowLog(std::size_t bytes) -> int
{
    return std::clamp(static_cast<int>(std::bit_width(bytes)), kMinWindowLog, kMaxWindowLog);
}

/// Fails only if memory is exhausted or a parameter is out of range.
auto require(std::size_t status) -> std::size_t
{
    if (ZSTD_isError(status) != 0)
        throw std::runtime_error(ZSTD_getErrorName(status));
    return status;
}

} // namespace

auto compress(std::string_view data, std::string_view base) -> std::string
{
    const std::unique_ptr<ZSTD_CCtx, ContextDeleter> context(ZSTD_createCCtx());
    require(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel));
    require(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1));
    if (!base.empty()) {
        require(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                                       windowLog(base.size() + data.size())));
        require(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1));
        require(ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size()));
    }
    std::string bytes(ZSTD_compressBound(data.size()), '\0');
    bytes.resize(require(
        ZSTD_compress2(context.get(), bytes.data(), bytes.size(), data.data(), data.size())));
    bytes.shrink_to_fit();
    return bytes;
}

auto decompress(std::string_view bytes, std::size_t maxBytes, std::string_view base)
    -> Result<std::string>
{
    const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxBytes)
        return fail(Code::BadFrame, "compressed data of unknown or excessive size");
    const std::unique_ptr<ZSTD_DCtx, ContextDeleter> context(ZSTD_createDCtx());
    require(ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kMaxWindowLog));
    require(ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size()));
    std::string data(size, '\0');
    const auto status =
        ZSTD_decompressDCtx(context.get(), data.data(), data.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(status) != 0)
        return fail(Code::BadFrame, std::string("compressed data: ") + ZSTD_getErrorName(status));
    return data;
}

} // namespace heathergate
