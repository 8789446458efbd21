#pragma once

#include "instance/instance_state.h"

#include <string>

namespace fulmarworks {

/** What the handlers of one event work on. */
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

/** Returns whether a repeated action is due, and when so sets the time of the next try. */
inline bool try_again(std::map<std::string, time_ms>& retry_at, const std::string& key, time_ms now,
                      time_ms interval) {
    time_ms& next = retry_at[key];
    if (now < next) {
        return false;
    }
    next = now + interval;
    return true;
}

/** Returns the place of this instance among the live ones for a duty; 0 is first. */
[[nodiscard]] int rank_for(const instance_state& s, std::string_view duty);

/** Returns whether everything known to be in the log is folded. */
[[nodiscard]] inline bool is_caught_up(const instance_state& s) {
    return s.ledger.next_offset >= s.log_tail;
}

} // namespace fulmarworks
