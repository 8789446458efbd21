#pragma once

#include "http/event_loop.h"
#include "node/decision_log.h"
#include "platform/store_client.h"
#include "scheduler/coordinator.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fulmarworks::node {

/** What the store keeps of all jobs, as of one moment after the writer before was fenced. */
struct loaded_jobs {
    std::vector<scheduler::stored_job> jobs;
    /** Ids of progress records whose submission is gone. */
    std::vector<std::string> orphaned_progress;
};

/** What the loader needs of its term. All references outlive the loader. */
struct job_loader_context {
    event_loop& loop;
    platform::store_client& store;
    decision_log& log;
    /** Called once. */
    std::function<void(loaded_jobs)> on_loaded;
    /** Called for each submission that is read after `on_loaded`; it may be a repeated one. */
    std::function<void(scheduler::job_spec)> on_submission;
};

/** Reads all jobs back from the store, then follows new submissions. Not thread safe. */
class job_loader {
public:
    /** Begins to read submissions at once. */
    explicit job_loader(job_loader_context context);
    ~job_loader();
    job_loader(const job_loader&) = delete;
    job_loader& operator=(const job_loader&) = delete;

    /** Reads progress and reports. Precondition: no earlier leader can write progress any more. */
    void load_progress();

    /** Reads every submission that is stored by now, then calls `done` with whether that worked. */
    void catch_up(std::function<void(bool)> done);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
