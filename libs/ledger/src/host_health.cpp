#include "host_health.h"

#include "plan_upkeep.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr std::size_t failures_to_quarantine = 3;
/** A job that failed on this many other hosts is no evidence against the next one. */
constexpr std::size_t failures_of_bad_job = 2;
constexpr time_ms first_quarantine_ms = 30 * milliseconds_per_second;
constexpr int max_quarantine_doublings = 6;

void quarantine(fold& f, host_index h) {
    host_record& record = f.state.host_records[h];
    const int doublings = std::min(record.quarantine_level, max_quarantine_doublings);
    ++record.quarantine_level;
    record.failed_jobs.clear();
    record.on_probation = true;
    record.quarantined_until = f.state.now + (first_quarantine_ms << doublings);
    f.state.quarantined.insert({record.quarantined_until, h});
    f.state.hosts.set_probation(h, true);
    f.state.hosts.set_quarantined(h, true);
    count(f, "host_quarantined");
    refresh_plan(f);
}

} // namespace

void note_task_failure(fold& f, host_index h, job& j) {
    const auto other_hosts = j.failed_hosts.size();
    if (std::find(j.failed_hosts.begin(), j.failed_hosts.end(), h) == j.failed_hosts.end()) {
        j.failed_hosts.push_back(h);
    }
    host_record& record = f.state.host_records[h];
    if (other_hosts >= failures_of_bad_job || f.state.hosts.hosts()[h].quarantined) {
        return;
    }
    auto& failed = record.failed_jobs;
    if (std::find(failed.begin(), failed.end(), j.id) == failed.end()) {
        failed.push_back(j.id);
    }
    if (record.on_probation || failed.size() >= failures_to_quarantine) {
        quarantine(f, h);
    }
}

void note_task_success(fold& f, host_index h) {
    host_record& record = f.state.host_records[h];
    record.failed_jobs.clear();
    if (record.on_probation && !f.state.hosts.hosts()[h].quarantined) {
        record.on_probation = false;
        record.quarantine_level = 0;
        f.state.hosts.set_probation(h, false);
    }
}

void release_quarantined(fold& f) {
    auto& waiting = f.state.quarantined;
    bool released = false;
    while (!waiting.empty() && waiting.begin()->first <= f.state.now) {
        f.state.hosts.set_quarantined(waiting.begin()->second, false);
        waiting.erase(waiting.begin());
        released = true;
    }
    if (released) {
        refresh_plan(f);
    }
}

} // namespace fulmarworks
