#pragma once

#include "instance/instance_state.h"

namespace fulmarworks {

/**
 * Returns the state of an instance that has just been started, and what it does first.
 * Precondition: `settings` are validated.
 */
[[nodiscard]] instance_state start_instance(instance_settings settings, event_time now,
                                            effect_list& effects);

/**
 * Handles one event: changes the state and appends what has to be done. Reads no clock and does
 * no I/O. Events of one instance are handled one at a time. Not thread safe.
 */
void reduce(instance_state& s, event_time now, const event& e, effect_list& effects);

} // namespace fulmarworks
