#pragma once

#include "run_times/run_time_model.h"
#include "scheduler/capacity_index.h"
#include "scheduler/effect.h"
#include "scheduler/event.h"
#include "scheduler/plan_pacing.h"
#include "scheduler/settings.h"
#include "scheduler/speed_evidence.h"
#include "scheduler/urgent_arrivals.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmarworks::scheduler {

/** Readings of the two clocks that decisions use. */
struct instant {
    /** Monotonic, including the time that the system was suspended. */
    time_ms monotonic_ms = 0;
    /** Wall clock, which may jump; used only for the due times of occurrences. */
    time_ms wall_ms = 0;
    /** How late the leader handles what was due before, `tick` events first of all. Answers to its
     * calls may have been waiting for as long. */
    time_ms delay_ms = 0;
};

/** Actions that are executed only after the state that they depend on is stored. */
struct deferred_start {
    task_id task;
    std::uint32_t run = 0;
};
struct deferred_acknowledgement {
    worker_incarnation where;
    std::uint64_t sequence = 0;
};
struct deferred_cancel_answer {
    std::uint64_t request = 0;
};
struct deferred_visibility {
    std::string job;
    job_state state = job_state::queued;
};
using deferred_action = std::variant<deferred_start, deferred_acknowledgement,
                                     deferred_cancel_answer, deferred_visibility>;

/** Progress of a pass over all workers that is spread over several ticks. */
struct worker_pass {
    time_ms started_at_ms = 0;
    /** First worker that the pass has not visited yet; empty between passes. */
    std::string next;
};

/**
 * State of the leader: jobs, workers and pending writes.
 *
 * State is written ahead of actions: a start is sent, the end of a run is acknowledged and a
 * cancellation is answered only after the corresponding progress is stored. While one batch is
 * open, further changes collect in `changed_jobs`.
 */
struct coordinator_state {
    settings limits;
    std::map<std::string, std::unique_ptr<job>> jobs;
    std::map<std::string, worker> workers;
    /** Monotonic time up to which all changes of the worker registry are known; none before the
     * first read. */
    std::optional<time_ms> registry_confirmed_at_ms;
    /** Whether starts wait until the view of the registry is current. */
    bool starts_held = false;
    guarantees account_guarantees;
    queue_policies queues;
    /** Failure domains in which nothing new starts. */
    std::set<std::string> evacuated_domains;

    /** Capacity of all workers; derived from the other members. */
    capacity_index capacities;
    /** Active jobs that may have idle tasks; planning removes those that have none. */
    std::set<std::string> waiting_jobs;
    /** Those of them that are urgent. */
    std::set<std::string> waiting_urgent_jobs;
    /** Active jobs that may have occurrences still to be created. */
    std::set<std::string> recurring_jobs;
    /**
     * For each account: sum, over its active urgent jobs, of the accelerators of the job's widest
     * step.
     */
    std::map<std::string, std::int64_t> urgent_demand;
    urgent_arrivals recent_urgent_jobs;
    /** Run times of finished runs; empty unless `settings::learned_run_times`. */
    run_times::run_time_model run_times;
    worker_speeds speeds;

    /**
     * Jobs whose stored progress can't be decoded. They are reported as running and never started.
     */
    std::set<std::string> unreadable_jobs;

    std::set<std::string> changed_jobs;
    /** Jobs whose submissions are deleted; the next batch deletes their progress. */
    std::vector<std::string> deleted_jobs;
    /** Monotonic time of the last request to delete submissions. */
    time_ms purge_requested_at_ms = 0;
    std::vector<deferred_action> actions_after_next_batch;
    std::vector<deferred_action> actions_after_open_batch;
    bool batch_open = false;
    time_ms batch_opened_at_ms = 0;
    /** Whether something changed that may allow a task to be placed. */
    bool plan_needed = false;
    plan_pacing pacing;
    time_ms planned_at_ms = 0;
    time_ms jobs_checked_at_ms = 0;
    /** Tasks whose silent workers an earlier leader had not resolved, and when that was read. */
    std::vector<task_id> inherited_losses;
    time_ms recovered_at_ms = 0;
    /** Monotonic time at which the leader last handled an event late. */
    time_ms handled_late_at_ms = 0;
    worker_pass maintenance;
    worker_pass inspection;
};

/** Job as a previous leader stored it. */
struct stored_job {
    job_spec spec;
    /** Encoded progress; empty if nothing was stored after the job was accepted. */
    std::string progress;
};

/**
 * Rebuilds the state of a new leader. Every assignment is `unverified` until its worker answers
 * under the new fencing token or the worker's lease has expired. Earlier leaders may have renewed
 * leases until `earlier_orders_until_ms` on the monotonic clock. Thread safe.
 */
[[nodiscard]] coordinator_state recover(const settings& limits, std::vector<stored_job> jobs,
                                        instant now, time_ms earlier_orders_until_ms);

/**
 * Applies one event and appends the resulting effects. Calls for the same state must not overlap.
 */
void reduce(coordinator_state& state, instant now, const event& e, effects& out);

/** Returns the number of active jobs of a queue that have not started any task. Thread safe. */
[[nodiscard]] std::size_t pending_jobs(const coordinator_state& state, const std::string& queue);

} // namespace fulmarworks::scheduler
