#pragma once

#include "scheduler/coordinator.h"

#include <deque>
#include <map>
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

/** A coordinator, its store and its workers on a virtual clock. */
class simulated_cluster {
public:
    simulated_cluster(int workers, const settings& limits, const simulated_latencies& latencies);

    void submit(const job_spec& spec) { send(job_submitted{spec}); }
    void set_guarantee(const std::string& account, std::int64_t accelerators) {
        send(guarantees_changed{{{account, accelerators}}});
    }

    /** Advances the virtual clock and processes everything that comes due. */
    void run_for(time_ms duration_ms);

    /** Replaces the leader by a new one that recovers from the stored progress only. */
    void change_leader();

    /** Returns the time from the submission of a job until all its tasks had started; -1 if a task
     * never started. */
    [[nodiscard]] time_ms last_start_delay_ms(const std::string& job) const;
    /** Returns the number of runs of a job that were stopped. */
    [[nodiscard]] int stop_count(const std::string& job) const;
    [[nodiscard]] const coordinator_state& state() const { return state_; }

private:
    struct simulated_run {
        std::uint32_t number = 0;
        time_ms ends_at_ms = 0;
        end_reason reason = end_reason::done;
    };
    struct simulated_worker {
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
    void execute_call(const timed_call& call);
    void start_run(const send_start& order);
    void stop_run(const send_stop& order);
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
};

} // namespace fulmarworks::scheduler
