#pragma once

#include "scheduler/job.h"

#include <set>
#include <string>
#include <vector>

namespace fulmarworks::scheduler {

/** What a worker says of itself in the registry. */
struct worker_report {
    worker_incarnation incarnation;
    /** IP:PORT of its command interface. */
    std::string address;
    std::string pool;
    std::string failure_domain;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    /** Least time that a draining worker still runs. */
    time_ms remaining_ms = 0;
    /** Reading of the worker's clock when it wrote the entry, seconds ago at most; 0 if unknown. */
    time_ms clock_ms = 0;
};

enum class end_reason { done, failed, stopped, lease_expired, gang_broken, gang_incomplete };

/** A run that a worker lists as ended. */
struct ended_run {
    /** Numbered from 1 in each incarnation of the worker. */
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

/** Answer of a worker to a renewal of its lease. */
struct worker_status {
    time_ms started_wall_ms = 0;
    /** Steady clock of the worker when it answered. */
    time_ms clock_ms = 0;
    std::vector<active_run> active;
    std::vector<ended_run> ended;
};

/** A run that a worker lists and that belongs to no current assignment; it still takes room. */
struct orphaned_run {
    task_id task;
    std::uint32_t run = 0;
    resources need;
    time_ms stop_sent_at_ms = 0;
    /** Member of a gang that is complete: it ends at this moment, so its room is given away
     * already, and starts wait until its worker has listed the end. */
    bool ending = false;
};

struct worker {
    worker_report report;
    /** Present in the registry. */
    bool listed = false;
    /** Monotonic time since which it isn't. */
    time_ms unlisted_since_ms = 0;
    /** Monotonic time until which a draining worker runs at least. */
    time_ms leaves_at_ms = 0;
    /** Answered under the current fencing token. */
    bool verified = false;
    bool poll_outstanding = false;
    std::uint32_t failed_polls = 0;
    time_ms poll_sent_at_ms = 0;
    time_ms answered_at_ms = 0;
    /** Newest moment at which the current life is known to have been alive. */
    time_ms alive_at_ms = 0;
    /** A pair of readings of the worker's clock and ours, for conversion. */
    time_ms clock_reference_ms = 0;
    time_ms clock_reference_at_ms = 0;
    /** Latest lease end that any poll granted, on the worker's clock. */
    time_ms lease_ends_at_worker_ms = 0;
    /** Monotonic time after which nothing that was leased there before can be alive. */
    time_ms lease_expiry_bound_ms = 0;
    /** Highest end applied to the state, and highest end whose effect is stored. */
    std::uint64_t applied_sequence = 0;
    std::uint64_t stored_sequence = 0;
    std::set<task_id> assigned;
    std::vector<orphaned_run> orphaned_runs;
    /** Failed or stalled runs since the last completed one, each of another job. */
    std::set<std::string> failed_jobs;
    time_ms quarantined_until_ms = 0;
};

/** Returns the least reading that the worker's clock can show at `now_ms`. Thread safe. */
[[nodiscard]] time_ms worker_clock(const worker& w, time_ms now_ms);

/** Records that the worker may hold a lease until `end_at_worker_ms` on its clock. */
void grant_lease(worker& w, time_ms end_at_worker_ms);

} // namespace fulmarworks::scheduler
