#pragma once

#include "scheduler/coordinator.h"

#include <string>
#include <vector>

namespace fulmarworks::bench {

/** A coordinator whose workers are busy, with a store and workers that answer at once. */
class busy_fleet {
public:
    /** Starts three long tasks on each worker, which leave room only for small ones. */
    explicit busy_fleet(int workers);

    /** Adds jobs that ask for whole workers, so that they wait. */
    void add_backlog(int jobs);

    /** Submits a job of `tasks` tasks and starts what is placed. Returns the starts. */
    std::vector<scheduler::send_start> submit(const std::string& id, int priority, int tasks,
                                              std::int64_t accelerators, bool gang);
    void cancel(const std::string& id);
    /** Drops an ended job. */
    void forget(const std::string& id);
    /** Lets a worker list the end of its started task. */
    void end(const std::string& worker, const scheduler::task_id& task, std::uint32_t run,
             scheduler::end_reason reason);
    /** Repeats what some workers say of themselves, as each of them does every second or two. */
    void repeat_reports(int workers);
    void tick();

    [[nodiscard]] int workers() const { return workers_; }
    /** Durations of all events since the last call, in microseconds, in ascending order. */
    [[nodiscard]] std::vector<double> take_durations();

    /** Bytes of the heap that the state takes. */
    std::size_t state_bytes = 0;

private:
    struct placed_run {
        scheduler::task_id task;
        std::uint32_t run = 0;
    };

    void send(const scheduler::event& e);
    /** Answers all orders, and what follows from the answers. */
    void settle();
    void answer_poll(const std::string& worker, std::vector<scheduler::ended_run> ended);
    [[nodiscard]] scheduler::job_spec make_job(const std::string& id, int priority, int tasks,
                                               std::int64_t accelerators, bool gang) const;

    int workers_;
    scheduler::coordinator_state state_;
    scheduler::effects out_;
    scheduler::instant now_{1000, 1'700'000'000'000};
    std::map<std::string, std::vector<placed_run>> running_;
    std::map<std::string, std::uint64_t> ends_;
    std::vector<scheduler::send_start> starts_;
    std::vector<double> durations_us_;
};

} // namespace fulmarworks::bench
