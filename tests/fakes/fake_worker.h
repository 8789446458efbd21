#pragma once

#include "protocol/worker.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks {

/** One start or end of a task, for tests to check. */
struct history_entry {
    std::string host;
    std::string job;
    int member = 0;
    int attempt = 0;
    /** start, end or killed. */
    std::string what;
    std::string outcome;
    time_ms at = 0;
};

FULMARWORKS_JSON(history_entry, host, job, member, attempt, what, outcome, at)

/** What a task does, read from its payload. */
struct task_program {
    time_ms run_ms = 100;
    time_ms checkpoint_ms = 50;
    std::uint64_t result_bytes = 32;
    bool fail = false;
};

FULMARWORKS_JSON(task_program, run_ms, checkpoint_ms, result_bytes, fail)

enum class order_answer { accepted, stale_incarnation, stale_epoch };

/**
 * A worker that runs tasks as timers on the clock of its caller, as docs/PLATFORM.md specifies. It
 * keeps its accelerators apart: two tasks never hold the same one. Not thread safe.
 */
class fake_worker {
public:
    /** Precondition: `history` outlives the worker. */
    fake_worker(std::string host, std::uint64_t incarnation, std::vector<history_entry>& history);

    /** Renews the lease of all tasks. */
    void renew_lease(time_ms now, time_ms lease_ms);

    order_answer carry_out(const task_order& o, time_ms now);

    /** Ends the tasks whose time has come. */
    void advance(time_ms now);

    /** Loses all tasks and results. Precondition: `incarnation` is higher than before. */
    void restart(std::uint64_t incarnation, time_ms now);

    void set_leaving(bool leaving);
    /** Fails every task as soon as it starts. */
    void set_failing(bool failing) { failing_ = failing; }

    [[nodiscard]] worker_report report() const;
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    [[nodiscard]] const std::string& host() const { return host_; }

    /** Returns the result of an attempt, or nullptr. */
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
    void admit(const task_order& o, bool start, time_ms now);
    void add_task(const task_order& o, bool start, time_ms now);
    void revoke(const task_order& o, time_ms now);
    void start_task(task& t, time_ms now);
    void end_task(task& t, task_outcome outcome, std::string_view error, time_ms now);
    [[nodiscard]] bool is_free(const block& b) const;
    void note(const task_report& t, const std::string& what, time_ms now);

    std::string host_;
    std::uint64_t incarnation_;
    std::vector<history_entry>& history_;
    std::uint64_t version_ = 1;
    std::uint64_t owner_epoch_ = 0;
    bool leaving_ = false;
    bool failing_ = false;
    time_ms lease_until_ = 0;
    std::map<task_id, task> tasks_;
    /** Highest attempt of each task that is over and acknowledged. */
    std::map<task_id, int> closed_;
    std::map<std::pair<std::string, int>, std::string> results_;
};

} // namespace fulmarworks
