#include "topic_follower.h"

#include "callback_owner.h"
#include "page_timeout.h"
#include "read_pacing.h"

#include <algorithm>
#include <utility>

namespace fulmarworks::node {

namespace {

/** Delay before a failed read is retried. */
constexpr time_ms failed_read_delay_ms = 100;

} // namespace

struct topic_follower::impl : callback_owner<impl> {
    event_loop& loop;
    platform::store_client& store;
    follower_options options;
    bool loaded = false;
    /** Whether the last read failed. The next one then doesn't wait at the store, which detects the
     * recovery of the store early. */
    bool failing = false;
    std::uint64_t next_offset = 0;
    /**
     * End of the log when the first page was read. The pages are not an atomic snapshot: a key that
     * is written while they are read can be missing from all of them, so all records after this end
     * are read again.
     */
    std::uint64_t first_page_end = 0;
    page_timeout timeout;
    read_pacing pacing;
    /** Whether the delay between two reads is running, and the number of delays so far. */
    bool pausing = false;
    std::uint64_t pauses = 0;
    time_ms confirmed_at = 0;
    time_ms written_after = 0;
    std::vector<platform::logged_record> snapshot_records;

    impl(event_loop& l, platform::store_client& s, follower_options o)
        : loop(l), store(s), options(std::move(o)) {}

    void notify_read(bool ok) const {
        if (options.on_read) {
            options.on_read(ok);
        }
    }

    template <class Handler>
    void fetch_page(const std::string& after, Handler handler) {
        if (!options.limiter) {
            send_page_read(after, handler);
            return;
        }
        options.limiter->run(
            [limiter = options.limiter, weak_self = weak_from_this(), after, handler] {
                const auto self = weak_self.lock();
                if (self && !self->callbacks_disabled()) {
                    self->send_page_read(after, handler);
                } else {
                    limiter->finished();
                }
            });
    }

    template <class Handler>
    void send_page_read(const std::string& after, Handler handler) {
        store.read_newest(
            options.log_topic, options.partition, after, timeout.ms(),
            guarded([handler, after](impl& i, const platform::newest_outcome& page) {
                if (i.options.limiter) {
                    i.options.limiter->finished();
                }
                if (page.status != platform::store_status::ok || platform::is_empty_part(page)) {
                    i.timeout.failed();
                    i.notify_read(false);
                    // The pages that were read stay valid: whatever changed since the
                    // first page is read again.
                    i.run_after(i.loop, failed_read_delay_ms,
                                [handler, after](impl& self) { self.fetch_page(after, handler); });
                    return;
                }
                i.timeout.succeeded();
                handler(i, page);
            }));
    }

    void load() {
        snapshot_records.clear();
        load_page("", boottime_now());
    }

    void load_page(const std::string& after, time_ms started_at) {
        fetch_page(after, [after, started_at](impl& i, const platform::newest_outcome& page) {
            if (after.empty()) {
                i.first_page_end = page.end;
            }
            i.page_loaded(page, after, started_at);
        });
    }

    void page_loaded(const platform::newest_outcome& page, const std::string& after,
                     time_ms started_at) {
        snapshot_records.insert(snapshot_records.end(), page.records.begin(), page.records.end());
        if (const auto next = platform::next_page_start(page, after)) {
            load_page(*next, started_at);
            return;
        }
        loaded = true;
        next_offset = first_page_end;
        // Later changes of the keys are after `first_page_end`.
        confirmed_at = started_at;
        written_after = 0;
        const auto records = std::move(snapshot_records);
        snapshot_records.clear();
        if (options.on_snapshot) {
            options.on_snapshot(records);
        } else {
            deliver(records);
        }
        notify_read(true);
        read();
    }

    /** Delivers records in order; stops if a callback destroys the follower. */
    void deliver(const std::vector<platform::logged_record>& records) {
        for (const auto& record : records) {
            if (callbacks_disabled()) {
                return;
            }
            options.on_record(record);
        }
    }

    void read() {
        if (callbacks_disabled()) {
            return;
        }
        platform::read_request request;
        request.log_topic = options.log_topic;
        request.partition = options.partition;
        request.first_offset = next_offset;
        request.wait_ms = failing ? 0 : options.wait_ms;
        request.max_kb = pacing.max_kb();
        request.timeout_ms = read_pacing::timeout_ms;
        store.read(request, guarded([sent_at = boottime_now()](
                                        impl& i, const platform::read_outcome& outcome) {
                       i.read_done(outcome, sent_at);
                   }));
    }

    void read_done(const platform::read_outcome& outcome, time_ms sent_at) {
        if (outcome.status == platform::store_status::trimmed) {
            load();
            return;
        }
        failing = outcome.status != platform::store_status::ok;
        if (failing) {
            pacing.failed();
            notify_read(false);
            run_after(loop, failed_read_delay_ms, [](impl& i) { i.read(); });
            return;
        }
        const bool advanced = outcome.next_offset > next_offset;
        next_offset = outcome.next_offset;
        written_after = confirmed_at;
        if (outcome.is_complete()) {
            confirmed_at = sent_at;
        }
        deliver(outcome.records);
        if (callbacks_disabled()) {
            return;
        }
        if (outcome.is_complete()) {
            pacing.complete();
            notify_read(true);
            pause_then_read();
            return;
        }
        pacing.partial();
        if (advanced) {
            read();
        } else {
            run_after(loop, failed_read_delay_ms, [](impl& i) { i.read(); });
        }
    }

    void pause_then_read() {
        if (options.pause_ms == 0) {
            read();
            return;
        }
        pausing = true;
        // Counted from when the last read was sent, so that slow reads don't make the view older.
        const time_ms elapsed = boottime_now() - confirmed_at;
        const time_ms pause_ms = std::max<time_ms>(0, options.pause_ms - elapsed);
        run_after(loop, pause_ms, [pause = ++pauses](impl& i) {
            if (i.pausing && i.pauses == pause) {
                i.read_now();
            }
        });
    }

    void read_now() {
        if (std::exchange(pausing, false)) {
            read();
        }
    }
};

topic_follower::topic_follower(event_loop& loop, platform::store_client& store,
                               follower_options options)
    : impl_(std::make_shared<impl>(loop, store, std::move(options))) {
    impl_->load();
}

topic_follower::~topic_follower() {
    impl_->disable_callbacks();
}

void topic_follower::set_pacing(time_ms wait_ms, time_ms pause_ms) {
    impl_->options.wait_ms = wait_ms;
    impl_->options.pause_ms = pause_ms;
}

void topic_follower::read_now() {
    impl_->read_now();
}

bool topic_follower::loaded() const {
    return impl_->loaded;
}

time_ms topic_follower::confirmed_at_ms() const {
    return impl_->confirmed_at;
}

time_ms topic_follower::written_after_ms() const {
    return impl_->written_after;
}

std::uint64_t topic_follower::end() const {
    return impl_->next_offset;
}

} // namespace fulmarworks::node
