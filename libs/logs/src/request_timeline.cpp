#include "logs/request_timeline.h"

#include <algorithm>
#include <array>
#include <set>

namespace fulmarworks::logs {

namespace {

/** Time before the first and after the last line of a request in which other events count. */
constexpr time_ms margin_ms = 2000;
/** Waits shorter than this need no explanation. */
constexpr time_ms notable_wait_ms = 500;

struct refusal_reason {
    std::string_view name;
    std::string_view meaning;
    std::string_view remedy;
};

constexpr std::array refusal_reasons{
    refusal_reason{"no_configuration", "the host had read no configuration within its bound",
                   "check the store and the host's path to it"},
    refusal_reason{"unknown_route", "the route is not in the configuration in force",
                   "publish it, or correct the caller"},
    refusal_reason{"unknown_key", "the key is not in the configuration in force",
                   "publish it, or correct the caller"},
    refusal_reason{"malformed_job", "the caller's body is no valid job", "correct the caller"},
    refusal_reason{"body_too_large", "the caller's body is too large", "correct the caller"},
    refusal_reason{"store_unavailable", "nothing was stored, so the job has not run",
                   "check the store; the caller may try again"},
    refusal_reason{"store_silent", "the store did not answer, so the job may run",
                   "ask for the job's state before trying again"},
    refusal_reason{"no_leader", "no host led, or the leading one could not be reached",
                   "look at the leader_ lines of all hosts"},
};

bool is_about_leader(const log_record& line) {
    return line.event.starts_with("leader_") && line.event != "leader_seen";
}

bool is_about_store(const log_record& line) {
    return line.event == "store_lost" || line.event == "store_regained";
}

bool is_about_worker(const log_record& line) {
    return line.event.starts_with("worker_") && line.event != "worker_listed";
}

bool is_about_host(const log_record& line) {
    return is_about_store(line) || line.event.starts_with("node_") || line.event == "suppressed" ||
           line.event == "dropped";
}

bool is_own(const log_record& line, std::string_view request) {
    return line.field("request") == request;
}

/** Who and when: what decides which other lines belong to the story. */
struct scope {
    std::set<std::string, std::less<>> nodes;
    std::set<std::string, std::less<>> workers;
    time_ms from_ms = 0;
    time_ms to_ms = 0;
};

scope scope_of(std::span<const log_record> lines, std::string_view request) {
    scope s;
    for (const auto& line : lines) {
        if (!is_own(line, request)) {
            continue;
        }
        s.nodes.insert(line.node);
        if (const auto worker = line.field("worker"); !worker.empty()) {
            s.workers.emplace(worker);
        }
        s.from_ms = s.from_ms == 0 ? line.timestamp_ms : std::min(s.from_ms, line.timestamp_ms);
        s.to_ms = std::max(s.to_ms, line.timestamp_ms);
    }
    s.from_ms -= margin_ms;
    s.to_ms += margin_ms;
    return s;
}

bool belongs(const log_record& line, std::string_view request, const scope& s) {
    if (is_own(line, request)) {
        return true;
    }
    if (line.timestamp_ms < s.from_ms || line.timestamp_ms > s.to_ms) {
        return false;
    }
    return is_about_leader(line) || (is_about_host(line) && s.nodes.contains(line.node)) ||
           (is_about_worker(line) && s.workers.contains(line.field("worker")));
}

/** Collects findings while the story is read in order. */
struct reader {
    std::vector<std::string> findings;
    time_ms known_at_ms = 0;
    bool placed = false;
    bool answered = false;
    std::uint32_t stops = 0;
    std::uint32_t lost_runs = 0;
    std::uint32_t failed_runs = 0;
    std::uint32_t leaders = 0;
    std::set<std::string> stop_reasons;
    std::set<std::string> loss_reasons;
    std::set<std::string> failing_workers;
    std::set<std::string> silent_kinds;

