#pragma once

#include "leader.h"

namespace fulmarworks::node {

class configuration_view;

/** Returns what the newest configuration and the requests beside it ask of the coordinator. Thread
 * safe. */
[[nodiscard]] operator_requests make_operator_requests(const configuration_view& view);

} // namespace fulmarworks::node
