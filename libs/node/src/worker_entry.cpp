#include "worker_entry.h"

#include "platform/documents.h"

namespace fulmarworks::node {

namespace {

/** Difference between the clocks of two machines that is still accepted. */
constexpr time_ms max_clock_difference_ms = 60'000;

} // namespace

result<scheduler::worker_report> decode_worker_entry(const platform::logged_record& record,
                                                     time_ms wall_ms) {
    auto report = platform::decode_worker_report(record.key, record.value);
    if (report && report.value().incarnation.started_wall_ms > wall_ms + max_clock_difference_ms) {
        return error{error_kind::malformed_data, "a worker's entry has a start in the future",
                     "compare the clocks of the worker and of this host"};
    }
    return report;
}

} // namespace fulmarworks::node
