#pragma once

#include "platform/store_client.h"

#include <functional>
#include <string>
#include <vector>

namespace fulmarworks::node {

/**
 * Deletes the submissions of ended jobs, with one append for each partition. Calls `on_deleted`
 * with the jobs of each append that succeeded. Precondition: `store` outlives the calls. Not thread
 * safe.
 */
void delete_submissions(platform::store_client& store, const std::vector<std::string>& jobs,
                        const std::function<void(const std::vector<std::string>&)>& on_deleted);

} // namespace fulmarworks::node
