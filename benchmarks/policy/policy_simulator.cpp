#include "policy_simulator.h"

#include "ledger/apply.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr time_ms epoch_ms = 1'700'000'000'000;
/** Time from the logged decision to the start on the worker. */
constexpr time_ms start_delay_ms = 20;
constexpr time_ms stop_delay_ms = 20;
constexpr time_ms plan_interval_ms = 20;
constexpr time_ms idle_plan_interval_ms = 250;
constexpr time_ms sample_interval_ms = 1000;
constexpr time_ms startup_ms = 60000;
/** Time averages exclude the first quarter of the run, during which the hosts fill up. */
constexpr time_ms warm_up_divisor = 4;

} // namespace

policy_simulator::policy_simulator(simulation_input input) : input_(std::move(input)) {}

void policy_simulator::schedule(time_ms when, std::function<void()> action) {
    scheduled_.push({when, next_order_++, std::move(action)});
}

void policy_simulator::append_record(record_body body) {
    record r;
    r.header = {"bench", 1, "urgent", ++sequence_, epoch_ms + now_};
    r.body = std::move(body);
    const apply_effects effects = apply(state_, state_.next_offset, r);
    plan_needed_ = true;
    for (const auto& id : effects.jobs) {
        handle_job_change(id);
    }
}

void policy_simulator::initialize_fleet() {
    append_record(instance_joined{"bench", 1, "", "", ""});
    append_record(config_published{"first", 0, input_.config_document});
    for (host_index h = 0; h < state_.hosts.hosts().size(); ++h) {
        if (!state_.hosts.hosts()[h].spare) {
            report_host(state_.hosts.hosts()[h].name, host_status::up);
        }
    }
}

void policy_simulator::report_host(const std::string& prefix, host_status status) {
    for (host_index h = 0; h < state_.hosts.hosts().size(); ++h) {
        const host& known = state_.hosts.hosts()[h];
        if (known.name.rfind(prefix, 0) == 0 && state_.host_records[h].wanted_on) {
            append_record(host_reported{known.name, status,
                                        status == host_status::up ? ++incarnation_ : 0,
                                        state_.rack_owners[known.rack].epoch});
        }
    }
}

void policy_simulator::submit_job(const job_arrival& j) {
    job_request r = j.request;
    r.issued_at = epoch_ms + now_;
    const std::string id = job_id_of(r.client_account, r.request_id);
    job_outcome& outcome = outcomes_[id];
    outcome.job_class = r.job_class;
    outcome.account = r.client_account;
    outcome.submitted_at = now_;
    outcome.run_ms = j.run_ms;
    append_record(job_submitted{r});
    if (j.cancel_at > 0) {
        schedule(j.cancel_at, [this, id] { append_record(cancel_requested{id}); });
    }
}

bool policy_simulator::is_failing(host_index h) const {
    const auto& name = state_.hosts.hosts()[h].name;
    return std::find(input_.failing_hosts.begin(), input_.failing_hosts.end(), name) !=
           input_.failing_hosts.end();
}

void policy_simulator::handle_job_change(const std::string& id) {
    const job* j = find_job(state_, id);
    if (j == nullptr) {
        return;
    }
    if (j->phase == job_phase::placed && started_attempt_[id] < j->attempt) {
        started_attempt_[id] = j->attempt;
        start_job(*j);
    } else if (j->phase == job_phase::stopping && stopping_attempt_[id] < j->attempt) {
        stopping_attempt_[id] = j->attempt;
        stop_job(*j);
    } else if (j->phase == job_phase::done) {
        outcomes_[id].completion_ms = now_ - outcomes_[id].submitted_at;
        result_.done_accelerator_hours += static_cast<double>(outcomes_[id].run_ms) *
                                          j->request.shape.accelerators * j->request.tasks /
                                          milliseconds_per_hour;
    }
}

void policy_simulator::start_job(const job& j) {
    job_outcome& outcome = outcomes_[j.id];
    if (outcome.first_start_ms < 0) {
        outcome.first_start_ms = now_ + start_delay_ms - outcome.submitted_at;
    }
    const auto reclaimed = reclaim_began_at_.find(j.id);
    if (reclaimed != reclaim_began_at_.end()) {
        result_.reclaim_ms.push_back(now_ - reclaimed->second);
        reclaim_began_at_.erase(reclaimed);
    }
    const bool fails = std::any_of(j.members.begin(), j.members.end(),
                                   [&](const auto& m) { return is_failing(m.where.host); });
    const time_ms remaining_ms = fails ? 0 : std::max<time_ms>(outcome.run_ms - j.progress_ms, 0);
    schedule(now_ + start_delay_ms + remaining_ms, [this, id = j.id, attempt = j.attempt, fails] {
        end_all_tasks(id, attempt, fails ? task_outcome::failed : task_outcome::done);
    });
}

