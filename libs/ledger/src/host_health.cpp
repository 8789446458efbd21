#include "host_health.h"

#include "plan_maintenance.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr std::size_t failures_to_quarantine = 3;
/** Once a job has failed on this many hosts, its next failure doesn't count against a host. */
constexpr std::size_t failed_hosts_of_bad_job = 2;
constexpr time_ms first_quarantine_ms = 30 * milliseconds_per_second;
constexpr int max_quarantine_doublings = 6;

void quarantine(apply_context& ctx, host_index h) {
    host_record& record = ctx.state.host_records[h];
    const int doublings = std::min(record.quarantine_level, max_quarantine_doublings);
    ++record.quarantine_level;
    record.failed_jobs.clear();
    record.on_probation = true;
    record.quarantined_until = ctx.state.now + (first_quarantine_ms << doublings);
    ctx.state.quarantined.insert({record.quarantined_until, h});
    ctx.state.hosts.set_probation(h, true);
    ctx.state.hosts.set_quarantined(h, true);
    increment_counter(ctx, "host_quarantined");
    refresh_reclaim_plan(ctx);
}

} // namespace

void record_task_failure(apply_context& ctx, host_index h, job& j) {
    const auto previously_failed_hosts = j.failed_hosts.size();
    if (std::find(j.failed_hosts.begin(), j.failed_hosts.end(), h) == j.failed_hosts.end()) {
        j.failed_hosts.push_back(h);
    }
    host_record& record = ctx.state.host_records[h];
    if (previously_failed_hosts >= failed_hosts_of_bad_job ||
        ctx.state.hosts.hosts()[h].quarantined) {
        return;
    }
    auto& failed = record.failed_jobs;
    if (std::find(failed.begin(), failed.end(), j.id) == failed.end()) {
        failed.push_back(j.id);
    }
    if (record.on_probation || failed.size() >= failures_to_quarantine) {
        quarantine(ctx, h);
    }
}

void record_task_success(apply_context& ctx, host_index h) {
    host_record& record = ctx.state.host_records[h];
    record.failed_jobs.clear();
    if (record.on_probation && !ctx.state.hosts.hosts()[h].quarantined) {
        record.on_probation = false;
        record.quarantine_level = 0;
        ctx.state.hosts.set_probation(h, false);
    }
}

void release_quarantined_hosts(apply_context& ctx) {
    auto& waiting = ctx.state.quarantined;
    bool released = false;
    while (!waiting.empty() && waiting.begin()->first <= ctx.state.now) {
        ctx.state.hosts.set_quarantined(waiting.begin()->second, false);
        waiting.erase(waiting.begin());
        released = true;
    }
    if (released) {
        refresh_reclaim_plan(ctx);
    }
}

} // namespace fulmarworks
