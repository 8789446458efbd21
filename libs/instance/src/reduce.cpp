#include "instance/reduce.h"

#include "append_queue.h"
#include "callers.h"
#include "log_follower.h"
#include "membership.h"
#include "worker_links.h"

namespace fulmarworks {

namespace {

void finish_shutdown(context& c) {
    instance_state& s = c.state;
    if (s.phase != instance_phase::leaving) {
        return;
    }
    const bool has_left = !s.ledger.instances.contains(s.settings.name);
    const bool is_idle = s.waiting_callers == 0 && s.publishers.empty() && pending_records(s) == 0;
    const bool out_of_time = s.now.monotonic >= s.shutdown_at + s.settings.limits.shutdown_limit_ms;
    if ((has_left && is_idle) || out_of_time) {
        answer_all_callers(c);
        s.phase = instance_phase::stopped;
        emit(c, exit_process{});
    }
}

void handle(context& c, const tick&) {
    check_snapshots(c);
    join_if_needed(c);
    check_peers(c);
    check_workers(c);
    check_callers(c);
    finish_shutdown(c);
}

void handle(context&, const appends_due&) {}

void handle(context& c, const shutdown_requested&) {
    instance_state& s = c.state;
    if (s.phase == instance_phase::leaving || s.phase == instance_phase::stopped) {
        return;
    }
    s.phase = instance_phase::leaving;
    s.shutdown_at = s.now.monotonic;
    if (s.ledger.instances.contains(s.settings.name)) {
        enqueue_record(c, append_lane::urgent,
                       instance_left{s.settings.name, s.settings.incarnation, 0});
    }
}

void handle(context& c, const result_missing& e) {
    const auto key = "result/" + e.job + "@" + std::to_string(e.attempt);
    constexpr time_ms retry_ms = 5000;
    if (begin_attempt_if_due(c.state.membership_retry_at, key, c.state.now.monotonic, retry_ms)) {
        enqueue_record(c, append_lane::bulk, result_lost{e.job, e.attempt});
    }
}

template <class Event>
concept log_event = requires(context& c, const Event& e) {
    handle_log(c, e);
};
template <class Event>
concept append_event = requires(context& c, const Event& e) {
    handle_append(c, e);
};
template <class Event>
concept worker_event = requires(context& c, const Event& e) {
    handle_worker(c, e);
};
template <class Event>
concept caller_event = requires(context& c, const Event& e) {
    handle_caller(c, e);
};

template <class Event>
void dispatch(context& c, const Event& e) {
    if constexpr (log_event<Event>) {
        handle_log(c, e);
    } else if constexpr (append_event<Event>) {
        handle_append(c, e);
    } else if constexpr (worker_event<Event>) {
        handle_worker(c, e);
    } else if constexpr (caller_event<Event>) {
        handle_caller(c, e);
    } else if constexpr (std::is_same_v<Event, host_list_read>) {
        handle_host_list(c, e);
    } else if constexpr (std::is_same_v<Event, peer_message_received>) {
        handle_peer(c, e);
    } else {
        handle(c, e);
    }
}

} // namespace

bool is_log_available(const instance_state& s) {
    return s.now.monotonic - s.last_log_answer_at <= s.settings.limits.log_silence_ms;
}

bool is_ready(const instance_state& s) {
    return s.phase == instance_phase::following && is_caught_up(s) &&
           s.ledger.config_version >= s.newest_peer_config_version &&
           s.ledger.instances.contains(s.settings.name);
}

instance_state start_instance(instance_settings settings, event_time now, effect_list& effects) {
    instance_state s;
    s.settings = std::move(settings);
    s.now = now;
    s.last_log_answer_at = now.monotonic;
    s.next_snapshot_at = now.monotonic + s.settings.limits.snapshot_interval_ms;
    effects.emplace_back(load_snapshot{});
    return s;
}

void reduce(instance_state& s, event_time now, const event& e, effect_list& effects) {
    s.now = now;
    context c = {s, effects};
    std::visit([&](const auto& body) { dispatch(c, body); }, e);
    plan_if_due(c);
    send_due_batches(c);
}

} // namespace fulmarworks
