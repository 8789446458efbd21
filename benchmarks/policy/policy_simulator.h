#pragma once

#include "policy/planner.h"
#include "workload.h"

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace fulmarworks {

/** Loss and recovery of all hosts whose names start with a prefix. */
struct host_outage {
    time_ms lost_at = 0;
    time_ms recovered_at = 0;
    std::string host_prefix;
};

/** Input of one simulation. Times count from its start. */
struct simulation_input {
    std::string config_document;
    planner_options options;
    std::vector<job_arrival> jobs;
    std::vector<host_outage> outages;
    /** Hosts on which every task fails immediately. */
    std::vector<std::string> failing_hosts;
    time_ms end = 0;
};

/** Times of one job in a simulation. */
struct job_outcome {
    std::string job_class;
    std::string account;
    time_ms submitted_at = 0;
    /** Time from the submission to the first start; -1 if the job never started. */
    time_ms first_start_ms = -1;
    /** Time from the submission to the completion; -1 if the job did not complete. */
    time_ms completion_ms = -1;
    time_ms run_ms = 0;
    bool needs_guarantee = false;
};

struct simulation_result {
    std::vector<job_outcome> outcomes;
    double fragmentation = 0;
    double idle_share = 0;
    double host_hours_on = 0;
    double done_accelerator_hours = 0;
    double lost_accelerator_hours = 0;
    /** Time from each reclaim of a guarantee to the start of the job that it was made for. */
    std::vector<time_ms> reclaim_ms;
    int plan_infeasible_ms = 0;
    std::map<std::string, std::uint64_t> counters;
    int unfinished = 0;
};

/**
 * Simulates the planner's decisions for a workload on a virtual clock.
 *
 * Runs the ledger's reducer and the planner in this process, without a network or workers. Each
 * task is a timer.
 */
class policy_simulator {
public:
    explicit policy_simulator(simulation_input input);

    [[nodiscard]] simulation_result run();

    [[nodiscard]] const ledger_state& state() const { return state_; }

private:
    struct timed_action {
        time_ms at = 0;
        /** Breaks ties: actions of equal time run in the order of their scheduling. */
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const timed_action& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(time_ms when, std::function<void()> action);
    void append_record(record_body body);
    void initialize_fleet();
    void submit_job(const job_arrival& j);
    void plan();
    void handle_job_change(const std::string& id);
    void start_job(const job& j);
    void stop_job(const job& j);
    void end_all_tasks(const std::string& id, int attempt, task_outcome outcome);
    void report_host(const std::string& prefix, host_status status);
    void sample_utilization(time_ms interval);
    void finish_result(simulation_result& result) const;
    [[nodiscard]] bool is_failing(host_index h) const;

    simulation_input input_;
    ledger_state state_;
    planner_state memory_;
    time_ms now_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t next_order_ = 0;
    std::uint64_t incarnation_ = 1;
    bool plan_needed_ = false;
    std::priority_queue<timed_action, std::vector<timed_action>, std::greater<>> scheduled_;
    std::map<std::string, job_outcome> outcomes_;
    std::map<std::string, int> started_attempt_;
    std::map<std::string, int> stopping_attempt_;
    std::map<std::string, time_ms> reclaim_began_at_;
    simulation_result result_;
    double sampled_ms_ = 0;
};

} // namespace fulmarworks
