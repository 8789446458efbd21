#include "apply_context.h"
#include "job_lifecycle.h"
#include "placement/find_placement.h"
#include "plan_maintenance.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr int max_accelerators_per_task = 64;
constexpr int max_tasks = 4096;

bool is_within_limits(const job_request& r) {
    const task_shape& shape = r.shape;
    return r.tasks >= 1 && r.tasks <= max_tasks && shape.accelerators >= 0 &&
           shape.accelerators <= max_accelerators_per_task && shape.cores >= 0 &&
           shape.memory_gb >= 0;
}

/** Returns the reason to refuse a request, or `none` if it can be queued. */
job_reason refusal_reason(const ledger_state& s, const job_request& r, time_ms submitted_at) {
    const client_account* account = find_named(s.config.client_accounts, r.client_account);
    const job_class* c = find_named(s.config.job_classes, r.job_class);
    if (account == nullptr || c == nullptr) {
        return job_reason::unknown_name;
    }
    if (submitted_at - r.issued_at > max_request_age_ms) {
        return job_reason::stale_request;
    }
    if (!is_within_limits(r) || !fits_when_empty(s.hosts, r.shape, r.tasks)) {
        return job_reason::never_fits;
    }
    const auto queue = s.queues.find(r.client_account);
    const auto queued = s.queued_by_class.find(account_class_key(r.client_account, r.job_class));
    const bool account_full =
        queue != s.queues.end() && static_cast<int>(queue->second.size()) >= account->queue_limit;
    const bool class_full = queued != s.queued_by_class.end() && queued->second >= c->queue_limit;
    return account_full || class_full ? job_reason::queue_full : job_reason::none;
}

/** Returns the job if `attempt` is its current attempt. Otherwise drops the record. */
job* find_attempt(apply_context& ctx, const std::string& id, int attempt) {
    const auto found = ctx.state.jobs.find(id);
    if (found == ctx.state.jobs.end()) {
        drop(ctx, "unknown_job");
        return nullptr;
    }
    job& j = found->second;
    if (j.attempt != attempt) {
        drop(ctx, "stale_attempt");
        return nullptr;
    }
    return &j;
}

bool is_within(const block& b, std::span<const block> cell) {
    return std::any_of(cell.begin(), cell.end(), [&](const block& area) {
        return area.host == b.host && (mask_of(b) & ~mask_of(area)) == 0;
    });
}

const guarantee_cell* find_usable_cell(const ledger_state& s, const job& j,
                                       const std::string& name) {
    const guarantee_cell* cell = find_named(s.cells, name);
    const bool usable = cell != nullptr && cell->client_account == j.request.client_account &&
                        (cell->claimed_by.empty() || cell->claimed_by == j.id);
    return usable ? cell : nullptr;
}

bool is_block_allowed(const ledger_state& s, const job& j, const block& b,
                      const guarantee_cell* cell) {
    if (!s.hosts.can_allocate(b, j.request.shape) || !s.hosts.is_schedulable(b.host)) {
        return false;
    }
    if (cell != nullptr) {
        return is_within(b, cell->blocks);
    }
    const host& h = s.hosts.hosts()[b.host];
    const accelerator_mask kept = j.pinned ? h.planned | h.claimed : h.claimed;
    return (mask_of(b) & kept) == 0 &&
           s.hosts.has_cores_and_memory(b.host, j.request.shape, j.pinned);
}

/**
 * Returns whether all blocks can be allocated together. Allocates them one by one, as blocks may
 * share a host, and releases them again.
 */
bool can_allocate_blocks(apply_context& ctx, job& j, const job_placed& r,
                         const guarantee_cell* cell) {
    std::size_t allocated = 0;
    while (allocated < r.blocks.size() &&
           is_block_allowed(ctx.state, j, r.blocks[allocated], cell)) {
        ctx.state.hosts.allocate(r.blocks[allocated], j.request.shape, j.pinned);
        ++allocated;
    }
    for (std::size_t i = 0; i < allocated; ++i) {
        ctx.state.hosts.release(r.blocks[i], j.request.shape, j.pinned);
    }
    return allocated == r.blocks.size();
}

