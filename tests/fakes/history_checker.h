#pragma once

#include "fake_worker.h"
#include "ledger/state.h"

#include <string>
#include <vector>

namespace fulmarworks {

/**
 * Checks the job states in the ledger against the history of the workers. Returns one line for each
 * violation: a job without a final outcome, a start of a job that was reported as not run or that
 * the log does not contain, a non-repeatable job that was started more than once, a completed
 * attempt in which not all members ran, and a guarantee cell that overlaps pinned accelerators.
 * Returns an empty list if there is no violation.
 */
[[nodiscard]] std::vector<std::string> check_history(const ledger_state& s,
                                                     const std::vector<history_entry>& history);

} // namespace fulmarworks
