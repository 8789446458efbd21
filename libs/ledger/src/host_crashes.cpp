#include "host_crashes.h"

#include "job_lifecycle.h"

#include <algorithm>
#include <utility>

namespace fulmarworks {

namespace {

/** Hosts that may crash under a job before it ends. */
constexpr std::ptrdiff_t max_crashed_hosts = 5;
/** Lost hosts after which the job ends although some of them may only be silent. */
constexpr std::size_t max_lost_hosts = 10;
/** Time within which a crashed host has usually restarted. */
constexpr time_ms restart_wait_ms = 20 * milliseconds_per_second;

std::ptrdiff_t count_crashed(const job& j) {
    return std::count_if(j.lost_hosts.begin(), j.lost_hosts.end(),
                         [](const lost_host& lost) { return lost.crashed; });
}

} // namespace

void record_lost_host(apply_context& ctx, job& j, host_index h, bool crashed) {
    host_record& record = ctx.state.host_records[h];
    j.lost_hosts.push_back({h, record.incarnation, crashed});
    if (!crashed) {
        record.unresolved_jobs.push_back(j.id);
    }
    increment_counter(ctx, crashed ? "lost_host.crashed" : "lost_host.silent");
}

void resolve_lost_host(apply_context& ctx, host_index h, std::uint64_t incarnation) {
    host_record& record = ctx.state.host_records[h];
    for (const auto& id : std::exchange(record.unresolved_jobs, {})) {
        const auto found = ctx.state.jobs.find(id);
        if (found == ctx.state.jobs.end()) {
            continue;
        }
        job& j = found->second;
        std::erase_if(j.lost_hosts, [&](const lost_host& lost) {
            return lost.host == h && !lost.crashed && lost.incarnation == incarnation;
        });
        for (auto& lost : j.lost_hosts) {
            lost.crashed = lost.crashed || lost.host == h;
        }
        if (j.phase == job_phase::queued && crashes_hosts(j)) {
            dequeue(ctx.state, j);
            finish(ctx, j, job_phase::failed, job_reason::worker_lost);
        }
    }
}

bool crashes_hosts(const job& j) {
    return count_crashed(j) >= max_crashed_hosts || j.lost_hosts.size() >= max_lost_hosts;
}

time_ms delay_after_loss(const job& j) {
    return std::cmp_less(j.lost_hosts.size(), max_crashed_hosts) ? 0 : restart_wait_ms;
}

} // namespace fulmarworks
