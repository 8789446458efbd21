#include "append_queue.h"

#include "base/digest.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr time_ms first_retry_ms = 50;
constexpr time_ms max_retry_ms = 2000;
constexpr int max_retry_doublings = 6;
/** Weight of the newest sample in the smoothed append latency. */
constexpr double latency_smoothing_factor = 0.2;

append_lane_state& lane_of(instance_state& s, append_lane lane) {
    return lane == append_lane::urgent ? s.urgent : s.bulk;
}

time_ms interval_of(const instance_state& s, append_lane lane) {
    return lane == append_lane::urgent ? s.settings.limits.urgent_append_interval_ms
                                       : s.settings.limits.bulk_append_interval_ms;
}

/**
 * Returns an exponential backoff delay. Half of it is jitter from a hash of the instance's name and
 * the time, so that instances don't retry simultaneously.
 */
time_ms retry_delay(const instance_state& s, int failures) {
    const int doublings = std::min(failures, max_retry_doublings);
    const time_ms limit = std::min(first_retry_ms << doublings, max_retry_ms);
    const auto jitter = combine_hashes(hash64(s.settings.name),
                                       static_cast<std::uint64_t>(s.now.monotonic + failures));
    return limit / 2 + static_cast<time_ms>(jitter % static_cast<std::uint64_t>(limit / 2 + 1));
}

void fill_batch(instance_state& s, append_lane lane, append_lane_state& state) {
    const auto size =
        std::min(state.queue.size(), static_cast<std::size_t>(s.settings.limits.max_batch_records));
    for (std::size_t i = 0; i < size; ++i) {
        record r;
        r.header = {s.settings.name, s.settings.incarnation, std::string(to_string(lane)),
                    state.queue.front().sequence, s.now.wall};
        r.body = std::move(state.queue.front().body);
        state.queue.pop_front();
        state.in_flight_sequence = r.header.sequence;
        state.in_flight.push_back(encode_record(r));
    }
    ++state.batch;
}

void send_due_batch(context& c, append_lane lane) {
    instance_state& s = c.state;
    append_lane_state& state = lane_of(s, lane);
    const bool has_work = !state.in_flight.empty() || !state.queue.empty();
    if (state.awaiting_answer || !has_work || s.now.monotonic < state.next_append_at) {
        return;
    }
    if (state.in_flight.empty()) {
        fill_batch(s, lane, state);
        state.sent_at = s.now.monotonic;
    }
    state.awaiting_answer = true;
    emit(c, append_batch{lane, state.batch, state.in_flight});
}

void finish_batch(instance_state& s, append_lane lane, append_lane_state& state) {
    const auto latency = static_cast<double>(s.now.monotonic - state.sent_at);
    s.append_latency_ms += latency_smoothing_factor * (latency - s.append_latency_ms);
    state.in_flight.clear();
    state.awaiting_answer = false;
    state.failures = 0;
    state.next_append_at = s.now.monotonic + interval_of(s, lane);
}

} // namespace

std::uint64_t enqueue_record(context& c, append_lane lane, record_body body) {
    append_lane_state& state = lane_of(c.state, lane);
    const std::uint64_t sequence = state.next_sequence++;
    state.queue.push_back({sequence, std::move(body)});
    return sequence;
}

void send_due_batches(context& c) {
    send_due_batch(c, append_lane::urgent);
    send_due_batch(c, append_lane::bulk);
}

void handle_append(context& c, const append_acknowledged& e) {
    append_lane_state& state = lane_of(c.state, e.lane);
    c.state.last_log_answer_at = c.state.now.monotonic;
    if (state.batch == e.batch && !state.in_flight.empty()) {
        finish_batch(c.state, e.lane, state);
    }
}

void handle_append(context& c, const append_outcome_unknown& e) {
    append_lane_state& state = lane_of(c.state, e.lane);
    if (state.batch != e.batch) {
        return;
    }
    state.awaiting_answer = false;
    ++state.failures;
    state.next_append_at = c.state.now.monotonic + retry_delay(c.state, state.failures);
    count(c, "retry.append_unanswered");
}

void acknowledge_own_record(context& c, const record_header& header) {
    const auto lane = parse_enum<append_lane>(header.lane);
    if (!lane || header.incarnation != c.state.settings.incarnation) {
        return;
    }
    append_lane_state& state = lane_of(c.state, *lane);
    if (!state.in_flight.empty() && header.sequence >= state.in_flight_sequence) {
        finish_batch(c.state, *lane, state);
    }
}

std::size_t pending_records(const instance_state& s) {
    return s.urgent.queue.size() + s.urgent.in_flight.size() + s.bulk.queue.size() +
           s.bulk.in_flight.size();
}

std::vector<std::string> withdraw_unsent_submissions(context& c) {
    std::vector<std::string> withdrawn;
    for (append_lane_state* lane : {&c.state.urgent, &c.state.bulk}) {
        std::erase_if(lane->queue, [&](const pending_record& pending) {
            const auto* submitted = std::get_if<job_submitted>(&pending.body);
            if (submitted != nullptr) {
                withdrawn.push_back(
                    job_id_of(submitted->request.client_account, submitted->request.request_id));
            }
            return submitted != nullptr;
        });
    }
    return withdrawn;
}

} // namespace fulmarworks
