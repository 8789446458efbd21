#include "start_sender.h"

#include "base/time.h"
#include "callback_owner.h"
#include "start_batch.h"

#include <map>

namespace fulmarworks::node {

namespace {

/** Longer than the time after which the other host gives up a start that a worker doesn't answer.
 */
constexpr time_ms batch_timeout_ms = 600;
/** Size of a start's headers and of the fields besides its payload, in bytes. */
constexpr std::size_t start_overhead_bytes = 300;

} // namespace

struct start_sender::impl : callback_owner<impl> {
    struct held_start {
        scheduler::send_start order;
        answer_handler done;
    };
    /** Starts for one host. */
    struct held_batch {
        /** Whether the host may lack the payloads, so that they are sent along. */
        bool with_payloads = false;
        std::vector<held_start> starts;
    };

    start_sender_context context;
    std::map<std::string, held_batch> held;

    explicit impl(start_sender_context c) : context(std::move(c)) {}

    void send_directly(const scheduler::send_start& order, const answer_handler& done) {
        context.counters.count("orders_total", "kind", "start");
        context.workers.start(
            order, guarded([done](impl&, const scheduler::start_answered& a) { done(a); }));
    }

    void hold(const std::string& address, bool with_payloads, held_start start) {
        held_batch& batch = held[address];
        batch.with_payloads = batch.with_payloads || with_payloads;
        batch.starts.push_back(std::move(start));
        if (batch.starts.size() == max_starts_per_batch) {
            send_batch(address, std::exchange(batch, {}));
        }
    }

    void send_batch(const std::string& address, held_batch batch) {
        start_batch message;
        message.fencing_token = context.fencing_token;
        for (const auto& start : batch.starts) {
            if (batch.with_payloads) {
                message.payloads[start.order.task.job] = start.order.payload;
            }
            message.starts.push_back(start.order);
        }
        http_call call;
        call.method = "POST";
        call.address = address;
        call.target = start_batch_path;
        call.body = encode_start_batch(message);
        call.timeout_ms = batch_timeout_ms;
        call.kind = "relay_start";
        context.counters.count("start_batches_total", "payloads",
                               batch.with_payloads ? "sent" : "known");
        context.http.send(call, guarded([address, starts = std::move(batch.starts)](
                                            impl& i, const http_answer& answer) {
                              i.batch_answered(address, starts, answer);
                          }));
    }

    void batch_answered(const std::string& address, const std::vector<held_start>& starts,
                        const http_answer& answer) {
        if (answer.status == 0) {
            context.peer_hosts.mark_failed(address);
            for (const auto& start : starts) {
                const auto& order = start.order;
                start.done({order.where.id, order.task, order.run, false,
                            scheduler::order_failure::no_answer});
            }
            return;
        }
        const auto results = decode_start_results(answer.body, starts.size());
        for (std::size_t i = 0; i < starts.size(); ++i) {
            const auto& order = starts[i].order;
            // A host that rejects a batch has sent none of its starts.
            if (answer.status != 200 ||
                (results && results.value()[i].outcome == start_outcome::payload_missing)) {
                send_directly(order, starts[i].done);
            } else if (!results) {
                starts[i].done({order.where.id, order.task, order.run, false,
                                scheduler::order_failure::no_answer});
            } else {
                const start_result& r = results.value()[i];
                starts[i].done({order.where.id, order.task, order.run,
                                r.outcome == start_outcome::accepted, r.failure});
            }
        }
    }
};

start_sender::start_sender(start_sender_context context)
    : impl_(std::make_shared<impl>(std::move(context))) {}

start_sender::~start_sender() {
    impl_->disable_callbacks();
}

void start_sender::send(scheduler::send_start order, const std::string& accepted_by,
                        answer_handler done) {
    const std::size_t bytes = order.payload.size() + start_overhead_bytes;
    if (take_direct_start(impl_->context.routing, bytes, boottime_now())) {
        impl_->send_directly(order, done);
        return;
    }
    if (impl_->context.peer_hosts.usable(accepted_by)) {
        impl_->hold(accepted_by, false, {std::move(order), std::move(done)});
        return;
    }
    const std::string other = impl_->context.peer_hosts.choose_for(order.task.job);
    if (other.empty()) {
        impl_->send_directly(order, done);
        return;
    }
    impl_->hold(other, true, {std::move(order), std::move(done)});
}

void start_sender::flush() {
    for (auto& [address, batch] : std::exchange(impl_->held, {})) {
        if (!batch.starts.empty()) {
            impl_->send_batch(address, std::move(batch));
        }
    }
}

} // namespace fulmarworks::node
