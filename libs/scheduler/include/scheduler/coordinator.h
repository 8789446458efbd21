#pragma once

#include "scheduler/capacity_index.h"
#include "scheduler/effect.h"
#include "scheduler/event.h"
#include "scheduler/settings.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fulmarworks::scheduler {

/** The two clocks that decisions read. */
struct instant {
    /** Never goes back; counts suspended time. */
    time_ms monotonic_ms = 0;
    /** May jump; only due times of occurrences use it. */
    time_ms wall_ms = 0;
};

/** Something that may happen only once the state that it follows from is stored. */
struct deferred_start {
    task_id task;
    std::uint32_t run = 0;
};
struct deferred_observation {
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
using deferred_action =
    std::variant<deferred_start, deferred_observation, deferred_cancel_answer, deferred_visibility>;

/** A round over all workers, spread over as many ticks as it takes. */
struct worker_round {
    time_ms started_at_ms = 0;
    /** First worker that wasn't visited yet; empty between rounds. */
    std::string next;
};

/**
 * Everything that the leader knows: jobs, workers and what is being stored.
 *
 * Writes go ahead of actions: a start is sent, an end confirmed and a cancellation answered only
 * after the progress that says so is stored. Changes collect in `changed_jobs` while one batch is
 * open.
 */
struct coordinator_state {
    settings limits;
    std::map<std::string, std::unique_ptr<job>> jobs;
    std::map<std::string, worker> workers;
    guarantees account_guarantees;

    /** Room of all workers; worked out from the rest. */
    capacity_index capacities;
    /** Active jobs that may have idle tasks; a plan takes out those that have none. */
    std::set<std::string> waiting_jobs;
    /** Active jobs of which an occurrence may come due. */
    std::set<std::string> recurring_jobs;
    /** Accelerators that all active urgent jobs of an account need at once. */
    std::map<std::string, std::int64_t> urgent_demand;

    /** Jobs whose stored progress can't be decoded; they are shown as running and never started. */
    std::set<std::string> unreadable_jobs;

    std::set<std::string> changed_jobs;
    /** Jobs whose submissions are gone; their progress goes with the next batch. */
    std::vector<std::string> deleted_jobs;
    /** Monotonic time at which submissions were last asked to be forgotten. */
    time_ms purge_requested_at_ms = 0;
    std::vector<deferred_action> actions_after_next_batch;
    std::vector<deferred_action> actions_after_open_batch;
    bool batch_open = false;
    time_ms batch_opened_at_ms = 0;
    /** Something changed that may let a task be placed. */
    bool plan_needed = false;
    time_ms planned_at_ms = 0;
    time_ms jobs_checked_at_ms = 0;
    worker_round maintenance;
    worker_round inspection;
};

/** Progress of one job as an earlier leader stored it. */
struct stored_job {
    job_spec spec;
    /** Empty if nothing was stored after the acceptance. */
    std::string progress;
};

/** What is known of the leader before. */
enum class predecessor {
    ended,        // it can't renew any worker's lease any more
    may_be_alive, // it may go on for a while
};

/**
 * Rebuilds the state of a new leader. Every assignment is unsettled until its worker answers under
 * the new fencing token or its lease has run out. Thread safe.
 */
[[nodiscard]] coordinator_state recover(const settings& limits, std::vector<stored_job> jobs,
                                        instant now, predecessor previous);

/** Applies one event and appends what follows from it. Not thread safe for one state. */
void reduce(coordinator_state& state, instant now, const event& e, effects& out);

/** Returns the number of jobs of a queue that no task was started of. Thread safe. */
[[nodiscard]] std::size_t pending_jobs(const coordinator_state& state, const std::string& queue);

} // namespace fulmarworks::scheduler
