#pragma once

#include "planning_step.h"

#include <functional>

namespace fulmarworks {

/** Result of visiting a job: whether to continue with the next one. */
enum class visit_result { next, stop };

/**
 * Visits the queued urgent jobs by deadline. Jobs of accounts that exceed their share of the
 * accelerators in urgent use come last, so that a burst delays the account that submitted it.
 */
void for_each_urgent(planning_step& p, const std::function<visit_result(job&)>& visitor);

/**
 * Visits the queued jobs that aren't urgent: accounts below their guarantee first, then by used
 * accelerators over weight. The usage of an account includes what earlier visits have placed.
 */
void for_each_by_share(planning_step& p, const std::function<visit_result(job&)>& visitor);

/** Visits all queued jobs in order of arrival, as a baseline for benchmarks. */
void for_each_by_arrival(planning_step& p, const std::function<visit_result(job&)>& visitor);

/** Returns whether an account clearly exceeds its weighted share of accelerators in urgent use. */
[[nodiscard]] bool exceeds_urgent_share(const ledger_state& s, std::string_view account);

/** Returns the number of accelerators that guarantees assign to an account. */
[[nodiscard]] int guaranteed_accelerators(const ledger_state& s, std::string_view account);

} // namespace fulmarworks
