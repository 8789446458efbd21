#include "fold.h"
#include "job_lifecycle.h"
#include "placement/find_placement.h"
#include "plan_upkeep.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr int max_accelerators_per_task = 64;
constexpr int max_tasks = 4096;

bool is_sane(const job_request& r) {
    const task_shape& shape = r.shape;
    return r.tasks >= 1 && r.tasks <= max_tasks && shape.accelerators >= 0 &&
           shape.accelerators <= max_accelerators_per_task && shape.cores >= 0 &&
           shape.memory_gb >= 0;
}

/** Returns why a new job can't be queued, or none. */
job_reason admission_fault(const ledger_state& s, const job_request& r, time_ms submitted_at) {
    const client_account* account = find_named(s.config.client_accounts, r.client_account);
    const job_class* c = find_named(s.config.job_classes, r.job_class);
    if (account == nullptr || c == nullptr) {
        return job_reason::unknown_name;
    }
    if (submitted_at - r.issued_at > max_request_age_ms) {
        return job_reason::stale_request;
    }
    if (!is_sane(r) || !fits_when_empty(s.hosts, r.shape, r.tasks)) {
        return job_reason::never_fits;
    }
    const auto queue = s.queues.find(r.client_account);
    const auto queued = s.queued_by_class.find(account_class_key(r.client_account, r.job_class));
    const bool account_full =
        queue != s.queues.end() && static_cast<int>(queue->second.size()) >= account->queue_limit;
    const bool class_full = queued != s.queued_by_class.end() && queued->second >= c->queue_limit;
    return account_full || class_full ? job_reason::queue_full : job_reason::none;
}

/** Returns a job that may be changed by a record about one attempt, or nullptr. */
job* find_attempt(fold& f, const std::string& id, int attempt) {
    const auto found = f.state.jobs.find(id);
    if (found == f.state.jobs.end()) {
        drop(f, "unknown_job");
        return nullptr;
    }
    job& j = found->second;
    if (j.attempt != attempt) {
        drop(f, "stale_attempt");
        return nullptr;
    }
    return &j;
}

bool lies_within(const block& b, std::span<const block> cell) {
    return std::any_of(cell.begin(), cell.end(), [&](const block& area) {
        return area.host == b.host && (mask_of(b) & ~mask_of(area)) == 0;
    });
}

const guarantee_cell* cell_for(const ledger_state& s, const job& j, const std::string& name) {
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
        return lies_within(b, cell->blocks);
    }
    const host& h = s.hosts.hosts()[b.host];
    const accelerator_mask kept = j.pinned ? h.planned | h.claimed : h.claimed;
    return (mask_of(b) & kept) == 0 &&
           s.hosts.has_cores_and_memory(b.host, j.request.shape, j.pinned);
}

/** Occupies the blocks one by one; gives all back where one isn't free. */
bool try_occupy(fold& f, job& j, const job_placed& r, const guarantee_cell* cell) {
    std::size_t taken = 0;
    while (taken < r.blocks.size() && is_block_allowed(f.state, j, r.blocks[taken], cell)) {
        f.state.hosts.allocate(r.blocks[taken], j.request.shape, j.pinned);
        ++taken;
    }
    for (std::size_t i = 0; i < taken; ++i) {
        f.state.hosts.release(r.blocks[i], j.request.shape, j.pinned);
    }
    return taken == r.blocks.size();
}

bool is_preemptible(const ledger_state& s, const job& j) {
    const job_class* c = class_of(s, j);
    return c != nullptr && c->preempt != preemption::none;
}

void preempt(fold& f, const preemption_target& target, job_reason reason) {
    const auto victim = f.state.jobs.find(target.job);
    if (victim == f.state.jobs.end() || victim->second.attempt != target.attempt ||
        victim->second.phase != job_phase::placed || !is_preemptible(f.state, victim->second)) {
        count(f, "dropped.stale_preemption");
        return;
    }
    victim->second.checkpoint_first = target.checkpoint_first;
    count(f, "preempted." + std::string(to_string(reason)));
    begin_stopping(f, victim->second, reason);
}

} // namespace

void handle(fold& f, const job_submitted& r) {
    ledger_state& s = f.state;
    const std::string id = job_id_of(r.request.client_account, r.request.request_id);
    f.effects.jobs.push_back(id);
    if (s.jobs.contains(id)) {
        drop(f, "repeated_request");
        return;
    }
    job j;
    j.id = id;
    j.request = r.request;
    j.request_digest = digest_of(r.request);
    j.submit_offset = f.offset;
    j.submitted_at = f.header.written_at;
    const job_reason fault = admission_fault(s, r.request, f.header.written_at);
    job& added = s.jobs.emplace(id, std::move(j)).first->second;
    note(f, added, "submitted through " + f.header.writer);
    if (fault != job_reason::none) {
        count(f, "refused." + std::string(to_string(fault)));
        finish(f, added, job_phase::not_run, fault);
        return;
    }
    enqueue(s, added);
}

void handle(fold& f, const cancel_requested& r) {
    const auto found = f.state.jobs.find(r.job);
    if (found == f.state.jobs.end() || is_final(found->second.phase)) {
        drop(f, "nothing_to_cancel");
        f.effects.jobs.push_back(r.job);
        return;
    }
    job& j = found->second;
    j.cancel_requested = true;
    clear_claims(f.state, j.id);
    if (j.phase == job_phase::queued) {
        dequeue(f.state, j);
        finish(f, j, j.may_have_run ? job_phase::failed : job_phase::not_run,
               job_reason::cancelled);
    } else {
        j.checkpoint_first = false;
        begin_stopping(f, j, job_reason::cancelled);
    }
}

