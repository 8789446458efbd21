#include "late_end.h"

namespace fulmarworks::scheduler {

bool is_late_success(const task_ref& ref, const ended_run& end) {
    return ref && ref.item->phase == task_phase::idle && ref.item->run == end.run &&
           end.reason == end_reason::done && !ref.owner->ended() && !ref.spec->gang;
}

void withdraw_needless_placement(reduce_context& ctx, const task_ref& ref, const ended_run& end) {
    const bool needless = ref && ref.item->phase == task_phase::placed &&
                          ref.item->run == end.run + 1 && end.reason == end_reason::done &&
                          !ref.owner->ended() && !ref.spec->gang && !ref.spec->long_running;
    if (needless) {
        release_task(ctx, end.task, ref, "previous_run_done");
        ref.item->run = end.run;
    }
}

void log_unmatched_end(reduce_context& ctx, const std::string& worker_id, const task_ref& ref,
                       const ended_run& end) {
    if (!ref || ref.owner->ended() || end.reason != end_reason::done) {
        return;
    }
    log_decision(ctx, "end_unmatched",
                 describe_task(end.task, end.run) + " worker=" + worker_id + " current_run=" +
                     std::to_string(ref.item->run) + " assigned_to=" + ref.item->where.id +
                     " gang=" + std::to_string(ref.spec->gang ? 1 : 0));
}

} // namespace fulmarworks::scheduler
