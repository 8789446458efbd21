#include "ledger/state.h"

#include "base/digest.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr int min_samples = 3;

} // namespace

std::string digest_of(const job_request& r) {
    job_request compared = r;
    compared.issued_at = 0;
    return digest(json(compared).dump(-1, ' ', true, json::error_handler_t::replace));
}

const job* find_job(const ledger_state& s, std::string_view id) {
    const auto found = s.jobs.find(std::string(id));
    return found == s.jobs.end() ? nullptr : &found->second;
}

const publish_outcome* find_publish(const ledger_state& s, std::string_view id) {
    const auto found = std::find_if(s.publishes.begin(), s.publishes.end(),
                                    [&](const auto& p) { return p.publish_id == id; });
    return found == s.publishes.end() ? nullptr : &*found;
}

const job_class* class_of(const ledger_state& s, const job& j) {
    return find_named(s.config.job_classes, j.request.job_class);
}

std::string account_class_key(std::string_view account, std::string_view job_class) {
    return std::string(account) + "/" + std::string(job_class);
}

time_ms expected_run_ms(const ledger_state& s, std::string_view account, std::string_view job_class,
                        time_ms declared_ms) {
    const auto found = s.estimates.find(account_class_key(account, job_class));
    if (found == s.estimates.end() || found->second.samples < min_samples) {
        return declared_ms;
    }
    return static_cast<time_ms>(found->second.mean_ms);
}

time_ms expected_run_ms(const ledger_state& s, const job& j) {
    const time_ms whole =
        expected_run_ms(s, j.request.client_account, j.request.job_class, j.request.declared_ms);
    return std::max<time_ms>(whole - j.progress_ms, 0);
}

} // namespace fulmarworks
