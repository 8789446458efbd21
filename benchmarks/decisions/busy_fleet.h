#pragma once

#include "scheduler/coordinator.h"

#include <string>
#include <vector>

namespace fulmarworks::bench {

/** A coordinator with busy workers. Its store and its workers answer immediately. */
class busy_fleet {
public:
    /** Starts three long tasks on each worker, which leave capacity only for small tasks. */
    explicit busy_fleet(int workers);

    /** Adds jobs that need whole workers and therefore stay queued. */
    void add_backlog(int jobs);

    /** Classifies one worker of every `every` as fast. */
    void set_fast_workers(int every);

    /** Submits a job of `tasks` tasks and accepts the start orders that follow. Returns them. */
    std::vector<scheduler::send_start> submit_job(const std::string& id, int priority, int tasks,
                                                  std::int64_t accelerators, bool gang,
                                                  bool same_rack = false);
    void cancel_job(const std::string& id);
    /** Deletes an ended job. */
    void delete_job(const std::string& id);
    /** Ends a run and reports its end in a poll answer of its worker. */
    void end_run(const std::string& worker, const scheduler::task_id& task, std::uint32_t run,
                 scheduler::end_reason reason);
    /** Sends the reports of the first `workers` workers again. A real worker does so every one or
     * two seconds. */
    void repeat_reports(int workers);
    void advance_tick();

    [[nodiscard]] int workers() const { return workers_; }
    /** Returns the durations of all events since the last call, in microseconds, in ascending
     * order. */
    [[nodiscard]] std::vector<double> take_durations();

    /** Heap memory of the coordinator state, in bytes. */
    std::size_t state_bytes = 0;

private:
    struct placed_run {
        scheduler::task_id task;
        std::uint32_t run = 0;
    };

    void send(const scheduler::event& e);
    /** Answers all pending effects, including those that result from the answers. */
    void answer_pending_effects();
    void answer_poll(const std::string& worker, std::vector<scheduler::ended_run> ended);
    [[nodiscard]] scheduler::job_spec make_job(const std::string& id, int priority, int tasks,
                                               std::int64_t accelerators, bool gang) const;

    int workers_;
    scheduler::coordinator_state state_;
    scheduler::effects pending_effects_;
    scheduler::instant now_{1000, 1'700'000'000'000};
    std::map<std::string, std::vector<placed_run>> runs_;
    std::map<std::string, std::uint64_t> last_end_sequence_;
    std::vector<scheduler::send_start> start_orders_;
    std::vector<double> durations_us_;
};

} // namespace fulmarworks::bench
