#include "job_lifecycle.h"

#include "base/digest.h"
#include "host_crashes.h"
#include "host_health.h"
#include "plan_maintenance.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr time_ms max_backoff_ms = 60 * milliseconds_per_second;
constexpr double estimate_smoothing_factor = 0.3;

queue_entry queue_entry_of(const ledger_state& s, const job& j) {
    const job_class* c = class_of(s, j);
    const urgency priority = c == nullptr ? urgency::standard : c->priority;
    const time_ms deadline =
        priority == urgency::urgent ? j.submitted_at + c->deadline_ms : time_ms{0};
    return {priority, deadline, j.submit_offset, j.id};
}

retry_policy retry_policy_of(const ledger_state& s, const job& j) {
    const job_class* c = class_of(s, j);
    const retry_policy* found =
        c == nullptr ? nullptr : find_named(s.config.retry_policies, c->retry_policy);
    return found == nullptr ? retry_policy{} : *found;
}

bool is_repeatable(const ledger_state& s, const job& j) {
    const job_class* c = class_of(s, j);
    return c == nullptr || c->repeatable;
}

/** Consumes a retry token. Returns the delay until it is available, up to `max_backoff_ms`. */
time_ms consume_retry_token(ledger_state& s, const job& j, const retry_policy& policy) {
    const auto key = account_class_key(j.request.client_account, j.request.job_class);
    const auto [entry, is_new] = s.retry_budgets.try_emplace(key);
    retry_budget& budget = entry->second;
    const double limit = policy.budget_per_minute;
    const double refill =
        is_new ? limit
               : limit * static_cast<double>(s.now - budget.updated_at) / milliseconds_per_minute;
    budget.tokens = std::min(limit, budget.tokens + refill) - 1;
    budget.updated_at = s.now;
    if (budget.tokens >= 0) {
        return 0;
    }
    const double rate = std::max(limit, 1.0) / milliseconds_per_minute;
    return std::min(static_cast<time_ms>(-budget.tokens / rate), max_backoff_ms);
}

time_ms backoff_with_jitter(const job& j, const retry_policy& policy) {
    const int doublings = std::min(j.attempt, 8);
    const time_ms base = std::min(policy.backoff_ms << doublings, max_backoff_ms) / 2;
    const auto jitter = combine_hashes(hash64(j.id), static_cast<std::uint64_t>(j.attempt));
    return base + static_cast<time_ms>(jitter % static_cast<std::uint64_t>(base + 1));
}

void requeue(apply_context& ctx, job& j, job_reason reason, time_ms delay) {
    increment_counter(ctx, "retry." + std::string(to_string(reason)));
    add_decision(ctx, j, "queued again: " + std::string(to_string(reason)));
    j.phase = job_phase::queued;
    j.reason = reason;
    j.members.clear();
    j.cell.clear();
    j.checkpoint_first = false;
    j.not_before = ctx.state.now + delay;
    enqueue(ctx.state, j);
}

bool any_member(const job& j, task_outcome outcome) {
    return std::any_of(j.members.begin(), j.members.end(),
                       [&](const job_member& m) { return m.outcome == outcome; });
}

bool all_members(const job& j, task_outcome outcome) {
    return std::all_of(j.members.begin(), j.members.end(),
                       [&](const job_member& m) { return m.outcome == outcome; });
}

void update_run_time_estimate(ledger_state& s, const job& j) {
    const auto key = account_class_key(j.request.client_account, j.request.job_class);
    run_time_estimate& estimate = s.estimates[key];
    const auto run_ms = static_cast<double>(j.progress_ms);
    estimate.mean_ms = estimate.samples == 0 ? run_ms
                                             : estimate.mean_ms + estimate_smoothing_factor *
                                                                      (run_ms - estimate.mean_ms);
    ++estimate.samples;
}

