#include "leadership.h"

#include "base/json.h"

#include <algorithm>

namespace fulmarworks::node {

namespace {

/** Part of a lease that its holder doesn't use, to allow for rounding and late timers. */
constexpr time_ms lease_margin_ms = 100;

bool is_own_record(const leadership_state& state, const lease_record& record) {
    return record.name == state.name && record.incarnation == state.incarnation;
}

time_ms next_lease_ms(const leadership_state& state) {
    const time_ms minimum_ms = is_leader(state) ? min_leader_lease_ms : initial_leader_lease_ms;
    return std::clamp(minimum_ms + lease_response_multiple * state.slowest_response_ms, minimum_ms,
                      max_leader_lease_ms);
}

void observe_response_time(leadership_state& state, time_ms took_ms) {
    state.slowest_response_ms = std::max(took_ms, state.slowest_response_ms * 3 / 4);
}

lease_write begin_write(leadership_state& state, time_ms now_ms, bool released) {
    state.write_sent_at_ms = now_ms;
    ++state.write_count;
    state.release_sent = state.release_sent || released;
    state.pending_write = lease_record{state.name,
                                       state.address,
                                       state.incarnation,
                                       state.epoch,
                                       state.write_count,
                                       released,
                                       next_lease_ms(state),
                                       std::max<time_ms>(state.earlier_orders_until_ms - now_ms, 0),
                                       std::max<time_ms>(state.kept_until_ms - now_ms, 0),
                                       state.own_backlog.value_or(newest_backlog(state))};
    // The other hosts count with this record as soon as they read it, even if its answer is lost.
    state.valid_until_ms =
        std::min(state.valid_until_ms, now_ms + state.pending_write->lease_ms - lease_margin_ms);
    return {*state.pending_write, state.log_end};
}

/** Returns whether a record was written by this host, in this or an earlier incarnation. */
bool is_own_host(const leadership_state& state, const lease_record& record) {
    return record.name == state.name && record.address == state.address;
}

/** Returns the time until which any leader so far may still give orders. */
time_ms orders_until_ms(const leadership_state& state) {
    if (!state.newest_record) {
        return 0;
    }
    const lease_record& newest = *state.newest_record;
    const time_ms earlier = state.newest_read_at_ms + newest.earlier_orders_ms;
    if (newest.released || is_own_host(state, newest)) {
        return earlier;
    }
    return std::max(earlier, state.newest_read_at_ms + newest.lease_ms + leader_grace_ms);
}

void apply_own_record(leadership_state& state, const lease_record& record, std::uint64_t offset) {
    if (record.released) {
        resign(state);
        return;
    }
    state.epoch = record.epoch == 0 ? offset + 1 : record.epoch;
    if (record.write_number == state.write_count) {
        state.valid_until_ms = state.write_sent_at_ms + record.lease_ms - lease_margin_ms;
    }
}

/** Returns whether the lease of the newest record has certainly been vacant for `delay_ms`, by this
 * host's clock. */
bool is_vacant(const leadership_state& state, time_ms now_ms, time_ms delay_ms) {
    if (!state.newest_record) {
        return true;
    }
    if (state.newest_record->released) {
        return now_ms - state.newest_read_at_ms >= delay_ms;
    }
    if (is_own_host(state, *state.newest_record) &&
        state.newest_record->incarnation != state.incarnation) {
        return true; // the leader was this host before its restart
    }
    const time_ms not_renewed_since_ms = std::max(state.newest_read_at_ms, state.readable_since_ms);
    return now_ms - not_renewed_since_ms > state.newest_record->lease_ms + delay_ms;
}

/** Delay before a host with no share of a core would acquire a vacant lease. */
constexpr time_ms max_acquisition_delay_ms = 400;
/** A record with a longer lease is treated as damaged. Well above the current limit, so that later
 * releases may use longer leases. */
constexpr time_ms max_plausible_lease_ms = 60'000;

json encode_backlog(const job_backlog& backlog) {
    json accounts = json::array();
    for (const auto& account : backlog.largest) {
        accounts.push_back({account.name, account.bytes});
    }
    return {{"bytes", backlog.total_bytes}, {"accounts", accounts}};
}

/** Precondition: `j` is what `encode_backlog` returned; throws json::exception otherwise. */
job_backlog decode_backlog(const json& j) {
    job_backlog backlog;
    backlog.total_bytes = integer_from_json<std::size_t>(j.at("bytes"));
    for (const json& account : j.at("accounts")) {
        if (backlog.largest.size() < max_reported_accounts) {
            backlog.largest.push_back(
                {account.at(0).get<std::string>(), integer_from_json<std::size_t>(account.at(1))});
        }
    }
    return backlog;
}

} // namespace

std::string encode_lease(const lease_record& r) {
    json encoded = {{"name", r.name},
                    {"address", r.address},
                    {"incarnation", r.incarnation},
                    {"epoch", r.epoch},
                    {"write", r.write_number},
                    {"released", r.released},
                    {"lease_ms", r.lease_ms},
                    {"earlier_orders_ms", r.earlier_orders_ms},
                    {"kept_ms", r.kept_ms}};
    if (r.backlog.total_bytes > 0) {
        encoded["backlog"] = encode_backlog(r.backlog);
    }
    return encoded.dump();
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
        record.write_number = integer_from_json<std::uint64_t>(j.at("write"));
        record.released = j.at("released").get<bool>();
        record.lease_ms = integer_from_json<time_ms>(j.at("lease_ms"));
        // Records of releases without this field say nothing of earlier leaders.
        record.earlier_orders_ms = j.contains("earlier_orders_ms")
                                       ? integer_from_json<time_ms>(j.at("earlier_orders_ms"))
                                       : max_leader_lease_ms + leader_grace_ms;
        record.kept_ms = j.contains("kept_ms") ? integer_from_json<time_ms>(j.at("kept_ms")) : 0;
        if (j.contains("backlog")) {
            record.backlog = decode_backlog(j.at("backlog"));
        }
        const auto plausible = [](time_ms duration) {
            return duration >= 0 && duration <= max_plausible_lease_ms;
        };
        if (!plausible(record.lease_ms) || !plausible(record.earlier_orders_ms) ||
            !plausible(record.kept_ms)) {
            return error{error_kind::malformed_data, "lease record: a duration is out of range",
                         "run the same release on all entry hosts"};
        }
        return record;
    } catch (const json::exception& e) {
        return error{error_kind::malformed_data, std::string("lease record: ") + e.what(),
                     "run the same release on all entry hosts"};
    }
}

