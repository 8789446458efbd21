#pragma once

#include "base/time.h"

namespace fulmarworks::run_times {

/** Expected run time on a worker of speed 1. */
struct prediction {
    /** Mean of the body of the distribution, without its tail. */
    time_ms expected_ms = 0;
    /** Quantile that nearly all runs stay below, tail included. */
    time_ms long_run_ms = 0;
    /** Total weight of the evidence; 0 if the caller's estimate was used for both times. */
    double samples = 0;
};

} // namespace fulmarworks::run_times
