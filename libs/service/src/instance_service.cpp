#include "service/instance_service.h"

#include "adapters/log_client.h"
#include "adapters/peer_link.h"
#include "api_router.h"
#include "base/log_line.h"
#include "http/client_memory.h"
#include "http/http_client.h"
#include "service/metrics.h"

namespace fulmarworks {

namespace {

constexpr time_ms tick_interval_ms = 50;
constexpr time_ms log_poll_wait_ms = 1000;
constexpr time_ms limit_log_interval_ms = 1000;
constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

event_time current_time() {
    return {monotonic_now(), wall_now()};
}

} // namespace

struct instance_service::impl {
    event_loop& loop;
    service_settings settings;
    http_client client;
    log_client log;
    worker_client workers;
    std::unique_ptr<http_server> server;
    std::unique_ptr<peer_link> peers;
    instance_state state;
    time_ms next_wakeup_at = 0;
    std::shared_ptr<client_memory> memory;
    /** How often each limit was applied to a client: so far, and since the last log line. */
    std::map<std::string, std::uint64_t> limit_counts;
    std::map<std::string, std::uint64_t> unlogged_limits;
    std::uint64_t rejected_peers_seen = 0;

    impl(event_loop& l, const service_settings& s)
        : loop(l), settings(s), client(l), log(client, s.log_address, s.log_stream),
          workers(client, s.host_list_address),
          memory(std::make_shared<client_memory>(s.resources.client_memory_mb * bytes_per_mb)) {}

    void handle(const event& e) {
        effect_list effects;
        reduce(state, current_time(), e, effects);
        perform_all(effects);
        schedule_appends();
    }

    void perform_all(const effect_list& effects) {
        for (const auto& e : effects) {
            std::visit([this](const auto& body) { perform(body); }, e);
        }
    }

    /** Schedules `appends_due` for when a lane may append again instead of waiting for a tick. */
    void schedule_appends() {
        const time_ms now = monotonic_now();
        for (const auto* lane : {&state.urgent, &state.bulk}) {
            const bool has_pending =
                !lane->awaiting_answer && (!lane->queue.empty() || !lane->in_flight.empty());
            if (!has_pending || (next_wakeup_at > now && next_wakeup_at <= lane->next_append_at)) {
                continue;
            }
            next_wakeup_at = std::max(lane->next_append_at, now + 1);
            loop.after(next_wakeup_at - now, [this] { handle(appends_due{}); });
        }
    }

    void perform(const load_snapshot&) {
        log.load_snapshot([this](const stored_snapshot& s) {
            if (s.answered) {
                handle(snapshot_loaded{s.text});
            } else {
                handle(snapshot_load_failed{});
            }
        });
    }

    void perform(const read_log& e) {
        const time_ms delay = e.not_before - monotonic_now();
        if (delay > 0) {
            loop.after(delay, [this, from = e.from] { read(from); });
        } else {
            read(e.from);
        }
    }

    void read(std::uint64_t from) {
        log.read(from, log_poll_wait_ms, [this](const log_page& page) {
            switch (page.status) {
            case log_status::ok:
                handle(log_records{page.first_offset, page.records, page.tail});
                return;
            case log_status::trimmed: handle(log_trimmed{}); return;
            case log_status::unknown: handle(log_read_failed{}); return;
            }
        });
    }

    void perform(const append_batch& e) {
        const time_ms timeout = settings.instance.limits.append_timeout_ms;
        log.append(e.texts, timeout, [this, lane = e.lane, batch = e.batch](log_status status) {
            if (status == log_status::ok) {
                handle(append_acknowledged{lane, batch});
            } else {
                handle(append_outcome_unknown{lane, batch});
            }
        });
    }

    void perform(const write_snapshot& e) {
        log_line(log_level::info, "snapshot_started")
            .field("offset", static_cast<long long>(e.next_offset))
            .field("bytes", static_cast<long long>(e.text.size()));
        log.write_snapshot(e.next_offset, e.text,
                           [this](bool succeeded) { handle(snapshot_written{succeeded}); });
    }

    void perform(const read_host_list&) {
        workers.list_hosts([this](const std::optional<std::vector<host_entry>>& hosts) {
            if (hosts) {
                handle(host_list_read{*hosts});
            }
        });
    }

    void handle_poll(const std::string& host, worker_client::poll_status status,
                     const worker_report& report) {
        const bool is_expected_host = report.host == host;
        if (status == worker_client::poll_status::unchanged) {
            handle(worker_unchanged{host});
        } else if (status == worker_client::poll_status::changed && is_expected_host) {
            handle(worker_answered{host, report, true});
        } else {
            handle(worker_failed{host, true});
        }
    }

    void perform(const poll_worker& e) {
        workers.poll(
            e.address, e.seen_version, e.wait_ms, e.lease_ms,
            [this, host = e.host](worker_client::poll_status status, const worker_report& report) {
                handle_poll(host, status, report);
            });
    }

