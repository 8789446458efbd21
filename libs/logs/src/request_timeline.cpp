#include "logs/request_timeline.h"

#include <algorithm>
#include <array>
#include <set>

namespace fulmarworks::logs {

namespace {

/** Other events are included up to this long before the first and after the last request line. */
constexpr time_ms context_margin_ms = 2000;
/** Shorter waits for the first placement are not reported. */
constexpr time_ms min_reported_wait_ms = 500;

struct refusal_reason {
    std::string_view name;
    std::string_view meaning;
    std::string_view remedy;
};

constexpr std::array refusal_reasons{
    refusal_reason{"no_configuration", "the host had read no configuration within its bound",
                   "check the store and the network between it and the host"},
    refusal_reason{"unknown_route", "the route is not in the configuration in force",
                   "publish it, or correct the caller"},
    refusal_reason{"unknown_key", "the key is not in the configuration in force",
                   "publish it, or correct the caller"},
    refusal_reason{"malformed_job", "the caller's body is no valid job", "correct the caller"},
    refusal_reason{"body_too_large", "the caller's body is too large", "correct the caller"},
    refusal_reason{"store_unavailable", "nothing was stored, so the job has not run",
                   "check the store; the caller may retry"},
    refusal_reason{"store_silent", "the store did not answer, so the job may run",
                   "query the job's state before a retry"},
    refusal_reason{"no_leader", "no host was leader, or the leader could not be reached",
                   "check the leader_* events of all hosts"},
};

bool is_leader_event(const log_record& line) {
    return line.event.starts_with("leader_") && line.event != "leader_seen";
}

bool is_store_event(const log_record& line) {
    return line.event == "store_lost" || line.event == "store_regained";
}

bool is_worker_event(const log_record& line) {
    return line.event.starts_with("worker_") && line.event != "worker_listed";
}

bool is_host_event(const log_record& line) {
    return is_store_event(line) || line.event.starts_with("node_") || line.event == "suppressed" ||
           line.event == "dropped";
}

bool is_request_line(const log_record& line, std::string_view request) {
    return line.field("request") == request;
}

/** Hosts, workers and time range of a request; they select the other lines of its timeline. */
struct timeline_scope {
    std::set<std::string, std::less<>> nodes;
    std::set<std::string, std::less<>> workers;
    time_ms begin_ms = 0;
    time_ms end_ms = 0;
};

timeline_scope find_scope(std::span<const log_record> lines, std::string_view request) {
    timeline_scope s;
    for (const auto& line : lines) {
        if (!is_request_line(line, request)) {
            continue;
        }
        s.nodes.insert(line.node);
        if (const auto worker = line.field("worker"); !worker.empty()) {
            s.workers.emplace(worker);
        }
        s.begin_ms = s.begin_ms == 0 ? line.timestamp_ms : std::min(s.begin_ms, line.timestamp_ms);
        s.end_ms = std::max(s.end_ms, line.timestamp_ms);
    }
    s.begin_ms -= context_margin_ms;
    s.end_ms += context_margin_ms;
    return s;
}

bool is_in_scope(const log_record& line, std::string_view request, const timeline_scope& s) {
    if (is_request_line(line, request)) {
        return true;
    }
    if (line.timestamp_ms < s.begin_ms || line.timestamp_ms > s.end_ms) {
        return false;
    }
    return is_leader_event(line) || (is_host_event(line) && s.nodes.contains(line.node)) ||
           (is_worker_event(line) && s.workers.contains(line.field("worker")));
}

/** Findings and counters collected from a timeline, whose lines are processed in chronological
 * order. */
struct timeline_analysis {
    std::vector<std::string> findings;
    time_ms job_known_ms = 0;
    bool placed = false;
    bool concluded = false;
    std::uint32_t stopped_runs = 0;
    std::uint32_t lost_runs = 0;
    std::uint32_t failed_runs = 0;
    std::uint32_t leader_starts = 0;
    std::uint32_t runs_lost_with_worker = 0;
    std::set<std::string> lost_workers;
    std::set<std::string> stop_reasons;
    std::set<std::string> loss_reasons;
    std::set<std::string> failing_workers;
    std::set<std::string> suppressed_kinds;

