#include "start_sender.h"

#include "base/time.h"
#include "callback_owner.h"
#include "start_batch.h"

#include <algorithm>
#include <limits>
#include <map>
#include <unordered_map>

namespace fulmarworks::node {

namespace {

/** Longer than the time after which the other host gives up a start that a worker doesn't answer.
 */
constexpr time_ms batch_timeout_ms = 600;
/** Size of a start's headers and of the fields besides its payload, in bytes. */
constexpr std::size_t start_overhead_bytes = 300;
/** Lowest rate of another host's clock relative to this one's. */
constexpr double slowest_clock_rate = 0.999;

/** Another host's clock as of its latest answer. */
struct known_clock {
    clock_reading reading;
    time_ms received_at_ms = 0;
};

/** Returns a lower bound of the host's clock now, so that a limit computed from it isn't too late.
 */
time_ms earliest_reading(const known_clock& clock, time_ms now_ms) {
    const auto elapsed = static_cast<double>(now_ms - clock.received_at_ms);
    return clock.reading.clock_ms + static_cast<time_ms>(elapsed * slowest_clock_rate);
}

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
        /** Whether the host refused these starts before, as its clock wasn't known. */
        bool repeated = false;
        std::vector<held_start> starts;
    };

    start_sender_context context;
    std::map<std::string, held_batch> held;
    /** By address. */
    std::unordered_map<std::string, known_clock> clocks;

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
        limit_sending(message, address, batch);
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
        context.http.send(
            call, guarded([address, batch = std::move(batch)](impl& i, const http_answer& answer) {
                i.batch_answered(address, batch, answer);
            }));
    }

    /** Sets until when the receiver may send the starts, if its clock is known. */
    void limit_sending(start_batch& message, const std::string& address,
                       const held_batch& batch) const {
        const auto clock = clocks.find(address);
        if (clock == clocks.end()) {
            return;
        }
        const time_ms now = boottime_now();
        time_ms remaining_ms = std::numeric_limits<time_ms>::max();
        for (const auto& start : batch.starts) {
            remaining_ms = std::min(remaining_ms, start.order.send_until_ms - now);
        }
        message.receiver = clock->second.reading.process;
        message.send_until_ms = earliest_reading(clock->second, now) + remaining_ms;
    }

    static void answer(const held_start& start, bool accepted, scheduler::order_failure failure) {
        const auto& order = start.order;
        start.done({order.where.id, order.task, order.run, accepted, failure, order.send_until_ms});
    }

    void batch_answered(const std::string& address, const held_batch& batch,
                        const http_answer& response) {
        const auto& starts = batch.starts;
        if (response.status == 0) {
            context.peer_hosts.mark_failed(address);
            for (const auto& start : starts) {
                answer(start, false, scheduler::order_failure::no_answer);
            }
            return;
        }
        if (auto clock = decode_clock(response.body)) {
            clocks[address] = {std::move(*clock), boottime_now()};
        }
        held_batch again;
        again.repeated = true;
        const auto results = decode_start_results(response.body, starts.size());
        for (std::size_t i = 0; i < starts.size(); ++i) {
            const held_start& start = starts[i];
            const start_result found = results ? results.value()[i] : start_result{};
            // A host that rejects a batch has sent none of its starts.
            if (response.status != 200 ||
                (results && found.outcome == start_outcome::payload_missing)) {
                send_directly(start.order, start.done);
            } else if (!results) {
                answer(start, false, scheduler::order_failure::no_answer);
            } else if (found.outcome == start_outcome::refused &&
                       found.failure == scheduler::order_failure::not_sent && !batch.repeated) {
                // The host's clock is known now. It has kept the payloads.
                again.starts.push_back(start);
            } else {
                answer(start, found.outcome == start_outcome::accepted, found.failure);
            }
        }
        if (!again.starts.empty()) {
            send_batch(address, std::move(again));
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