    void tell(std::string finding) { findings.push_back(std::move(finding)); }
};

std::string join(const std::set<std::string>& words) {
    std::string text;
    for (const auto& word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

std::string counted(std::uint32_t count, std::string_view noun) {
    return std::to_string(count) + " " + std::string(noun) + (count == 1 ? "" : "s");
}

void read_refusal(reader& r, const log_record& line) {
    const auto reason = line.field("reason");
    const auto known = std::find_if(refusal_reasons.begin(), refusal_reasons.end(),
                                    [&](const auto& k) { return k.name == reason; });
    std::string text = "refused by " + line.node + " with status " +
                       std::string(line.field("status")) + " (" + std::string(reason) + ")";
    if (known != refusal_reasons.end()) {
        text += ": " + std::string(known->meaning) + "; " + std::string(known->remedy);
    }
    r.tell(std::move(text));
    r.answered = true;
}

/** Returns a reason without the job in whose favour it was. */
std::string kind_of_stop(std::string_view reason) {
    constexpr std::string_view preempted = "preempted_for_";
    return reason.starts_with(preempted) ? "preempted" : std::string(reason);
}

void read_own_line(reader& r, const log_record& line) {
    if (line.event == "request_refused") {
        read_refusal(r, line);
    } else if (line.event == "job_known") {
        r.known_at_ms = r.known_at_ms == 0 ? line.timestamp_ms : r.known_at_ms;
    } else if (line.event == "task_placed" && !r.placed) {
        r.placed = true;
        if (r.known_at_ms != 0 && line.timestamp_ms - r.known_at_ms >= notable_wait_ms) {
            r.tell("waited " + std::to_string(line.timestamp_ms - r.known_at_ms) +
                   " ms for its first room: look at the load at that time");
        }
    } else if (line.event == "task_stopping" && line.field("reason") != "job_ended") {
        ++r.stops;
        r.stop_reasons.insert(kind_of_stop(line.field("reason")));
    } else if (line.event == "task_released") {
        ++r.lost_runs;
        r.loss_reasons.emplace(line.field("reason"));
    } else if (line.event == "task_ended" && line.field("reason") == "failed") {
        ++r.failed_runs;
        r.failing_workers.emplace(line.field("worker"));
    } else if (line.event == "job_ended") {
        r.tell("ended " + std::string(line.field("state")) + " after " +
               std::string(line.field("age_ms")) + " ms");
        r.answered = true;
    } else if (line.event == "progress_unreadable") {
        r.tell("its progress can't be read by this release, so it is kept and not started: run "
               "the release that wrote it");
    } else if (line.event == "job_unknown") {
        r.tell("asked for when no such job was stored; the caller got 410");
    }
}

void read_other_line(reader& r, const log_record& line) {
    if (line.event == "leader_started") {
        ++r.leaders;
    } else if (line.event == "suppressed") {
        r.silent_kinds.emplace(line.field("kind"));
    } else if (line.event == "dropped") {
        r.silent_kinds.emplace("all kinds");
    } else if (line.event == "store_lost") {
        r.tell(line.node + " lost the store");
    }
}

void conclude(reader& r) {
    if (r.stops > 0) {
        r.tell("stopped: " + counted(r.stops, "run") + " (" + join(r.stop_reasons) + ")");
    }
    if (r.lost_runs > 0) {
        r.tell("given up: " + counted(r.lost_runs, "run") + " (" + join(r.loss_reasons) + ")");
    }
    if (r.failed_runs > 0) {
        r.tell("failed: " + counted(r.failed_runs, "run") + ", on " + join(r.failing_workers) +
               (r.failing_workers.size() > 1 ? ": the job itself is likely at fault"
                                             : ": that worker may be at fault"));
    }
    if (r.leaders > 0) {
        r.tell("began to lead meanwhile: " + counted(r.leaders, "host"));
    }
    if (!r.answered) {
        r.tell("no end and no refusal is logged: the job may still be active, or the logs of the "
               "last leader are missing");
    }
    if (!r.silent_kinds.empty()) {
        r.tell("lines are missing from these logs (" + join(r.silent_kinds) + ")");
    }
}

} // namespace

bool may_be_relevant(const log_record& line, std::string_view request) {
    return is_own(line, request) || is_about_leader(line) || is_about_host(line) ||
           is_about_worker(line);
}

request_timeline build_timeline(std::span<const log_record> lines, std::string_view request) {
    const scope s = scope_of(lines, request);
    request_timeline story;
    if (s.nodes.empty()) {
        story.findings.emplace_back("no line of this request: check its id, and that the logs of "
                                    "all hosts are given");
        return story;
    }
    for (const auto& line : lines) {
        if (belongs(line, request, s)) {
            story.lines.push_back(line);
        }
    }
    std::stable_sort(story.lines.begin(), story.lines.end(),
                     [](const auto& a, const auto& b) { return a.timestamp_ms < b.timestamp_ms; });
    reader r;
    for (const auto& line : story.lines) {
        if (is_own(line, request)) {
            read_own_line(r, line);
        } else {
            read_other_line(r, line);
        }
    }
    conclude(r);
    story.findings = std::move(r.findings);
    return story;
}

} // namespace fulmarworks::logs
