#pragma once

#include "instance/effect.h"
#include "instance/instance_settings.h"
#include "ledger/apply.h"
#include "policy/planner.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace fulmarworks {

struct pending_record {
    std::uint64_t sequence = 0;
    record_body body;
};

/** Queue of records of one priority to append to the log; at most one batch is in flight. */
struct append_lane_state {
    std::deque<pending_record> queue;
    std::vector<std::string> in_flight;
    std::uint64_t batch = 0;
    std::uint64_t next_sequence = 1;
    /** Sequence number of the last record in flight. */
    std::uint64_t in_flight_sequence = 0;
    bool awaiting_answer = false;
    time_ms next_append_at = 0;
    /** Time of the first attempt to send the batch in flight. */
    time_ms sent_at = 0;
    int failures = 0;
};

enum class caller_wait { acceptance, cancellation, final_outcome };

/** A caller that waits for a job to reach the state given by `until`. */
struct waiting_caller {
    caller_token token = 0;
    time_ms answer_by = 0;
    caller_wait until = caller_wait::acceptance;
};

struct waiting_publisher {
    caller_token token = 0;
    time_ms answer_by = 0;
};

/** State that the owner of a rack keeps about one of its workers. */
struct worker_link {
    std::string address;
    bool listed_leaving = false;
    bool poll_outstanding = false;
    time_ms next_poll_at = 0;
    /** Monotonic time of the last answer; initially, the time at which the link was created. */
    time_ms last_answer_at = 0;
    bool has_report = false;
    worker_report report;
    /** Earliest times of the next attempt for orders and records already sent, by their keys. */
    std::map<std::string, time_ms> retry_at;
};

struct peer_state {
    time_ms last_heard_at = 0;
    /** Monotonic time at which this instance first saw the open suspicion at `suspected_offset`. */
    time_ms suspected_at = 0;
    std::uint64_t suspected_offset = 0;
};

enum class instance_phase { loading, following, leaving, stopped };

/** State of one instance: the ledger built from the log, and state local to this process. */
struct instance_state {
    instance_settings settings;
    planner_options planner;
    instance_phase phase = instance_phase::loading;
    ledger_state ledger;
    event_time now;

    std::uint64_t log_tail = 0;
    time_ms last_log_answer_at = 0;
    /** Exponentially smoothed time from sending a batch to its acknowledgement. */
    double append_latency_ms = 0;
    int log_failures = 0;
    append_lane_state urgent;
    append_lane_state bulk;

    std::uint64_t last_snapshot_offset = 0;
    time_ms next_snapshot_at = 0;
    bool snapshot_in_progress = false;
    /** Time of the next attempt to load a snapshot; 0 while one is loading or none is needed. */
    time_ms next_load_at = 0;

    std::map<host_index, worker_link> workers;
    std::map<std::string, host_entry> host_list;
    time_ms next_host_list_at = 0;
    std::map<host_index, time_ms> power_retry_at;

    std::map<std::string, peer_state> peers;
    time_ms next_announce_at = 0;
    time_ms next_join_at = 0;
    /** Earliest times of the next attempt for records about instances and lost results. */
    std::map<std::string, time_ms> membership_retry_at;
    /** Highest configuration version that a peer has announced. */
    std::uint64_t newest_peer_config_version = 0;

    std::map<std::string, std::vector<waiting_caller>> callers;
    /** Digests of submitted requests whose records are not yet applied, by job id. */
    std::map<std::string, std::string> submitted;
    std::map<std::string, waiting_publisher> publishers;
    int waiting_callers = 0;

    planner_state planning;
    bool planning_requested = false;
    /** Whether records of the last planning step are not yet applied. */
    bool plan_in_flight = false;
    std::uint64_t plan_sequence = 0;
    time_ms next_plan_at = 0;

    time_ms shutdown_at = 0;
    /** Numbers of refusals, retries and other events of this process, by name. */
    std::map<std::string, std::uint64_t> counters;
};

/** Returns whether the instance is a caught-up member and can take requests. */
[[nodiscard]] bool is_ready(const instance_state& s);

/** Returns whether the log has answered within `log_silence_ms`. */
[[nodiscard]] bool is_log_available(const instance_state& s);

} // namespace fulmarworks
