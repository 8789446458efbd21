#pragma once

#include "instance/instance_state.h"

#include <string>

namespace fulmarworks {

/** State and effects that the handlers of one event work on. */
struct context {
    instance_state& state;
    effect_list& effects;
};

template <class Effect>
void emit(context& c, Effect e) {
    c.effects.emplace_back(std::move(e));
}

inline void count(context& c, const std::string& name) {
    ++c.state.counters[name];
}

/**
 * Returns whether the next attempt of a repeated action is due. If so, schedules the following one
 * after `interval`.
 */
inline bool begin_attempt_if_due(std::map<std::string, time_ms>& retry_at, const std::string& key,
                                 time_ms now, time_ms interval) {
    time_ms& next = retry_at[key];
    if (now < next) {
        return false;
    }
    next = now + interval;
    return true;
}

/**
 * Returns the rank of this instance among the live ones for a role, by rendezvous hashing. The
 * instance of rank 0 has the role.
 */
[[nodiscard]] int rank_for(const instance_state& s, std::string_view role);

/** Returns whether all records known to be in the log are applied. */
[[nodiscard]] inline bool is_caught_up(const instance_state& s) {
    return s.ledger.next_offset >= s.log_tail;
}

} // namespace fulmarworks