bool is_preemptible(const ledger_state& s, const job& j) {
    const job_class* c = class_of(s, j);
    return c != nullptr && c->preempt != preemption::none;
}

void preempt(apply_context& ctx, const preemption_target& target, job_reason reason) {
    const auto victim = ctx.state.jobs.find(target.job);
    if (victim == ctx.state.jobs.end() || victim->second.attempt != target.attempt ||
        victim->second.phase != job_phase::placed || !is_preemptible(ctx.state, victim->second)) {
        increment_counter(ctx, "dropped.stale_preemption");
        return;
    }
    victim->second.checkpoint_first = target.checkpoint_first;
    increment_counter(ctx, "preempted." + std::string(to_string(reason)));
    begin_stopping(ctx, victim->second, reason);
}

} // namespace

void handle(apply_context& ctx, const job_submitted& r) {
    ledger_state& s = ctx.state;
    const std::string id = job_id_of(r.request.client_account, r.request.request_id);
    ctx.effects.jobs.push_back(id);
    if (s.jobs.contains(id)) {
        drop(ctx, "repeated_request");
        return;
    }
    job j;
    j.id = id;
    j.request = r.request;
    j.request_digest = digest_of(r.request);
    j.submit_offset = ctx.offset;
    j.submitted_at = ctx.header.written_at;
    const job_reason refusal = refusal_reason(s, r.request, ctx.header.written_at);
    job& added = s.jobs.emplace(id, std::move(j)).first->second;
    add_decision(ctx, added, "submitted through " + ctx.header.writer);
    if (refusal != job_reason::none) {
        increment_counter(ctx, "refused." + std::string(to_string(refusal)));
        finish(ctx, added, job_phase::not_run, refusal);
        return;
    }
    enqueue(s, added);
}

void handle(apply_context& ctx, const cancel_requested& r) {
    const auto found = ctx.state.jobs.find(r.job);
    if (found == ctx.state.jobs.end() || is_final(found->second.phase)) {
        drop(ctx, "nothing_to_cancel");
        ctx.effects.jobs.push_back(r.job);
        return;
    }
    job& j = found->second;
    j.cancel_requested = true;
    clear_claims(ctx.state, j.id);
    if (j.phase == job_phase::queued) {
        dequeue(ctx.state, j);
        finish(ctx, j, j.may_have_run ? job_phase::failed : job_phase::not_run,
               job_reason::cancelled);
    } else {
        j.checkpoint_first = false;
        begin_stopping(ctx, j, job_reason::cancelled);
    }
}

void handle(apply_context& ctx, const job_expired& r) {
    job* j = find_attempt(ctx, r.job, r.attempt);
    if (j == nullptr) {
        return;
    }
    if (j->phase != job_phase::queued) {
        drop(ctx, "not_queued");
        return;
    }
    dequeue(ctx.state, *j);
    finish(ctx, *j, j->may_have_run ? job_phase::failed : job_phase::not_run,
           job_reason::queue_timeout);
}

void handle(apply_context& ctx, const job_placed& r) {
    job* j = find_attempt(ctx, r.job, r.attempt - 1);
    if (j == nullptr) {
        return;
    }
    if (j->phase != job_phase::queued || static_cast<int>(r.blocks.size()) != j->request.tasks) {
        drop(ctx, "not_queued");
        return;
    }
    const guarantee_cell* cell = find_usable_cell(ctx.state, *j, r.cell);
    j->pinned = cell == nullptr && !is_preemptible(ctx.state, *j);
    if ((!r.cell.empty() && cell == nullptr) || !can_allocate_blocks(ctx, *j, r, cell)) {
        drop(ctx, "blocks_taken");
        return;
    }
    dequeue(ctx.state, *j);
    clear_claims(ctx.state, j->id);
    const job_class* c = class_of(ctx.state, *j);
    j->placed_urgent = c != nullptr && c->priority == urgency::urgent;
    j->attempt = r.attempt;
    j->phase = job_phase::placed;
    j->reason = job_reason::none;
    j->cell = r.cell;
    j->placed_at = ctx.header.written_at;
    j->members.clear();
    for (const auto& b : r.blocks) {
        j->members.push_back({b, false, task_outcome::none});
        ctx.effects.hosts.push_back(b.host);
    }
    allocate_members(ctx.state, *j);
    add_decision(ctx, *j,
                 "attempt " + std::to_string(r.attempt) + " placed by " + ctx.header.writer +
                     " on " + ctx.state.hosts.hosts()[r.blocks.front().host].name + ": " + r.why);
    ctx.effects.jobs.push_back(j->id);
}

