#pragma once

#include "scheduler/job_spec.h"
#include "scheduler/loss_count.h"
#include "scheduler/run_rate.h"
#include "scheduler/task_id.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks::scheduler {

enum class job_state { queued, running, completed, failed, cancelled };

/** Returns whether a job in this state has ended. Thread safe. */
[[nodiscard]] constexpr bool is_final(job_state state) {
    return state != job_state::queued && state != job_state::running;
}

/** Returns the name shown to callers and in log lines. Thread safe. */
[[nodiscard]] std::string_view name_of(job_state state);

enum class task_phase {
    idle,       // waits for its dependencies or for free capacity
    placed,     // assigned to a worker; the decision is not stored yet
    ordered,    // the start was sent but is not confirmed
    running,    // listed as active by its worker
    stopping,   // the stop was sent; the run still occupies its capacity
    unverified, // assigned by a previous leader; its worker has not been polled yet
    complete,
};

/** Identifies one incarnation of a worker. */
struct worker_incarnation {
    std::string id;
    /** Start of the incarnation on the worker's wall clock. */
    time_ms started_wall_ms = 0;

    friend auto operator<=>(const worker_incarnation&, const worker_incarnation&) = default;
};

struct task {
    task_phase phase = task_phase::idle;
    /** Number of the latest start, counted from 1; 0 before the first. */
    std::uint32_t run = 0;
    /** Whether an earlier run has completed while the current one was under way. The task is stored
     * as complete, and becomes so as soon as the current run is over. */
    bool completed_earlier = false;
    std::uint32_t failures = 0;
    loss_count losses;
    /** Monotonic time at which a worker was last lost under the task; 0 if none was. */
    time_ms lost_at_ms = 0;
    /** Whether the current run has lasted for the probation time. */
    bool proven = false;
    /** Whether a worker was lost under the current run. The run may remain assigned to the worker's
     * next incarnation until it is certain that it doesn't start there. */
    bool lost = false;
    /** Whether the worker answered after the start was sent, but didn't list the run. */
    bool start_delayed = false;
    /** Worker of the run; valid in all phases except `idle` and `complete`. */
    worker_incarnation where;
    /** Latest checkpoint; empty if there is none. */
    std::string checkpoint;
    /** Worker on which a run last failed or stalled; empty if none did. */
    std::string failed_on;
    /** Monotonic time of that; after a change of leader, the time of the change. */
    time_ms failed_at_ms = 0;
    /** Progress as reported by the worker. */
    int percent = 0;
    /** Monotonic time of the last change of `percent`. */
    time_ms progressed_at_ms = 0;
    time_ms started_at_ms = 0;
    /** Monotonic time at which the run started from the beginning; 0 if that is unknown. */
    time_ms measured_from_ms = 0;
    /**
     * Whether this leader sent the start of the current run, and the run did not resume from a
     * checkpoint. Only then do its age and progress describe the whole task.
     */
    bool observed_from_start = false;
    /** Whether the placement is stored, so that the run may start. */
    bool start_allowed = false;
    /** Monotonic time of the latest order in the current phase. */
    time_ms ordered_at_ms = 0;
    /**
     * Monotonic time at which the worker confirmed the run; 0 before that. Answers to earlier polls
     * may not list it.
     */
    time_ms confirmed_at_ms = 0;
    /** Monotonic time after which no host sends the latest order to start the run; 0 once the
     * worker has answered it. */
    time_ms start_sent_until_ms = 0;
    /** Time on the worker's clock after which no start of this run can take effect. */
    time_ms start_expires_at_worker_ms = 0;
    /** Monotonic time at which the worker confirmed a stop of this run; 0 if it has not. */
    time_ms stop_confirmed_at_ms = 0;
    std::uint32_t order_attempts = 0;
};

