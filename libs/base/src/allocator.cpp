#include "base/allocator.h"

#include <malloc.h>

namespace fulmarworks {

void return_large_blocks() {
    constexpr int large_block_bytes = 256 * 1024;
    mallopt(M_MMAP_THRESHOLD, large_block_bytes);
}

} // namespace fulmarworks
