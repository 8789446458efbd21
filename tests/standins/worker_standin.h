#pragma once

#include "http/http_server.h"
#include "protocol/worker.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmarworks {

/** One start or end of a task, for tests to check. */
struct history_entry {
    std::string host;
    std::string job;
    int member = 0;
    int attempt = 0;
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

/**
 * A worker that runs tasks as timers, with the interface of docs/PLATFORM.md. It keeps its
 * accelerators apart: two tasks never hold the same one.
 */
class worker_standin {
public:
    worker_standin(event_loop& loop, std::string host, std::vector<history_entry>& history);

    [[nodiscard]] result<bool> listen(const std::string& address);

    /** Loses all tasks and starts with a new incarnation. */
    void restart();
    void set_leaving(bool leaving);
    /** Fails every task as soon as it starts. */
    void set_failing(bool failing);
    /** Takes calls but never answers them. */
    void set_silent(bool silent);
    /** Off: the host answers nobody and runs nothing. */
    void set_on(bool on);

private:
    struct task {
        task_report report;
        task_program program;
        block where;
        time_ms progress_at_start = 0;
        time_ms started_monotonic = 0;
    };

    struct waiting_poll {
        std::uint64_t seen_version = 0;
        time_ms answer_by = 0;
    };

    using task_id = std::pair<std::string, int>;

    void handle(const http_request& r, std::uint64_t token);
    void poll(const http_request& r, std::uint64_t token);
    void order(const http_request& r, std::uint64_t token);
    void carry_out(const task_order& o);
    void admit(const task_order& o, bool start);
    void start_task(task& t);
    void end_task(task& t, task_outcome outcome, const std::string& error);
    void finish_checkpoint(const task_id& id, int attempt);
    void send_result(const http_request& r, std::uint64_t token);
    void check_time();
    void changed();
    void respond_report(std::uint64_t token);
    [[nodiscard]] bool is_free(const block& b) const;
    [[nodiscard]] worker_report report() const;
    void note(const task_report& t, const std::string& what);

    event_loop& loop_;
    std::string host_;
    std::vector<history_entry>& history_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t version_ = 1;
    std::uint64_t owner_epoch_ = 0;
    bool leaving_ = false;
    bool failing_ = false;
    bool silent_ = false;
    bool on_ = true;
    time_ms lease_until_ = 0;
    std::map<task_id, task> tasks_;
    /** Highest attempt of each task that is over and acknowledged. */
    std::map<task_id, int> closed_;
    std::map<std::pair<std::string, int>, std::string> results_;
    std::map<std::uint64_t, waiting_poll> polls_;
    std::unique_ptr<http_server> server_;
};

} // namespace fulmarworks
