#include "placement/block.h"

namespace fulmarworks {

namespace {

bool covers(accelerator_mask available, int first, int count) {
    const accelerator_mask wanted = mask_of(first, count);
    return (available & wanted) == wanted;
}

/** Returns the size of the largest free aligned block that encloses the one at `first`. */
int enclosing_free_size(accelerator_mask available, int width, int first, int size) {
    int enclosing = size;
    while (enclosing * 2 <= width) {
        const int start = first / (enclosing * 2) * (enclosing * 2);
        if (!covers(available, start, enclosing * 2)) {
            break;
        }
        enclosing *= 2;
    }
    return enclosing;
}

std::optional<int> first_unaligned_run(accelerator_mask available, int width, int count) {
    for (int first = 0; first + count <= width; ++first) {
        if (covers(available, first, count)) {
            return first;
        }
    }
    return std::nullopt;
}

} // namespace

int longest_run(accelerator_mask available) {
    int length = 0;
    while (available != 0) {
        available &= available << 1;
        ++length;
    }
    return length;
}

int count_runs(accelerator_mask available, int count) {
    int runs = 0;
    while (available != 0) {
        available >>= std::countr_zero(available);
        const int length = std::countr_one(available);
        runs += length / count;
        available = length >= 64 ? 0 : available >> length;
    }
    return runs;
}

std::optional<int> best_run(accelerator_mask available, int width, int count) {
    const int aligned_size = static_cast<int>(std::bit_ceil(static_cast<unsigned>(count)));
    std::optional<int> best;
    int best_enclosing = 0;
    for (int first = 0; first + aligned_size <= width; first += aligned_size) {
        if (!covers(available, first, count)) {
            continue;
        }
        const bool is_block_free = covers(available, first, aligned_size);
        const int enclosing =
            is_block_free ? enclosing_free_size(available, width, first, aligned_size) : count;
        if (!best || enclosing < best_enclosing) {
            best = first;
            best_enclosing = enclosing;
        }
    }
    return best ? best : first_unaligned_run(available, width, count);
}

} // namespace fulmarworks
