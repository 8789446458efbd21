#pragma once

#include "http/event_loop.h"
#include "node/decision_log.h"
#include "platform/store_client.h"
#include "read_limiter.h"
#include "scheduler/coordinator.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fulmarworks::node {

/** All jobs in the store, as of one moment after the previous writer was fenced. */
struct loaded_jobs {
    std::vector<scheduler::stored_job> jobs;
    /** Ids of progress records whose submission has been deleted. */
    std::vector<std::string> orphaned_progress;
};

/** What a job loader uses of its term. Precondition: all references outlive the loader. */
struct job_loader_context {
    event_loop& loop;
    platform::store_client& store;
    decision_log& log;
    std::shared_ptr<read_limiter> limiter;
    /** Called once, when all jobs are loaded. */
    std::function<void(loaded_jobs)> on_loaded;
    /** Called for each submission that is read after `on_loaded`; may be called more than once for
     * the same submission. */
    std::function<void(scheduler::job_spec)> on_submission;
};

/** Loads all jobs from the store, then follows new submissions. Not thread safe. */
class job_loader {
public:
    /** Starts to read submissions. */
    explicit job_loader(job_loader_context context);
    ~job_loader();
    job_loader(const job_loader&) = delete;
    job_loader& operator=(const job_loader&) = delete;

    /** Reads the progress of all jobs, then calls `on_loaded`. Precondition: the store refuses
     * progress from earlier leaders. */
    void load_progress();

    /** Reads the submission of a job if it is stored, then calls `done` with whether the store
     * could be read. */
    void catch_up(const std::string& job, std::function<void(bool)> done);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
