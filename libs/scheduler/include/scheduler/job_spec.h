#pragma once

#include "base/time.h"
#include "scheduler/resources.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks::scheduler {

/** One step of a job: equal tasks that become ready together. */
struct step_spec {
    std::uint32_t task_count = 1;
    resources per_task;
    /** The caller's estimate of a task's run time; often far off. */
    time_ms estimate_ms = 0;
    /** Indices of earlier steps that must be complete first. */
    std::vector<std::uint32_t> depends_on;
    /** Label that a worker must have; empty for any worker. */
    std::string required_label;
    /** Rack on which the input lies; empty for none. Other racks run slower by `remote_factor`. */
    std::string data_rack;
    /** Most tasks of the step on one worker; 0 for no limit. */
    std::uint32_t max_tasks_per_worker = 0;
    /** All tasks run together or not at all. */
    bool gang = false;
    /** Runs slower by `remote_factor` when spread over several racks. */
    bool same_rack = false;
    bool checkpoints = false;
    /** Runs until the job is cancelled; every end is followed by a restart. */
    bool long_running = false;
    /** Uses only processor time that others leave idle, so its cores are not booked. */
    bool fills_idle_cpu = false;
    /** Most tasks of a long-running step that may be stopped by the scheduler at one time. */
    std::uint32_t max_unavailable = 0;
};

/** How a queue's jobs are treated. */
struct queue_policy {
    /** Pool of workers on which the jobs run. */
    std::string pool;
    /** 0 is urgent; higher numbers yield. */
    int priority = 0;
    /** Failed runs after which a task, or a gang, is given up. */
    std::uint32_t max_attempts = 1;
    /** The objective of a job is this many times its longest chain of work ... */
    double slack_factor = 1;
    /** ... and this much more. */
    time_ms latency_objective_ms = 0;
};

/** A submission as it was accepted, with the terms of its queue at that time. It never changes. */
struct job_spec {
    std::string id;
    std::string account;
    std::string queue;
    queue_policy policy;
    /** Opaque text handed to the workers. */
    std::string payload;
    time_ms accepted_wall_ms = 0;
    std::vector<step_spec> steps;
    /** Number of timed occurrences; 0 for a job that runs once, at once. */
    std::uint32_t repeat_count = 0;
    time_ms first_start_wall_ms = 0;
    time_ms repeat_interval_ms = 0;
};

/**
 * Returns what makes the job impossible, or larger than one process should hold; empty if nothing.
 * Everything else in this library relies on it. Thread safe.
 */
[[nodiscard]] std::string_view find_violation(const job_spec& spec);

} // namespace fulmarworks::scheduler
