#include "worker_loss.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

std::string_view name_of(loss_evidence evidence) {
    switch (evidence) {
    case loss_evidence::restarted: return "restarted";
    case loss_evidence::replaced: return "replaced";
    case loss_evidence::silent: return "silent";
    }
    return "invalid";
}

/** Returns whether the task's run may have started on its worker. */
bool may_have_started(const task_ref& ref) {
    return ref && is_assigned(ref.item->phase) && ref.item->phase != task_phase::placed;
}

/** Returns for how long the worker is known to have run the task; 0 if that is unknown. */
time_ms observed_run_ms(const worker& w, const task& t) {
    return t.started_at_ms == 0 ? 0 : std::max<time_ms>(0, w.answered_at_ms - t.started_at_ms);
}

} // namespace

void log_worker_loss(reduce_context& ctx, const worker& w, loss_evidence evidence) {
    const std::string fields =
        " worker=" + w.report.incarnation.id + " evidence=" + std::string(name_of(evidence));
    std::size_t lost = 0;
    for (const auto& id : w.assigned) {
        const task_ref ref = find_task(ctx.state, id);
        if (!may_have_started(ref)) {
            continue;
        }
        ++lost;
        log_decision(ctx, "run_lost",
                     describe_task(id, ref.item->run) + fields +
                         " observed_ms=" + std::to_string(observed_run_ms(w, *ref.item)));
    }
    if (lost > 0) {
        log_decision(ctx, "worker_runs_lost",
                     "worker=" + w.report.incarnation.id + " evidence=" +
                         std::string(name_of(evidence)) + " address=" + w.report.address +
                         " draining=" + std::to_string(w.report.draining ? 1 : 0) +
                         " runs=" + std::to_string(lost));
    }
}

} // namespace fulmarworks::scheduler
