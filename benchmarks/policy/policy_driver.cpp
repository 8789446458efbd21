#include "policy_driver.h"

#include "ledger/apply.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr time_ms epoch_ms = 1'700'000'000'000;
/** From the decision in the log to the start at the worker. */
constexpr time_ms start_delay_ms = 20;
constexpr time_ms stop_delay_ms = 20;
constexpr time_ms plan_interval_ms = 20;
constexpr time_ms idle_plan_interval_ms = 250;
constexpr time_ms sample_interval_ms = 1000;
constexpr time_ms startup_ms = 60000;
/** Averages over time leave out this part of the run, in which the hosts fill. */
constexpr time_ms warm_up_divisor = 4;

} // namespace

policy_driver::policy_driver(policy_run run) : run_(std::move(run)) {}

void policy_driver::at(time_ms when, std::function<void()> action) {
    events_.push({when, order_++, std::move(action)});
}

void policy_driver::append(record_body body) {
    record r;
    r.header = {"bench", 1, "urgent", ++sequence_, epoch_ms + now_};
    r.body = std::move(body);
    const fold_effects effects = apply(state_, state_.next_offset, r);
    plan_wanted_ = true;
    for (const auto& id : effects.jobs) {
        note_job(id);
    }
}

void policy_driver::set_up() {
    append(instance_joined{"bench", 1, "", "", ""});
    append(config_published{"first", 0, run_.config_document});
    for (host_index h = 0; h < state_.hosts.hosts().size(); ++h) {
        if (!state_.hosts.hosts()[h].spare) {
            report_host(state_.hosts.hosts()[h].name, host_status::up);
        }
    }
}

void policy_driver::report_host(const std::string& prefix, host_status status) {
    for (host_index h = 0; h < state_.hosts.hosts().size(); ++h) {
        const host& known = state_.hosts.hosts()[h];
        if (known.name.rfind(prefix, 0) == 0 && state_.host_records[h].wanted_on) {
            append(host_reported{known.name, status, status == host_status::up ? ++incarnation_ : 0,
                                 state_.rack_owners[known.rack].epoch});
        }
    }
}

void policy_driver::arrive(const arriving_job& j) {
    job_request r = j.request;
    r.issued_at = epoch_ms + now_;
    const std::string id = job_id_of(r.client_account, r.request_id);
    job_outcome& outcome = outcomes_[id];
    outcome.job_class = r.job_class;
    outcome.account = r.client_account;
    outcome.submitted_at = now_;
    outcome.run_ms = j.run_ms;
    append(job_submitted{r});
    if (j.cancel_at > 0) {
        at(j.cancel_at, [this, id] { append(cancel_requested{id}); });
    }
}

bool policy_driver::is_bad(host_index h) const {
    const auto& name = state_.hosts.hosts()[h].name;
    return std::find(run_.bad_hosts.begin(), run_.bad_hosts.end(), name) != run_.bad_hosts.end();
}

void policy_driver::note_job(const std::string& id) {
    const job* j = find_job(state_, id);
    if (j == nullptr) {
        return;
    }
    if (j->phase == job_phase::placed && started_attempt_[id] < j->attempt) {
        started_attempt_[id] = j->attempt;
        start(*j);
    } else if (j->phase == job_phase::stopping && stopping_attempt_[id] < j->attempt) {
        stopping_attempt_[id] = j->attempt;
        stop(*j);
    } else if (j->phase == job_phase::done) {
        outcomes_[id].completion_ms = now_ - outcomes_[id].submitted_at;
        result_.done_accelerator_hours += static_cast<double>(outcomes_[id].run_ms) *
                                          j->request.shape.accelerators * j->request.tasks /
                                          milliseconds_per_hour;
    }
}

