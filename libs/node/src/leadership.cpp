#include "leadership.h"

#include "base/json.h"

#include <algorithm>

namespace fulmarworks::node {

namespace {

/** Part of its lease that a holder doesn't use, for rounding and late timers. */
constexpr time_ms lease_margin_ms = 100;

bool is_own(const leadership_state& state, const lease_record& record) {
    return record.name == state.name && record.incarnation == state.incarnation;
}

time_ms lease_for(const leadership_state& state) {
    const time_ms shortest = is_leader(state) ? shortest_lease_ms : first_lease_ms;
    return std::clamp(shortest + lease_answers * state.slowest_answer_ms, shortest,
                      longest_lease_ms);
}

void observe_answer(leadership_state& state, time_ms took_ms) {
    state.slowest_answer_ms = std::max(took_ms, state.slowest_answer_ms * 3 / 4);
}

lease_write begin_write(leadership_state& state, time_ms now_ms, bool released) {
    state.write_sent_at_ms = now_ms;
    ++state.writes;
    state.open_write = lease_record{state.name,   state.address, state.incarnation, state.epoch,
                                    state.writes, released,      lease_for(state)};
    return {*state.open_write, state.log_end};
}

void adopt_own(leadership_state& state, const lease_record& record, std::uint64_t offset) {
    if (record.released) {
        resign(state);
        return;
    }
    state.epoch = record.epoch == 0 ? offset + 1 : record.epoch;
    if (record.write == state.writes) {
        state.valid_until_ms = state.write_sent_at_ms + record.lease_ms - lease_margin_ms;
    }
}

/** Returns whether the lease of the newest record has surely run out, seen from here. */
bool vacant(const leadership_state& state, time_ms now_ms, time_ms jitter_ms) {
    if (!state.newest || state.newest->released) {
        return true;
    }
    if (state.newest->name == state.name && state.newest->incarnation != state.incarnation) {
        return true; // this host led before it was restarted
    }
    const time_ms quiet_since = std::max(state.newest_read_at_ms, state.readable_since_ms);
    return now_ms - quiet_since > state.newest->lease_ms + jitter_ms;
}

/** A record with a longer lease is damaged; leaves room for releases with longer leases. */
constexpr time_ms plausible_lease_ms = 60'000;

} // namespace

std::string encode_lease(const lease_record& r) {
    return json({{"name", r.name},
                 {"address", r.address},
                 {"incarnation", r.incarnation},
                 {"epoch", r.epoch},
                 {"write", r.write},
                 {"released", r.released},
                 {"lease_ms", r.lease_ms}})
        .dump();
}

result<lease_record> decode_lease(std::string_view text) {
    const auto parsed = parse_json(text);
    if (!parsed) {
        return parsed.error();
    }
    try {
        const json& j = parsed.value();
        lease_record record;
        record.name = j.at("name").get<std::string>();
        record.address = j.at("address").get<std::string>();
        record.incarnation = integer_from_json<std::uint64_t>(j.at("incarnation"));
        record.epoch = integer_from_json<std::uint64_t>(j.at("epoch"));
        record.write = integer_from_json<std::uint64_t>(j.at("write"));
        record.released = j.at("released").get<bool>();
        record.lease_ms = integer_from_json<time_ms>(j.at("lease_ms"));
        if (record.lease_ms < 0 || record.lease_ms > plausible_lease_ms) {
            return error{error_kind::malformed_data, "lease record: its time is out of bounds",
                         "let all entry hosts run the same release"};
        }
        return record;
    } catch (const json::exception& e) {
        return error{error_kind::malformed_data, std::string("lease record: ") + e.what(),
                     "let all entry hosts run the same release"};
    }
}

bool is_leader(const leadership_state& state) {
    return state.epoch != 0;
}

bool lease_valid(const leadership_state& state, time_ms now_ms) {
    return is_leader(state) && now_ms < state.valid_until_ms;
}

bool may_act(const leadership_state& state, time_ms now_ms) {
    return is_leader(state) && now_ms <= state.valid_until_ms + leader_grace_ms;
}

std::string leader_address(const leadership_state& state) {
    if (!state.newest || state.newest->released) {
        return "";
    }
    return state.newest->address;
}

void lease_read(leadership_state& state, time_ms now_ms, std::uint64_t offset,
                const lease_record& record) {
    if (state.newest && offset <= state.newest_offset) {
        return;
    }
    state.newest = record;
    state.newest_offset = offset;
    state.newest_read_at_ms = now_ms;
    state.log_end = std::max(state.log_end, offset + 1);
    if (!is_own(state, record)) {
        resign(state);
        return;
    }
    // The answer to the own write may have been lost; the record itself is the proof.
    adopt_own(state, record, offset);
    if (record.write == state.writes) {
        state.open_write.reset();
    }
}

void log_read(leadership_state& state, time_ms now_ms, bool ok, std::uint64_t end) {
    if (!ok) {
        state.readable_since_ms = 0;
        return;
    }
    state.loaded = true;
    if (state.readable_since_ms == 0) {
        state.readable_since_ms = now_ms;
    }
    state.log_end = std::max(state.log_end, end);
}

void write_done(leadership_state& state, time_ms now_ms, bool appended, std::uint64_t offset) {
    if (!state.open_write) {
        return; // its record was read already
    }
    const lease_record record = *state.open_write;
    state.open_write.reset();
    observe_answer(state, now_ms - state.write_sent_at_ms);
    if (appended) {
        lease_read(state, now_ms, offset, record);
    }
}

std::optional<lease_write> due_write(leadership_state& state, time_ms now_ms, time_ms jitter_ms) {
    if (!state.loaded || state.open_write) {
        return std::nullopt;
    }
    if (state.releasing) {
        return is_leader(state) ? std::optional(begin_write(state, now_ms, true)) : std::nullopt;
    }
    if (is_leader(state)) {
        if (!may_act(state, now_ms)) {
            resign(state);
            return std::nullopt;
        }
        if (now_ms - state.write_sent_at_ms < leader_renewal_ms) {
            return std::nullopt;
        }
        return begin_write(state, now_ms, false);
    }
    state.predecessor_ended =
        !state.newest || state.newest->released ||
        (state.newest->name == state.name && state.newest->incarnation != state.incarnation);
    if (state.readable_since_ms == 0 || !vacant(state, now_ms, jitter_ms)) {
        return std::nullopt;
    }
    if (now_ms - state.write_sent_at_ms < jitter_ms + leader_renewal_ms / 4) {
        return std::nullopt;
    }
    return begin_write(state, now_ms, false);
}

void request_release(leadership_state& state) {
    state.releasing = true;
}

void resign(leadership_state& state) {
    state.epoch = 0;
    state.valid_until_ms = 0;
}

} // namespace fulmarworks::node
