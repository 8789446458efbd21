#include "current_run.h"

#include "speed_learning.h"

namespace fulmarworks::scheduler {

bool is_current(const task_ref& ref, const worker& w, std::uint32_t run) {
    return ref && is_assigned(ref.item->phase) && ref.item->run == run &&
           ref.item->where == w.report.incarnation;
}

bool may_still_be_sent(const task& t, time_ms now_ms) {
    return now_ms <= t.start_sent_until_ms;
}

void confirm_run(const task_ref& ref, time_ms now_ms) {
    task& t = *ref.item;
    // Not stored by itself: a new leader confirms the run again, from its worker's list.
    ref.owner->started = true;
    begin_measurement(t, now_ms);
    t.phase = task_phase::running;
    t.order_attempts = 0;
    t.confirmed_at_ms = now_ms;
    t.progressed_at_ms = now_ms;
}

} // namespace fulmarworks::scheduler
