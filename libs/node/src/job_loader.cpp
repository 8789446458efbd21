#include "job_loader.h"

#include "base/log_line.h"
#include "callback_owner.h"
#include "gateway/classify.h"
#include "page_timeout.h"
#include "scheduler/codec.h"
#include "timing.h"
#include "topic_follower.h"

#include <algorithm>
#include <unordered_map>

namespace fulmarworks::node {

namespace {

/** Time that a read waits at the store for a new submission. */
constexpr time_ms submission_wait_ms = 1000;

} // namespace

struct job_loader::impl : callback_owner<impl> {
    job_loader_context context;
    time_ms started_at = boottime_now();
    bool progress_complete = false;
    bool submissions_complete = false;
    bool loaded = false;
    std::unordered_map<std::string, std::string> progress_records;
    /** Decoded as they are read, page by page, as thousands at once would hold up the renewal of
     * the lease. Empty if the submission can't be decoded. */
    std::unordered_map<std::string, std::optional<scheduler::job_spec>> submitted;
    page_timeout timeout;
    /** One for each partition of the submissions. */
    std::vector<std::unique_ptr<topic_follower>> submission_followers;

    explicit impl(job_loader_context c) : context(std::move(c)) {}

    void follow() {
        for (std::uint32_t p = 0; p < context.store.submission_partitions(); ++p) {
            follower_options options;
            options.log_topic = platform::topic::submissions;
            options.partition = p;
            options.wait_ms = submission_wait_ms;
            options.limiter = context.limiter;
            options.on_record = [this](const auto& record) { record_read(record); };
            submission_followers.push_back(
                std::make_unique<topic_follower>(context.loop, context.store, std::move(options)));
        }
    }

    void log_phase(const char* phase, std::size_t records) {
        context.log.write("leader_loaded",
                          std::string("phase=") + phase + " records=" + std::to_string(records) +
                              " took_ms=" + std::to_string(boottime_now() - started_at));
    }

    void record_read(const platform::logged_record& record) {
        if (!loaded && record.value.empty()) {
            submitted.erase(record.key);
        } else if (!loaded) {
            submitted[record.key] = decode(record.key, record.value);
        } else if (!record.value.empty()) {
            if (auto spec = decode(record.key, record.value)) {
                context.on_submission(std::move(*spec));
            }
        }
    }

    std::optional<scheduler::job_spec> decode(const std::string& id, const std::string& data) {
        auto spec = scheduler::decode_job_spec(data);
        if (spec && !gateway::is_job_id(id)) {
            spec = error{error_kind::malformed_data, "the key is no id of a job",
                         "delete the submission"};
        }
        if (!spec) {
            context.log.write("submission_unreadable", "request=" + log_text(id) + " error=\"" +
                                                           describe(spec.error()) + "\"");
            return std::nullopt;
        }
        spec.value().id = id;
        return std::move(spec.value());
    }

    void load_page(const std::string& after) {
        context.limiter->run([limiter = context.limiter, weak_self = weak_from_this(), after] {
            const auto self = weak_self.lock();
            if (self && !self->callbacks_disabled()) {
                self->send_page_read(after);
            } else {
                limiter->finished();
            }
        });
    }

    void send_page_read(const std::string& after) {
        context.store.read_newest(platform::topic::progress, 0, after, timeout.ms(),
                                  guarded([after](impl& i, const platform::newest_outcome& page) {
                                      i.context.limiter->finished();
                                      i.page_loaded(page, after);
                                  }));
    }

    void page_loaded(const platform::newest_outcome& page, const std::string& after) {
        if (page.status != platform::store_status::ok || platform::is_empty_part(page)) {
            timeout.failed();
            run_after(context.loop, retry_delay_ms, [after](impl& i) { i.load_page(after); });
            return;
        }
        timeout.succeeded();
        for (const auto& record : page.records) {
            progress_records[record.key] = record.value;
        }
        if (const auto next = platform::next_page_start(page, after)) {
            load_page(*next);
        } else {
            progress_complete = true;
            log_phase("progress", progress_records.size());
            finish_if_complete();
        }
    }