/** Returns on how many hosts that are neither quarantined nor on probation the job failed. */
int count_healthy_failed_hosts(const ledger_state& s, const job& j) {
    return static_cast<int>(
        std::count_if(j.failed_hosts.begin(), j.failed_hosts.end(), [&](host_index h) {
            return !s.hosts.hosts()[h].quarantined && !s.hosts.hosts()[h].on_probation;
        }));
}

void retry_after_failure(apply_context& ctx, job& j) {
    const retry_policy policy = retry_policy_of(ctx.state, j);
    constexpr int unhealthy_host_attempts_factor = 3;
    const bool failed_everywhere =
        count_healthy_failed_hosts(ctx.state, j) >= policy.max_attempts ||
        static_cast<int>(j.failed_hosts.size()) >=
            policy.max_attempts * unhealthy_host_attempts_factor;
    if (failed_everywhere) {
        finish(ctx, j, job_phase::failed, job_reason::failed_everywhere);
        return;
    }
    const time_ms delay =
        backoff_with_jitter(j, policy) + consume_retry_token(ctx.state, j, policy);
    requeue(ctx, j, job_reason::task_failed, delay);
}

void retry_after_loss(apply_context& ctx, job& j) {
    ++j.lost_attempts;
    if (crashes_hosts(j)) {
        finish(ctx, j, job_phase::failed, job_reason::worker_lost);
    } else {
        requeue(ctx, j, job_reason::worker_lost, delay_after_loss(j));
    }
}

void resolve_incomplete_attempt(apply_context& ctx, job& j) {
    const bool none_started = all_members(j, task_outcome::not_started);
    const bool all_checkpointed = all_members(j, task_outcome::checkpointed);
    if (j.cancel_requested) {
        finish(ctx, j, j.may_have_run ? job_phase::failed : job_phase::not_run,
               job_reason::cancelled);
    } else if (none_started) {
        const bool was_stopping = j.phase == job_phase::stopping;
        const auto reason = was_stopping ? j.reason : job_reason::start_refused;
        requeue(ctx, j, reason, backoff_with_jitter(j, retry_policy_of(ctx.state, j)));
    } else if (!is_repeatable(ctx.state, j) && !all_checkpointed) {
        const bool lost = any_member(j, task_outcome::lost);
        finish(ctx, j, job_phase::failed, lost ? job_reason::worker_lost : job_reason::task_failed);
    } else if (any_member(j, task_outcome::failed)) {
        retry_after_failure(ctx, j);
    } else if (any_member(j, task_outcome::lost)) {
        retry_after_loss(ctx, j);
    } else {
        requeue(ctx, j, j.reason, 0);
    }
}

} // namespace

void add_decision(apply_context& ctx, job& j, std::string what) {
    if (j.history.size() >= max_history_entries) {
        // Keeps the first entry, which records the submission.
        j.history.erase(j.history.begin() + 1);
    }
    j.history.push_back({ctx.offset, ctx.state.now, std::move(what)});
}

void enqueue(ledger_state& s, const job& j) {
    s.queues[j.request.client_account].insert(queue_entry_of(s, j));
    ++s.queued_by_class[account_class_key(j.request.client_account, j.request.job_class)];
}

void dequeue(ledger_state& s, const job& j) {
    const auto queue = s.queues.find(j.request.client_account);
    if (queue == s.queues.end()) {
        return;
    }
    // Falls back to a search by job id: if the job's class has changed since, so has its queue key.
    const auto found = queue->second.contains(queue_entry_of(s, j))
                           ? queue->second.find(queue_entry_of(s, j))
                           : std::find_if(queue->second.begin(), queue->second.end(),
                                          [&](const queue_entry& e) { return e.job == j.id; });
    if (found == queue->second.end()) {
        return;
    }
    queue->second.erase(found);
    --s.queued_by_class[account_class_key(j.request.client_account, j.request.job_class)];
}

