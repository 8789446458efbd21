#pragma once

#include "fold.h"

namespace fulmarworks {

/**
 * Gives every rack an owner by rendezvous hashing (Thaler and Ravishankar, 1998) over the live
 * instances, of the rack's own region where there is one. A change of owner raises the epoch.
 */
void assign_rack_owners(fold& f);

} // namespace fulmarworks
