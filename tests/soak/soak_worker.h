#pragma once

#include "http/http_server.h"
#include "rule_book.h"
#include "soak_store.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fulmarworks::soak {

/** How a worker misbehaves. */
enum class worker_fault {
    none,
    unreachable, // answers nothing and writes no heartbeat; what it runs goes on until its lease
    hang,        // runs make no progress
    slow,        // runs take five times as long
    fail_tasks,  // every run fails
    late_orders, // starts get no answer and are carried out seconds later
};

/** Tells whether all members of a gang's run are present; shared by all workers. */
using gang_presence = std::map<std::string, int>;

/** What a worker needs of the soak around it. All outlive the worker. */
struct worker_context {
    event_loop& loop;
    soak_store& store;
    rule_book& rules;
    gang_presence& gangs;
};

/**
 * One worker of the platform: it carries out orders under fencing tokens and leases, lists what
 * runs and what ended, and writes heartbeats into the registry. Not thread safe.
 */
class soak_worker {
public:
    soak_worker(worker_context context, std::string id, std::string address, std::string rack,
                double clock_rate);

    [[nodiscard]] result<bool> listen();

    void set_fault(worker_fault fault) { fault_ = fault; }

    /** Dies and starts again at once with the same id: it runs and knows nothing. */
    void restart();

    /** Reports that it drains; it leaves after `remaining_ms`. */
    void drain(time_ms remaining_ms);

    /** Comes back after it left. */
    void come_back();

    /** Moves runs on and ends them. */
    void advance();

private:
    struct run_state {
        task_name task;
        int run = 0;
        step_shape shape;
        double done_ms = 0;
        time_ms began_at = 0;
        /** 0 unless a stop was ordered. */
        time_ms stops_at = 0;
        bool was_complete = false;
    };

    struct end_record {
        std::uint64_t number = 0;
        task_name task;
        int run = 0;
        std::string how;
    };

    struct waiting_poll {
        time_ms answer_by = 0;
        std::uint64_t seen = 0;
    };

    void handle(const http_request& request, std::uint64_t token);
    [[nodiscard]] http_response start(const json& order);
    [[nodiscard]] http_response stop(const json& order);
    void poll(const json& order, std::uint64_t token);
    [[nodiscard]] bool accept_token(const json& order);
    [[nodiscard]] std::string refusal_of(const json& order, const task_name& task, int run) const;
    void extend_lease(const json& order);
    [[nodiscard]] http_response lists() const;
    [[nodiscard]] time_ms clock() const;
    [[nodiscard]] scheduler::resources used() const;
    [[nodiscard]] bool gang_present(const run_state& run) const;
    void move_on(run_state& run, time_ms passed_ms);
    [[nodiscard]] std::string end_of(const run_state& run) const;
    void end(std::size_t index, const std::string& how);
    void heartbeat();
    void drop_everything();

    worker_context context_;
    std::string id_;
    std::string address_;
    std::string rack_;
    double clock_rate_;
    worker_fault fault_ = worker_fault::none;
    bool gone_ = false;
    bool draining_ = false;
    time_ms leaves_at_ = 0;
    time_ms born_wall_ = 0;
    time_ms began_at_ = 0;
    time_ms advanced_at_ = 0;
    time_ms heartbeat_at_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t highest_token_ = 0;
    time_ms lease_ends_ = 0;
    std::uint64_t ends_ = 0;
    std::vector<run_state> runs_;
    std::vector<end_record> ended_;
    std::map<std::string, int> barred_;
    std::map<std::uint64_t, waiting_poll> polls_;
    std::unique_ptr<http_server> server_;
};

} // namespace fulmarworks::soak
