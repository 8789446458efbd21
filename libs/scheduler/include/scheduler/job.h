#pragma once

#include "scheduler/job_spec.h"
#include "scheduler/task_id.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks::scheduler {

enum class job_state { queued, running, completed, failed, cancelled };

/** Returns whether a job in this state has ended. Thread safe. */
[[nodiscard]] constexpr bool is_final(job_state state) {
    return state != job_state::queued && state != job_state::running;
}

/** Returns the name that callers and log lines show. Thread safe. */
[[nodiscard]] std::string_view name_of(job_state state);

enum class task_phase {
    idle,       // waits for its turn or for room
    placed,     // has a worker; the decision is not stored yet
    ordered,    // the start was sent and is not confirmed
    running,    // its worker lists it
    stopping,   // the stop was sent; it still occupies its room
    unverified, // assigned by an earlier leader; its worker was not asked yet
    complete,
};

/** Identifies one incarnation of a worker. */
struct worker_incarnation {
    std::string id;
    /** Start of the incarnation, wall clock of the worker. */
    time_ms started_wall_ms = 0;

    friend auto operator<=>(const worker_incarnation&, const worker_incarnation&) = default;
};

struct task {
    task_phase phase = task_phase::idle;
    /** Number of the newest start; the first is 1. */
    std::uint32_t run = 0;
    std::uint32_t failures = 0;
    /** Meaningful in all phases but `idle` and `complete`. */
    worker_incarnation where;
    /** Newest checkpoint; empty for none. */
    std::string checkpoint;
    /** Worker on which the newest run failed; empty for none. */
    std::string failed_on;
    /** Progress of the run as its worker reported it. */
    int percent = 0;
    /** Monotonic time of the newest change of `percent`. */
    time_ms progressed_at_ms = 0;
    time_ms started_at_ms = 0;
    /** The placement is stored, so the run may start. */
    bool start_allowed = false;
    /** Newest order of the current phase, monotonic. */
    time_ms ordered_at_ms = 0;
    /** Monotonic time at which the worker confirmed the run; older lists don't speak of it. */
    time_ms confirmed_at_ms = 0;
    /** Time on the worker's clock after which no start of this run can take effect any more. */
    time_ms start_expires_at_worker_ms = 0;
    /** A stop of this run was confirmed by the worker at this monotonic time; 0 if not. */
    time_ms stop_confirmed_at_ms = 0;
    std::uint32_t order_attempts = 0;
};

struct step_progress {
    std::vector<task> tasks;
    std::uint32_t complete_count = 0;
    /** Failed runs of a gang as a whole. */
    std::uint32_t gang_failures = 0;
    /** Monotonic time at which the step became ready; 0 if not yet. */
    time_ms ready_at_ms = 0;
    /** Workers on which room is being made for the step's tasks, one entry a task. */
    std::vector<std::string> reserved_on;
    /** Monotonic time at which the reservation ends. */
    time_ms reserved_until_ms = 0;

    [[nodiscard]] bool complete() const { return complete_count == tasks.size(); }
};

struct occurrence {
    std::uint32_t number = 0;
    std::vector<step_progress> steps;

    [[nodiscard]] bool complete() const;
};

struct job {
    job_spec spec;
    /** Created when due, in order. */
    std::vector<occurrence> occurrences;
    bool cancel_requested = false;
    bool failed = false;
    /** Any task was ever started. */
    bool started = false;
    /** Monotonic time of the acceptance, as far as this process can tell. */
    time_ms accepted_at_ms = 0;
    /** Monotonic time at which the job's final state was reached; 0 while it is active. */
    time_ms ended_at_ms = 0;
    /** What callers are told: never ahead of what is stored. */
    job_state visible_state = job_state::queued;

    [[nodiscard]] bool ended() const { return ended_at_ms != 0; }
};

/** Creates an occurrence with all tasks idle. Thread safe. */
[[nodiscard]] occurrence make_occurrence(const job_spec& spec, std::uint32_t number);

/** Returns whether all steps that `step` depends on are complete. Thread safe. */
[[nodiscard]] bool dependencies_complete(const job_spec& spec, const occurrence& o,
                                         std::uint32_t step);

/** Returns the estimated duration of the longest chain of dependent steps. Thread safe. */
[[nodiscard]] time_ms critical_path_ms(const job_spec& spec);

/** Returns the most accelerators that one step needs at once. Thread safe. */
[[nodiscard]] std::int64_t max_step_accelerators(const job_spec& spec);

/** Returns the state that follows from the progress of `j`. Thread safe. */
[[nodiscard]] job_state derive_state(const job& j);

/** Returns the wall time at which an occurrence is due. Thread safe. */
[[nodiscard]] time_ms due_wall_ms(const job_spec& spec, std::uint32_t number);

} // namespace fulmarworks::scheduler
