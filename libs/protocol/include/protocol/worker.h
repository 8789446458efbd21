#pragma once

#include "ledger/job.h"

#include <string>
#include <vector>

/** Messages between an instance and a worker; docs/PLATFORM.md specifies them. */
namespace fulmarworks {

enum class task_operation {
    /** Reserves the accelerators for a gang member without starting it. */
    prepare,
    start,
    /** Drops a task that has not started. The worker guarantees never to start this attempt. */
    revoke,
    checkpoint,
    stop,
    /** Confirms that the end of the task is in the log; the worker keeps only the result. */
    acknowledge,
};

template <>
struct enum_names<task_operation> {
    static constexpr enum_name<task_operation> names[] = {
        {task_operation::prepare, "prepare"}, {task_operation::start, "start"},
        {task_operation::revoke, "revoke"},   {task_operation::checkpoint, "checkpoint"},
        {task_operation::stop, "stop"},       {task_operation::acknowledge, "acknowledge"}};
};

enum class task_phase { prepared, running, checkpointing, ended };

template <>
struct enum_names<task_phase> {
    static constexpr enum_name<task_phase> names[] = {{task_phase::prepared, "prepared"},
                                                      {task_phase::running, "running"},
                                                      {task_phase::checkpointing, "checkpointing"},
                                                      {task_phase::ended, "ended"}};
};

/** One idempotent order about one attempt of one task. */
struct task_order {
    std::string instance;
    /** Ownership epoch of the worker's rack. The worker refuses an epoch below the highest seen. */
    std::uint64_t owner_epoch = 0;
    /** Incarnation of the worker that the order addresses; a restarted worker refuses it. */
    std::uint64_t worker_incarnation = 0;
    task_operation operation = task_operation::start;
    std::string job;
    int member = 0;
    int attempt = 0;
    block where;
    task_shape shape;
    std::string payload;
    /** Run time saved by an earlier checkpoint. */
    time_ms progress_ms = 0;
    /** The worker stops its tasks if it receives no poll or order for this long. */
    time_ms lease_ms = 0;
};

/** State of one attempt of one task, as its worker reports it. */
struct task_report {
    std::string job;
    int member = 0;
    int attempt = 0;
    task_phase phase = task_phase::prepared;
    task_outcome outcome = task_outcome::none;
    time_ms started_at = 0;
    time_ms run_ms = 0;
    time_ms progress_ms = 0;
    std::string error;
    std::string result_digest;
    std::uint64_t result_size = 0;
    /** Content of the result if it is small; empty otherwise. */
    std::string result_inlined;
};

/** Complete state of a worker, sent with every response. */
struct worker_report {
    std::string host;
    std::uint64_t incarnation = 0;
    /** Increases with every change; long polls wait for a version above the last one seen. */
    std::uint64_t version = 0;
    bool leaving = false;
    std::uint64_t owner_epoch = 0;
    std::vector<task_report> tasks;
};

struct host_entry {
    std::string host;
    std::string address;
    /** live, leaving or off. */
    std::string state;
};

struct host_list_answer {
    std::vector<host_entry> hosts;
};

FULMARWORKS_JSON(task_order, instance, owner_epoch, worker_incarnation, operation, job, member,
                 attempt, where, shape, payload, progress_ms, lease_ms)
FULMARWORKS_JSON(task_report, job, member, attempt, phase, outcome, started_at, run_ms, progress_ms,
                 error, result_digest, result_size, result_inlined)
FULMARWORKS_JSON(worker_report, host, incarnation, version, leaving, owner_epoch, tasks)
FULMARWORKS_JSON(host_entry, host, address, state)
FULMARWORKS_JSON(host_list_answer, hosts)

} // namespace fulmarworks
