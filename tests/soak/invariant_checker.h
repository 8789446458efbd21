#pragma once

#include "base/json.h"
#include "base/time.h"
#include "scheduler/resources.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks::soak {

/** One step of a job. The encoded job_shape is also the payload of the job's tasks. */
struct step_shape {
    int tasks = 1;
    scheduler::resources per_task;
    time_ms run_ms = 0;
    bool gang = false;
    std::vector<int> depends_on;
    /** Whether the first task crashes each worker that starts it. */
    bool crashes_worker = false;
};

struct job_shape {
    std::vector<step_shape> steps;
};

[[nodiscard]] json encode_shape(const job_shape& shape);
[[nodiscard]] job_shape decode_shape(const std::string& text);

/** A task name as on the wire: JOB.OCCURRENCE.STEP.INDEX. */
struct task_name {
    std::string text;
    std::string job;
    int step = 0;
    int index = 0;
};

[[nodiscard]] task_name parse_task_name(const std::string& text);

/** Returns whether `state`, as shown to callers, is a final state of a job. */
[[nodiscard]] bool is_final(std::string_view state);

/** What callers know about a job. Times are monotonic; 0 stands for never. */
struct caller_view {
    job_shape shape;
    bool accepted = false;
    /** A submission or cancellation may have taken effect without a confirmation. */
    bool outcome_unknown = false;
    time_ms accepted_at = 0;
    time_ms cancel_confirmed_at = 0;
    std::string last_state;
};

/**
 * Checks the guarantees of the platform against what callers and workers observe, and records each
 * violation. Not thread safe. The rules are:
 * - TWICE: a task runs once at a time, and never again after its completion is acknowledged.
 * - LIMIT: the runs of a worker fit its capacity.
 * - ORDER: a step starts after the steps that it depends on are complete.
 * - BUDGET: a task doesn't start again after its last allowed attempt failed, and at most twice
 *   after three workers have crashed under it.
 * - UNASKED: only submitted jobs start, and none long after its cancellation was confirmed.
 * - REFUSED: a job that was refused on every attempt doesn't run.
 * - DRAIN: nothing starts on a worker later than the drain bound after the store accepted that it
 *   drains. Starts that the worker itself carries out late don't count.
 * - MIXED: a job is shown as completed only if all of its steps are complete.
 * - LOST: an accepted job stays known and reaches a final state; it is shown as failed or cancelled
 *   only with a cause.
 */
class invariant_checker {
public:
    /** A worker starts a run whose order it has accepted. `used` includes the new run. */
    void run_started(const task_name& task, int run, const std::string& worker,
                     const scheduler::resources& used, const scheduler::resources& capacity);

    /**
     * A run has ended. `reason` is done, failed, stopped, lapsed, broken, alone, died (with its
     * worker, which was restarted or left) or crashed (with its worker).
     */
    void run_ended(const task_name& task, const std::string& reason);

    /** The store accepted that a worker drains. */
    void drain_accepted(const std::string& worker);

    /** A draining worker has started again or left. */
    void drain_over(const std::string& worker) { draining_since_.erase(worker); }

    /** A worker begins a run on an order that it didn't hold up. Called after `run_started`. */
    void prompt_start(const task_name& task, const std::string& worker);

    /** The leader acknowledged to the worker that the end of a run is stored. */
    void end_acknowledged(const task_name& task, const std::string& reason);

    /** A caller received the state of a job. Precondition: the job is in `jobs`. */
    void state_shown(const std::string& job, const std::string& state);

    /** A caller was notified that a job doesn't exist. Precondition: the job is in `jobs`. */
    void job_not_found(const std::string& job);

    /** Returns the monotonic time of the latest crash of a worker; 0 if there was none. */
    [[nodiscard]] time_ms last_crash_at() const { return last_crash_at_; }

    /** Checks what must hold after all runs have ended. */
    void check_final_state();

    /** What callers know about each job, by job id. The callers update it. */
    std::map<std::string, caller_view> jobs;

    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    /** Jobs with violations. */
    [[nodiscard]] const std::set<std::string>& violating_jobs() const { return violating_jobs_; }
    /** Starts and ends of the runs of a job as log lines, in order. */
    [[nodiscard]] std::vector<std::string> run_history(const std::string& job) const;
    [[nodiscard]] std::size_t start_count() const { return start_count_; }

private:
    void add_violation(const std::string& job, const std::string& rule,
                       const std::string& description);
    void record_run_event(const task_name& task, const std::string& text);
    [[nodiscard]] bool is_step_complete(const std::string& job, int step) const;

    /** Worker of each running task, by task key. */
    std::map<std::string, std::string> running_on_;
    std::set<std::string> completed_tasks_;
    std::set<std::string> acknowledged_completions_;
    std::map<std::string, int> acknowledged_failures_;
    /** Workers that crashed under each task, and its starts after the limit of crashes. */
    std::map<std::string, int> crashes_;
    std::map<std::string, int> starts_after_crashes_;
    std::set<std::string> started_jobs_;
    /** Monotonic time at which the store accepted that a worker drains. */
    std::map<std::string, time_ms> draining_since_;
    time_ms last_crash_at_ = 0;
    std::size_t start_count_ = 0;
    std::vector<std::string> violations_;
    std::set<std::string> violating_jobs_;
    std::map<std::string, std::vector<std::string>> run_histories_;
};

} // namespace fulmarworks::soak
