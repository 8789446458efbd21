#pragma once

#include "base/json.h"
#include "base/time.h"
#include "scheduler/resources.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks::soak {

/** One step of a job as the soak knows it; the same text is the payload of the job's tasks. */
struct step_shape {
    int tasks = 1;
    scheduler::resources per_task;
    time_ms run_ms = 0;
    bool gang = false;
    std::vector<int> depends_on;
};

struct job_shape {
    std::vector<step_shape> steps;
};

[[nodiscard]] json encode_shape(const job_shape& shape);
[[nodiscard]] job_shape decode_shape(const std::string& text);

/** Names one task as the wire does: JOB.OCCURRENCE.STEP.INDEX. */
struct task_name {
    std::string text;
    std::string job;
    int step = 0;
    int index = 0;
};

[[nodiscard]] task_name parse_task_name(const std::string& text);

/** Returns whether a job that is shown in this state has ended. */
[[nodiscard]] bool is_final(std::string_view state);

/** What callers were told of a job. */
struct caller_view {
    job_shape shape;
    bool accepted = false;
    /** An attempt ended without a verdict, so the job may be stored. */
    bool undecided = false;
    time_ms accepted_at = 0;
    /** 0 until a cancellation was confirmed. */
    time_ms cancelled_at = 0;
    std::string last_state;
};

/**
 * The promises of the platform's rules that the soak checks, from what callers and workers see.
 * Every broken one leaves a line. Rules: TWICE, LIMIT, ORDER, BUDGET, UNASKED, REFUSED, MIXED,
 * LOST.
 */
class rule_book {
public:
    /** A worker is about to begin a run that was ordered in time. */
    void started(const task_name& task, int run, const std::string& worker,
                 const scheduler::resources& used, const scheduler::resources& capacity);

    /** A run is over: done, failed, stopped, lapsed, broken, alone, or its worker died. */
    void ended(const task_name& task, const std::string& how);

    /** The system confirmed that it has stored an end. */
    void observed(const task_name& task, const std::string& how);

    /** A caller was shown the state of a job. */
    void shown(const std::string& job, const std::string& state);

    /** A caller was told that an accepted job doesn't exist. */
    void denied(const std::string& job);

    /** Checks what has to hold once nothing runs any more. */
    void check_end();

    /** What callers know, by job; filled by the callers themselves. */
    std::map<std::string, caller_view> jobs;

    [[nodiscard]] const std::vector<std::string>& broken() const { return broken_; }
    [[nodiscard]] std::size_t starts() const { return starts_; }

private:
    void break_rule(const std::string& rule, const std::string& what);
    [[nodiscard]] bool step_done(const std::string& job, int step) const;

    std::map<std::string, std::string> running_;
    std::set<std::string> done_;
    std::set<std::string> done_observed_;
    std::map<std::string, int> failures_observed_;
    std::set<std::string> started_jobs_;
    std::size_t starts_ = 0;
    std::vector<std::string> broken_;
};

} // namespace fulmarworks::soak
