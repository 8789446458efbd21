#include "run_time_store.h"

#include "base/log_line.h"
#include "callback_owner.h"
#include "page_timeout.h"
#include "run_time_writes.h"

namespace fulmarworks::node {

namespace {

/** Delay of the first read, and of the next one after a failure. A new leader polls all workers in
 * its first second, which must not share a small link with these reads. */
constexpr time_ms read_delay_ms = 1000;
/** Interval in which the metrics are updated and a due write is sent. */
constexpr time_ms check_interval_ms = 1000;
/** Nothing waits for a write, so it may take as long as a slow store needs. */
constexpr time_ms append_timeout_ms = 5000;

} // namespace

struct run_time_store::impl : callback_owner<impl> {
    run_time_store_context context;
    run_time_writes writes;
    page_timeout timeout;
    time_ms started_at = boottime_now();
    std::size_t records_read = 0;
    std::size_t records_unreadable = 0;

    explicit impl(const run_time_store_context& c) : context(c) {}

    void start() {
        run_after(context.loop, read_delay_ms, [](impl& i) { i.read_page(""); });
        export_metrics();
        run_after(context.loop, check_interval_ms, [](impl& i) { i.update_metrics(); });
    }

    void export_metrics() {
        context.counters.set("run_time_classes", static_cast<double>(context.model.size()));
        context.counters.set("run_time_samples_total",
                             static_cast<double>(context.model.samples_added()));
    }

    void update_metrics() {
        export_metrics();
        run_after(context.loop, check_interval_ms, [](impl& i) { i.update_metrics(); });
    }

    /** Reads without the leader's limiter of page reads, so that no other read waits for these; one
     * page at a time takes little of a link. */
    void read_page(const std::string& after) {
        context.store.read_newest(platform::topic::run_times, 0, after, timeout.ms(),
                                  guarded([after](impl& i, const platform::newest_outcome& page) {
                                      i.page_read(page, after);
                                  }));
    }

    void page_read(const platform::newest_outcome& page, const std::string& after) {
        if (page.status != platform::store_status::ok) {
            timeout.failed();
            run_after(context.loop, read_delay_ms, [after](impl& i) { i.read_page(after); });
            return;
        }
        timeout.succeeded();
        for (const auto& record : page.records) {
            restore(record);
        }
        if (const auto next = platform::next_page_start(page, after)) {
            read_page(*next);
        } else {
            loaded();
        }
    }

    void restore(const platform::logged_record& record) {
        if (record.value.empty()) {
            return;
        }
        ++records_read;
        if (!context.model.restore(record.key, record.value, boottime_now())) {
            ++records_unreadable;
            context.log.write("run_times_unreadable", "key=" + log_text(record.key) + " bytes=" +
                                                          std::to_string(record.value.size()));
        }
    }

    void loaded() {
        context.log.write("run_times_loaded",
                          "records=" + std::to_string(records_read) +
                              " unreadable=" + std::to_string(records_unreadable) +
                              " classes=" + std::to_string(context.model.size()) +
                              " took_ms=" + std::to_string(boottime_now() - started_at));
        write_if_due();
    }

    /** Runs from the end of the read on: an earlier write would replace stored values that are not
     * restored yet. */
    void write_if_due() {
        run_after(context.loop, check_interval_ms, [](impl& i) { i.write_if_due(); });
        const time_ms now_ms = boottime_now();
        const bool due = begin_write(writes, now_ms,
                                     [&](std::size_t max) { return changed_records(max, now_ms); });
        if (!due) {
            return;
        }
        platform::append_request request;
        request.log_topic = platform::topic::run_times;
        request.records = writes.batch;
        request.writer = platform::writer_position{context.epoch, writes.sequence};
        request.timeout_ms = append_timeout_ms;
        context.store.append(request, guarded([](impl& i, const platform::append_outcome& outcome) {
                                 i.write_done(outcome);
                             }));
    }

    [[nodiscard]] std::vector<platform::keyed_record> changed_records(std::size_t max,
                                                                      time_ms now_ms) {
        std::vector<platform::keyed_record> records;
        for (auto& c : context.model.take_changed(max, now_ms)) {
            records.push_back({std::move(c.key), std::move(c.value)});
        }
        return records;
    }

    void write_done(const platform::append_outcome& outcome) {
        end_write(writes, outcome);
        if (outcome.status != platform::store_status::ok) {
            context.counters.count("store_retries_total", "call", "run_times");
        }
    }
};

run_time_store::run_time_store(const run_time_store_context& context)
    : impl_(std::make_shared<impl>(context)) {
    impl_->start();
}

run_time_store::~run_time_store() {
    impl_->disable_callbacks();
    // A host that no longer leads has no learned run times.
    impl_->context.counters.set("run_time_classes", 0);
    impl_->context.counters.set("run_time_samples_total", 0);
}

} // namespace fulmarworks::node
