#pragma once

#include "fake_worker.h"
#include "test_cluster.h"

#include <algorithm>
#include <vector>

namespace fulmarworks {

/** Fetches the task history of all workers. */
[[nodiscard]] inline std::vector<history_entry> read_history(const test_cluster& cluster) {
    return cluster.worker_history().get<std::vector<history_entry>>();
}

/** Returns the number of starts of a job's first member. */
[[nodiscard]] inline int count_starts(const std::vector<history_entry>& history,
                                      const std::string& job) {
    return static_cast<int>(std::count_if(history.begin(), history.end(), [&](const auto& e) {
        return e.job == job && e.what == "start" && e.member == 0;
    }));
}

} // namespace fulmarworks
