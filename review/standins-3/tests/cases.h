#pragma once

#include "deployment.h"

#include <string>

namespace fulmarworks::review {

struct case_context {
    record& log;
    std::string directory;
    /** Whether the disruption happens. */
    bool trouble = true;
};

inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int not_run = 2;

/** A task that lasts loses its executor while urgent jobs arrive. */
int run_headroom(case_context& context);
/** A task that lasts loses its executor several times. */
int run_worker_losses(case_context& context);
/** An executor starts again under its id after its time of day was set back. */
int run_earlier_born(case_context& context);
/** An unanswered order is carried out after its executor has started again under its id. */
int run_late_duplicate(case_context& context);
/** Another writer puts an entry under the id of an executor that works. */
int run_foreign_entry(case_context& context);
/** Jobs are cancelled right after they were accepted, while the leader is stopped. */
int run_early_cancel(case_context& context);
/** A gang with checkpoints loses all its executors at once. */
int run_gang_checkpoint(case_context& context);

} // namespace fulmarworks::review
