#include "progress_writer.h"

#include "callback_owner.h"
#include "timing.h"

#include <deque>

namespace fulmarworks::node {

namespace {

constexpr time_ms append_timeout_ms = 1000;
/** Size of the records of one append, unless it has a single record: half of what the store takes
 * in a call. */
constexpr std::size_t max_append_bytes = 1'000'000;

using record_batch = std::vector<platform::keyed_record>;

/** Splits a batch into parts that the store takes. */
std::deque<record_batch> split(record_batch batch) {
    std::deque<record_batch> parts;
    std::size_t bytes = 0;
    for (auto& record : batch) {
        const std::size_t size = record.key.size() + record.value.size();
        if (parts.empty() || bytes + size > max_append_bytes) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += size;
        parts.back().push_back(std::move(record));
    }
    return parts;
}

} // namespace

struct progress_writer::impl : callback_owner<impl> {
    progress_writer_context context;
    std::uint64_t sequence = 0;
    /** What is not stored yet. */
    std::deque<record_batch> parts;

    explicit impl(progress_writer_context c) : context(std::move(c)) {}

    template <class Handler>
    void append(Handler handler) {
        platform::append_request request;
        request.log_topic = platform::topic::progress;
        if (!parts.empty()) {
            request.records = parts.front();
        }
        request.writer = platform::writer_position{context.epoch, sequence};
        request.timeout_ms = append_timeout_ms;
        context.store.append(request, guarded(std::move(handler)));
    }

    /** Fences earlier writers: an empty append raises the store's epoch. */
    void fence() {
        append([](impl& i, const platform::append_outcome& outcome) { i.fence_done(outcome); });
    }

    void fence_done(const platform::append_outcome& outcome) {
        if (outcome.status == platform::store_status::fenced) {
            context.on_deposed();
        } else if (outcome.status == platform::store_status::ok ||
                   outcome.status == platform::store_status::out_of_sequence) {
            context.on_earlier_writers_fenced();
        } else {
            run_after(context.loop, retry_delay_ms, [](impl& i) { i.fence(); });
        }
    }

    void store_next_part() {
        ++sequence;
        store_part();
    }

    void store_part() {
        append([](impl& i, const platform::append_outcome& outcome) { i.part_done(outcome); });
    }

    void part_done(const platform::append_outcome& outcome) {
        switch (outcome.status) {
        case platform::store_status::ok:
            parts.pop_front();
            if (parts.empty()) {
                context.on_stored();
            } else {
                store_next_part();
            }
            return;
        case platform::store_status::fenced: context.on_deposed(); return;
        case platform::store_status::out_of_sequence:
            context.log.write("store_sequence", "sent=" + std::to_string(sequence) + " expected=" +
                                                    std::to_string(outcome.expected_sequence));
            sequence = outcome.expected_sequence;
            break;
        default: context.counters.count("store_retries_total", "call", "progress"); break;
        }
        run_after(context.loop, retry_delay_ms, [](impl& i) { i.store_part(); });
    }
};

progress_writer::progress_writer(progress_writer_context context)
    : impl_(std::make_shared<impl>(std::move(context))) {
    impl_->fence();
}

progress_writer::~progress_writer() = default;

void progress_writer::write(std::vector<platform::keyed_record> batch) {
    impl_->parts = split(std::move(batch));
    impl_->store_next_part();
}

} // namespace fulmarworks::node
