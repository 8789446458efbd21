#pragma once

#include "fake_worker.h"
#include "ledger/state.h"

#include <string>
#include <vector>

namespace fulmarworks {

/**
 * Compares what callers were told with what the workers did. Returns a line for each broken
 * promise: a job that does not end, work of a job that was said not to have run, a non-repeatable
 * job that was started twice, members of one attempt that did not all run, and a plan with pinned
 * work in it. Empty means that all hold.
 */
[[nodiscard]] std::vector<std::string> check_history(const ledger_state& s,
                                                     const std::vector<history_entry>& history);

} // namespace fulmarworks
