#pragma once

#include "ledger/state.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarworks {

/** Mechanisms that benchmarks switch off one at a time. */
struct planner_options {
    /** Off: everything in order of arrival. */
    bool urgent_first = true;
    bool fair_share = true;
    bool reservations = true;
    bool learned_run_times = true;
    bool preempt_for_urgent = true;
    bool reclaim = true;
    bool power_management = true;
    /** Keeps accelerators free for the urgent work that is expected. */
    bool urgent_headroom = true;
    /** Packs hosts in a fixed order where fragmentation weighs more than completion time. */
    bool consolidate = true;
    /** Moves checkpointable work where fragmentation weighs more than completion time. */
    bool defragment = true;
    /** Small jobs wait before they break into the free block of a guarantee. */
    bool protect_idle_guarantees = true;
    /** On: the first host that fits instead of the best one. */
    bool first_fit = false;
    /** Off: stops at the first job that can't be placed. */
    bool backfill = true;
};

/** Hosts kept for a large job from a date on. */
struct host_reservation {
    std::vector<host_index> hosts;
    time_ms start_at = 0;
    time_ms made_at = 0;
    /** Order in which reservations were first made; a job gives way only to lower ranks. */
    std::uint64_t rank = 0;
};

/**
 * What a planner remembers between steps. None of it must survive: a successor starts empty and
 * at worst repeats a preemption, which `apply` drops.
 */
struct planner_state {
    std::map<std::string, host_reservation> reservations;
    std::uint64_t next_reservation_rank = 1;
    /** When work was last stopped for a waiting job. */
    std::map<std::string, time_ms> preempted_for;
    /** Since when a spare host has had nothing to do. */
    std::map<host_index, time_ms> idle_since;
    time_ms power_changed_at = 0;
    /** Smoothed mean and variance of the accelerators that urgent work holds. */
    double urgent_mean = 0;
    double urgent_variance = 0;
    time_ms urgent_sampled_at = 0;
    /** Hosts that are being emptied for a large shape, in ascending order, and until when. */
    std::vector<host_index> draining;
    time_ms draining_until = 0;
    time_ms next_defragment_at = 0;
};

/** Upper bound on the placements of one step, so that a step stays short. */
inline constexpr std::size_t max_placements_per_step = 256;

/**
 * Decides what to do next and returns it as records to append. The state is used for tentative
 * placements and is unchanged afterwards.
 *
 * Order: urgent jobs by deadline; then jobs of accounts below their guarantee; then by used
 * accelerators over weight (weighted fair share). Large jobs that don't fit get a dated
 * reservation, and others are backfilled behind it by expected run time (EASY backfill with
 * predicted run times; Tsafrir et al., TPDS 2007).
 *
 * Precondition: `now` is the wall clock. Not thread safe.
 */
[[nodiscard]] std::vector<record_body> plan_step(ledger_state& s, planner_state& memory,
                                                 time_ms now, const planner_options& options);

} // namespace fulmarworks
