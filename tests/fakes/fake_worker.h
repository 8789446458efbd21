#pragma once

#include "protocol/worker.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks {

/** A start or an end of a task, recorded so that tests can check what the workers ran. */
struct history_entry {
    std::string host;
    std::string job;
    int member = 0;
    int attempt = 0;
    /** `start`, `end`, or `killed` when the worker restarted while the task was active. */
    std::string what;
    std::string outcome;
    time_ms at = 0;
};

FULMARWORKS_JSON(history_entry, host, job, member, attempt, what, outcome, at)

/** Simulated behaviour of a task, decoded from the JSON payload of its job. */
struct task_program {
    time_ms run_ms = 100;
    time_ms checkpoint_ms = 50;
    std::uint64_t result_bytes = 32;
    bool fail = false;
};

FULMARWORKS_JSON(task_program, run_ms, checkpoint_ms, result_bytes, fail)

enum class order_result { accepted, stale_incarnation, stale_epoch };

/**
 * Simulates a worker as specified in docs/PLATFORM.md. Tasks are timers that advance with the time
 * passed by the caller. Never allocates an accelerator to two active tasks. Not thread safe.
 */
class fake_worker {
public:
    /** Precondition: `history` outlives the worker. */
    fake_worker(std::string host, std::uint64_t incarnation, std::vector<history_entry>& history);

    /** Renews the lease of all tasks. */
    void renew_lease(time_ms now, time_ms lease_ms);

    /** Applies an order and renews the lease, unless the order's incarnation or epoch is stale. */
    order_result handle_order(const task_order& o, time_ms now);

    /** Ends tasks that have completed or checkpointed, and all tasks once the lease has expired. */
    void advance(time_ms now);

    /** Discards all tasks and results. Precondition: `incarnation` exceeds the current one. */
    void restart(std::uint64_t incarnation, time_ms now);

    void set_leaving(bool leaving);
    /** Sets whether every task fails as soon as it starts. */
    void set_failing(bool failing) { failing_ = failing; }

    [[nodiscard]] worker_report report() const;
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    [[nodiscard]] const std::string& host() const { return host_; }

    /** Returns the result of an attempt, or nullptr if there is none. */
    [[nodiscard]] const std::string* find_result(const std::string& job, int attempt) const;

private:
    struct task {
        task_report report;
        task_program program;
        block where;
        time_ms progress_at_start = 0;
        time_ms started_at = 0;
        time_ms checkpoint_at = 0;
    };

    using task_id = std::pair<std::string, int>;

    task* find_attempt(const task_order& o);
    void admit_task(const task_order& o, bool start, time_ms now);
    void add_task(const task_order& o, bool start, time_ms now);
    void revoke_task(const task_order& o, time_ms now);
    void start_task(task& t, time_ms now);
    void end_task(task& t, task_outcome outcome, std::string_view error, time_ms now);
    [[nodiscard]] bool is_block_free(const block& b) const;
    void record_history(const task_report& t, const std::string& what, time_ms now);

    std::string host_;
    std::uint64_t incarnation_;
    std::vector<history_entry>& history_;
    std::uint64_t version_ = 1;
    std::uint64_t owner_epoch_ = 0;
    bool leaving_ = false;
    bool failing_ = false;
    time_ms lease_until_ = 0;
    std::map<task_id, task> tasks_;
    /** Highest acknowledged attempt of each task; orders for it or an earlier one are ignored. */
    std::map<task_id, int> acknowledged_attempts_;
    std::map<std::pair<std::string, int>, std::string> results_;
};

} // namespace fulmarworks
