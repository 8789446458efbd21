#pragma once

#include "ledger/job.h"
#include "protocol/peer.h"
#include "protocol/worker.h"

#include <string>
#include <variant>
#include <vector>

/** Events: the inputs to which an instance reacts. */
namespace fulmarworks {

/** Identifies a caller's open connection. */
using caller_token = std::uint64_t;

enum class append_lane { urgent, bulk };

template <>
struct enum_names<append_lane> {
    static constexpr enum_name<append_lane> names[] = {{append_lane::urgent, "urgent"},
                                                       {append_lane::bulk, "bulk"}};
};

/** Monotonic and wall-clock time at which an event is handled. */
struct event_time {
    time_ms monotonic = 0;
    time_ms wall = 0;
};

struct tick {};

/** The next append of a lane may be due: its minimum interval or retry delay has passed. */
struct appends_due {};

/** The newest snapshot was loaded; `text` is empty if none exists. */
struct snapshot_loaded {
    std::string text;
};

struct snapshot_load_failed {};

struct log_records {
    std::uint64_t first_offset = 0;
    std::vector<std::string> texts;
    /** Offset after the newest record of the log. */
    std::uint64_t tail = 0;
};

/** The requested record has been trimmed from the log. */
struct log_trimmed {};
struct log_read_failed {};

struct append_acknowledged {
    append_lane lane = append_lane::urgent;
    std::uint64_t batch = 0;
};

/** The append failed or timed out; the batch may or may not be in the log. */
struct append_outcome_unknown {
    append_lane lane = append_lane::urgent;
    std::uint64_t batch = 0;
};

struct snapshot_written {
    bool succeeded = false;
};

struct host_list_read {
    std::vector<host_entry> hosts;
};

struct worker_answered {
    std::string host;
    worker_report report;
    /** Whether the report answers a poll rather than an order. */
    bool was_poll = false;
};

/** A poll ended without a change of the worker's state. */
struct worker_unchanged {
    std::string host;
};

struct worker_failed {
    std::string host;
    bool was_poll = false;
};

struct peer_message_received {
    peer_message message;
};

struct caller_submitted {
    caller_token token = 0;
    job_request request;
    time_ms wait_ms = 0;
};

struct caller_queried {
    caller_token token = 0;
    std::string job;
    time_ms wait_ms = 0;
};

struct caller_cancelled {
    caller_token token = 0;
    std::string job;
};

struct caller_published {
    caller_token token = 0;
    std::string publish_id;
    std::uint64_t based_on = 0;
    std::string document;
};

/** The caller closed its connection. */
struct caller_disconnected {
    caller_token token = 0;
};

/** The worker that held a job's result no longer has it. */
struct result_missing {
    std::string job;
    int attempt = 0;
};

struct shutdown_requested {};

using event =
    std::variant<tick, appends_due, snapshot_loaded, snapshot_load_failed, log_records, log_trimmed,
                 log_read_failed, append_acknowledged, append_outcome_unknown, snapshot_written,
                 host_list_read, worker_answered, worker_unchanged, worker_failed,
                 peer_message_received, caller_submitted, caller_queried, caller_cancelled,
                 caller_published, caller_disconnected, result_missing, shutdown_requested>;

} // namespace fulmarworks
