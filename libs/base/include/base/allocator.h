#pragma once

namespace fulmarworks {

/**
 * Makes the C library return each large block to the system as soon as it is freed. By default, the
 * first large block that is freed raises the size from which it does so, and later ones leave gaps
 * in the heap: a process that builds large answers one after the other then holds several of them.
 * Call it before the first large allocation. Thread safe.
 */
void return_large_blocks();

} // namespace fulmarworks
