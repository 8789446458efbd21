#include "topic_follower.h"

#include "callback_owner.h"

namespace fulmarworks::node {

namespace {

/** Pause after a failed read. */
constexpr time_ms failed_read_pause_ms = 100;

} // namespace

struct topic_follower::impl : callback_owner<impl> {
    event_loop& loop;
    platform::store_client& store;
    follower_options options;
    bool loaded = false;
    /** The last read failed; the next one doesn't wait, so that it shows the store's return soon.
     */
    bool failing = false;
    std::uint64_t next = 0;
    /**
     * End of the log as of the first page. Pages are no snapshot: a key that is written again while
     * they are read can be missing from all of them, so everything after this end is read again.
     */
    std::uint64_t first_end = 0;
    time_ms confirmed_at = 0;
    std::vector<platform::logged_record> page_records;

    impl(event_loop& l, platform::store_client& s, follower_options o)
        : loop(l), store(s), options(std::move(o)) {}

    void report(bool ok) const {
        if (options.on_read) {
            options.on_read(ok);
        }
    }

    template <class Handler>
    void newest(const std::string& after, Handler handler) {
        store.read_newest(
            options.where, after, guarded([handler](impl& i, const platform::newest_outcome& page) {
                if (page.status != platform::store_status::ok) {
                    i.report(false);
                    i.later(i.loop, failed_read_pause_ms, [](impl& again) { again.load(); });
                    return;
                }
                handler(i, page);
            }));
    }

    void load() {
        page_records.clear();
        load_page("", boottime_now());
    }

    void load_page(const std::string& after, time_ms began_at) {
        newest(after, [after, began_at](impl& i, const platform::newest_outcome& page) {
            if (after.empty()) {
                i.first_end = page.end;
            }
            i.page_loaded(page, began_at);
        });
    }

    void page_loaded(const platform::newest_outcome& page, time_ms began_at) {
        page_records.insert(page_records.end(), page.records.begin(), page.records.end());
        if (page.has_more && !page.records.empty()) {
            load_page(page.records.back().key, began_at);
            return;
        }
        loaded = true;
        next = first_end;
        confirmed_at = began_at;
        const auto records = std::move(page_records);
        page_records.clear();
        if (options.on_snapshot) {
            options.on_snapshot(records);
        } else {
            deliver(records);
        }
        report(true);
        read();
    }

    /** Hands over records until the owner ends the follower. */
    void deliver(const std::vector<platform::logged_record>& records) {
        for (const auto& record : records) {
            if (callbacks_ended()) {
                return;
            }
            options.on_record(record);
        }
    }

    void read() {
        if (callbacks_ended()) {
            return;
        }
        const time_ms sent_at = boottime_now();
        store.read(options.where, next, failing ? 0 : options.wait_ms,
                   guarded([sent_at](impl& i, const platform::read_outcome& outcome) {
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
            report(false);
            later(loop, failed_read_pause_ms, [](impl& i) { i.read(); });
            return;
        }
        next = outcome.next_offset;
        confirmed_at = sent_at;
        deliver(outcome.records);
        if (callbacks_ended()) {
            return;
        }
        report(true);
        if (options.pause_ms > 0) {
            later(loop, options.pause_ms, [](impl& i) { i.read(); });
        } else {
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
    impl_->end_callbacks();
}

bool topic_follower::loaded() const {
    return impl_->loaded;
}

time_ms topic_follower::confirmed_at_ms() const {
    return impl_->confirmed_at;
}

std::uint64_t topic_follower::end() const {
    return impl_->next;
}

} // namespace fulmarworks::node