void handle(fold& f, const job_expired& r) {
    job* j = find_attempt(f, r.job, r.attempt);
    if (j == nullptr) {
        return;
    }
    if (j->phase != job_phase::queued) {
        drop(f, "not_queued");
        return;
    }
    dequeue(f.state, *j);
    finish(f, *j, j->may_have_run ? job_phase::failed : job_phase::not_run,
           job_reason::queue_timeout);
}

void handle(fold& f, const job_placed& r) {
    job* j = find_attempt(f, r.job, r.attempt - 1);
    if (j == nullptr) {
        return;
    }
    if (j->phase != job_phase::queued || static_cast<int>(r.blocks.size()) != j->request.tasks) {
        drop(f, "not_queued");
        return;
    }
    const guarantee_cell* cell = cell_for(f.state, *j, r.cell);
    j->pinned = cell == nullptr && !is_preemptible(f.state, *j);
    if ((!r.cell.empty() && cell == nullptr) || !try_occupy(f, *j, r, cell)) {
        drop(f, "blocks_taken");
        return;
    }
    dequeue(f.state, *j);
    clear_claims(f.state, j->id);
    const job_class* c = class_of(f.state, *j);
    j->placed_urgent = c != nullptr && c->priority == urgency::urgent;
    j->attempt = r.attempt;
    j->phase = job_phase::placed;
    j->reason = job_reason::none;
    j->cell = r.cell;
    j->placed_at = f.header.written_at;
    j->members.clear();
    for (const auto& b : r.blocks) {
        j->members.push_back({b, false, task_outcome::none});
        f.effects.hosts.push_back(b.host);
    }
    occupy_members(f.state, *j);
    note(f, *j,
         "attempt " + std::to_string(r.attempt) + " placed by " + f.header.writer + " on " +
             f.state.hosts.hosts()[r.blocks.front().host].name + ": " + r.why);
    f.effects.jobs.push_back(j->id);
}

void handle(fold& f, const jobs_preempted& r) {
    ledger_state& s = f.state;
    const auto waiting = s.jobs.find(r.for_job);
    if (waiting == s.jobs.end() || waiting->second.phase != job_phase::queued) {
        drop(f, "not_queued");
        return;
    }
    const auto cell = std::find_if(s.cells.begin(), s.cells.end(),
                                   [&](const auto& c) { return c.name == r.cell; });
    if (!r.cell.empty()) {
        if (cell == s.cells.end() || !cell->claimed_by.empty() || cell->blocks.empty() ||
            cell->client_account != waiting->second.request.client_account) {
            drop(f, "cell_taken");
            return;
        }
        set_claim(s.hosts, s.cells, *cell, r.for_job);
        note(f, waiting->second, "reclaims guarantee " + r.cell);
    }
    const job_reason reason = r.cell.empty() ? job_reason::urgent_work : job_reason::reclaimed;
    for (const auto& target : r.targets) {
        preempt(f, target, reason);
    }
}

void handle(fold& f, const jobs_moved& r) {
    for (const auto& target : r.targets) {
        preempt(f, target, job_reason::consolidated);
    }
}

void handle(fold& f, const members_ready& r) {
    job* j = find_attempt(f, r.job, r.attempt);
    if (j == nullptr) {
        return;
    }
    if (j->phase != job_phase::placed) {
        drop(f, "not_placed");
        return;
    }
    for (const int i : r.members) {
        if (i >= 0 && i < static_cast<int>(j->members.size())) {
            j->members[i].ready = true;
        }
    }
    if (may_start(*j)) {
        note(f, *j, "all members ready");
        for (const auto& member : j->members) {
            f.effects.hosts.push_back(member.where.host);
        }
    }
}

void handle(fold& f, const task_ended& r) {
    job* j = find_attempt(f, r.job, r.attempt);
    if (j == nullptr) {
        return;
    }
    const bool has_member = r.member >= 0 && r.member < static_cast<int>(j->members.size());
    if (!has_member || j->members[r.member].outcome != task_outcome::none ||
        r.outcome == task_outcome::none) {
        drop(f, "already_ended");
        return;
    }
    if (r.member == 0) {
        j->started_at = r.started_at;
        j->result = r.result;
        j->result.holder = f.state.hosts.hosts()[j->members[0].where.host].name;
        const bool keeps_progress =
            r.outcome == task_outcome::checkpointed || r.outcome == task_outcome::done;
        j->progress_ms = keeps_progress ? r.progress_ms : j->progress_ms;
    }
    if (!r.error.empty()) {
        j->error = r.error;
    }
    end_member(f, *j, r.member, r.outcome);
    settle(f, *j);
}

void handle(fold& f, const result_lost& r) {
    job* j = find_attempt(f, r.job, r.attempt);
    if (j == nullptr) {
        return;
    }
    const job_class* c = class_of(f.state, *j);
    if (j->phase != job_phase::done || c == nullptr || !c->repeatable) {
        drop(f, "result_not_repeatable");
        return;
    }
    f.state.finished.erase({j->ended_at, j->id});
    j->phase = job_phase::queued;
    j->reason = job_reason::result_lost;
    j->members.clear();
    j->progress_ms = 0;
    j->result = {};
    count(f, "retry.result_lost");
    note(f, *j, "queued again: result_lost");
    enqueue(f.state, *j);
    f.effects.jobs.push_back(j->id);
}

} // namespace fulmarworks
