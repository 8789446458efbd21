#pragma once

#include "base/time.h"
#include "run_times/run_class.h"

namespace fulmarworks::run_times {

/** One finished run. */
struct run_sample {
    run_class kind;
    /** Run time that the caller stated; 0 or less: none. */
    time_ms estimate_ms = 0;
    /** Measured run time. */
    time_ms duration_ms = 0;
    /** Speed of the run's worker; a worker of speed 2 needs half of the time. */
    double worker_speed = 1;
};

} // namespace fulmarworks::run_times