    /**
     * Reads the submissions that were stored since the last read. All progress was written before
     * the earlier writer was fenced, so after this read the submission of every job with progress
     * is available.
     */
    void read_missing_submissions() {
        const bool all_loaded =
            std::all_of(submission_followers.begin(), submission_followers.end(),
                        [](const auto& f) { return f->loaded(); });
        if (!all_loaded) {
            retry_read_missing_submissions();
            return;
        }
        catch_up_all(guarded([](impl& i, bool ok) {
            if (ok) {
                i.submissions_complete = true;
                i.log_phase("submissions", i.submitted.size());
                i.finish_if_complete();
            } else {
                i.retry_read_missing_submissions();
            }
        }));
    }

    void retry_read_missing_submissions() {
        run_after(context.loop, retry_delay_ms, [](impl& i) { i.read_missing_submissions(); });
    }

    /** Reads what was written to a partition since its follower's last read. Always calls `done`,
     * unlike guarded callbacks, since a caller may be waiting for it. */
    void catch_up_partition(std::uint32_t partition, std::function<void(bool)> done) {
        catch_up_from(partition, submission_followers[partition]->end(), std::move(done));
    }

    void catch_up_from(std::uint32_t partition, std::uint64_t offset,
                       std::function<void(bool)> done) {
        platform::read_request request;
        request.log_topic = platform::topic::submissions;
        request.partition = partition;
        request.first_offset = offset;
        context.store.read(request,
                           [weak_self = weak_from_this(), partition, offset,
                            done = std::move(done)](const platform::read_outcome& outcome) {
                               const auto self = weak_self.lock();
                               if (!self || outcome.status != platform::store_status::ok) {
                                   done(false);
                                   return;
                               }
                               for (const auto& record : outcome.records) {
                                   self->record_read(record);
                               }
                               if (outcome.is_complete() || outcome.next_offset == offset) {
                                   done(outcome.is_complete());
                               } else {
                                   self->catch_up_from(partition, outcome.next_offset, done);
                               }
                           });
    }

    /** Does so for all partitions side by side; `done` gets whether all reads succeeded. */
    void catch_up_all(std::function<void(bool)> done) {
        struct open_reads {
            std::uint32_t unanswered = 0;
            bool all_ok = true;
        };
        auto reads = std::make_shared<open_reads>();
        reads->unanswered = context.store.submission_partitions();
        for (std::uint32_t p = 0; p < context.store.submission_partitions(); ++p) {
            catch_up_partition(p, [reads, done](bool ok) {
                reads->all_ok = reads->all_ok && ok;
                if (--reads->unanswered == 0) {
                    done(reads->all_ok);
                }
            });
        }
    }

    void finish_if_complete() {
        if (!progress_complete || !submissions_complete || loaded) {
            return;
        }
        loaded_jobs found;
        for (auto& [id, spec] : submitted) {
            const auto job_progress = progress_records.find(id);
            if (spec) {
                found.jobs.push_back({std::move(*spec), job_progress == progress_records.end()
                                                            ? ""
                                                            : std::move(job_progress->second)});
            }
            // Not orphaned: another release may decode a submission that this one cannot.
            progress_records.erase(id);
        }
        for (auto& [id, data] : progress_records) {
            found.orphaned_progress.push_back(id);
        }
        submitted.clear();
        progress_records.clear();
        loaded = true;
        context.on_loaded(std::move(found));
    }
};

job_loader::job_loader(job_loader_context context)
    : impl_(std::make_shared<impl>(std::move(context))) {
    impl_->follow();
}

job_loader::~job_loader() = default;

void job_loader::load_progress() {
    impl_->log_phase("fenced", 0);
    impl_->load_page("");
    impl_->read_missing_submissions();
}

void job_loader::catch_up(const std::string& job, std::function<void(bool)> done) {
    impl_->catch_up_partition(impl_->context.store.submission_partition(job), std::move(done));
}

} // namespace fulmarworks::node
