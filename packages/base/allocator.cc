// Implements the settings with glibc's mallopt().

#include "base/allocator.h"

#include <malloc.h>

namespace trefoil {

void release_large_blocks() {
    constexpr int large_block_bytes = 1 << 20;
    mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    mallopt(M_TRIM_THRESHOLD, large_block_bytes);
}

}  // namespace trefoil
