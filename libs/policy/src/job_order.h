#pragma once

#include "planning.h"

#include <functional>

namespace fulmarworks {

/** Returned by the visitor of a job: whether to go on to the next. */
enum class visit { next, stop };

/**
 * Visits the queued urgent jobs by deadline; those of accounts that hold more than their weight's
 * share of what urgent work holds come after the others', so that a burst costs the account that
 * sent it.
 */
void for_each_urgent(planning& p, const std::function<visit(job&)>& visitor);

/**
 * Visits the other queued jobs: accounts below their guarantee first, then by weighted use. The
 * use of an account counts what earlier visits have placed.
 */
void for_each_by_share(planning& p, const std::function<visit(job&)>& visitor);

/** Visits all queued jobs by arrival; a baseline for benchmarks. */
void for_each_by_arrival(planning& p, const std::function<visit(job&)>& visitor);

/** Returns whether an account holds clearly more than its weight's share of urgent work. */
[[nodiscard]] bool is_over_share(const ledger_state& s, std::string_view account);

/** Returns the accelerators that an account is promised. */
[[nodiscard]] int guaranteed_accelerators(const ledger_state& s, std::string_view account);

} // namespace fulmarworks
