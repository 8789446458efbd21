#pragma once

#include "ledger/apply.h"

namespace fulmarworks {

/** Arguments of the handlers of one record. */
struct apply_context {
    ledger_state& state;
    apply_effects& effects;
    std::uint64_t offset = 0;
    const record_header& header;
};

inline void increment_counter(apply_context& ctx, const std::string& name) {
    ++ctx.state.counters[name];
}

/** Marks the record as dropped for `reason`. */
inline void drop(apply_context& ctx, std::string reason) {
    ctx.effects.dropped = std::move(reason);
}

/** Appends to the decision history of a job, which `explain` shows. */
void add_decision(apply_context& ctx, job& j, std::string what);

// One handler per record kind.
void handle(apply_context& ctx, const instance_joined& r);
void handle(apply_context& ctx, const instance_suspected& r);
void handle(apply_context& ctx, const instance_alive& r);
void handle(apply_context& ctx, const instance_left& r);
void handle(apply_context& ctx, const config_published& r);
void handle(apply_context& ctx, const job_submitted& r);
void handle(apply_context& ctx, const cancel_requested& r);
void handle(apply_context& ctx, const job_expired& r);
void handle(apply_context& ctx, const job_placed& r);
void handle(apply_context& ctx, const jobs_preempted& r);
void handle(apply_context& ctx, const jobs_moved& r);
void handle(apply_context& ctx, const members_ready& r);
void handle(apply_context& ctx, const task_ended& r);
void handle(apply_context& ctx, const host_reported& r);
void handle(apply_context& ctx, const host_power_requested& r);
void handle(apply_context& ctx, const result_lost& r);
void handle(apply_context& ctx, const time_noted& r);

} // namespace fulmarworks
