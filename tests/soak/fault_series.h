#pragma once

#include "entry_host.h"
#include "soak_store.h"
#include "soak_worker.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fulmarworks::soak {

/** What a series of faults acts on. All outlive the series. */
struct fault_targets {
    event_loop& loop;
    soak_store& store;
    std::deque<entry_host>& hosts;
    std::vector<std::unique_ptr<soak_worker>>& workers;
    /** Kills a host and starts it again. */
    std::function<void(entry_host&)> kill;
    /** Stops a host gracefully and starts it again. */
    std::function<void(entry_host&)> stop;
    std::function<void()> submit;
    /** Writes another version of the configuration. */
    std::function<void()> change_configuration;
};

/** Duration of the series. */
inline constexpr time_ms series_ms = 30'000;

/**
 * Schedules changes of the configuration in quick succession, two losses of nearly all hosts,
 * workers that leave, a burst, a silent store and a rolling restart, some of them at once. Returns
 * one line for each.
 */
[[nodiscard]] std::vector<std::string> schedule_series(const fault_targets& targets);

} // namespace fulmarworks::soak
