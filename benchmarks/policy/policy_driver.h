#pragma once

#include "policy/planner.h"
#include "workload.h"

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace fulmarworks {

/** Hosts that fail at fixed times of a run. */
struct host_fault {
    time_ms at = 0;
    time_ms back_at = 0;
    std::string host_prefix;
};

struct policy_run {
    std::string config_document;
    planner_options options;
    std::vector<arriving_job> jobs;
    std::vector<host_fault> faults;
    /** Hosts on which every task fails at once. */
    std::vector<std::string> bad_hosts;
    time_ms end = 0;
};

/** What one job experienced. */
struct job_outcome {
    std::string job_class;
    std::string account;
    time_ms submitted_at = 0;
    time_ms first_start_ms = -1;
    time_ms completion_ms = -1;
    time_ms run_ms = 0;
    bool needs_guarantee = false;
};

struct policy_result {
    std::vector<job_outcome> outcomes;
    double fragmentation = 0;
    double idle_share = 0;
    double host_hours_on = 0;
    double done_accelerator_hours = 0;
    double lost_accelerator_hours = 0;
    std::vector<time_ms> reclaim_ms;
    int plan_infeasible_ms = 0;
    std::map<std::string, std::uint64_t> counters;
    int unfinished = 0;
};

/**
 * Feeds the reducer and the planner with arrivals against tasks that are timers on a virtual
 * clock. No network, no cluster: only decisions.
 */
class policy_driver {
public:
    explicit policy_driver(policy_run run);

    [[nodiscard]] policy_result run();

    [[nodiscard]] const ledger_state& state() const { return state_; }

private:
    struct timed {
        time_ms at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const timed& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at(time_ms when, std::function<void()> action);
    void append(record_body body);
    void set_up();
    void arrive(const arriving_job& j);
    void plan();
    void note_job(const std::string& id);
    void start(const job& j);
    void stop(const job& j);
    void end_all(const std::string& id, int attempt, task_outcome outcome);
    void report_host(const std::string& prefix, host_status status);
    void sample(time_ms interval);
    void collect(policy_result& result) const;
    [[nodiscard]] bool is_bad(host_index h) const;

    policy_run run_;
    ledger_state state_;
    planner_state memory_;
    time_ms now_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t order_ = 0;
    std::uint64_t incarnation_ = 1;
    bool plan_wanted_ = false;
    std::priority_queue<timed, std::vector<timed>, std::greater<>> events_;
    std::map<std::string, job_outcome> outcomes_;
    std::map<std::string, int> started_attempt_;
    std::map<std::string, int> stopping_attempt_;
    std::map<std::string, time_ms> reclaim_since_;
    policy_result result_;
    double sampled_ms_ = 0;
};

} // namespace fulmarworks