    void perform(const send_order& e) {
        log_line(log_level::info, "order_sent")
            .field("host", e.host)
            .field("operation", to_string(e.order.operation))
            .field("job", e.order.job)
            .field("member", e.order.member)
            .field("attempt", e.order.attempt);
        workers.send(e.address, e.order,
                     [this, host = e.host](const std::optional<worker_report>& report) {
                         if (report && report->host == host) {
                             handle(worker_answered{host, *report, false});
                         } else {
                             handle(worker_failed{host, false});
                         }
                     });
    }

    void perform(const request_power& e) {
        log_line(log_level::info, "power_requested").field("host", e.host).field("on", e.on);
        workers.request_power(e.host, e.on);
    }

    void perform(const announce& e) {
        peers->follow(e.peers);
        peers->publish(e.message);
    }

    void perform(const reply& e) {
        std::string body = e.body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
        server->respond(e.token, {e.status, std::move(body), "application/json", e.retry_after_ms});
    }

    void perform(const exit_process&) {
        log_line(log_level::info, "instance_stopped").field("name", settings.instance.name);
        // Leaves time to flush the last responses from the socket buffers.
        constexpr time_ms flush_ms = 50;
        loop.after(flush_ms, [this] { loop.stop(); });
    }

    result<bool> listen() {
        auto built =
            http_server::Builder()
                .address(settings.instance.api_address)
                .max_body_bytes(settings.instance.limits.max_body_bytes)
                .max_head_bytes(settings.resources.max_head_bytes)
                .transfer_timeout_ms(settings.resources.transfer_timeout_ms)
                .max_connections(settings.resources.max_connections)
                .max_open_requests(settings.resources.max_connections)
                .memory(memory)
                .on_limit([this](client_limit limit) { record(std::string(name_of(limit))); })
                .on_request([this](const http_request& r, std::uint64_t token) { route(r, token); })
                .on_gone([this](std::uint64_t token) { handle(caller_disconnected{token}); })
                .build(loop);
        if (!built) {
            return built.error();
        }
        server = std::move(built.value());
        auto linked = peer_link::listen(
            loop, settings.instance.peer_address, settings.resources.max_peer_connections,
            [this](const peer_message& m) { handle(peer_message_received{m}); });
        if (!linked) {
            return linked.error();
        }
        peers = std::move(linked.value());
        return true;
    }

    void record(const std::string& limit, std::uint64_t count = 1) {
        limit_counts[limit] += count;
        unlogged_limits[limit] += count;
    }

    /** Logs how often limits were applied to clients since the last time. */
    void log_limits() {
        const std::uint64_t rejected_peers = peers->rejected_connections();
        if (rejected_peers > rejected_peers_seen) {
            record("peer_connections", rejected_peers - rejected_peers_seen);
            rejected_peers_seen = rejected_peers;
        }
        for (const auto& [limit, count] : unlogged_limits) {
            log_line(log_level::warning, "client_limit")
                .field("limit", limit)
                .field("count", static_cast<long long>(count))
                .field("client_memory", static_cast<long long>(memory->used_bytes()));
        }
        unlogged_limits.clear();
    }

    [[nodiscard]] process_counts counts() const {
        return {client.traffic().total_bytes(), memory->used_bytes(), server->open_connections(),
                limit_counts};
    }

    void route(const http_request& r, std::uint64_t token) {
        router_context c = {state,
                            *server,
                            workers,
                            [this](const event& e) { handle(e); },
                            [this] { return render_metrics(state, counts()); },
                            [this](time_ms delay_ms, std::function<void()> action) {
                                loop.after(delay_ms, std::move(action));
                            }};
        route_request(c, r, token);
    }
};

result<std::unique_ptr<instance_service>>
instance_service::start(event_loop& loop, const service_settings& settings) {
    auto i = std::make_unique<impl>(loop, settings);
    const auto listening = i->listen();
    if (!listening) {
        return listening.error();
    }
    instance_settings own = settings.instance;
    own.incarnation = static_cast<std::uint64_t>(wall_now());
    effect_list effects;
    i->state = start_instance(own, current_time(), effects);
    i->perform_all(effects);
    impl* raw = i.get();
    loop.every(tick_interval_ms, [raw] { raw->handle(tick{}); });
    loop.every(limit_log_interval_ms, [raw] { raw->log_limits(); });
    log_line(log_level::info, "instance_started")
        .field("name", own.name)
        .field("incarnation", static_cast<long long>(own.incarnation))
        .field("api_address", own.api_address);
    return std::unique_ptr<instance_service>(new instance_service(std::move(i)));
}

instance_service::instance_service(std::unique_ptr<impl> i) : impl_(std::move(i)) {}

instance_service::~instance_service() = default;

void instance_service::shut_down() {
    log_line(log_level::info, "shutdown_requested").field("name", impl_->settings.instance.name);
    impl_->server->stop_listening();
    impl_->handle(shutdown_requested{});
}

} // namespace fulmarworks
