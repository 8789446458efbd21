#include "instance/job_report.h"

namespace fulmarworks {

std::string remedy_of(job_reason reason) {
    switch (reason) {
    case job_reason::none: return "";
    case job_reason::cancelled: return "cancelled on request; submit under a new request id";
    case job_reason::queue_timeout:
        return "waited longer than the class allows; submit later under a new request id";
    case job_reason::queue_full:
        return "the account's queue is full; come back later with a new request id";
    case job_reason::never_fits:
        return "no host pool could ever hold this job; ask for fewer tasks or a smaller shape";
    case job_reason::unknown_name:
        return "the account or class is not configured; correct the name or publish it";
    case job_reason::stale_request:
        return "the request was issued too long ago; submit it anew under a new request id";
    case job_reason::task_failed: return "the task failed at its worker; see the error";
    case job_reason::failed_everywhere:
        return "the task failed on several good workers; correct the job and submit it anew";
    case job_reason::worker_lost:
        return "the worker was lost while it may have run; check its effect before a new request";
    case job_reason::result_lost: return "the holder of the result was lost; it is run again";
    case job_reason::reclaimed: return "stopped so that a guarantee could be reclaimed";
    case job_reason::urgent_work: return "stopped for urgent work";
    case job_reason::consolidated: return "moved so that large jobs find adjacent accelerators";
    case job_reason::start_refused: return "the worker refused the start; it is placed again";
    }
    return "";
}

namespace {

std::string state_name(const ledger_state& s, const job& j) {
    if (j.phase != job_phase::placed) {
        return std::string(to_string(j.phase));
    }
    for (const auto& member : j.members) {
        const host& h = s.hosts.hosts()[member.where.host];
        const bool is_unknown =
            member.outcome == task_outcome::none && (h.status == host_status::suspect);
        if (is_unknown) {
            return "unknown";
        }
    }
    return "running";
}

} // namespace

job_status_report report_job(const ledger_state& s, const job& j) {
    job_status_report report;
    report.job = j.id;
    report.state = state_name(s, j);
    report.final_outcome = is_final(j.phase);
    report.reason = std::string(to_string(j.reason));
    report.message = j.error.empty() ? remedy_of(j.reason) : j.error;
    report.attempts = j.attempt;
    report.offset = j.submit_offset;
    report.submitted_at = j.submitted_at;
    report.placed_at = j.placed_at;
    report.started_at = j.started_at;
    report.ended_at = j.ended_at;
    for (const auto& member : j.members) {
        report.hosts.push_back(s.hosts.hosts()[member.where.host].name);
    }
    if (j.phase == job_phase::done) {
        report.result_holder = j.result.holder;
        report.result_digest = j.result.digest;
        report.result_size = j.result.size;
    }
    return report;
}

json explain_job(const ledger_state& s, const job& j) {
    json inputs = {{"client_account", j.request.client_account},
                   {"job_class", j.request.job_class},
                   {"tasks", j.request.tasks},
                   {"shape", j.request.shape},
                   {"declared_ms", j.request.declared_ms},
                   {"expected_ms", expected_run_ms(s, j)},
                   {"guarantee_cell", j.cell},
                   {"config_version", s.config_version}};
    return json{{"status", report_job(s, j)}, {"inputs", inputs}, {"decisions", j.history}};
}

} // namespace fulmarworks
