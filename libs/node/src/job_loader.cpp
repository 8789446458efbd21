#include "job_loader.h"

#include "callback_owner.h"
#include "scheduler/codec.h"
#include "timing.h"
#include "topic_follower.h"

#include <unordered_map>

namespace fulmarworks::node {

namespace {

/** Time that a read waits at the store for a new submission. */
constexpr time_ms submission_wait_ms = 1000;

} // namespace

struct job_loader::impl : callback_owner<impl> {
    job_loader_context context;
    bool progress_complete = false;
    bool submissions_complete = false;
    bool loaded = false;
    std::unordered_map<std::string, std::string> progress_records;
    std::unordered_map<std::string, std::string> submission_records;
    std::unique_ptr<topic_follower> submission_follower;

    explicit impl(job_loader_context c) : context(std::move(c)) {}

    void follow() {
        follower_options options;
        options.log_topic = platform::topic::submissions;
        options.wait_ms = submission_wait_ms;
        options.on_record = [this](const auto& record) { record_read(record); };
        submission_follower =
            std::make_unique<topic_follower>(context.loop, context.store, std::move(options));
    }

    void record_read(const platform::logged_record& record) {
        if (!loaded) {
            submission_records[record.key] = record.value;
        } else if (!record.value.empty()) {
            if (auto spec = decode(record.key, record.value)) {
                context.on_submission(std::move(*spec));
            }
        }
    }

    std::optional<scheduler::job_spec> decode(const std::string& id, const std::string& data) {
        auto spec = scheduler::decode_job_spec(data);
        if (!spec) {
            context.log.write("submission_unreadable",
                              "request=" + id + " error=\"" + describe(spec.error()) + "\"");
            return std::nullopt;
        }
        spec.value().id = id;
        return std::move(spec.value());
    }

    void load_page(const std::string& after) {
        context.store.read_newest(platform::topic::progress, after,
                                  guarded([after](impl& i, const platform::newest_outcome& page) {
                                      i.page_loaded(page, after);
                                  }));
    }

    void page_loaded(const platform::newest_outcome& page, const std::string& after) {
        if (page.status != platform::store_status::ok) {
            run_after(context.loop, retry_delay_ms, [after](impl& i) { i.load_page(after); });
            return;
        }
        for (const auto& record : page.records) {
            progress_records[record.key] = record.value;
        }
        if (page.has_more && !page.records.empty()) {
            load_page(page.records.back().key);
        } else {
            progress_complete = true;
            finish_if_complete();
        }
    }

    /**
     * Reads the submissions that were stored since the last read. All progress was written before
     * the earlier writer was fenced, so after this read the submission of every job with progress
     * is available.
     */
    void read_missing_submissions() {
        if (!submission_follower->loaded()) {
            retry_read_missing_submissions();
            return;
        }
        catch_up(guarded([](impl& i, bool ok) {
            if (ok) {
                i.submissions_complete = true;
                i.finish_if_complete();
            } else {
                i.retry_read_missing_submissions();
            }
        }));
    }

    void retry_read_missing_submissions() {
        run_after(context.loop, retry_delay_ms, [](impl& i) { i.read_missing_submissions(); });
    }

    /** Always calls `done`, unlike guarded callbacks, since a caller may be waiting for it. */
    void catch_up(std::function<void(bool)> done) {
        context.store.read(platform::topic::submissions, submission_follower->end(), 0,
                           [weak_self = weak_from_this(),
                            done = std::move(done)](const platform::read_outcome& outcome) {
                               const auto self = weak_self.lock();
                               const bool ok = outcome.status == platform::store_status::ok;
                               if (self && ok) {
                                   for (const auto& record : outcome.records) {
                                       self->record_read(record);
                                   }
                               }
                               done(self && ok);
                           });
    }

    void finish_if_complete() {
        if (!progress_complete || !submissions_complete || loaded) {
            return;
        }
        loaded_jobs found;
        for (auto& [id, data] : submission_records) {
            if (data.empty()) {
                continue;
            }
            auto spec = decode(id, data);
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
        submission_records.clear();
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
    impl_->load_page("");
    impl_->read_missing_submissions();
}

void job_loader::catch_up(std::function<void(bool)> done) {
    impl_->catch_up(std::move(done));
}

} // namespace fulmarworks::node
