#include "late_end.h"

#include "completion.h"

namespace fulmarworks::scheduler {

void apply_late_end(reduce_context& ctx, const std::string& worker_id, const task_ref& ref,
                    const ended_run& end) {
    if (!ref || ref.owner->ended() || ref.spec->long_running ||
        ref.item->phase == task_phase::complete || end.reason != end_reason::done) {
        return;
    }
    const bool was_ordered = end.run >= 1 && end.run <= ref.item->run;
    log_decision(ctx, was_ordered ? "late_end" : "end_unmatched",
                 describe_task(end.task, end.run) + " worker=" + worker_id + " current_run=" +
                     std::to_string(ref.item->run) + " assigned_to=" + ref.item->where.id +
                     " gang=" + std::to_string(ref.spec->gang ? 1 : 0));
    if (!was_ordered) {
        return;
    }
    complete_run(ctx, ref, end);
    mark_changed(ctx, *ref.owner);
    end_job_if_final(ctx, *ref.owner);
}

} // namespace fulmarworks::scheduler
