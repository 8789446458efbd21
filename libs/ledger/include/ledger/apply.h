#pragma once

#include "ledger/state.h"

namespace fulmarworks {

/** What a record changed, for the instance to act on. */
struct apply_effects {
    std::vector<std::string> jobs;
    /** Hosts whose tasks or status changed. */
    std::vector<host_index> hosts;
    bool membership_changed = false;
    bool configuration_changed = false;
    /** Why the record did not hold; empty where it did. */
    std::string dropped;
};

/**
 * Folds one record into the state. Deterministic: reads no clock and does no I/O. A record that is
 * stale, repeated or invalid changes nothing but a counter. Precondition: `offset` is
 * `state.next_offset`. Not thread safe.
 */
apply_effects apply(ledger_state& state, std::uint64_t offset, const record& r);

/** Folds a record that can't be read, which only moves the offset and a counter. */
void skip_unreadable(ledger_state& state, std::uint64_t offset);

} // namespace fulmarworks
