#pragma once

#include "ledger/state.h"

namespace fulmarworks {

/** Changes made by a record that the instance has to act on. */
struct apply_effects {
    /** Ids of the jobs whose phase changed or whose callers wait for an answer. */
    std::vector<std::string> jobs;
    /** Hosts whose tasks or status changed. */
    std::vector<host_index> hosts;
    bool membership_changed = false;
    bool configuration_changed = false;
    /** Reason for which the record was dropped; empty if it was applied. */
    std::string dropped;
};

/**
 * Applies one record to the state. Deterministic: reads no clock and does no I/O. A record that is
 * stale, repeated or invalid is dropped: it changes nothing but a counter. Precondition: `offset`
 * is `state.next_offset`. Not thread safe.
 */
apply_effects apply(ledger_state& state, std::uint64_t offset, const record& r);

/** Skips a record that can't be decoded: advances the offset and counts the record. */
void skip_unreadable(ledger_state& state, std::uint64_t offset);

} // namespace fulmarworks
