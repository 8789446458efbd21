#pragma once

#include "base/time.h"

#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarworks::review {

/** A run of a task, as its executor saw it. Times are on the monotonic clock. */
struct run_span {
    std::string task;
    int run = 0;
    std::string executor;
    std::string checkpoint;
    int gpu = 0;
    time_ms from_ms = 0;
    /** 0 while it works. */
    time_ms to_ms = 0;
    std::string how;
    /** Time at which the system had seen the end, if it has; 0 otherwise. */
    time_ms observed_ms = 0;
};

/** What was sent, answered and run; written to record.txt. Not thread safe. */
class record {
public:
    explicit record(const std::string& file) : out_(file), started_at_(monotonic_now()) {}

    void note(const std::string& line) {
        const time_ms at = monotonic_now() - started_at_;
        out_ << at / 1000 << '.' << std::to_string(1000 + at % 1000).substr(1) << ' ' << line
             << std::endl;
    }

    std::size_t begin_run(run_span span) {
        note("run begins: " + span.task + " run " + std::to_string(span.run) + " on " +
             span.executor +
             (span.checkpoint.empty() ? "" : " from checkpoint " + span.checkpoint));
        spans_.push_back(std::move(span));
        return spans_.size() - 1;
    }

    void end_run(std::size_t index, const std::string& how) {
        run_span& span = spans_[index];
        span.to_ms = monotonic_now();
        span.how = how;
        note("run ends: " + span.task + " run " + std::to_string(span.run) + " on " +
             span.executor + " " + how);
    }

    void observe_end(std::size_t index) { spans_[index].observed_ms = monotonic_now(); }

    [[nodiscard]] const std::vector<run_span>& spans() const { return spans_; }

private:
    std::ofstream out_;
    time_ms started_at_ = 0;
    std::vector<run_span> spans_;
};

} // namespace fulmarworks::review
