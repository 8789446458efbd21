#pragma once

#include "instance/instance_state.h"

#include <string>

namespace fulmarworks {

/** Returns all metrics of an instance in the Prometheus text format. */
[[nodiscard]] std::string render_metrics(const instance_state& s, std::uint64_t bytes_transferred);

/** Returns the share of free accelerators that the largest guarantee can't use; 0 without
 * guarantees. */
[[nodiscard]] double fragmentation_of(const ledger_state& s);

} // namespace fulmarworks