void handle(apply_context& ctx, const jobs_preempted& r) {
    ledger_state& s = ctx.state;
    const auto waiting = s.jobs.find(r.for_job);
    if (waiting == s.jobs.end() || waiting->second.phase != job_phase::queued) {
        drop(ctx, "not_queued");
        return;
    }
    const auto cell = std::find_if(s.cells.begin(), s.cells.end(),
                                   [&](const auto& c) { return c.name == r.cell; });
    if (!r.cell.empty()) {
        if (cell == s.cells.end() || !cell->claimed_by.empty() || cell->blocks.empty() ||
            cell->client_account != waiting->second.request.client_account) {
            drop(ctx, "cell_taken");
            return;
        }
        set_claim(s.hosts, s.cells, *cell, r.for_job);
        add_decision(ctx, waiting->second, "reclaims guarantee " + r.cell);
    }
    const job_reason reason = r.cell.empty() ? job_reason::urgent_work : job_reason::reclaimed;
    for (const auto& target : r.targets) {
        preempt(ctx, target, reason);
    }
}

void handle(apply_context& ctx, const jobs_moved& r) {
    for (const auto& target : r.targets) {
        preempt(ctx, target, job_reason::consolidated);
    }
}

void handle(apply_context& ctx, const members_ready& r) {
    job* j = find_attempt(ctx, r.job, r.attempt);
    if (j == nullptr) {
        return;
    }
    if (j->phase != job_phase::placed) {
        drop(ctx, "not_placed");
        return;
    }
    for (const int i : r.members) {
        if (i >= 0 && i < static_cast<int>(j->members.size())) {
            j->members[i].ready = true;
        }
    }
    if (may_start(*j)) {
        add_decision(ctx, *j, "all members ready");
        for (const auto& member : j->members) {
            ctx.effects.hosts.push_back(member.where.host);
        }
    }
}

void handle(apply_context& ctx, const task_ended& r) {
    job* j = find_attempt(ctx, r.job, r.attempt);
    if (j == nullptr) {
        return;
    }
    const bool has_member = r.member >= 0 && r.member < static_cast<int>(j->members.size());
    if (!has_member || j->members[r.member].outcome != task_outcome::none ||
        r.outcome == task_outcome::none) {
        drop(ctx, "already_ended");
        return;
    }
    if (r.member == 0) {
        j->started_at = r.started_at;
        j->result = r.result;
        j->result.holder = ctx.state.hosts.hosts()[j->members[0].where.host].name;
        const bool saves_progress =
            r.outcome == task_outcome::checkpointed || r.outcome == task_outcome::done;
        j->progress_ms = saves_progress ? r.progress_ms : j->progress_ms;
    }
    if (!r.error.empty()) {
        j->error = r.error;
    }
    end_member(ctx, *j, r.member, r.outcome);
    resolve_attempt(ctx, *j);
}

void handle(apply_context& ctx, const result_lost& r) {
    job* j = find_attempt(ctx, r.job, r.attempt);
    if (j == nullptr) {
        return;
    }
    const job_class* c = class_of(ctx.state, *j);
    if (j->phase != job_phase::done || c == nullptr || !c->repeatable) {
        drop(ctx, "result_not_repeatable");
        return;
    }
    ctx.state.finished.erase({j->ended_at, j->id});
    j->phase = job_phase::queued;
    j->reason = job_reason::result_lost;
    j->members.clear();
    j->progress_ms = 0;
    j->result = {};
    increment_counter(ctx, "retry.result_lost");
    add_decision(ctx, *j, "queued again: result_lost");
    enqueue(ctx.state, *j);
    ctx.effects.jobs.push_back(j->id);
}

} // namespace fulmarworks
