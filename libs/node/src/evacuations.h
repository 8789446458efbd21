#pragma once

#include "platform/store_client.h"

#include <set>
#include <span>
#include <string>

namespace fulmarworks::node {

/** Returns the failure domains that the newest records of the operator's documents evacuate. Keys
 * that are missing from `records` no longer exist. Thread safe. */
[[nodiscard]] std::set<std::string>
evacuated_domains_of(std::span<const platform::logged_record> records);

/** Applies one later record to the set of evacuated failure domains. Returns whether the record is
 * about an evacuation. */
bool apply_evacuation(std::set<std::string>& domains, const platform::logged_record& record);

} // namespace fulmarworks::node
