#pragma once

#include "scheduler/coordinator.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace fulmarworks::scheduler {

/** Times of the deployment that a load is replayed on. */
struct replay_times {
    /** Way of an order or a poll and of its answer together. */
    time_ms call_ms = 5;
    /** Time from a batch to its confirmation. */
    time_ms store_ms = 5;
    /** Time that a run takes to stop. */
    time_ms stop_ms = 400;
};

/** A coordinator, its store and its workers on a virtual clock. */
class replayed_load {
public:
    replayed_load(int workers, const settings& limits, const replay_times& times);

    void submit(const job_spec& spec) { send(job_submitted{spec}); }
    void set_guarantee(const std::string& account, std::int64_t accelerators) {
        send(guarantees_changed{{{account, accelerators}}});
    }

    /** Lets time pass. */
    void run_for(time_ms duration_ms);

    /** Replaces the leader by one that knows only what is stored. */
    void change_leader();

    /** Returns how long after its submission the last task of a job began; -1 if one never did. */
    [[nodiscard]] time_ms last_start_after_ms(const std::string& job) const;
    /** Returns the number of runs of a job that were stopped. */
    [[nodiscard]] int stops_of(const std::string& job) const;
    [[nodiscard]] const coordinator_state& state() const { return state_; }

private:
    struct run {
        std::uint32_t number = 0;
        time_ms ends_at_ms = 0;
        end_reason reason = end_reason::done;
    };
    struct virtual_worker {
        std::map<task_id, run> runs;
        std::vector<ended_run> ended;
        std::uint64_t next_end = 1;
        std::uint64_t token = 0;
    };
    struct timed_call {
        time_ms due_ms = 0;
        std::uint64_t token = 0;
        effect call;
    };

    void send(const event& e);
    void carry_out(const timed_call& call);
    void begin(const send_start& order);
    void stop(const send_stop& order);
    void answer(const send_poll& order);
    void end_runs();

    replay_times times_;
    settings limits_;
    coordinator_state state_;
    instant now_{1000, 1'700'000'000'000};
    std::uint64_t token_ = 1;
    std::deque<timed_call> calls_;
    std::map<std::string, virtual_worker> workers_;
    std::map<std::string, std::string> stored_;
    std::map<std::string, job_spec> submitted_;
    std::map<std::string, time_ms> submitted_at_ms_;
    std::map<task_id, time_ms> began_at_ms_;
    std::map<std::string, int> stops_;
};

} // namespace fulmarworks::scheduler
