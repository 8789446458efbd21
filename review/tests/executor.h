#pragma once

#include "base/json.h"
#include "http/http_server.h"
#include "run_ledger.h"
#include "soak_store.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmarworks::review {

/** What an executor does to the calls and runs that reach it. */
enum class executor_fault {
    none,
    fails_runs,     // every run fails soon after its start
    refuses_starts, // answers each start with 503 and does nothing
    silent,         // answers no call and writes no heartbeats; its runs go on
    lost,           // the same, and its runs are gone
};

struct executor_settings {
    std::string id;
    std::string address;
    std::string kind = "a";
    std::string rack = "r0";
    std::string pool = "pool";
    int gpu = 8;
    int cpu = 128000;
};

/** Number of present members of each gang run. All executors share it. */
using gang_members = std::map<std::string, int>;

/**
 * A stand-in for one executor of the platform, after the pages: fencing tokens, leases on its own
 * clock, runs, lists of ends of which 500 are returned at a time, heartbeats. It doesn't guard its
 * capacity. A job's spec says how long its tasks run. Not thread safe.
 */
class executor {
public:
    executor(event_loop& loop, soak::soak_store& store, run_ledger& ledger, gang_members& gangs,
             executor_settings settings);

    [[nodiscard]] result<bool> listen();

    void set_fault(executor_fault fault);
    /** Whether starts get no answer and are carried out after `delay_ms`; 0 ends this. */
    void set_late_starts(time_ms delay_ms) { late_start_ms_ = delay_ms; }
    /** Ends all runs and starts again under the same id, without any state. */
    void restart();
    /** Advances the runs, answers polls and writes heartbeats. */
    void advance();

    [[nodiscard]] const executor_settings& settings() const { return settings_; }
    [[nodiscard]] std::size_t active_runs() const { return runs_.size(); }
    [[nodiscard]] int used_gpu() const;
    [[nodiscard]] bool is_unreachable() const;

private:
    struct shape {
        int gpu = 0;
        time_ms run_ms = 0;
        int gang_size = 0;
    };
    struct active {
        std::string task;
        int run = 0;
        shape work;
        time_ms started_at = 0;
        double progress_ms = 0;
        time_ms stop_at = 0;
        bool gang_was_present = false;
    };
    struct end {
        std::uint64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
        /** Whether the lease lapsed before the end was taken note of. */
        bool lapsed = false;
    };
    struct waiting_poll {
        time_ms deadline = 0;
        std::uint64_t seen = 0;
    };

    void handle(const http_request& request, std::uint64_t token);
    http_response start(const json& order);
    http_response stop(const json& order);
    void poll(const json& order, std::uint64_t token);
    [[nodiscard]] http_response reply(int status, json body) const;
    [[nodiscard]] http_response lists() const;
    [[nodiscard]] bool accept_fence(const json& order);
    void extend_lease(const json& order);
    [[nodiscard]] time_ms clock() const;
    [[nodiscard]] static shape decode_shape(const json& order);
    [[nodiscard]] std::string gang_key(const active& run) const;
    [[nodiscard]] std::string end_of(const active& run) const;
    void end_run(std::size_t index, const std::string& how);
    void heartbeat();
    /** Ends all runs without listing them, as a crash does. */
    void drop_runs();

    event_loop& loop_;
    soak::soak_store& store_;
    run_ledger& ledger_;
    gang_members& gangs_;
    executor_settings settings_;
    std::unique_ptr<http_server> server_;
    executor_fault fault_ = executor_fault::none;
    time_ms late_start_ms_ = 0;
    time_ms born_wall_ms_ = wall_now();
    time_ms born_at_ = monotonic_now();
    time_ms advanced_at_ = monotonic_now();
    time_ms beat_at_ = 0;
    bool listed_ = false;
    std::uint64_t beats_ = 0;
    std::uint64_t fence_ = 0;
    time_ms lease_end_ = 0;
    std::uint64_t last_end_ = 0;
    std::vector<active> runs_;
    std::vector<end> ends_;
    std::map<std::string, int> closed_;
    std::map<std::uint64_t, waiting_poll> polls_;
};

/** Returns a spec whose tasks run for `run_ms`, plus up to `spread_ms` by the task's index. */
[[nodiscard]] std::string make_spec(time_ms run_ms, time_ms spread_ms, int gpu, int gang_size = 0);

} // namespace fulmarworks::review
