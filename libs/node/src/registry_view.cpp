#include "registry_view.h"

#include "base/log_line.h"
#include "callback_owner.h"
#include "topic_follower.h"
#include "worker_entry.h"

#include <utility>

namespace fulmarworks::node {

namespace {

/** Polling interval of the worker registry. The registry changes with every heartbeat, so reading
 * the changes in batches saves calls. */
constexpr time_ms registry_interval_ms = 300;
/** Age of the view from which a line is logged. */
constexpr time_ms logged_view_age_ms = 1000;

} // namespace

struct registry_view::impl : callback_owner<impl> {
    registry_view_context context;
    time_ms started_at = 0;
    /** What was read and not handed over yet. */
    scheduler::workers_reported unread;
    bool taken = false;
    /** Whether the view was late at the last check. */
    bool late = false;
    std::unique_ptr<topic_follower> follower;

    explicit impl(registry_view_context c) : context(std::move(c)) {}

    void start() {
        started_at = boottime_now();
        follower_options options;
        options.log_topic = platform::topic::worker_registry;
        options.wait_ms = 0;
        options.pause_ms = registry_interval_ms;
        options.limiter = context.page_reads;
        options.on_snapshot = [this](const auto& records) { snapshot_read(records); };
        options.on_record = [this](const auto& record) {
            add(record, follower->written_after_ms());
        };
        options.on_read = [this](bool ok) {
            if (ok) {
                read_done();
            }
        };
        follower =
            std::make_unique<topic_follower>(context.loop, context.store, std::move(options));
    }

    void snapshot_read(const std::vector<platform::logged_record>& records) {
        unread = {};
        unread.complete = true;
        for (const auto& record : records) {
            add(record, 0);
        }
        if (!taken) {
            context.log.write("leader_loaded",
                              "phase=registry records=" + std::to_string(records.size()) +
                                  " took_ms=" + std::to_string(boottime_now() - started_at));
        }
    }

    void add(const platform::logged_record& record, time_ms written_after_ms) {
        if (record.value.empty()) {
            unread.changes.emplace_back(scheduler::worker_unlisted{record.key, true});
            return;
        }
        auto report = decode_worker_entry(record, wall_now());
        if (!report) {
            context.log.write("worker_entry_unreadable", "worker=" + log_text(record.key) +
                                                             " error=\"" +
                                                             describe(report.error()) + "\"");
            unread.changes.emplace_back(scheduler::worker_unlisted{record.key, false});
            return;
        }
        unread.changes.emplace_back(
            scheduler::worker_reported{std::move(report.value()), written_after_ms});
    }

    void read_done() {
        unread.confirmed_at_ms = follower->confirmed_at_ms();
        if (taken) {
            context.on_read(std::exchange(unread, {}));
        } else if (context.on_loaded) {
            std::exchange(context.on_loaded, {})();
        }
    }
};

registry_view::registry_view(registry_view_context context)
    : impl_(std::make_shared<impl>(std::move(context))) {
    impl_->start();
}

registry_view::~registry_view() {
    impl_->disable_callbacks();
    impl_->follower.reset();
}

bool registry_view::loaded() const {
    return impl_->follower->loaded();
}

scheduler::workers_reported registry_view::take_loaded() {
    impl_->taken = true;
    return std::exchange(impl_->unread, {});
}

void registry_view::log_age() {
    const time_ms age = boottime_now() - impl_->follower->confirmed_at_ms();
    const bool late = age >= logged_view_age_ms;
    if (late != impl_->late) {
        impl_->late = late;
        impl_->context.log.write(late ? "registry_view_late" : "registry_view_current",
                                 "age_ms=" + std::to_string(age) +
                                     " offset=" + std::to_string(impl_->follower->end()));
    }
}

} // namespace fulmarworks::node
