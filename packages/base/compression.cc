// Implements compression with libzstd.

#include "base/compression.h"

#include <zstd.h>

#include <new>

namespace trefoil {

std::string compress(std::string_view data) {
    std::string packed(ZSTD_compressBound(data.size()), '\0');
    std::size_t size =
        ZSTD_compress(packed.data(), packed.size(), data.data(), data.size(), ZSTD_CLEVEL_DEFAULT);
    // The buffer always suffices, so only an allocation inside the library can fail.
    if (ZSTD_isError(size) != 0) {
        throw std::bad_alloc();
    }
    packed.resize(size);
    return packed;
}

std::optional<std::string> decompress(std::string_view data, std::size_t max_bytes) {
    unsigned long long stated = ZSTD_getFrameContentSize(data.data(), data.size());
    if (stated == ZSTD_CONTENTSIZE_UNKNOWN || stated == ZSTD_CONTENTSIZE_ERROR ||
        stated > max_bytes) {
        return std::nullopt;
    }
    std::string content(static_cast<std::size_t>(stated), '\0');
    std::size_t size = ZSTD_decompress(content.data(), content.size(), data.data(), data.size());
    if (ZSTD_isError(size) != 0 || size != content.size()) {
        return std::nullopt;
    }
    return content;
}

}  // namespace trefoil
