#include "stop_schedule.h"

namespace fulmarworks::node {

namespace {

/** Time for which a stopping host accepts connections, until its load balancer has noticed. */
constexpr time_ms drain_time_ms = 2300;
/** Part of the grace period that is reserved for the exit of the process. */
constexpr time_ms exit_margin_ms = 700;
/** Time between the last answers and the exit: longer than a request may stay unanswered before
 * its connection ends, with time to send the answers. */
constexpr time_ms last_answers_ms = 500;

} // namespace

stop_step next_step(stop_schedule& schedule, time_ms now_ms, time_ms grace_ms, bool idle) {
    const time_ms stopping_for = now_ms - schedule.started_at_ms;
    if (schedule.answered_at_ms != 0) {
        return now_ms - schedule.answered_at_ms >= last_answers_ms ? stop_step::exit
                                                                   : stop_step::serve;
    }
    if (idle && stopping_for >= drain_time_ms) {
        return stop_step::exit;
    }
    if (stopping_for >= grace_ms - exit_margin_ms - last_answers_ms) {
        schedule.answered_at_ms = now_ms;
        return stop_step::answer_calls;
    }
    return stop_step::serve;
}

} // namespace fulmarworks::node
