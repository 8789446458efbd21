#include "submission_deletion.h"

#include <map>

namespace fulmarworks::node {

namespace {

/** Timeout of the append that deletes the submissions of ended jobs. It is not urgent: the
 * coordinator requests it again if it fails. */
constexpr time_ms delete_submissions_timeout_ms = 1000;

} // namespace

void delete_submissions(platform::store_client& store, const std::vector<std::string>& jobs,
                        const std::function<void(const std::vector<std::string>&)>& on_deleted) {
    std::map<std::uint32_t, std::vector<std::string>> by_partition;
    for (const auto& id : jobs) {
        by_partition[store.submission_partition(id)].push_back(id);
    }
    for (auto& [partition, ids] : by_partition) {
        platform::append_request request;
        request.log_topic = platform::topic::submissions;
        request.partition = partition;
        request.timeout_ms = delete_submissions_timeout_ms;
        for (const auto& id : ids) {
            request.records.push_back({id, ""});
        }
        store.append(request,
                     [ids = std::move(ids), on_deleted](const platform::append_outcome& outcome) {
                         if (outcome.status == platform::store_status::ok) {
                             on_deleted(ids);
                         }
                     });
    }
}

} // namespace fulmarworks::node
