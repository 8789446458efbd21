#pragma once

#include "base/time.h"

#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace fulmarworks::review {

/** One run of a task, as the executors saw it. Times count from the start of the recording. */
struct recorded_run {
    std::string executor;
    int run = 0;
    time_ms started_at = 0;
    /** -1 while the run is active. */
    time_ms ended_at = -1;
    std::string how;
    /** Time at which the end was taken note of; -1 before that, or if the lease lapsed before. */
    time_ms observed_at = -1;
};

/** Writes what was sent, answered and run to a file, and keeps the runs for the checks. */
class run_ledger {
public:
    explicit run_ledger(const std::string& file);

    [[nodiscard]] time_ms now() const { return monotonic_now() - origin_; }

    void note(const std::string& line);
    void started(const std::string& executor, const std::string& task, int run);
    void ended(const std::string& executor, const std::string& task, int run,
               const std::string& how);
    void observed(const std::string& executor, const std::string& task, int run);

    /** Runs by task, in the order of their starts. */
    [[nodiscard]] const std::map<std::string, std::vector<recorded_run>>& runs() const {
        return runs_;
    }

    /** Returns the number of active runs of a job. */
    [[nodiscard]] int active_runs(const std::string& job) const;
    [[nodiscard]] bool has_begun(const std::string& job) const;
    [[nodiscard]] int done_tasks(const std::string& job) const;

private:
    recorded_run* find(const std::string& executor, const std::string& task, int run);

    time_ms origin_ = monotonic_now();
    std::ofstream file_;
    std::map<std::string, std::vector<recorded_run>> runs_;
};

} // namespace fulmarworks::review
