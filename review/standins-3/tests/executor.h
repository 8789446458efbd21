#pragma once

#include "base/json.h"
#include "http/http_server.h"
#include "record.h"
#include "soak_store.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmarworks::review {

struct executor_options {
    std::string id;
    std::string address;
    std::string rack = "r1-1";
    std::string service = "svc1";
    int cpu = 64000;
    int memory_mb = 131072;
    int gpu = 8;
};

/** Members of the run of a gang; they may be on several executors. */
struct gang_run {
    int present = 0;
    /** 0 until all members are present. */
    time_ms all_present_at = 0;
    bool broken = false;
    bool done = false;
};
using gang_runs = std::map<std::string, gang_run>;

/**
 * A stand-in executor that follows the platform's pages on running tasks. A spec is a JSON object:
 * `ms` is the work of a task (0: it lasts), `gang` the number of members of its gang (0: none),
 * `gpu` what it takes, and `fails` whether it can't be done. Not thread safe.
 */
class executor {
public:
    executor(event_loop& loop, soak::soak_store& store, record& log, gang_runs& gangs,
             executor_options options);

    /** Begins a life: nothing runs, nothing is known of before, and all counts start anew. */
    void start();
    /** Ends the life at once. Connections end, new ones are refused, and nothing is sent. */
    void crash();
    [[nodiscard]] bool is_up() const { return server_ != nullptr; }

    /** A cut executor runs on, but nothing reaches it or leaves it. */
    void set_cut(bool cut) { cut_ = cut; }
    [[nodiscard]] bool is_cut() const { return cut_; }

    /** The executor's time of day is ahead of the true one by this much. */
    void set_time_of_day_offset(time_ms offset_ms) { day_offset_ms_ = offset_ms; }

    /** The next order to start gets no answer and is carried out after the delay. */
    void carry_out_next_start_late(time_ms delay_ms) { late_by_ms_ = delay_ms; }
    [[nodiscard]] bool start_is_held() const { return held_starts_ > 0; }

    [[nodiscard]] const std::string& id() const { return options_.id; }
    void set_id(const std::string& id) { options_.id = id; }
    /** Returns whether a run of the task works here. */
    [[nodiscard]] bool works_on(const std::string& task) const;
    [[nodiscard]] bool is_idle() const { return runs_.empty(); }
    [[nodiscard]] time_ms born() const { return born_; }

private:
    struct active_run {
        std::string task;
        int run = 0;
        /** 0: until it is stopped. */
        time_ms run_ms = 0;
        time_ms started_at = 0;
        time_ms stop_at = 0;
        /** Work done before this run. */
        time_ms restored_ms = 0;
        int gang = 0;
        bool fails = false;
        std::size_t span = 0;
    };
    struct listed_end {
        std::uint64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
        std::string saved;
        std::size_t span = 0;
    };
    struct waiting_poll {
        time_ms until = 0;
        std::uint64_t seen = 0;
    };

    [[nodiscard]] time_ms clock() const;
    [[nodiscard]] time_ms work_done(const active_run& r) const;
    [[nodiscard]] std::string saved(const active_run& r) const;
    [[nodiscard]] std::string end_of(const active_run& r) const;
    [[nodiscard]] gang_run& gang_of(const active_run& r) const;
    void handle(const http_request& request, std::uint64_t token);
    http_response start_run(const json& order, const std::string& remark);
    http_response stop_run(const json& order);
    void hold(const json& order, std::uint64_t token);
    [[nodiscard]] http_response reply(int status, json body) const;
    [[nodiscard]] http_response lists() const;
    bool accept_token(const json& order);
    void extend_lease(const json& order);
    void advance();
    void end_run(std::size_t index, const std::string& how);
    void heartbeat();

    event_loop& loop_;
    soak::soak_store& store_;
    record& log_;
    gang_runs& gangs_;
    executor_options options_;
    std::unique_ptr<http_server> server_;
    time_ms day_offset_ms_ = 0;
    time_ms born_ = 0;
    time_ms life_started_at_ = 0;
    time_ms crashed_at_ = 0;
    bool listed_ = false;
    bool cut_ = false;
    time_ms last_beat_at_ = 0;
    std::uint64_t beats_ = 0;
    std::uint64_t highest_token_ = 0;
    time_ms lease_end_ = 0;
    std::uint64_t last_end_ = 0;
    std::vector<active_run> runs_;
    std::vector<listed_end> ends_;
    std::map<std::string, int> closed_;
    std::map<std::uint64_t, waiting_poll> polls_;
    time_ms late_by_ms_ = 0;
    int held_starts_ = 0;
};

} // namespace fulmarworks::review
