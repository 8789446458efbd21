#pragma once

#include "base/time.h"

namespace fulmarworks::node {

/** Times (boottime) of a host that was told to stop. */
struct stop_schedule {
    /** 0 unless the host is stopping. */
    time_ms started_at_ms = 0;
    /** When the open calls got their last answers; 0 before. */
    time_ms answered_at_ms = 0;
};

/** What a stopping host does next. */
enum class stop_step {
    serve,        // answers calls as before
    answer_calls, // answers all open calls now, and refuses those that follow
    exit,
};

/**
 * Returns the next step, and notes it.
 *
 * A stopping host serves until it is idle, at least until its load balancer has noticed. If calls
 * are open near the end of `grace_ms`, when the process is killed, they get an answer that is true
 * at that time. The process exits a while later, also if it was late, so that the answers are sent
 * and callers that have just sent a request get one too. Precondition: the host is stopping.
 */
[[nodiscard]] stop_step next_step(stop_schedule& schedule, time_ms now_ms, time_ms grace_ms,
                                  bool idle);

} // namespace fulmarworks::node
