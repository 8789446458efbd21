#pragma once

#include "ledger/apply.h"

namespace fulmarworks {

/** What the handlers of one record work on. */
struct fold {
    ledger_state& state;
    apply_effects& effects;
    std::uint64_t offset = 0;
    const record_header& header;
};

inline void count(fold& f, const std::string& name) {
    ++f.state.counters[name];
}

/** Marks the record as one that does not hold. */
inline void drop(fold& f, std::string reason) {
    f.effects.dropped = std::move(reason);
}

/** Notes a decision about a job for `explain`. */
void note(fold& f, job& j, std::string what);

// Handlers, one for each kind of record.
void handle(fold& f, const instance_joined& r);
void handle(fold& f, const instance_suspected& r);
void handle(fold& f, const instance_alive& r);
void handle(fold& f, const instance_left& r);
void handle(fold& f, const config_published& r);
void handle(fold& f, const job_submitted& r);
void handle(fold& f, const cancel_requested& r);
void handle(fold& f, const job_expired& r);
void handle(fold& f, const job_placed& r);
void handle(fold& f, const jobs_preempted& r);
void handle(fold& f, const jobs_moved& r);
void handle(fold& f, const members_ready& r);
void handle(fold& f, const task_ended& r);
void handle(fold& f, const host_reported& r);
void handle(fold& f, const host_power_requested& r);
void handle(fold& f, const result_lost& r);
void handle(fold& f, const time_noted& r);

} // namespace fulmarworks
