#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/** How it became known that the runs on a worker are over without a listed end. */
enum class loss_evidence {
    restarted, // the worker answers or reports with a later start
    replaced,  // another worker answers at its address
    silent,    // every lease has expired; the worker may be cut off or have crashed
};

/** Logs the loss of a worker and of each run that may have started there. */
void log_worker_loss(reduce_context& ctx, const worker& w, loss_evidence evidence);

} // namespace fulmarworks::scheduler