    void add_finding(std::string finding) { findings.push_back(std::move(finding)); }
};

std::string join(const std::set<std::string>& items) {
    std::string text;
    for (const auto& item : items) {
        text += (text.empty() ? "" : ", ") + item;
    }
    return text;
}

std::string format_count(std::uint32_t count, std::string_view noun) {
    return std::to_string(count) + " " + std::string(noun) + (count == 1 ? "" : "s");
}

void analyze_refusal(timeline_analysis& state, const log_record& line) {
    const auto reason = line.field("reason");
    const auto known = std::find_if(refusal_reasons.begin(), refusal_reasons.end(),
                                    [&](const auto& entry) { return entry.name == reason; });
    std::string text = "refused by " + line.node + " with status " +
                       std::string(line.field("status")) + " (" + std::string(reason) + ")";
    if (known != refusal_reasons.end()) {
        text += ": " + std::string(known->meaning) + "; " + std::string(known->remedy);
    }
    state.add_finding(std::move(text));
    state.concluded = true;
}

/** Returns the kind of a stop: its reason without the id of a preempting job. */
std::string stop_kind(std::string_view reason) {
    constexpr std::string_view preempted = "preempted_for_";
    return reason.starts_with(preempted) ? "preempted" : std::string(reason);
}

/** Adds what the end of a job tells of its runs. It is known also if the lines of the runs were
 * left out. */
void add_effort(timeline_analysis& state, const log_record& line) {
    const auto placements = line.field("placements");
    if (placements.empty()) {
        return; // written by an earlier release
    }
    state.add_finding("its last leader placed its tasks " + std::string(placements) +
                      " times, first " + std::string(line.field("placed_age_ms")) +
                      " ms after the submission; " + std::string(line.field("releases")) +
                      " runs were lost and " + std::string(line.field("failed_runs")) + " failed");
}

void analyze_request_line(timeline_analysis& state, const log_record& line) {
    if (line.event == "request_refused") {
        analyze_refusal(state, line);
    } else if (line.event == "job_known") {
        state.job_known_ms = state.job_known_ms == 0 ? line.timestamp_ms : state.job_known_ms;
    } else if (line.event == "task_placed" && !state.placed) {
        state.placed = true;
        if (state.job_known_ms != 0 &&
            line.timestamp_ms - state.job_known_ms >= min_reported_wait_ms) {
            state.add_finding(
                "waited " + std::to_string(line.timestamp_ms - state.job_known_ms) +
                " ms for free capacity before its first placement: check the load at that time");
        }
    } else if (line.event == "task_stopping" && line.field("reason") != "job_ended") {
        ++state.stopped_runs;
        state.stop_reasons.insert(stop_kind(line.field("reason")));
    } else if (line.event == "task_released") {
        ++state.lost_runs;
        state.loss_reasons.emplace(line.field("reason"));
    } else if (line.event == "task_ended" && line.field("reason") == "failed") {
        ++state.failed_runs;
        state.failing_workers.emplace(line.field("worker"));
    } else if (line.event == "job_ended") {
        state.add_finding("ended " + std::string(line.field("state")) + " after " +
                          std::string(line.field("age_ms")) + " ms");
        add_effort(state, line);
        state.concluded = true;
    } else if (line.event == "run_lost") {
        ++state.runs_lost_with_worker;
        state.lost_workers.emplace(line.field("worker"));
    } else if (line.event == "job_given_up") {
        state.add_finding("given up: workers crashed " + std::string(line.field("crashes")) +
                          " times under its task " + std::string(line.field("task")) +
                          "; look into what that task runs, not into the workers");
    } else if (line.event == "progress_unreadable") {
        state.add_finding(
            "this release can't read the stored progress, so the job is kept but not started: run "
            "the release that wrote it");
    } else if (line.event == "job_unknown") {
        state.add_finding("a caller asked for it while no such job was stored and got status 410");
    }
}

void analyze_context_line(timeline_analysis& state, const log_record& line) {
    if (line.event == "leader_started") {
        ++state.leader_starts;
    } else if (line.event == "suppressed") {
        state.suppressed_kinds.emplace(line.field("kind"));
    } else if (line.event == "dropped") {
        state.suppressed_kinds.emplace("all kinds");
    } else if (line.event == "store_lost") {
        state.add_finding(line.node + " lost contact with the store");
    }
}

void add_summary(timeline_analysis& state) {
    if (state.stopped_runs > 0) {
        state.add_finding("stopped: " + format_count(state.stopped_runs, "run") + " (" +
                          join(state.stop_reasons) + ")");
    }
    if (state.lost_runs > 0) {
        state.add_finding("lost: " + format_count(state.lost_runs, "run") + " (" +
                          join(state.loss_reasons) + ")");
    }
    if (state.runs_lost_with_worker > 0) {
        state.add_finding(
            "lost with their worker: " + format_count(state.runs_lost_with_worker, "run") +
            ", on " + join(state.lost_workers));
    }
    if (state.failed_runs > 0) {
        state.add_finding("failed: " + format_count(state.failed_runs, "run") + ", on " +
                          join(state.failing_workers) +
                          (state.failing_workers.size() > 1 ? ": the job itself is the likely cause"
                                                            : ": that worker may be the cause"));
    }
    if (state.leader_starts > 0) {
        state.add_finding("became leader meanwhile: " + format_count(state.leader_starts, "host"));
    }
    if (!state.concluded) {
        state.add_finding(
            "no end and no refusal is logged: the job may still be active, or the logs of the "
            "last leader are missing");
    }
    if (!state.suppressed_kinds.empty()) {
        state.add_finding("lines are missing from these logs (" + join(state.suppressed_kinds) +
                          ")");
    }
}

} // namespace

bool may_be_relevant(const log_record& line, std::string_view request) {
    return is_request_line(line, request) || is_leader_event(line) || is_host_event(line) ||
           is_worker_event(line);
}

request_timeline build_timeline(std::span<const log_record> lines, std::string_view request) {
    const timeline_scope s = find_scope(lines, request);
    request_timeline timeline;
    if (s.nodes.empty()) {
        timeline.findings.emplace_back(
            "no log line of this request was found: check its id, and that "
            "the logs of all hosts are given");
        return timeline;
    }
    for (const auto& line : lines) {
        if (is_in_scope(line, request, s)) {
            timeline.lines.push_back(line);
        }
    }
    std::stable_sort(timeline.lines.begin(), timeline.lines.end(),
                     [](const auto& a, const auto& b) { return a.timestamp_ms < b.timestamp_ms; });
    timeline_analysis state;
    for (const auto& line : timeline.lines) {
        if (is_request_line(line, request)) {
            analyze_request_line(state, line);
        } else {
            analyze_context_line(state, line);
        }
    }
    add_summary(state);
    timeline.findings = std::move(state.findings);
    return timeline;
}

} // namespace fulmarworks::logs