bool is_leader(const leadership_state& state) {
    return state.epoch != 0;
}

bool lease_valid(const leadership_state& state, time_ms now_ms) {
    return is_leader(state) && now_ms < state.valid_until_ms;
}

bool may_act(const leadership_state& state, time_ms now_ms) {
    return is_leader(state) && !state.release_sent &&
           now_ms <= state.valid_until_ms + leader_grace_ms;
}

job_backlog newest_backlog(const leadership_state& state) {
    return state.newest_record ? state.newest_record->backlog : job_backlog{};
}

std::string leader_address(const leadership_state& state) {
    if (!state.newest_record || state.newest_record->released) {
        return "";
    }
    return state.newest_record->address;
}

void apply_lease_record(leadership_state& state, time_ms now_ms, std::uint64_t offset,
                        const lease_record& record) {
    if (state.newest_record && offset <= state.newest_offset) {
        return;
    }
    state.newest_record = record;
    state.newest_offset = offset;
    state.newest_read_at_ms = now_ms;
    state.log_end = std::max(state.log_end, offset + 1);
    state.kept_until_ms = std::max(state.kept_until_ms, now_ms + record.kept_ms);
    if (!is_own_record(state, record)) {
        resign(state);
        return;
    }
    // The answer to this host's write may have been lost; the record shows that it succeeded.
    apply_own_record(state, record, offset);
    if (record.write_number == state.write_count) {
        state.pending_write.reset();
    }
}

void apply_log_read(leadership_state& state, time_ms now_ms, bool ok, std::uint64_t end) {
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

void apply_write_outcome(leadership_state& state, time_ms now_ms, bool appended,
                         std::uint64_t offset) {
    if (!state.pending_write) {
        return; // its record has been read already
    }
    const lease_record record = *state.pending_write;
    state.pending_write.reset();
    observe_response_time(state, now_ms - state.write_sent_at_ms);
    if (appended) {
        apply_lease_record(state, now_ms, offset, record);
    }
}

std::optional<lease_write> begin_due_write(leadership_state& state, time_ms now_ms,
                                           time_ms delay_ms) {
    if (!state.loaded || state.pending_write) {
        return std::nullopt;
    }
    if (state.releasing || state.stepping_aside) {
        return is_leader(state) ? std::optional(begin_write(state, now_ms, true)) : std::nullopt;
    }
    if (is_leader(state)) {
        if (!may_act(state, now_ms)) {
            resign(state);
            return std::nullopt;
        }
        if (now_ms - state.write_sent_at_ms < leader_renewal_interval_ms) {
            return std::nullopt;
        }
        return begin_write(state, now_ms, false);
    }
    if (state.readable_since_ms == 0 || now_ms < state.left_to_others_until_ms ||
        !is_vacant(state, now_ms, delay_ms)) {
        return std::nullopt;
    }
    if (now_ms - state.write_sent_at_ms < delay_ms + leader_renewal_interval_ms / 4) {
        return std::nullopt;
    }
    state.earlier_orders_until_ms = orders_until_ms(state);
    state.release_sent = false; // of an earlier term, in which this host stepped aside
    return begin_write(state, now_ms, false);
}

time_ms acquisition_delay(double cpu_share, double largest_cpu_share) {
    if (largest_cpu_share <= cpu_share) {
        return 0;
    }
    return static_cast<time_ms>((largest_cpu_share - cpu_share) / largest_cpu_share *
                                static_cast<double>(max_acquisition_delay_ms));
}

void request_release(leadership_state& state) {
    state.releasing = true;
}

bool may_step_aside(const leadership_state& state, time_ms now_ms, double cpu_share,
                    double largest_cpu_share) {
    return is_leader(state) && !state.releasing && !state.stepping_aside &&
           now_ms >= state.kept_until_ms && largest_cpu_share >= abler_share_multiple * cpu_share;
}

void step_aside(leadership_state& state, time_ms now_ms) {
    state.stepping_aside = true;
    state.kept_until_ms = now_ms + step_aside_interval_ms;
    state.left_to_others_until_ms = now_ms + left_to_others_ms;
}

void resign(leadership_state& state) {
    state.stepping_aside = false;
    state.epoch = 0;
    state.valid_until_ms = 0;
}

} // namespace fulmarworks::node
