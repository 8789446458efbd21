#include "worker_links.h"

#include "append_queue.h"
#include "reconcile.h"

namespace fulmarworks {

namespace {

constexpr time_ms failed_poll_interval_ms = 500;
constexpr time_ms lost_poll_interval_ms = 2000;
constexpr time_ms report_retry_ms = 2000;
constexpr time_ms host_list_interval_ms = 1000;
constexpr time_ms power_retry_ms = 5000;
/** Margin after the end of a lease, when a silent worker's tasks are assumed to have stopped. */
constexpr time_ms lease_margin_ms = 2000;

const rack_owner& owner_of(const ledger_state& s, host_index h) {
    return s.rack_owners[s.hosts.hosts()[h].rack];
}

bool is_owned(const instance_state& s, host_index h) {
    return owner_of(s.ledger, h).instance == s.settings.name &&
           s.ledger.hosts.hosts()[h].status != host_status::removed;
}

void report_host(context& c, host_index h, worker_link& link, host_status status,
                 std::uint64_t incarnation) {
    if (!is_log_available(c.state)) {
        return;
    }
    const auto key = "host/" + std::string(to_string(status)) + "/" + std::to_string(incarnation);
    if (!begin_attempt_if_due(link.retry_at, key, c.state.now.monotonic, report_retry_ms)) {
        return;
    }
    enqueue_record(c, append_lane::urgent,
                   host_reported{c.state.ledger.hosts.hosts()[h].name, status, incarnation,
                                 owner_of(c.state.ledger, h).epoch});
}

bool is_polled(const ledger_state& s, host_index h) {
    return s.host_records[h].wanted_on || s.hosts.hosts()[h].status != host_status::off;
}

void poll_if_due(context& c, host_index h, worker_link& link) {
    instance_state& s = c.state;
    const bool due = !link.poll_outstanding && !link.address.empty() &&
                     s.now.monotonic >= link.next_poll_at && is_polled(s.ledger, h);
    if (!due) {
        return;
    }
    link.poll_outstanding = true;
    const instance_limits& limits = s.settings.limits;
    emit(c, poll_worker{s.ledger.hosts.hosts()[h].name, link.address,
                        link.has_report ? link.report.version : 0,
                        link.has_report ? limits.worker_poll_wait_ms : 0, limits.worker_lease_ms});
}

void report_unresponsive_host(context& c, host_index h, worker_link& link) {
    const host_status status = c.state.ledger.hosts.hosts()[h].status;
    const instance_limits& limits = c.state.settings.limits;
    const time_ms silent = c.state.now.monotonic - link.last_answer_at;
    const bool was_up = status == host_status::up || status == host_status::leaving;
    if (was_up && silent > limits.worker_timeout_ms) {
        report_host(c, h, link, host_status::suspect, 0);
    }
    if (status == host_status::suspect && silent > limits.worker_lease_ms + lease_margin_ms) {
        report_host(c, h, link, host_status::lost, 0);
    }
}

void switch_power(context& c, host_index h) {
    const host& state = c.state.ledger.hosts.hosts()[h];
    const bool wanted = c.state.ledger.host_records[h].wanted_on;
    const auto listed = c.state.host_list.find(state.name);
    if (!state.spare || listed == c.state.host_list.end()) {
        return;
    }
    const bool is_on = listed->second.state != "off";
    time_ms& retry_at = c.state.power_retry_at[h];
    if (wanted != is_on && c.state.now.monotonic >= retry_at) {
        retry_at = c.state.now.monotonic + power_retry_ms;
        emit(c, request_power{state.name, wanted});
    }
}

void report_host_if_changed(context& c, host_index h, worker_link& link) {
    const ledger_state& s = c.state.ledger;
    const host_status status = s.hosts.hosts()[h].status;
    const bool leaving = link.report.leaving || link.listed_leaving;
    const host_status seen = leaving ? host_status::leaving : host_status::up;
    const bool wanted = s.host_records[h].wanted_on;
    const bool restarted = s.host_records[h].incarnation != link.report.incarnation;
    if (wanted && (status != seen || restarted)) {
        report_host(c, h, link, seen, link.report.incarnation);
    }
}

} // namespace

void update_links(context& c) {
    instance_state& s = c.state;
    std::erase_if(s.workers, [&](const auto& entry) { return !is_owned(s, entry.first); });
    for (const auto& r : s.ledger.hosts.racks()) {
        for (const host_index h : r.hosts) {
            if (!is_owned(s, h)) {
                continue;
            }
            const auto [entry, is_new] = s.workers.try_emplace(h);
            if (is_new) {
                entry->second.last_answer_at = s.now.monotonic;
            }
            const auto listed = s.host_list.find(s.ledger.hosts.hosts()[h].name);
            if (listed != s.host_list.end()) {
                entry->second.address = listed->second.address;
                entry->second.listed_leaving = listed->second.state == "leaving";
            }
        }
    }
}

void check_workers(context& c) {
    instance_state& s = c.state;
    if (s.now.monotonic >= s.next_host_list_at) {
        s.next_host_list_at = s.now.monotonic + host_list_interval_ms;
        emit(c, read_host_list{});
    }
    if (s.phase != instance_phase::following || !is_caught_up(s)) {
        return;
    }
    for (auto& [h, link] : s.workers) {
        poll_if_due(c, h, link);
        report_unresponsive_host(c, h, link);
        switch_power(c, h);
        if (link.has_report && link.listed_leaving) {
            report_host_if_changed(c, h, link);
        }
        remove_expired_retries(link, s.now.monotonic);
    }
}

void handle_worker(context& c, const worker_answered& e) {
    const auto h = c.state.ledger.hosts.find_host(e.host);
    const auto found = h ? c.state.workers.find(*h) : c.state.workers.end();
    if (found == c.state.workers.end()) {
        return;
    }
    worker_link& link = found->second;
    if (e.was_poll) {
        link.poll_outstanding = false;
        link.next_poll_at = c.state.now.monotonic;
    }
    link.last_answer_at = c.state.now.monotonic;
    const bool is_older = link.has_report && e.report.incarnation == link.report.incarnation &&
                          e.report.version < link.report.version;
    if (is_older || (link.has_report && e.report.incarnation < link.report.incarnation)) {
        count(c, "crossed_worker_answer");
        return;
    }
    link.report = e.report;
    link.has_report = true;
    report_host_if_changed(c, *h, link);
    reconcile_host(c, *h);
}

void handle_worker(context& c, const worker_unchanged& e) {
    const auto h = c.state.ledger.hosts.find_host(e.host);
    const auto found = h ? c.state.workers.find(*h) : c.state.workers.end();
    if (found == c.state.workers.end()) {
        return;
    }
    worker_link& link = found->second;
    link.poll_outstanding = false;
    link.next_poll_at = c.state.now.monotonic;
    link.last_answer_at = c.state.now.monotonic;
    report_host_if_changed(c, *h, link);
    reconcile_host(c, *h);
}

void handle_worker(context& c, const worker_failed& e) {
    const auto h = c.state.ledger.hosts.find_host(e.host);
    const auto found = h ? c.state.workers.find(*h) : c.state.workers.end();
    if (found == c.state.workers.end() || !e.was_poll) {
        return;
    }
    count(c, "retry.worker_unreachable");
    const bool lost = c.state.ledger.hosts.hosts()[*h].status == host_status::lost;
    found->second.poll_outstanding = false;
    found->second.has_report = false;
    found->second.next_poll_at =
        c.state.now.monotonic + (lost ? lost_poll_interval_ms : failed_poll_interval_ms);
}

void handle_host_list(context& c, const host_list_read& e) {
    c.state.host_list.clear();
    for (const auto& entry : e.hosts) {
        c.state.host_list.emplace(entry.host, entry);
    }
    update_links(c);
}

} // namespace fulmarworks
