#pragma once

#include "base/time.h"
#include "scheduler/resources.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks::scheduler {

/** One step of a job: identical tasks that become ready together. */
struct step_spec {
    std::uint32_t task_count = 1;
    resources per_task;
    /** Run time of a task as estimated by the caller; often inaccurate. */
    time_ms estimate_ms = 0;
    /** Indices of earlier steps that must complete first. */
    std::vector<std::uint32_t> depends_on;
    /** Label that a worker must have; empty for any worker. */
    std::string required_label;
    /**
     * Rack that holds the input; empty if there is none. Tasks on other racks run slower by
     * `remote_factor`.
     */
    std::string data_rack;
    /** Maximum number of the step's tasks on one worker; 0 for no limit. */
    std::uint32_t max_tasks_per_worker = 0;
    /** Whether all tasks must run at the same time. */
    bool gang = false;
    /** Whether the step runs slower by `remote_factor` when it spans several racks. */
    bool same_rack = false;
    bool checkpoints = false;
    /** Runs until the job is cancelled; a run that ends is restarted. */
    bool long_running = false;
    /** Uses only idle processor time, so its cores are not booked. */
    bool fills_idle_cpu = false;
    /**
     * Maximum number of tasks of a long-running step that the scheduler may stop at the same time.
     */
    std::uint32_t max_unavailable = 0;
};

/** Scheduling policy of a queue. */
struct queue_policy {
    /** Pool of workers on which the jobs run. */
    std::string pool;
    /** 0 is urgent; higher numbers are less important. */
    int priority = 0;
    /** Number of failed runs of a task, or of a gang as a whole, after which the job fails. */
    std::uint32_t max_attempts = 1;
    /** A job's latency objective is its critical path times this factor ... */
    double slack_factor = 1;
    /** ... plus this constant. */
    time_ms latency_objective_ms = 0;

    friend bool operator==(const queue_policy&, const queue_policy&) = default;
};

/** An accepted submission with the policy of its queue at that time. Immutable. */
struct job_spec {
    std::string id;
    std::string account;
    std::string queue;
    queue_policy policy;
    /** Version of the operator's configuration that `policy` is from; 0 if unknown. */
    std::uint64_t policy_version = 0;
    /** Internal address of the entry host that accepted the job; empty if unknown. */
    std::string accepted_by;
    /** Opaque text that is passed to the workers. */
    std::string payload;
    time_ms accepted_wall_ms = 0;
    std::vector<step_spec> steps;
    /** Number of scheduled occurrences; 0 for a job that runs once, immediately. */
    std::uint32_t repeat_count = 0;
    time_ms first_start_wall_ms = 0;
    time_ms repeat_interval_ms = 0;
};

/**
 * Returns why the job is impossible, or too large for one process; empty if it is valid. All other
 * functions of this library require a valid job spec. Thread safe.
 */
[[nodiscard]] std::string_view find_violation(const job_spec& spec);

} // namespace fulmarworks::scheduler