void policy_simulator::stop_job(const job& j) {
    const job_class* c = class_of(state_, j);
    const bool checkpoint = j.checkpoint_first && c != nullptr;
    const time_ms delay = stop_delay_ms + (checkpoint ? c->checkpoint_ms : 0);
    schedule(now_ + delay, [this, id = j.id, attempt = j.attempt, checkpoint] {
        end_all_tasks(id, attempt, checkpoint ? task_outcome::checkpointed : task_outcome::stopped);
    });
}

void policy_simulator::end_all_tasks(const std::string& id, int attempt, task_outcome outcome) {
    const job* j = find_job(state_, id);
    if (j == nullptr || j->attempt != attempt || is_final(j->phase) ||
        j->phase == job_phase::queued) {
        return;
    }
    const time_ms ran_ms = epoch_ms + now_ - j->placed_at;
    const double accelerator_hours = static_cast<double>(ran_ms) * j->request.shape.accelerators *
                                     j->request.tasks / milliseconds_per_hour;
    result_.lost_accelerator_hours += outcome == task_outcome::stopped ? accelerator_hours : 0;
    const time_ms progress = j->progress_ms + ran_ms;
    const int members = static_cast<int>(j->members.size());
    for (int i = 0; i < members; ++i) {
        task_ended r;
        r.job = id;
        r.attempt = attempt;
        r.member = i;
        r.outcome = outcome;
        r.progress_ms = progress;
        append_record(r);
    }
}

void policy_simulator::plan() {
    plan_needed_ = false;
    for (auto& body : plan_step(state_, memory_, epoch_ms + now_, input_.options)) {
        if (const auto* preempted = std::get_if<jobs_preempted>(&body)) {
            if (!preempted->cell.empty()) {
                reclaim_began_at_.emplace(preempted->for_job, now_);
            }
        }
        if (const auto* power = std::get_if<host_power_requested>(&body)) {
            if (power->on) {
                schedule(now_ + startup_ms,
                         [this, host = power->host] { report_host(host, host_status::up); });
            }
        }
        append_record(std::move(body));
    }
}

void policy_simulator::sample_utilization(time_ms interval) {
    int on = 0;
    int total = 0;
    int used = 0;
    for (const auto& h : state_.hosts.hosts()) {
        if (h.status == host_status::up) {
            ++on;
            total += h.capacity.accelerators;
            used += std::popcount(h.used);
        }
    }
    const promised_shape shape = largest_promised(state_.config);
    const auto weight = static_cast<double>(interval);
    sampled_ms_ += weight;
    result_.fragmentation +=
        weight * fragmentation(state_.hosts, shape.hosts, shape.accelerators_per_host);
    result_.idle_share += total == 0 ? 0 : weight * (total - used) / total;
    result_.host_hours_on += weight * on / milliseconds_per_hour;
    if (!is_reclaim_plan_feasible(state_.hosts, state_.cells)) {
        result_.plan_infeasible_ms += static_cast<int>(interval);
    }
}

simulation_result policy_simulator::run() {
    initialize_fleet();
    for (const auto& j : input_.jobs) {
        schedule(j.at, [this, &j] { submit_job(j); });
    }
    for (const auto& outage : input_.outages) {
        schedule(outage.lost_at,
                 [this, outage] { report_host(outage.host_prefix, host_status::lost); });
        schedule(outage.recovered_at,
                 [this, outage] { report_host(outage.host_prefix, host_status::up); });
    }
    time_ms next_sample = 0;
    time_ms next_plan = 0;
    while (now_ < input_.end) {
        const time_ms next_event = scheduled_.empty() ? input_.end : scheduled_.top().at;
        const time_ms plan_due_at = plan_needed_ ? next_plan : next_plan + idle_plan_interval_ms;
        now_ = std::min({next_event, std::max(plan_due_at, now_), next_sample, input_.end});
        while (!scheduled_.empty() && scheduled_.top().at <= now_) {
            const auto next = scheduled_.top();
            scheduled_.pop();
            next.action();
        }
        if (now_ >= plan_due_at) {
            plan();
            next_plan = now_ + plan_interval_ms;
        }
        if (now_ >= next_sample) {
            if (now_ >= input_.end / warm_up_divisor) {
                sample_utilization(sample_interval_ms);
            }
            next_sample = now_ + sample_interval_ms;
        }
    }
    finish_result(result_);
    return result_;
}

void policy_simulator::finish_result(simulation_result& result) const {
    result.fragmentation /= sampled_ms_;
    result.idle_share /= sampled_ms_;
    result.counters = state_.counters;
    for (const auto& [id, outcome] : outcomes_) {
        result.outcomes.push_back(outcome);
        const job* j = find_job(state_, id);
        result.unfinished += j == nullptr || !is_final(j->phase) ? 1 : 0;
    }
}

} // namespace fulmarworks
