#pragma once

#include "base/time.h"
#include "scheduler/speed_class.h"

#include <map>
#include <string>

namespace fulmarworks::scheduler {

/** What is known about the speed of one worker. */
struct speed_evidence {
    /** Sums over the samples, each the logarithm of a speed ratio. Earlier samples weigh less. */
    double weight = 0;
    double sum = 0;
    double sum_of_squares = 0;
    /** Number of runs and, as far as consecutive runs tell, of jobs. */
    std::uint32_t runs = 0;
    std::uint32_t jobs = 0;
    std::string last_job;
    /** Monotonic time of the latest sample. */
    time_ms updated_at_ms = 0;
    speed_class speed = speed_class::normal;
};

/** Speeds of all workers. A new leader learns them anew. */
struct worker_speeds {
    /** By worker id; workers without evidence have no entry. */
    std::map<std::string, speed_evidence> by_worker;
    /** Numbers of known workers of these classes. */
    std::size_t fast_workers = 0;
    std::size_t slow_workers = 0;
    /** Whether evidence was added since the classes were determined. */
    bool changed = false;
    /** Monotonic time at which the classes were determined last. */
    time_ms classified_at_ms = 0;
};

} // namespace fulmarworks::scheduler
