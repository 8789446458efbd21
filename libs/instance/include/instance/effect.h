#pragma once

#include "instance/event.h"

/** Everything that an instance can do to the outside. */
namespace fulmarworks {

struct load_snapshot {};

/** Reads the log from an offset on; waits for new records at its end. */
struct read_log {
    std::uint64_t from = 0;
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
    /** Addresses of the instances to listen to. */
    std::vector<std::string> peers;
};

struct reply {
    caller_token token = 0;
    int status = 200;
    json body;
    /** When the caller should come back; 0 for no advice. */
    time_ms retry_after_ms = 0;
};

struct exit_process {};

using effect = std::variant<load_snapshot, read_log, append_batch, write_snapshot, read_host_list,
                            poll_worker, send_order, request_power, announce, reply, exit_process>;

using effect_list = std::vector<effect>;

} // namespace fulmarworks
