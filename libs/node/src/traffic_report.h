#pragma once

#include "http/traffic_meter.h"
#include "node/decision_log.h"
#include "node/metrics.h"

namespace fulmarworks::node {

/** Writes one `traffic` line for each kind of call: what was sent and received since the start. */
void log_traffic(const traffic_meter& traffic, decision_log& log);

/** Sets the gauges `traffic_*` to what was sent and received since the start. */
void export_traffic(const traffic_meter& traffic, metrics& counters);

} // namespace fulmarworks::node