void policy_driver::start(const job& j) {
    job_outcome& outcome = outcomes_[j.id];
    if (outcome.first_start_ms < 0) {
        outcome.first_start_ms = now_ + start_delay_ms - outcome.submitted_at;
    }
    const auto reclaimed = reclaim_since_.find(j.id);
    if (reclaimed != reclaim_since_.end()) {
        result_.reclaim_ms.push_back(now_ - reclaimed->second);
        reclaim_since_.erase(reclaimed);
    }
    const bool fails = std::any_of(j.members.begin(), j.members.end(),
                                   [&](const auto& m) { return is_bad(m.where.host); });
    const time_ms left = fails ? 0 : std::max<time_ms>(outcome.run_ms - j.progress_ms, 0);
    at(now_ + start_delay_ms + left, [this, id = j.id, attempt = j.attempt, fails] {
        end_all(id, attempt, fails ? task_outcome::failed : task_outcome::done);
    });
}

void policy_driver::stop(const job& j) {
    const job_class* c = class_of(state_, j);
    const bool checkpoint = j.checkpoint_first && c != nullptr;
    const time_ms delay = stop_delay_ms + (checkpoint ? c->checkpoint_ms : 0);
    at(now_ + delay, [this, id = j.id, attempt = j.attempt, checkpoint] {
        end_all(id, attempt, checkpoint ? task_outcome::checkpointed : task_outcome::stopped);
    });
}

void policy_driver::end_all(const std::string& id, int attempt, task_outcome outcome) {
    const job* j = find_job(state_, id);
    if (j == nullptr || j->attempt != attempt || is_final(j->phase) ||
        j->phase == job_phase::queued) {
        return;
    }
    const time_ms ran = epoch_ms + now_ - j->placed_at;
    const double hours = static_cast<double>(ran) * j->request.shape.accelerators *
                         j->request.tasks / milliseconds_per_hour;
    result_.lost_accelerator_hours += outcome == task_outcome::stopped ? hours : 0;
    const time_ms progress = j->progress_ms + ran;
    const int members = static_cast<int>(j->members.size());
    for (int i = 0; i < members; ++i) {
        task_ended r;
        r.job = id;
        r.attempt = attempt;
        r.member = i;
        r.outcome = outcome;
        r.progress_ms = progress;
        append(r);
    }
}

void policy_driver::plan() {
    plan_wanted_ = false;
    for (auto& body : plan_step(state_, memory_, epoch_ms + now_, run_.options)) {
        if (const auto* preempted = std::get_if<jobs_preempted>(&body)) {
            if (!preempted->cell.empty()) {
                reclaim_since_.emplace(preempted->for_job, now_);
            }
        }
        if (const auto* power = std::get_if<host_power_requested>(&body)) {
            if (power->on) {
                at(now_ + startup_ms,
                   [this, host = power->host] { report_host(host, host_status::up); });
            }
        }
        append(std::move(body));
    }
}

void policy_driver::sample(time_ms interval) {
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

policy_result policy_driver::run() {
    set_up();
    for (const auto& j : run_.jobs) {
        at(j.at, [this, &j] { arrive(j); });
    }
    for (const auto& fault : run_.faults) {
        at(fault.at, [this, fault] { report_host(fault.host_prefix, host_status::lost); });
        at(fault.back_at, [this, fault] { report_host(fault.host_prefix, host_status::up); });
    }
    time_ms next_sample = 0;
    time_ms next_plan = 0;
    while (now_ < run_.end) {
        const time_ms next_event = events_.empty() ? run_.end : events_.top().at;
        const time_ms planning = plan_wanted_ ? next_plan : next_plan + idle_plan_interval_ms;
        now_ = std::min({next_event, std::max(planning, now_), next_sample, run_.end});
        while (!events_.empty() && events_.top().at <= now_) {
            const auto next = events_.top();
            events_.pop();
            next.action();
        }
        if (now_ >= planning) {
            plan();
            next_plan = now_ + plan_interval_ms;
        }
        if (now_ >= next_sample) {
            if (now_ >= run_.end / warm_up_divisor) {
                sample(sample_interval_ms);
            }
            next_sample = now_ + sample_interval_ms;
        }
    }
    collect(result_);
    return result_;
}

void policy_driver::collect(policy_result& result) const {
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
