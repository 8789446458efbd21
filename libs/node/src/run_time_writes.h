#pragma once

#include "platform/store_client.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace fulmarworks::node {

/** Minimum time between two writes of learned values. Bounds what a lost leader loses, and the load
 * on the store while many classes change with each finished run. */
inline constexpr time_ms learned_write_interval_ms = 10000;
/** Records of one write. A record takes 0.1 to 1.5 KB. */
inline constexpr std::size_t max_learned_records = 64;

/**
 * Schedule of one leader's writes of learned values. Handles a steady stream of changes to many
 * classes, over a store that may be slow or down: a write that has failed is repeated with its
 * sequence number at the next interval, and changes collect in their source meanwhile.
 */
struct run_time_writes {
    /** Sequence number of the batch. */
    std::uint64_t sequence = 0;
    /** Records of the last write until the store has confirmed them. */
    std::vector<platform::keyed_record> batch;
    time_ms next_at_ms = 0;
    /** Whether the answer to the last write is outstanding. */
    bool open = false;
    /** Whether the store has reported a writer of a later term; ends all writes. */
    bool fenced = false;
};

/** Returns at most the given number of changed records and marks them as unchanged. */
using take_changes = std::function<std::vector<platform::keyed_record>(std::size_t max)>;

/** Returns whether `w.batch` is to be sent now under `w.sequence`. Calls `take` only if the store
 * has confirmed the last write. */
[[nodiscard]] bool begin_write(run_time_writes& w, time_ms now_ms, const take_changes& take);

/** Applies the answer to the write that is open. */
void end_write(run_time_writes& w, const platform::append_outcome& outcome);

} // namespace fulmarworks::node
