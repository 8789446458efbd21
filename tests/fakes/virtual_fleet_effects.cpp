#include "virtual_fleet.h"

#include <algorithm>
#include <utility>

namespace fulmarworks {

namespace {

constexpr time_ms worker_tick_ms = 10;
constexpr time_ms call_timeout_ms = 2000;
constexpr time_ms read_wait_ms = 1000;
constexpr std::size_t records_per_read = 512;

} // namespace

void virtual_fleet::perform(int i, const load_snapshot&) {
    const int generation = nodes_[i].generation;
    at(now_ + delay(), [this, i, generation] {
        if (log_down_) {
            deliver(i, generation, snapshot_load_failed{});
        } else {
            deliver(i, generation, snapshot_loaded{snapshot_});
        }
    });
}

void virtual_fleet::perform(int i, const read_log& e) {
    const pending_read reader = {i, nodes_[i].generation, e.from, next_sequence_};
    at(std::max(now_, e.not_before) + delay(), [this, reader] { serve_read(reader, true); });
}

void virtual_fleet::serve_read(const pending_read& reader, bool may_wait) {
    const std::uint64_t tail = log_first_ + log_.size();
    const auto answer = [&](event e) {
        at(now_ + delay(),
           [this, reader, e = std::move(e)] { deliver(reader.instance, reader.generation, e); });
    };
    if (log_down_ || chance(rates_.loss)) {
        at(now_ + call_timeout_ms,
           [this, reader] { deliver(reader.instance, reader.generation, log_read_failed{}); });
    } else if (reader.from < log_first_ || reader.from > tail) {
        answer(log_trimmed{});
    } else if (reader.from == tail && may_wait) {
        readers_[reader.id] = reader;
        at(now_ + read_wait_ms, [this, reader] {
            if (readers_.erase(reader.id) > 0) {
                serve_read(reader, false);
            }
        });
    } else {
        const auto first = log_.begin() + static_cast<std::ptrdiff_t>(reader.from - log_first_);
        const auto count =
            std::min<std::size_t>(records_per_read, static_cast<std::size_t>(tail - reader.from));
        answer(log_records{reader.from, {first, first + static_cast<std::ptrdiff_t>(count)}, tail});
    }
}

void virtual_fleet::wake_readers() {
    const auto waiting = std::move(readers_);
    readers_.clear();
    for (const auto& [id, reader] : waiting) {
        serve_read(reader, false);
    }
}

void virtual_fleet::perform(int i, const append_batch& e) {
    const int generation = nodes_[i].generation;
    const auto unknown = [this, i, generation, e] {
        at(now_ + call_timeout_ms, [this, i, generation, e] {
            deliver(i, generation, append_outcome_unknown{e.lane, e.batch});
        });
    };
    if (chance(rates_.loss)) {
        unknown();
        return;
    }
    at(now_ + delay(), [this, i, generation, e, unknown] {
        if (log_down_) {
            unknown();
            return;
        }
        log_.insert(log_.end(), e.texts.begin(), e.texts.end());
        wake_readers();
        if (lose_append_answers_ || chance(rates_.loss)) {
            unknown();
            return;
        }
        at(now_ + delay(), [this, i, generation, e] {
            deliver(i, generation, append_acknowledged{e.lane, e.batch});
        });
    });
}

void virtual_fleet::perform(int i, const write_snapshot& e) {
    const bool succeeded = !log_down_;
    if (succeeded && e.next_offset >= snapshot_offset_) {
        snapshot_ = e.text;
        snapshot_offset_ = e.next_offset;
    }
    at(now_ + delay(), [this, i, g = nodes_[i].generation, succeeded] {
        deliver(i, g, snapshot_written{succeeded});
    });
}

void virtual_fleet::perform(int i, const read_host_list&) {
    host_list_read listed;
    for (const auto& [name, w] : workers_) {
        listed.hosts.push_back({name, "10.1.0.1:1", "live"});
    }
    at(now_ + delay(), [this, i, g = nodes_[i].generation, listed] { deliver(i, g, listed); });
}

void virtual_fleet::call_worker(int i, const std::string& host, bool was_poll,
                                std::function<bool(fake_worker&)> action) {
    const int generation = nodes_[i].generation;
    auto answered = std::make_shared<bool>(false);
    transmit([this, i, generation, host, was_poll, action, answered] {
        worker_node& w = workers_.at(host);
        if (!w.reachable || !action(*w.worker)) {
            return;
        }
        transmit([this, i, generation, host, was_poll, answered, report = w.worker->report()] {
            const bool first = !std::exchange(*answered, true);
            deliver(i, generation, worker_answered{host, report, was_poll && first});
        });
    });
    at(now_ + call_timeout_ms, [this, i, generation, host, was_poll, answered] {
        if (!std::exchange(*answered, true)) {
            deliver(i, generation, worker_failed{host, was_poll});
        }
    });
}

void virtual_fleet::perform(int i, const poll_worker& e) {
    // Emulates a long poll: repeats until the worker's version changes or the wait ends.
    const int generation = nodes_[i].generation;
    const worker_node& w = workers_.at(e.host);
    const bool wait = w.reachable && e.wait_ms > 0 && e.seen_version == w.worker->version();
    if (wait) {
        poll_worker later = e;
        later.wait_ms = std::max<time_ms>(e.wait_ms - worker_tick_ms, 0);
        workers_.at(e.host).worker->renew_lease(now_, e.lease_ms);
        at(now_ + worker_tick_ms, [this, i, generation, later] {
            if (nodes_[i].running && nodes_[i].generation == generation) {
                perform(i, later);
            }
        });
        return;
    }
    call_worker(i, e.host, true, [this, lease = e.lease_ms](fake_worker& worker) {
        worker.renew_lease(now_, lease);
        return true;
    });
}

void virtual_fleet::perform(int i, const send_order& e) {
    call_worker(i, e.host, false, [this, order = e.order](fake_worker& worker) {
        return worker.handle_order(order, now_) == order_result::accepted;
    });
}

void virtual_fleet::perform(int, const request_power&) {}

void virtual_fleet::perform(int i, const announce& e) {
    for (int other = 0; other < instance_count(); ++other) {
        const int generation = nodes_[other].generation;
        if (other != i && !peers_cut_) {
            transmit([this, other, generation, m = e.message] {
                deliver(other, generation, peer_message_received{m});
            });
        }
    }
}

void virtual_fleet::perform(int, const reply& e) {
    replies_[e.token] = e;
}

void virtual_fleet::perform(int i, const exit_process&) {
    crash_instance(i);
}

} // namespace fulmarworks
