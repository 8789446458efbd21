#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace fulmarworks {

enum class connection_phase {
    idle,       // nothing of a request has arrived
    receiving,  // part of a request has arrived
    processing, // the request has no response yet
    sending,    // the client hasn't taken the whole response
    closing,    // waits for the client to close, so that it can read the last response
};

/** What one connection holds. */
struct connection_load {
    connection_phase phase = connection_phase::idle;
    std::size_t bytes = 0;
    /** Monotonic time at which the phase began. */
    time_ms since_ms = 0;
};

/**
 * Returns the indices of the connections to close so that at least `excess_bytes` are released, or
 * all that may be closed. Answers many connections that hold memory without end, among ordinary
 * ones: those whose bytes times age is largest come first, so a caller whose request arrives and is
 * answered at once is among the last, whatever the number of the others. Connections in
 * `processing` are never chosen, as their requests may have been executed. Thread safe.
 */
[[nodiscard]] std::vector<std::size_t> choose_for_memory(std::span<const connection_load> loads,
                                                         std::size_t excess_bytes, time_ms now_ms);

/**
 * Returns the index of the connection to close in favour of a new one, or nothing if all are in
 * `processing`. Answers many connections that are opened and held: a connection that waits for its
 * client to close comes first, then the one that has been idle for the longest, then the one that
 * has been receiving or sending for the longest. Thread safe.
 */
[[nodiscard]] std::optional<std::size_t> choose_for_slot(std::span<const connection_load> loads);

} // namespace fulmarworks
