#include "run_time_writes.h"

namespace fulmarworks::node {

bool begin_write(run_time_writes& w, time_ms now_ms, const take_changes& take) {
    if (w.open || w.fenced || now_ms < w.next_at_ms) {
        return false;
    }
    if (w.batch.empty()) {
        w.batch = take(max_learned_records);
        if (w.batch.empty()) {
            return false;
        }
        ++w.sequence;
    }
    w.open = true;
    w.next_at_ms = now_ms + learned_write_interval_ms;
    return true;
}

void end_write(run_time_writes& w, const platform::append_outcome& outcome) {
    w.open = false;
    switch (outcome.status) {
    case platform::store_status::ok: w.batch.clear(); break;
    case platform::store_status::fenced:
        w.fenced = true;
        w.batch.clear();
        break;
    case platform::store_status::out_of_sequence: w.sequence = outcome.expected_sequence; break;
    default: break;
    }
}

} // namespace fulmarworks::node
