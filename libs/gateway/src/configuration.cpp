#include "gateway/configuration.h"

#include <set>

namespace fulmarworks::gateway {

scheduler::queue_policies queue_policies_of(const configuration& config) {
    scheduler::queue_policies queues{config.version, {}};
    std::set<std::string> ambiguous;
    for (const auto& r : config.routes) {
        const auto [known, added] = queues.by_queue.emplace(r.name, r.policy);
        if (!added && known->second != r.policy) {
            ambiguous.insert(r.name);
        }
    }
    for (const auto& name : ambiguous) {
        queues.by_queue.erase(name);
    }
    return queues;
}

} // namespace fulmarworks::gateway
