#pragma once

#include "base/time.h"
#include "run_times/encoded_class.h"
#include "run_times/prediction.h"
#include "run_times/run_class.h"
#include "run_times/run_sample.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace fulmarworks::run_times {

/**
 * Statistics of the run times of finished runs, by class. Handles heavy-tailed run times and
 * callers' estimates of any quality. Each sample updates three levels: (queue, account,
 * accelerators), (queue, accelerators) and (queue). Weights of samples halve every 10 minutes.
 *
 * All times `now_ms` are readings of one monotonic clock. A call takes constant time, except
 * take_changed() and an add() or restore() that evicts a class, which visit all classes (at most
 * 512). Not thread safe; const functions may run concurrently.
 */
class run_time_model {
public:
    run_time_model();
    ~run_time_model();
    run_time_model(const run_time_model& other);
    run_time_model& operator=(const run_time_model& other);
    /** A model that was moved from may only be assigned to or destroyed. */
    run_time_model(run_time_model&& other) noexcept;
    run_time_model& operator=(run_time_model&& other) noexcept;

    /**
     * Adds a run that ended as done. The caller leaves out runs that resumed from a checkpoint, and
     * of a gang adds only the member whose end was listed. Samples with a negative duration or a
     * speed that is not positive are ignored.
     */
    void add(const run_sample& s, time_ms now_ms);

    /**
     * Returns the expected run time of a task on a worker of speed 1: from the first level whose
     * samples have a total weight of at least 8, or the estimate with `samples` 0 if none has.
     */
    [[nodiscard]] prediction predict(const run_class& kind, time_ms estimate_ms,
                                     time_ms now_ms) const;

    /**
     * Returns the mean remaining time of the runs of a class that take longer than `elapsed_ms`,
     * tail included, in run time on a worker of speed 1. Without evidence it returns the rest of
     * the estimate, at least 0.
     */
    [[nodiscard]] time_ms expected_remaining_ms(const run_class& kind, time_ms estimate_ms,
                                                time_ms elapsed_ms, time_ms now_ms) const;

    /**
     * Returns at most `max` classes that have changed since they were last returned, those that
     * were returned longest ago first, and marks them as unchanged.
     */
    [[nodiscard]] std::vector<encoded_class> take_changed(std::size_t max, time_ms now_ms);

    /**
     * Adds the stored statistics of a class to the samples added so far. A class that was restored
     * or returned by take_changed() before is left as it is, so that nothing counts twice. Returns
     * false, without any change, if the key or the value is malformed or of an unknown layout.
     */
    bool restore(std::string_view key, std::string_view value, time_ms now_ms);

    /** Returns the number of classes, of all levels. */
    [[nodiscard]] std::size_t size() const;

    /** Returns the number of samples added to this object, restored ones not included. */
    [[nodiscard]] std::uint64_t samples_added() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarworks::run_times
