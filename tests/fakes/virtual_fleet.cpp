#include "virtual_fleet.h"

#include "ledger/snapshot.h"
#include "model/configuration_document.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr time_ms tick_interval_ms = 50;
constexpr time_ms worker_tick_ms = 10;
constexpr time_ms wall_offset_ms = 1'700'000'000'000;

instance_settings settings_for(int i, std::uint64_t incarnation) {
    instance_settings s;
    s.name = "instance-" + std::to_string(i);
    s.incarnation = incarnation;
    s.api_address = "10.0.0." + std::to_string(i) + ":80";
    s.peer_address = "10.0.0." + std::to_string(i) + ":81";
    return s;
}

} // namespace

virtual_fleet::virtual_fleet(std::uint32_t seed, int instances, std::string config_document)
    : random_(seed), config_document_(std::move(config_document)) {
    std::vector<configuration_fault> faults;
    const configuration config = evaluate_document({}, config_document_, faults);
    for (const auto& pool : config.host_pools) {
        for (const auto& r : pool.racks) {
            for (int h = 0; h < r.hosts; ++h) {
                const std::string name = host_name(r.name, h);
                workers_[name].worker = std::make_unique<fake_worker>(name, 1, history_);
            }
        }
    }
    nodes_.resize(instances);
    for (int i = 0; i < instances; ++i) {
        restart_instance(i);
    }
    at(0, [this] { tick_workers(); });
}

void virtual_fleet::at(time_ms when, std::function<void()> action) {
    events_.push({when, next_sequence_++, std::move(action)});
}

time_ms virtual_fleet::delay() {
    return std::uniform_int_distribution<time_ms>(rates_.min_delay_ms,
                                                  rates_.max_delay_ms)(random_);
}

bool virtual_fleet::chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

void virtual_fleet::transmit(std::function<void()> action) {
    if (chance(rates_.loss)) {
        return;
    }
    if (chance(rates_.duplication)) {
        at(now_ + delay(), action);
    }
    at(now_ + delay(), std::move(action));
}

void virtual_fleet::run_for(time_ms duration_ms) {
    run_until([] { return false; }, duration_ms);
}

bool virtual_fleet::run_until(const std::function<bool()>& condition, time_ms limit_ms) {
    const time_ms end = now_ + limit_ms;
    while (!condition()) {
        if (events_.empty() || events_.top().at > end) {
            now_ = end;
            return condition();
        }
        const scheduled_event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    return true;
}

void virtual_fleet::deliver(int i, int generation, event e) {
    node& n = nodes_[i];
    if (!n.running || n.generation != generation) {
        return;
    }
    if (n.paused) {
        n.queued_events.push_back(std::move(e));
    } else {
        handle(i, e);
    }
}

void virtual_fleet::handle(int i, const event& e) {
    effect_list effects;
    reduce(nodes_[i].state, {now_, now_ + wall_offset_ms}, e, effects);
    for (const auto& next_effect : effects) {
        std::visit([&](const auto& body) { perform(i, body); }, next_effect);
    }
}

void virtual_fleet::tick_instance(int i, int generation) {
    if (!nodes_[i].running || nodes_[i].generation != generation) {
        return;
    }
    if (!nodes_[i].paused) {
        handle(i, tick{});
    }
    at(now_ + tick_interval_ms, [this, i, generation] { tick_instance(i, generation); });
}

void virtual_fleet::tick_workers() {
    for (auto& [name, w] : workers_) {
        w.worker->advance(now_);
    }
    at(now_ + worker_tick_ms, [this] { tick_workers(); });
}

void virtual_fleet::crash_instance(int i) {
    nodes_[i].running = false;
    ++nodes_[i].generation;
    nodes_[i].queued_events.clear();
}

void virtual_fleet::restart_instance(int i) {
    node& n = nodes_[i];
    n.running = true;
    n.paused = false;
    ++n.generation;
    effect_list effects;
    n.state = start_instance(settings_for(i, next_incarnation_++), {now_, now_ + wall_offset_ms},
                             effects);
    for (const auto& e : effects) {
        std::visit([&](const auto& body) { perform(i, body); }, e);
    }
    at(now_, [this, i, g = n.generation] { tick_instance(i, g); });
}

void virtual_fleet::pause_instance(int i, bool paused) {
    node& n = nodes_[i];
    n.paused = paused;
    if (paused) {
        return;
    }
    const auto queued = std::move(n.queued_events);
    n.queued_events.clear();
    for (const auto& e : queued) {
        deliver(i, n.generation, e);
    }
}

void virtual_fleet::shut_down_instance(int i) {
    deliver(i, nodes_[i].generation, shutdown_requested{});
}

void virtual_fleet::restart_worker(const std::string& host) {
    fake_worker& w = *workers_.at(host).worker;
    w.restart(w.incarnation() + 1, now_);
}

void virtual_fleet::set_worker_reachable(const std::string& host, bool reachable) {
    workers_.at(host).reachable = reachable;
}

std::vector<std::string> virtual_fleet::hosts() const {
    std::vector<std::string> names;
    for (const auto& [name, w] : workers_) {
        names.push_back(name);
    }
    return names;
}

bool virtual_fleet::set_up() {
    const bool joined = run_until([&] { return is_ready(nodes_[0].state); }, 20000);
    const caller_token token = publish(0, "first", 0, config_document_);
    const bool published = run_until([&] { return replies_.contains(token); }, 10000);
    const auto all_up = [&] {
        return std::all_of(nodes_.begin(), nodes_.end(), [&](const node& n) {
            const auto known = n.state.ledger.hosts.hosts();
            return is_ready(n.state) && known.size() == workers_.size() &&
                   std::all_of(known.begin(), known.end(),
                               [](const host& h) { return h.status == host_status::up; });
        });
    };
    return joined && published && run_until(all_up, 20000);
}

caller_token virtual_fleet::submit(int i, job_request request, time_ms wait_ms) {
    const caller_token token = next_token_++;
    request.issued_at = request.issued_at == 0 ? now_ + wall_offset_ms : request.issued_at;
    deliver(i, nodes_[i].generation, caller_submitted{token, std::move(request), wait_ms});
    return token;
}

caller_token virtual_fleet::cancel(int i, const std::string& job_id) {
    const caller_token token = next_token_++;
    deliver(i, nodes_[i].generation, caller_cancelled{token, job_id});
    return token;
}

caller_token virtual_fleet::publish(int i, const std::string& id, std::uint64_t based_on,
                                    const std::string& document) {
    const caller_token token = next_token_++;
    deliver(i, nodes_[i].generation, caller_published{token, id, based_on, document});
    return token;
}

ledger_state virtual_fleet::fold_log() const {
    ledger_state s;
    if (log_first_ > 0) {
        s = decode_snapshot(snapshot_).value();
    }
    for (std::uint64_t offset = s.next_offset; offset < log_first_ + log_.size(); ++offset) {
        apply(s, offset, decode_record(log_[offset - log_first_]).value());
    }
    return s;
}

void virtual_fleet::trim_log(std::size_t keep) {
    const std::uint64_t tail = log_first_ + log_.size();
    const std::uint64_t first = std::min<std::uint64_t>(
        std::max(log_first_, tail - std::min<std::uint64_t>(keep, tail)), snapshot_offset_);
    log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(first - log_first_));
    log_first_ = first;
}

} // namespace fulmarworks
