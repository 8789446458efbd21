#pragma once

#include "ledger/state.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarworks {

/** Features of the planner; benchmarks switch them off one at a time. */
struct planner_options {
    /** If off, all jobs are planned in order of arrival. */
    bool urgent_first = true;
    bool fair_share = true;
    bool reservations = true;
    bool learned_run_times = true;
    bool preempt_for_urgent = true;
    bool reclaim = true;
    bool power_management = true;
    /** Keeps accelerators free for the expected peak of urgent jobs. */
    bool urgent_headroom = true;
    /** Fills hosts in a fixed order if fragmentation weighs more than completion time. */
    bool consolidate = true;
    /** Moves checkpointable jobs if fragmentation weighs more than completion time. */
    bool defragment = true;
    /** Delays small jobs before they borrow from a guarantee whose blocks are all free. */
    bool protect_idle_guarantees = true;
    /** If on, uses the first host that fits instead of the best one. */
    bool first_fit = false;
    /** If off, each pass over the queues ends at the first job that can't be placed. */
    bool backfill = true;
};

/** Hosts reserved for a large job from `start_at` on. */
struct host_reservation {
    std::vector<host_index> hosts;
    time_ms start_at = 0;
    /** Time of the last computation of `hosts` and `start_at`. */
    time_ms updated_at = 0;
    /** Order of creation. A job with a reservation yields only to those of a lower rank. */
    std::uint64_t rank = 0;
};

/**
 * State that the planner keeps between steps. It isn't persisted: a new leader starts with an empty
 * state and at worst repeats a preemption, which `apply` drops.
 */
struct planner_state {
    std::map<std::string, host_reservation> reservations;
    std::uint64_t next_reservation_rank = 1;
    /** Time of the last preemption on behalf of a queued job, by its id. */
    std::map<std::string, time_ms> preempted_for_at;
    /** Start of the idle time of each idle spare host. */
    std::map<host_index, time_ms> idle_since;
    time_ms last_power_on_at = 0;
    /** Exponentially smoothed mean and variance of the accelerators in use by urgent jobs. */
    double urgent_mean = 0;
    double urgent_variance = 0;
    time_ms urgent_sampled_at = 0;
    /**
     * Hosts being emptied for the largest guaranteed shape, in ascending order. Small jobs avoid
     * them until `draining_until`.
     */
    std::vector<host_index> draining_hosts;
    time_ms draining_until = 0;
    time_ms next_defragment_at = 0;
};

/** Maximum number of placements per step, which bounds the duration of a step. */
inline constexpr std::size_t max_placements_per_step = 256;

/**
 * Makes the decisions of one step and returns them as records to append to the log. Allocates
 * tentative placements in `s` and releases them before it returns.
 *
 * Order: urgent jobs by deadline; then jobs of accounts below their guarantee; then by used
 * accelerators over weight (weighted fair share). A large job that doesn't fit gets a reservation
 * with an expected start time. Other jobs are backfilled around it by expected run time (EASY
 * backfill with predicted run times; Tsafrir et al., TPDS 2007).
 *
 * Precondition: `now` is the wall clock. Not thread safe.
 */
[[nodiscard]] std::vector<record_body> plan_step(ledger_state& s, planner_state& planner,
                                                 time_ms now, const planner_options& options);

} // namespace fulmarworks
