#include "progress_writer.h"

#include "callback_owner.h"
#include "timing.h"

namespace fulmarworks::node {

namespace {

constexpr time_ms append_timeout_ms = 1000;

} // namespace

struct progress_writer::impl : callback_owner<impl> {
    progress_writer_context context;
    std::uint64_t sequence = 0;
    std::vector<platform::keyed_record> batch;

    explicit impl(progress_writer_context c) : context(std::move(c)) {}

    template <class Handler>
    void append(Handler handler) {
        platform::append_request request;
        request.log_topic = platform::topic::progress;
        request.records = batch;
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

    void store_batch() {
        append([](impl& i, const platform::append_outcome& outcome) { i.batch_done(outcome); });
    }

    void batch_done(const platform::append_outcome& outcome) {
        switch (outcome.status) {
        case platform::store_status::ok:
            batch.clear();
            context.on_stored();
            return;
        case platform::store_status::fenced: context.on_deposed(); return;
        case platform::store_status::out_of_sequence:
            context.log.write("store_sequence", "sent=" + std::to_string(sequence) + " expected=" +
                                                    std::to_string(outcome.expected_sequence));
            sequence = outcome.expected_sequence;
            break;
        default: context.counters.count("store_retries_total", "call", "progress"); break;
        }
        run_after(context.loop, retry_delay_ms, [](impl& i) { i.store_batch(); });
    }
};

progress_writer::progress_writer(progress_writer_context context)
    : impl_(std::make_shared<impl>(std::move(context))) {
    impl_->fence();
}

progress_writer::~progress_writer() = default;

void progress_writer::write(std::vector<platform::keyed_record> batch) {
    impl_->batch = std::move(batch);
    ++impl_->sequence;
    impl_->store_batch();
}

} // namespace fulmarworks::node
