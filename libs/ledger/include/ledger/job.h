#pragma once

#include "model/configuration.h"
#include "placement/block.h"

#include <string>
#include <vector>

namespace fulmarworks {

/** Request of a caller, as stored in the log. */
struct job_request {
    std::string client_account;
    std::string request_id;
    std::string job_class;
    task_shape shape;
    int tasks = 1;
    /** Run time declared by the caller. */
    time_ms declared_ms = 0;
    /** Wall-clock time at which the caller issued the request. */
    time_ms issued_at = 0;
    std::string payload;
};

FULMARWORKS_JSON(job_request, client_account, request_id, job_class, shape, tasks, declared_ms,
                 issued_at, payload)

/** Returns the system-wide id of the job that a request creates. Thread safe. */
[[nodiscard]] inline std::string job_id_of(std::string_view account, std::string_view request_id) {
    return std::string(account) + "/" + std::string(request_id);
}

/** Returns a digest of the request without `issued_at`, so that retries have equal digests. */
[[nodiscard]] std::string digest_of(const job_request& r);

enum class job_phase { queued, placed, stopping, done, failed, not_run };

template <>
struct enum_names<job_phase> {
    static constexpr enum_name<job_phase> names[] = {
        {job_phase::queued, "queued"},     {job_phase::placed, "placed"},
        {job_phase::stopping, "stopping"}, {job_phase::done, "done"},
        {job_phase::failed, "failed"},     {job_phase::not_run, "not_run"}};
};

[[nodiscard]] constexpr bool is_final(job_phase phase) {
    return phase >= job_phase::done;
}

/** Reason for which a job is stopping, was queued again or has ended. */
enum class job_reason {
    none,
    cancelled,
    queue_timeout,
    queue_full,
    never_fits,
    unknown_name,
    stale_request,
    task_failed,
    failed_everywhere,
    worker_lost,
    result_lost,
    reclaimed,
    urgent_work,
    consolidated,
    start_refused,
};

template <>
struct enum_names<job_reason> {
    static constexpr enum_name<job_reason> names[] = {
        {job_reason::none, "none"},
        {job_reason::cancelled, "cancelled"},
        {job_reason::queue_timeout, "queue_timeout"},
        {job_reason::queue_full, "queue_full"},
        {job_reason::never_fits, "never_fits"},
        {job_reason::unknown_name, "unknown_name"},
        {job_reason::stale_request, "stale_request"},
        {job_reason::task_failed, "task_failed"},
        {job_reason::failed_everywhere, "failed_everywhere"},
        {job_reason::worker_lost, "worker_lost"},
        {job_reason::result_lost, "result_lost"},
        {job_reason::reclaimed, "reclaimed"},
        {job_reason::urgent_work, "urgent_work"},
        {job_reason::consolidated, "consolidated"},
        {job_reason::start_refused, "start_refused"}};
};

/** Outcome of a task on its worker. */
enum class task_outcome {
    /** The task has not ended. */
    none,
    done,
    failed,
    /** The task ran and was stopped without a checkpoint. */
    stopped,
    /** The task was stopped after a checkpoint. */
    checkpointed,
    /** The worker guarantees that it has not started the task and never will. */
    not_started,
    /** The worker was lost or restarted, or the urgent task was moved off a suspect host. */
    lost,
};

template <>
struct enum_names<task_outcome> {
    static constexpr enum_name<task_outcome> names[] = {
        {task_outcome::none, "none"},
        {task_outcome::done, "done"},
        {task_outcome::failed, "failed"},
        {task_outcome::stopped, "stopped"},
        {task_outcome::checkpointed, "checkpointed"},
        {task_outcome::not_started, "not_started"},
        {task_outcome::lost, "lost"}};
};

struct job_member {
    block where;
    bool ready = false;
    task_outcome outcome = task_outcome::none;
};

FULMARWORKS_JSON(job_member, where, ready, outcome)

/** A host that was lost while it ran a task of a job. */
struct lost_host {
    host_index host = 0;
    /** Incarnation of the host that was lost. */
    std::uint64_t incarnation = 0;
    /** Whether the host has restarted since; otherwise it may only have been silent. */
    bool crashed = false;
};

FULMARWORKS_JSON(lost_host, host, incarnation, crashed)

/** Entry of the decision history that `explain` shows. */
struct job_decision {
    std::uint64_t offset = 0;
    time_ms at = 0;
    std::string what;
};

FULMARWORKS_JSON(job_decision, offset, at, what)

struct job_result {
    std::string holder;
    std::string digest;
    std::uint64_t size = 0;
    /** Content of a result that is small enough for the log; empty otherwise. */
    std::string inlined;
};

FULMARWORKS_JSON(job_result, holder, digest, size, inlined)

struct job {
    std::string id;
    job_request request;
    std::string request_digest;
    std::uint64_t submit_offset = 0;
    time_ms submitted_at = 0;
    job_phase phase = job_phase::queued;
    job_reason reason = job_reason::none;
    /** Number of placements so far, the current one included. */
    int attempt = 0;
    bool cancel_requested = false;
    /** Whether a task of the job was or may have been started. */
    bool may_have_run = false;
    /** Whether the job runs outside of guarantee cells and can't be stopped to reclaim one. */
    bool pinned = false;
    /** Whether the job class was urgent at the time of the placement. */
    bool placed_urgent = false;
    /** Guarantee cell in which the job runs; empty if there is none. */
    std::string cell;
    std::vector<job_member> members;
    bool checkpoint_first = false;
    time_ms stop_requested_at = 0;
    /** Run time saved by the last checkpoint. */
    time_ms progress_ms = 0;
    /** Earliest time of the next placement. */
    time_ms not_before = 0;
    time_ms placed_at = 0;
    time_ms started_at = 0;
    time_ms ended_at = 0;
    std::string error;
    int lost_attempts = 0;
    /** Hosts that were lost under the job, without those that turned out to be only silent. */
    std::vector<lost_host> lost_hosts;
    std::vector<host_index> failed_hosts;
    job_result result;
    std::vector<job_decision> history;
};

FULMARWORKS_JSON(job, id, request, request_digest, submit_offset, submitted_at, phase, reason,
                 attempt, cancel_requested, may_have_run, pinned, placed_urgent, cell, members,
                 checkpoint_first, stop_requested_at, progress_ms, not_before, placed_at,
                 started_at, ended_at, error, lost_attempts, lost_hosts, failed_hosts, result,
                 history)

/** Returns whether the members may start: all are ready, or the job has only one. */
[[nodiscard]] inline bool may_start(const job& j) {
    if (j.members.size() == 1) {
        return true;
    }
    for (const auto& member : j.members) {
        if (!member.ready) {
            return false;
        }
    }
    return true;
}

} // namespace fulmarworks
