#pragma once

#include "scheduler/coordinator.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmarworks::scheduler {

/** Latencies of the simulated deployment. */
struct simulated_latencies {
    /** Time from sending an order or a poll to its answer. */
    time_ms call_round_trip_ms = 5;
    /** Time from sending a batch of records to its confirmation. */
    time_ms store_latency_ms = 5;
    /** Time that a run takes to stop after the order. */
    time_ms stop_duration_ms = 400;
};

/** What becomes of a worker that crashes. */
enum class crash_outcome {
    replaced,  // comes back at its address under another id
    restarted, // comes back under its id
    lost,      // never comes back
};

/** Run time of a run, and the time after which its progress stays at 100 percent. */
struct simulated_run_time {
    time_ms usual_ms = 0;
    time_ms duration_ms = 0;
};

/** A coordinator, its store and its workers on a virtual clock. */
class simulated_cluster {
public:
    simulated_cluster(int workers, const settings& limits, const simulated_latencies& latencies);

    void submit(const job_spec& spec) { send(job_submitted{spec}); }
    void set_guarantee(const std::string& account, std::int64_t accelerators) {
        send(guarantees_changed{{{account, accelerators}}});
    }

    /** Publishes a version of the configuration. */
    void set_queues(const queue_policies& queues) { send(queues_changed{queues}); }
    /** Makes a worker a member of another pool, which it reports at once. */
    void set_pool(const std::string& id, const std::string& pool);

    /** Advances the virtual clock and processes everything that comes due. */
    void run_for(time_ms duration_ms);

    /** Lets each run of a task crash its worker `after_ms` after its start. */
    void set_crashing_task(const task_id& task, time_ms after_ms = 0) {
        crash_delays_ms_[task] = after_ms;
    }
    /** Sets the run times, which otherwise are the estimates, and lets workers report the progress
     * of runs, which otherwise only changes every second. */
    void set_run_times(std::function<simulated_run_time(const send_start&)> model) {
        run_times_ = std::move(model);
    }
    void set_crash_outcome(crash_outcome outcome) { crash_outcome_ = outcome; }
    /** Lets a worker have one more label. */
    void add_label(const std::string& id, const std::string& label);
    /** Lets a worker fail all runs that it starts, a short time after their start, or not. */
    void set_failing(const std::string& id, bool failing) { workers_.at(id).failing = failing; }
    /** Lets each run of a task fail a short time after its start. */
    void set_failing_task(const task_id& task) { failing_tasks_.insert(task); }
    /** Lets the active run of a task fail. */
    void fail_run(const task_id& task);
    /** Lets a worker neither answer nor report for some time; its runs continue. */
    void cut_worker(const std::string& id, time_ms for_ms);
    /** Changes the capacity of a worker, which reports it at once. Its runs continue. */
    void change_capacity(const std::string& id, const resources& capacity);
    /** Crashes a worker, whatever runs there. */
    void crash_worker(const std::string& id);

    /** Replaces the leader by a new one that recovers from the stored progress only, and knows no
     * configuration. */
    void change_leader();

    /** Returns the time from the submission of a job until all its tasks had started; -1 if a task
     * never started. */
    [[nodiscard]] time_ms last_start_delay_ms(const std::string& job) const;
    /** Returns how often a task was started. */
    [[nodiscard]] int start_count(const task_id& task) const;
    /** Returns the number of starts that didn't fit the capacity that their worker had reported. */
    [[nodiscard]] int overbooking_start_count() const { return overbooking_starts_; }
    /** Returns the worker of a run that is active; empty if there is none. */
    [[nodiscard]] std::string worker_of(const task_id& task) const;
    /** Returns how many workers have crashed so far. */
    [[nodiscard]] int crash_count() const { return crash_count_; }
    /** Returns the number of runs of a job that were stopped. */
    [[nodiscard]] int stop_count(const std::string& job) const;
    [[nodiscard]] const coordinator_state& state() const { return state_; }

private:
    struct simulated_run {
        std::uint32_t number = 0;
        time_ms ends_at_ms = 0;
        end_reason reason = end_reason::done;
        /** Monotonic time at which the run crashes its worker; 0 if it doesn't. */
        time_ms crashes_at_ms = 0;
        time_ms started_at_ms = 0;
        time_ms usual_ms = 0;
    };
    struct simulated_worker {
        worker_report report;
        bool crashed = false;
        bool failing = false;
        /** Whether another worker answers at the address. */
        bool replaced = false;
        /** Whether the registry holds an entry of the worker. */
        bool listed = true;
        /** Monotonic time of the crash. */
        time_ms crashed_at_ms = 0;
        /** Monotonic time of the latest change of the capacity. */
        time_ms capacity_changed_at_ms = 0;
        /** Monotonic time until which the worker answers nobody. */
        time_ms cut_until_ms = 0;
        /** End of the lease, on the virtual clock. All runs end with it. */
        time_ms lease_ends_at_ms = 0;
        std::map<task_id, simulated_run> runs;
        std::vector<ended_run> ended;
        std::uint64_t next_end_sequence = 1;
        std::uint64_t leader_epoch = 0;
    };
    struct timed_call {
        time_ms due_ms = 0;
        /** Leader that made the call. Calls of earlier leaders are dropped. */
        std::uint64_t leader_epoch = 0;
        effect call;
    };

    void send(const event& e);
    void send(registry_change change) {
        send(workers_reported{{std::move(change)}, false, now_.monotonic_ms});
    }
    void execute_call(const timed_call& call);
    /** Returns why a worker doesn't answer a call; nothing if it does. */
    [[nodiscard]] std::optional<order_failure> failure_of(const simulated_worker& w) const;
    void add_worker(const worker_report& report);
    void crash(simulated_worker& w);
    void bring_back(simulated_worker& w);
    void advance_crashes();
    void start_run(const send_start& order);
    void stop_run(const send_stop& order);
    /** Returns whether a task would not fit beside the active runs. */
    [[nodiscard]] bool overbooks(const simulated_worker& w, const task_id& task) const;
    void answer_poll(const send_poll& order);
    void end_due_runs();

    simulated_latencies latencies_;
    settings limits_;
    coordinator_state state_;
    instant now_{1000, 1'700'000'000'000};
    std::uint64_t leader_epoch_ = 1;
    std::deque<timed_call> calls_;
    std::map<std::string, simulated_worker> workers_;
    std::map<std::string, std::string> stored_progress_;
    std::map<std::string, job_spec> job_specs_;
    std::map<std::string, time_ms> submitted_at_ms_;
    std::map<task_id, time_ms> first_start_ms_;
    std::map<std::string, int> stop_counts_;
    std::map<task_id, int> start_counts_;
    std::map<task_id, time_ms> crash_delays_ms_;
    std::set<task_id> failing_tasks_;
    std::function<simulated_run_time(const send_start&)> run_times_;
    crash_outcome crash_outcome_ = crash_outcome::replaced;
    int crash_count_ = 0;
    int overbooking_starts_ = 0;
};

} // namespace fulmarworks::scheduler
