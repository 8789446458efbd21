#include "logs/request_timeline.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fulmarworks::logs;

namespace {

std::vector<log_record> parse_all(const std::vector<std::string>& texts) {
    std::vector<log_record> lines;
    for (const auto& text : texts) {
        const auto line = parse_log_line(text);
        REQUIRE(line);
        lines.push_back(*line);
    }
    return lines;
}

bool has_finding(const request_timeline& timeline, const std::string& part) {
    return std::any_of(timeline.findings.begin(), timeline.findings.end(),
                       [&](const auto& f) { return f.find(part) != std::string::npos; });
}

} // namespace

TEST_CASE("parse_log_line skips a collector's prefix and removes quotes from values") {
    const auto line = parse_log_line(
        "  3.1 entry-1 ts=17000 node=entry-1 event=submission_unreadable request=a error=\"not "
        "JSON; resend it\"\n");
    REQUIRE(line);
    CHECK(line->timestamp_ms == 17000);
    CHECK(line->node == "entry-1");
    CHECK(line->event == "submission_unreadable");
    CHECK(line->field("request") == "a");
    CHECK(line->field("error") == "not JSON; resend it");
    CHECK(line->field("worker").empty());
}

TEST_CASE("parse_log_line returns nothing for text that is not a structured line") {
    for (const char* text : {"", "hello", "ts=", "ts=x node=a event=b", "ts=5 event=b",
                             "counts=5 node=a event=b", "ts=5 node=a", "ts=5 node=\"a event=b"}) {
        INFO(text);
        CHECK_FALSE(parse_log_line(text));
    }
}

TEST_CASE("a refusal is explained by its reason and its host's lost contact with the store") {
    const auto lines = parse_all({
        "ts=1000 node=e1 event=store_lost address=x",
        "ts=1100 node=e2 event=store_lost address=x",
        "ts=1500 node=e1 event=request_refused request=a reason=store_unavailable status=503",
        "ts=1600 node=e1 event=request_refused request=b reason=no_leader status=503",
    });
    const auto timeline = build_timeline(lines, "a");
    CHECK(timeline.lines.size() == 2);
    CHECK(has_finding(timeline, "nothing was stored, so the job has not run"));
    CHECK(has_finding(timeline, "e1 lost contact with the store"));
    CHECK_FALSE(has_finding(timeline, "e2 lost"));
    CHECK_FALSE(has_finding(timeline, "no end"));
}

TEST_CASE("a late request is explained by its wait and by why its runs ended") {
    const auto lines = parse_all({
        "ts=5000 node=e1 event=job_ended request=a state=completed age_ms=4000",
        "ts=1000 node=e1 event=job_known request=a account=x age_ms=2",
        "ts=2000 node=e1 event=task_placed request=a task=0.0.0 run=1 worker=w1",
        "ts=2500 node=e1 event=task_stopping request=a task=0.0.0 run=1 worker=w1 "
        "reason=preempted_for_b",
        "ts=2600 node=e1 event=worker_unreachable worker=w1",
        "ts=2600 node=e1 event=worker_unreachable worker=w2",
        "ts=3000 node=e1 event=task_released request=a task=0.0.0 run=1 worker=w1 "
        "reason=lease_expired",
        "ts=3100 node=e1 event=suppressed kind=task_placed lines=7",
    });
    const auto timeline = build_timeline(lines, "a");
    CHECK(timeline.lines.size() == lines.size() - 1);
    CHECK(std::is_sorted(
        timeline.lines.begin(), timeline.lines.end(),
        [](const auto& a, const auto& b) { return a.timestamp_ms < b.timestamp_ms; }));
    CHECK(has_finding(timeline, "waited 1000 ms"));
    CHECK(has_finding(timeline, "stopped: 1 run (preempted)"));
    CHECK(has_finding(timeline, "lost: 1 run (lease_expired)"));
    CHECK(has_finding(timeline, "ended completed after 4000 ms"));
    CHECK(has_finding(timeline, "lines are missing from these logs (task_placed)"));
}

TEST_CASE("failures on one worker suggest that worker as the cause, on several the job") {
    std::vector<std::string> texts{
        "ts=1000 node=e1 event=job_known request=a account=x age_ms=2",
        "ts=1100 node=e1 event=task_ended request=a task=0.0.0 run=1 worker=w1 reason=failed"};
    CHECK(has_finding(build_timeline(parse_all(texts), "a"), "that worker may be the cause"));
    CHECK(has_finding(build_timeline(parse_all(texts), "a"), "no end and no refusal is logged"));
    texts.emplace_back(
        "ts=1200 node=e2 event=task_ended request=a task=0.0.0 run=2 worker=w2 reason=failed");
    texts.emplace_back("ts=1150 node=e2 event=leader_started epoch=2");
    texts.emplace_back("ts=1300 node=e2 event=job_ended request=a state=failed age_ms=300");
    const auto timeline = build_timeline(parse_all(texts), "a");
    CHECK(has_finding(timeline, "failed: 2 runs, on w1, w2: the job itself is the likely cause"));
    CHECK(has_finding(timeline, "became leader meanwhile: 1 host"));
}

TEST_CASE("a job that was given up is explained by its task and the workers lost under it") {
    const auto lines = parse_all({
        "ts=1000 node=e1 event=run_lost request=a task=0.0.2 run=1 worker=w1 evidence=replaced",
        "ts=2000 node=e1 event=run_lost request=a task=0.0.2 run=2 worker=w2 evidence=restarted",
        "ts=2000 node=e1 event=job_given_up request=a task=0.0.2 run=2 reason=crashes_workers "
        "crashes=2 start_crashes=2 witnessed_crashes=2",
        "ts=2001 node=e1 event=job_ended request=a state=failed age_ms=1500",
    });
    const auto timeline = build_timeline(lines, "a");
    CHECK(has_finding(timeline, "workers crashed 2 times under its task 0.0.2"));
    CHECK(has_finding(timeline, "lost with their worker: 2 runs, on w1, w2"));
    CHECK(has_finding(timeline, "ended failed"));
}

TEST_CASE("the timeline of an unknown request says what to check") {
    const auto lines = parse_all({"ts=1000 node=e1 event=leader_started epoch=1"});
    const auto timeline = build_timeline(lines, "a");
    CHECK(timeline.lines.empty());
    CHECK(has_finding(timeline, "check its id"));
}

// Guards against complaints that can't be followed because the lines of a job's runs were left out.
TEST_CASE("the end of a job tells of its runs whose lines were left out") {
    const auto timeline = build_timeline(
        parse_all({"ts=1000 node=e1 event=job_known request=a",
                   "ts=9000 node=e1 event=job_ended request=a state=completed age_ms=8000 "
                   "placed_age_ms=2900 placements=12 releases=4 failed_runs=1"}),
        "a");
    CHECK(has_finding(timeline,
                      "its last leader placed its tasks 12 times, first 2900 ms after the "
                      "submission; 4 runs were lost and 1 failed"));
}

TEST_CASE("may_be_relevant drops lines of other requests and routine worker_listed lines") {
    CHECK(may_be_relevant(*parse_log_line("ts=1 node=e event=job_known request=a"), "a"));
    CHECK_FALSE(may_be_relevant(*parse_log_line("ts=1 node=e event=job_known request=b"), "a"));
    CHECK(may_be_relevant(*parse_log_line("ts=1 node=e event=worker_lost worker=w"), "a"));
    CHECK_FALSE(may_be_relevant(*parse_log_line("ts=1 node=e event=worker_listed worker=w"), "a"));
}
