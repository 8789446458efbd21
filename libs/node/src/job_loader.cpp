#include "job_loader.h"

#include "callback_owner.h"
#include "scheduler/codec.h"
#include "timing.h"
#include "topic_follower.h"

#include <unordered_map>

namespace fulmarworks::node {

namespace {

constexpr time_ms submission_wait_ms = 1000;

} // namespace

struct job_loader::impl : callback_owner<impl> {
    job_loader_context context;
    bool progress_complete = false;
    bool submissions_complete = false;
    bool loaded = false;
    std::unordered_map<std::string, std::string> progress;
    std::unordered_map<std::string, std::string> submitted;
    std::unique_ptr<topic_follower> submissions;

    explicit impl(job_loader_context c) : context(std::move(c)) {}

    void follow() {
        follower_options options;
        options.where = platform::topic::submissions;
        options.wait_ms = submission_wait_ms;
        options.on_record = [this](const auto& record) { read(record); };
        submissions =
            std::make_unique<topic_follower>(context.loop, context.store, std::move(options));
    }

    void read(const platform::logged_record& record) {
        if (!loaded) {
            submitted[record.key] = record.value;
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
            later(context.loop, retry_pause_ms, [after](impl& i) { i.load_page(after); });
            return;
        }
        for (const auto& record : page.records) {
            progress[record.key] = record.value;
        }
        if (page.has_more && !page.records.empty()) {
            load_page(page.records.back().key);
        } else {
            progress_complete = true;
            finish_if_complete();
        }
    }

    /**
     * Reads the submissions once more. All progress that there is was written before the earlier
     * writer was fenced, so every job that it tells of is known after this.
     */
    void read_missing_submissions() {
        if (!submissions->loaded()) {
            read_missing_submissions_later();
            return;
        }
        catch_up(guarded([](impl& i, bool ok) {
            if (ok) {
                i.submissions_complete = true;
                i.finish_if_complete();
            } else {
                i.read_missing_submissions_later();
            }
        }));
    }

    void read_missing_submissions_later() {
        later(context.loop, retry_pause_ms, [](impl& i) { i.read_missing_submissions(); });
    }

    /** Unlike other callbacks `done` is always called, as a caller may wait for it. */
    void catch_up(std::function<void(bool)> done) {
        context.store.read(platform::topic::submissions, submissions->end(), 0,
                           [self = weak_from_this(),
                            done = std::move(done)](const platform::read_outcome& outcome) {
                               const auto alive = self.lock();
                               const bool ok = outcome.status == platform::store_status::ok;
                               if (alive && ok) {
                                   for (const auto& record : outcome.records) {
                                       alive->read(record);
                                   }
                               }
                               done(alive && ok);
                           });
    }

    void finish_if_complete() {
        if (!progress_complete || !submissions_complete || loaded) {
            return;
        }
        loaded_jobs found;
        for (auto& [id, data] : submitted) {
            if (data.empty()) {
                continue;
            }
            auto spec = decode(id, data);
            const auto known = progress.find(id);
            if (spec) {
                found.jobs.push_back(
                    {std::move(*spec), known == progress.end() ? "" : std::move(known->second)});
            }
            // A submission that can't be read keeps its progress: another release may read it.
            progress.erase(id);
        }
        for (auto& [id, data] : progress) {
            found.orphaned_progress.push_back(id);
        }
        submitted.clear();
        progress.clear();
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