struct step_progress {
    std::vector<task> tasks;
    std::uint32_t complete_count = 0;
    /** Rates of the tasks' runs, by task index; empty before the first is measured, and not stored.
     */
    std::vector<run_rate> rates;
    /** Failed runs of the gang as a whole. */
    std::uint32_t gang_failures = 0;
    /** Number of the last run of the gang that failed; 0 if none did. */
    std::uint32_t last_failed_gang_run = 0;
    /** Monotonic time at which the step became ready; 0 before that. */
    time_ms ready_at_ms = 0;
    /** Workers on which capacity is being freed for the step's tasks, one entry per task. */
    std::vector<std::string> reserved_on;
    /** Monotonic time at which the reservation expires. */
    time_ms reserved_until_ms = 0;

    [[nodiscard]] bool complete() const { return complete_count == tasks.size(); }
};

struct occurrence {
    std::uint32_t number = 0;
    std::vector<step_progress> steps;

    [[nodiscard]] bool complete() const;
};

/** What one leader did for a job. */
struct job_effort {
    /** Monotonic time of the first placement; 0 before that. */
    time_ms placed_at_ms = 0;
    std::uint32_t placements = 0;
    /** Assignments that were released without an end that the worker listed. */
    std::uint32_t releases = 0;
    std::uint32_t failed_runs = 0;
};

struct job {
    job_spec spec;
    /** Policy in force: that of the newest known configuration that has the job's queue. */
    queue_policy policy;
    /** Version of the configuration in which `policy` was first seen. */
    std::uint64_t policy_version = 0;
    /** In order; each is created when it is due. */
    std::vector<occurrence> occurrences;
    bool cancel_requested = false;
    bool failed = false;
    /** Whether a worker has confirmed a start of any task. */
    bool started = false;
    /** Monotonic time of the acceptance; estimated after a change of leader. */
    time_ms accepted_at_ms = 0;
    /** Monotonic time at which the job reached a final state; 0 while it is active. */
    time_ms ended_at_ms = 0;
    /** What this leader did for the job, for the log line at its end. */
    job_effort effort;
    /** Expected run time of a task of each step; empty before the job is first planned. */
    std::vector<time_ms> expected_step_run_ms;
    /** Expected time from the start of each step to the end of the job; empty like the above. */
    std::vector<time_ms> expected_remaining_path_ms;
    /** Monotonic time at which both were computed. */
    time_ms expected_at_ms = 0;
    /** State reported to callers; never ahead of the stored state. */
    job_state visible_state = job_state::queued;

    [[nodiscard]] bool ended() const { return ended_at_ms != 0; }
};

/** Creates a job without occurrences, under the policy of its submission. Thread safe. */
[[nodiscard]] job make_job(job_spec spec);

/** Creates an occurrence with all tasks idle. Thread safe. */
[[nodiscard]] occurrence make_occurrence(const job_spec& spec, std::uint32_t number);

/** Returns whether all steps that `step` depends on are complete. Thread safe. */
[[nodiscard]] bool dependencies_complete(const job_spec& spec, const occurrence& o,
                                         std::uint32_t step);

/**
 * Returns, for each step, the duration of the longest chain of steps that begins with it, in
 * milliseconds. The longest of all is the critical path. Takes time linear in steps and
 * dependencies. Precondition: `step_run_ms` has the run time of a task of each step. Thread safe.
 */
[[nodiscard]] std::vector<time_ms> remaining_paths_ms(const job_spec& spec,
                                                      std::span<const time_ms> step_run_ms);

/**
 * Returns the largest number of accelerators that all tasks of one step need together. Thread safe.
 */
[[nodiscard]] std::int64_t max_step_accelerators(const job_spec& spec);

/** Returns the state derived from the progress of `j`. Thread safe. */
[[nodiscard]] job_state derive_state(const job& j);

/** Returns the wall time at which an occurrence is due. Thread safe. */
[[nodiscard]] time_ms due_wall_ms(const job_spec& spec, std::uint32_t number);

} // namespace fulmarworks::scheduler
