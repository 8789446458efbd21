#pragma once

#include "http/http_server.h"
#include "invariant_checker.h"
#include "soak_store.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fulmarworks::soak {

enum class worker_fault {
    none,
    unreachable, // doesn't answer or write heartbeats; its runs continue until the lease expires
    hang,        // runs make no progress
    slow,        // runs take five times as long
    fail_tasks,  // every run fails
    late_starts, // doesn't answer start orders and executes them seconds later
};

/** Number of present members of each gang run, by JOB.STEP.RUN. All workers share it. */
using gang_member_counts = std::map<std::string, int>;

/** References that a worker needs. All outlive the worker. */
struct worker_context {
    event_loop& loop;
    soak_store& store;
    invariant_checker& checker;
    gang_member_counts& gangs;
};

/**
 * A stand-in for one worker of the platform. It executes orders under fencing tokens and leases,
 * reports running and ended runs, and writes heartbeats to the registry. Not thread safe.
 */
class soak_worker {
public:
    soak_worker(worker_context context, std::string id, std::string address, std::string rack,
                double clock_rate);

    [[nodiscard]] result<bool> listen();

    void set_fault(worker_fault fault) { fault_ = fault; }

    /** Changes the capacity and reports it at once. Runs continue. */
    void set_capacity(const scheduler::resources& capacity);

    /** Starts a new incarnation with the same id, without the runs and the state of the old one. */
    void restart();

    /** Reports the worker as draining; it leaves the registry `linger_ms` after the announced
     * `remaining_ms`. */
    void drain(time_ms remaining_ms, time_ms linger_ms);

    /** Joins again as a new incarnation; does nothing unless the worker drains or has left. */
    void rejoin();

    /** Advances runs, ends those that are due, answers polls, and writes heartbeats. */
    void advance();

private:
    struct run_state {
        task_name task;
        int run = 0;
        step_shape shape;
        double progress_ms = 0;
        time_ms started_at = 0;
        /** Monotonic time at which an ordered stop takes effect; 0 without such an order. */
        time_ms stop_at = 0;
        bool gang_was_present = false;
    };

    struct end_record {
        std::uint64_t number = 0;
        task_name task;
        int run = 0;
        std::string reason;
    };

    struct waiting_poll {
        time_ms deadline = 0;
        std::uint64_t seen_end_number = 0;
    };

    void handle(const http_request& request, std::uint64_t token);
    /** `held_up` says whether the worker carries the order out late by itself. */
    [[nodiscard]] http_response start(const json& order, bool held_up);
    [[nodiscard]] http_response stop(const json& order);
    void poll(const json& order, std::uint64_t token);
    [[nodiscard]] bool accept_token(const json& order);
    [[nodiscard]] std::string refusal_reason(const json& order, const task_name& task,
                                             int run) const;
    void extend_lease(const json& order);
    [[nodiscard]] http_response make_report() const;
    [[nodiscard]] time_ms clock() const;
    [[nodiscard]] scheduler::resources used() const;
    [[nodiscard]] bool is_gang_present(const run_state& run) const;
    void advance_run(run_state& run, time_ms elapsed_ms);
    [[nodiscard]] std::string end_reason_of(const run_state& run) const;
    void end_run(std::size_t index, const std::string& reason);
    void heartbeat();
    /** Ends all runs for `reason` and forgets the state of the incarnation. */
    void reset_state(const std::string& reason);
    /** Answers nobody for some time, then starts again, every second time under another id. */
    void crash();
    [[nodiscard]] bool is_silent() const;
    /** Returns the capacity that starts have to respect: a smaller one only after a while. */
    [[nodiscard]] scheduler::resources enforced_capacity() const;

    worker_context context_;
    std::string id_;
    std::string address_;
    std::string rack_;
    /** Rate of the worker's own clock relative to real time. */
    double clock_rate_;
    worker_fault fault_ = worker_fault::none;
    scheduler::resources capacity_;
    scheduler::resources previous_capacity_;
    time_ms capacity_changed_at_ = 0;
    int crash_count_ = 0;
    /** Monotonic time until which a crashed worker is down; 0 unless it has crashed. */
    time_ms down_until_ = 0;
    bool has_left_ = false;
    bool draining_ = false;
    time_ms announced_leave_at_ = 0;
    time_ms leave_at_ = 0;
    /** Wall time of the start; identifies the incarnation. */
    time_ms started_wall_ = 0;
    time_ms clock_started_at_ = 0;
    time_ms last_advance_at_ = 0;
    time_ms last_heartbeat_at_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t highest_token_ = 0;
    /** On the worker's own clock. */
    time_ms lease_end_ = 0;
    std::uint64_t last_end_number_ = 0;
    std::vector<run_state> runs_;
    std::vector<end_record> unacknowledged_ends_;
    /** Highest stopped or ended run of each task; runs up to it are refused. */
    std::map<std::string, int> highest_closed_run_;
    std::map<std::uint64_t, waiting_poll> polls_;
    std::unique_ptr<http_server> server_;
};

} // namespace fulmarworks::soak