void allocate_members(ledger_state& s, const job& j) {
    account_usage& usage = s.usage[j.request.client_account];
    for (const auto& member : j.members) {
        if (member.outcome != task_outcome::none) {
            continue;
        }
        s.hosts.allocate(member.where, j.request.shape, j.pinned);
        s.jobs_by_host[member.where.host].insert(j.id);
        usage.accelerators += member.where.count;
        ++usage.tasks;
        const int urgent = j.placed_urgent ? member.where.count : 0;
        usage.urgent_accelerators += urgent;
        s.urgent_accelerators += urgent;
    }
}

void end_member(apply_context& ctx, job& j, int member, task_outcome outcome) {
    ledger_state& s = ctx.state;
    job_member& ended = j.members[member];
    ended.outcome = outcome;
    j.may_have_run = j.may_have_run || outcome != task_outcome::not_started;
    const host_index h = ended.where.host;
    s.hosts.release(ended.where, j.request.shape, j.pinned);
    account_usage& usage = s.usage[j.request.client_account];
    usage.accelerators -= ended.where.count;
    --usage.tasks;
    const int urgent = j.placed_urgent ? ended.where.count : 0;
    usage.urgent_accelerators -= urgent;
    s.urgent_accelerators -= urgent;
    const bool still_on_host = std::any_of(j.members.begin(), j.members.end(), [&](const auto& m) {
        return m.where.host == h && m.outcome == task_outcome::none;
    });
    if (!still_on_host) {
        s.jobs_by_host[h].erase(j.id);
    }
    if (outcome == task_outcome::failed) {
        record_task_failure(ctx, h, j);
    } else if (outcome == task_outcome::done) {
        record_task_success(ctx, h);
    }
    ctx.effects.hosts.push_back(h);
}

void begin_stopping(apply_context& ctx, job& j, job_reason reason) {
    if (j.phase != job_phase::stopping) {
        j.phase = job_phase::stopping;
        j.reason = reason;
        j.stop_requested_at = ctx.state.now;
        add_decision(ctx, j, "stopping: " + std::string(to_string(reason)));
    }
    for (const auto& member : j.members) {
        ctx.effects.hosts.push_back(member.where.host);
    }
    ctx.effects.jobs.push_back(j.id);
}

void resolve_attempt(apply_context& ctx, job& j) {
    if (any_member(j, task_outcome::none)) {
        const bool broken =
            !all_members(j, task_outcome::none) &&
            std::any_of(j.members.begin(), j.members.end(), [](const auto& m) {
                return m.outcome != task_outcome::none && m.outcome != task_outcome::done;
            });
        if (broken && j.phase == job_phase::placed) {
            begin_stopping(ctx, j, job_reason::task_failed);
        }
        return;
    }
    if (all_members(j, task_outcome::done)) {
        update_run_time_estimate(ctx.state, j);
        finish(ctx, j, job_phase::done, job_reason::none);
    } else {
        resolve_incomplete_attempt(ctx, j);
    }
    refresh_reclaim_plan_if_at_risk(ctx);
    ctx.effects.jobs.push_back(j.id);
}

void finish(apply_context& ctx, job& j, job_phase phase, job_reason reason) {
    add_decision(ctx, j, std::string(to_string(phase)) + ": " + std::string(to_string(reason)));
    increment_counter(ctx, "finished." + std::string(to_string(phase)) + "." +
                               std::string(to_string(reason)));
    clear_claims(ctx.state, j.id);
    j.phase = phase;
    j.reason = reason;
    j.ended_at = ctx.state.now;
    j.request.payload.clear();
    ctx.state.finished.insert({j.ended_at, j.id});
    ctx.effects.jobs.push_back(j.id);
}

void remove_expired_jobs(ledger_state& s) {
    while (!s.finished.empty() && s.finished.begin()->first + finished_retention_ms < s.now) {
        s.jobs.erase(s.finished.begin()->second);
        s.finished.erase(s.finished.begin());
    }
}

void clear_claims(ledger_state& s, std::string_view job_id) {
    for (auto& cell : s.cells) {
        if (cell.claimed_by == job_id) {
            set_claim(s.hosts, s.cells, cell, "");
        }
    }
}

} // namespace fulmarworks
