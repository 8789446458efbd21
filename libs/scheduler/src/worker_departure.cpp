#include "worker_loss.h"
#include "worker_sync.h"

#include <string_view>
#include <unordered_set>

namespace fulmarworks::scheduler {

namespace {

/** Intervals of silence after which the registry deletes an entry. */
constexpr time_ms silent_intervals_before_deletion = 3;

/**
 * Returns whether a draining worker whose entry was just deleted has left. The only other reason
 * for a deletion is silence for three heartbeat intervals, which can't have passed since the last
 * entry.
 */
bool left_before_silence(const worker& w, const settings& limits, time_ms now_ms) {
    return w.report.draining && w.reported_after_ms != 0 && now_ms >= w.leaves_at_ms &&
           now_ms - w.reported_after_ms < silent_intervals_before_deletion * limits.heartbeat_ms;
}

/** Returns the listed workers that a complete read of the registry doesn't name. */
std::vector<std::string> missing_workers(const coordinator_state& state,
                                         const workers_reported& read) {
    std::unordered_set<std::string_view> named;
    for (const auto& change : read.changes) {
        if (const auto* reported = std::get_if<worker_reported>(&change)) {
            named.insert(reported->report.incarnation.id);
        }
    }
    std::vector<std::string> missing;
    for (const auto& [id, w] : state.workers) {
        if (w.listed && !named.contains(id)) {
            missing.push_back(id);
        }
    }
    return missing;
}

} // namespace

void apply_unlisted(reduce_context& ctx, const worker_unlisted& unlisted) {
    const std::string& id = unlisted.id;
    worker* w = find_worker(ctx.state, id);
    if (w != nullptr && w->listed) {
        w->listed = false;
        w->has_left =
            unlisted.deleted && left_before_silence(*w, ctx.state.limits, ctx.now.monotonic_ms);
        if (w->has_left) {
            forget_lost_runs(ctx, *w);
        }
        ctx.state.capacities.mark_stale(id);
        log_decision(ctx, "worker_unlisted", "worker=" + id);
    }
}

void apply_registry(reduce_context& ctx, const workers_reported& read) {
    if (read.complete) {
        for (auto& id : missing_workers(ctx.state, read)) {
            apply_unlisted(ctx, {std::move(id), false});
        }
    }
    for (const auto& change : read.changes) {
        if (const auto* reported = std::get_if<worker_reported>(&change)) {
            apply_report(ctx, *reported);
        } else {
            apply_unlisted(ctx, std::get<worker_unlisted>(change));
        }
    }
}

} // namespace fulmarworks::scheduler
