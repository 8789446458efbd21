#pragma once

#include "instance/event.h"

/** Effects: the external actions that an instance requests. The service layer executes them. */
namespace fulmarworks {

struct load_snapshot {};

/** Reads the log from offset `from`; at the end of the log the read waits for new records. */
struct read_log {
    std::uint64_t from = 0;
    /** Earliest time of the read on the monotonic clock; 0 for at once. */
    time_ms not_before = 0;
};

struct append_batch {
    append_lane lane = append_lane::urgent;
    std::uint64_t batch = 0;
    std::vector<std::string> texts;
};

struct write_snapshot {
    std::uint64_t next_offset = 0;
    std::string text;
};

struct read_host_list {};

struct poll_worker {
    std::string host;
    std::string address;
    std::uint64_t seen_version = 0;
    time_ms wait_ms = 0;
    time_ms lease_ms = 0;
};

struct send_order {
    std::string host;
    std::string address;
    task_order order;
};

struct request_power {
    std::string host;
    bool on = true;
};

struct announce {
    peer_message message;
    /** Addresses of the peers whose announcements to subscribe to. */
    std::vector<std::string> peers;
};

struct reply {
    caller_token token = 0;
    int status = 200;
    json body;
    /** Suggested retry-after delay for the caller; 0 for none. */
    time_ms retry_after_ms = 0;
};

struct exit_process {};

using effect = std::variant<load_snapshot, read_log, append_batch, write_snapshot, read_host_list,
                            poll_worker, send_order, request_power, announce, reply, exit_process>;

using effect_list = std::vector<effect>;

} // namespace fulmarworks
