#pragma once

#include "instance/instance_state.h"

namespace fulmarworks {

/**
 * Returns the initial state of an instance and appends its first effects to `effects`.
 * Precondition: `settings` are validated.
 */
[[nodiscard]] instance_state start_instance(instance_settings settings, event_time now,
                                            effect_list& effects);

/**
 * Handles one event: updates the state and appends the resulting effects. Reads no clock and does
 * no I/O. Not thread safe; the events of one instance are handled one at a time.
 */
void reduce(instance_state& s, event_time now, const event& e, effect_list& effects);

} // namespace fulmarworks
