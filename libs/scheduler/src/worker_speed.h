#pragma once

#include "scheduler/job.h"
#include "scheduler/run_rate.h"
#include "scheduler/speed_evidence.h"

#include <optional>
#include <span>
#include <string_view>

namespace fulmarworks::scheduler {

/**
 * Speeds of workers, learned from the rates of progress of runs.
 *
 * Handles fleets in which some workers need much less, or much more, time than the others for the
 * same task. Run times of different steps are not comparable, because callers' estimates may be
 * wrong by any factor; so a run is compared only with the other runs of its step.
 */

/** Comparison of a run with other runs of its step. */
struct rate_comparison {
    /** Logarithm of the ratio to the median of the others. */
    double log_ratio = 0;
    /** From 0 to 1. Less than 1 if the other workers are few and of unknown speed, as it is unclear
     * then which of them is fast, or if the worker has several runs of the step. */
    double weight = 0;
};

/** Returns the mean logarithm of a worker's speed; nothing while the evidence is too little. */
[[nodiscard]] std::optional<double> learned_log_speed(const worker_speeds& speeds,
                                                      const std::string& worker);

/** Returns a worker's speed over that of a normal one; 1 unless its class is fast or slow. */
[[nodiscard]] double relative_speed(const worker_speeds& speeds, const std::string& worker);

/**
 * Compares the measured run of task `index` with runs of other tasks of the step on other workers.
 * The rate of each is corrected by its worker's learned speed: otherwise, workers that mostly run
 * beside equally fast ones would appear normal. Returns nothing
 * while too few runs are measured, so that the first ones, which are the fastest, don't count as
 * typical. Only a limited number of tasks is examined. Precondition: `rates` has one entry for each
 * task of the step.
 */
[[nodiscard]] std::optional<rate_comparison> compare_rate(const worker_speeds& speeds,
                                                          const step_progress& progress,
                                                          std::size_t index, bool gang);

/** Adds a comparison of one run on the worker. */
void add_evidence(worker_speeds& speeds, const std::string& worker, std::string_view job,
                  const rate_comparison& compared, time_ms now_ms);

/** Halves the weight of a worker's evidence, because another machine may have its id now. */
void discount_evidence(worker_speeds& speeds, const std::string& worker);

/** Returns the median of the workers' mean logarithms; 0 without evidence. */
[[nodiscard]] double fleet_log_median(const worker_speeds& speeds);

/** Returns the class of a worker, given the fleet's median. */
[[nodiscard]] speed_class classify_speed(const speed_evidence& evidence, double fleet_median);

} // namespace fulmarworks::scheduler
