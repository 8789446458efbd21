#pragma once

#include "apply_context.h"

namespace fulmarworks {

/**
 * Assigns every rack to an instance by rendezvous hashing (Thaler and Ravishankar, 1998). Prefers
 * instances in the rack's region. A change of owner increments the rack's epoch.
 */
void assign_rack_owners(apply_context& ctx);

} // namespace fulmarworks
