#include "operator_requests.h"

#include "configuration_view.h"

namespace fulmarworks::node {

operator_requests make_operator_requests(const configuration_view& view) {
    const auto& configuration = view.newest();
    operator_requests newest;
    newest.evacuated_domains = view.evacuated_domains();
    if (configuration) {
        newest.guarantees = configuration->guarantees;
        newest.queues = queue_policies_of(*configuration);
    }
    return newest;
}

} // namespace fulmarworks::node
