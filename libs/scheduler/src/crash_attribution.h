#pragma once

#include "scheduler/loss_count.h"

#include <span>
#include <string_view>
#include <vector>

namespace fulmarworks::scheduler {

/** A run that a crashed worker may have been working on. */
struct crashed_run {
    /** Job of the run. Tasks of one job are not told apart. */
    std::string_view job;
    /** Whether the worker was seen to work for the probation time after the run's start. */
    bool proven = false;
    /** Losses of the task before this crash. */
    loss_count losses;
};

/** Runs that a crash is attributed to. */
struct crash_attribution {
    /** Indices of the likely causes, which get a start crash; empty if the crash is unexplained. */
    std::vector<std::size_t> causes;
    /** Whether no other job had a run that had just started, so that no bystander is blamed. */
    bool conclusive = false;
};

/**
 * Attributes the crash of a worker to the runs on it.
 *
 * Answers a load in which some tasks crash each worker that starts them, beside sound tasks that
 * share these workers, on a fleet that also loses workers for other reasons. Only runs that had
 * just started are likely causes, and among them those that were under suspicion before. Thread
 * safe.
 */
[[nodiscard]] crash_attribution attribute_crash(std::span<const crashed_run> runs);

} // namespace fulmarworks::scheduler
