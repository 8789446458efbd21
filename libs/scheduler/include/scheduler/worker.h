#pragma once

#include "scheduler/job.h"

#include <set>
#include <string>
#include <vector>

namespace fulmarworks::scheduler {

/** A worker's registry entry. */
struct worker_report {
    worker_incarnation incarnation;
    /** IP:PORT of the worker's command interface. */
    std::string address;
    std::string pool;
    std::string failure_domain;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    /** Minimum time that a draining worker continues to run. */
    time_ms remaining_ms = 0;
    /** Reading of the worker's clock when it wrote the entry, at most seconds ago; 0 if unknown. */
    time_ms clock_ms = 0;
};

enum class end_reason { done, failed, stopped, lease_expired, gang_broken, gang_incomplete };

/** A run that a worker reports as ended. */
struct ended_run {
    /** Sequence number, counted from 1 in each incarnation of the worker. */
    std::uint64_t sequence = 0;
    task_id task;
    std::uint32_t run = 0;
    end_reason reason = end_reason::done;
    std::string checkpoint;
};

struct active_run {
    task_id task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percent = 0;
};

/** A worker's answer to a poll. */
struct worker_status {
    time_ms started_wall_ms = 0;
    /** Worker's steady clock when it answered. */
    time_ms clock_ms = 0;
    std::vector<active_run> active;
    /** In order of their sequence numbers. */
    std::vector<ended_run> ended;
    /** Whether these lists may lack runs that the worker still knows: it lists only some of its
     * ended runs at a time, or rows could not be read. */
    bool incomplete = false;
    /** Number of rows that could not be read. */
    std::size_t unreadable_rows = 0;
    /** Highest sequence number of an ended run of which nothing else could be read; 0 if none. */
    std::uint64_t last_unreadable_end = 0;
};

/** A run that a worker lists but that matches no current assignment. It still occupies capacity. */
struct orphaned_run {
    task_id task;
    std::uint32_t run = 0;
    resources need;
    time_ms stop_sent_at_ms = 0;
    /**
     * Member of a gang that has completed: the run is about to end, so its capacity already counts
     * as free, but new starts wait until the worker has listed the end.
     */
    bool ending = false;
};

/** A run that was on a worker when the worker was lost. */
struct lost_run {
    task_id task;
    std::uint32_t run = 0;
    /** Whether the run had lasted for the probation time. */
    bool proven = false;
    /** Whether the worker was up when the run's start was sent, as far as is known. */
    bool witnessed = false;
};

struct worker {
    worker_report report;
    /** Whether the worker has a readable registry entry. */
    bool listed = false;
    /** Monotonic time after which the newest registry entry was written; 0 if unknown. */
    time_ms reported_after_ms = 0;
    /** Whether a draining worker has left: its registry entry was deleted too early for a deletion
     * because of silence. All its runs have ended. */
    bool has_left = false;
    /** Earliest monotonic time at which a draining worker may leave. */
    time_ms leaves_at_ms = 0;
    /** Whether the worker has answered under the current fencing token. */
    bool verified = false;
    bool poll_outstanding = false;
    std::uint32_t failed_polls = 0;
    /** Monotonic time at which the latest of `failed_polls` was sent. */
    time_ms failed_poll_sent_at_ms = 0;
    /** Polls since the last answer that were not answered and don't count as failed, as the leader
     * was late. */
    std::uint32_t unheard_polls = 0;
    /** Monotonic time of the first of `failed_polls`. */
    time_ms unreachable_at_ms = 0;
    time_ms poll_sent_at_ms = 0;
    /** Time for which the worker may hold back the answer to the latest poll. */
    time_ms poll_wait_ms = 0;
    time_ms answered_at_ms = 0;
    /** Monotonic time at which the worker last cut off a poll that it had received; 0 if it never
     * did. It was up until then. */
    time_ms disconnected_at_ms = 0;
    /** Latest monotonic time at which the current incarnation is known to have been running. */
    time_ms alive_at_ms = 0;
    /**
     * Reading of the worker's clock and the leader's monotonic time at that moment, for conversion.
     */
    time_ms clock_reference_ms = 0;
    time_ms clock_reference_at_ms = 0;
    /** Latest lease end granted so far, on the worker's clock. */
    time_ms lease_ends_at_worker_ms = 0;
    /** Monotonic time after which every lease granted to the worker so far has expired. */
    time_ms lease_expiry_bound_ms = 0;
    /** Whether an earlier leader may still extend the lease: the worker holds runs of an earlier
     * term and hasn't answered under the current fencing token. */
    bool earlier_leader_may_renew = false;
    /**
     * Highest sequence number of an ended run that was applied, and highest one whose effect is
     * stored.
     */
    std::uint64_t applied_sequence = 0;
    std::uint64_t stored_sequence = 0;
    std::set<task_id> assigned;
    std::vector<orphaned_run> orphaned_runs;
    /**
     * Runs that were released because the worker was silent until its lease had expired. It is not
     * known yet whether the worker crashed.
     */
    std::vector<lost_run> lost_runs;
    /** Monotonic time at which `lost_runs` were released. */
    time_ms runs_lost_at_ms = 0;
    /** Jobs with failed runs on this worker since a task last completed there. */
    std::set<std::string> failed_jobs;
    /** Monotonic time at which a run last completed here; 0 if none did. */
    time_ms completed_run_at_ms = 0;
    time_ms quarantined_until_ms = 0;
};

/** Returns a lower bound of the worker's clock at `now_ms`. Thread safe. */
[[nodiscard]] time_ms worker_clock(const worker& w, time_ms now_ms);

/** Records that the worker may hold a lease until `end_at_worker_ms` on its clock. */
void grant_lease(worker& w, time_ms end_at_worker_ms);

} // namespace fulmarworks::scheduler
