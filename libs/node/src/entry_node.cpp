#include "node/entry_node.h"

#include "callback_owner.h"
#include "caller_api.h"
#include "client_ports.h"
#include "configuration_view.h"
#include "leader.h"
#include "leader_elector.h"
#include "loop_monitor.h"
#include "member_list.h"
#include "operator_requests.h"
#include "peers.h"
#include "platform/headers.h"
#include "start_relay.h"
#include "stop_schedule.h"
#include "sustained_delay.h"
#include "traffic_report.h"
#include "worker_speed_metrics.h"

#include <algorithm>

namespace fulmarworks::node {

namespace {

/** Interval of the periodic work of an entry host. */
constexpr time_ms tick_ms = 25;
/** Partitions over which submissions are spread, if the store allows as many: with these, a store
 * whose appends take 50 ms accepts 160 jobs a second. */
constexpr std::uint32_t max_submission_partitions = 8;
/** Number of hosts that take a vacant lease first: enough for the loss of several failure domains.
 */
constexpr std::size_t max_candidates = 24;
/** Memory for the payloads of the jobs that this host accepted last. */
constexpr std::size_t max_payload_cache_bytes = std::size_t{1} << 20;
/** Interval between log lines with the traffic of a leader. */
constexpr time_ms traffic_log_interval_ms = 10'000;
/** Delay of the event loop from which a line is logged. */
constexpr time_ms logged_loop_delay_ms = 200;

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
/** Less memory of all jobs isn't reported, to keep the records of the lease small. */
constexpr std::size_t min_reported_backlog_bytes = bytes_per_mb;

constexpr const char* metrics_content_type = "text/plain; version=0.0.4";

} // namespace

struct entry_node::impl : callback_owner<impl> {
    event_loop& loop;
    node_settings settings;
    decision_log log;
    metrics counters;
    http_client http;
    platform::store_client store;
    client_ports ports;
    job_admission jobs_admitted;
    time_ms backlog_measured_at_ms = 0;

    std::unique_ptr<configuration_view> operator_view;
    std::unique_ptr<leader_elector> elector;
    std::unique_ptr<peers> peer_hosts;
    std::unique_ptr<member_list> members;
    payload_cache payloads{max_payload_cache_bytes};
    std::unique_ptr<start_relay> relay;
    std::unique_ptr<leader> term;
    std::unique_ptr<caller_api> api;
    std::unique_ptr<http_server> caller_server;
    std::unique_ptr<http_server> readiness_server;
    std::unique_ptr<http_server> internal_server;

    loop_monitor monitor{tick_ms};
    /** Delays of the loop in this host's term. */
    sustained_delay term_delay;
    bool store_reachable = true;
    /** Whether calls were refused for want of a confirmed configuration at the last tick. */
    bool configuration_expired = false;
    bool stopping = false;
    stop_schedule stop;

    impl(event_loop& l, const node_settings& s)
        : loop(l), settings(s), log(s.name), http(l),
          store(http, s.store_address, std::min(s.store_partitions, max_submission_partitions)),
          ports(s.resources, log, counters),
          jobs_admitted(s.resources.job_memory_mb * bytes_per_mb) {}

    result<void> open(http_server::Builder& builder, std::unique_ptr<http_server>& server) {
        auto built = builder.build(loop);
        if (!built) {
            return built.error();
        }
        server = std::move(built.value());
        return boost::outcome_v2::success();
    }

    result<void> listen() {
        auto callers = ports.builder(client_port::callers);
        callers.address(settings.caller_address)
            .header(platform::host_header)
            .header(platform::api_key_header)
            .header(platform::caller_timeout_header)
            .on_request([this](const http_request& request, std::uint64_t token) {
                api->handle(request, [this, token](const http_response& r) {
                    caller_server->respond(token, r);
                });
            });
        auto probes = ports.builder(client_port::readiness);
        probes.address(settings.readiness_address)
            .on_request([this](const http_request&, std::uint64_t token) {
                http_response response;
                response.status = ready() ? 200 : 503;
                readiness_server->respond(token, response);
            });
        auto hosts = ports.builder(client_port::internal);
        hosts.address(settings.internal_address())
            .on_request([this](const http_request& request, std::uint64_t token) {
                handle_internal(request, token);
            });
        if (auto opened = open(callers, caller_server); !opened) {
            return opened;
        }
        if (auto opened = open(probes, readiness_server); !opened) {
            return opened;
        }
        return open(hosts, internal_server);
    }

    void start() {
        peer_hosts = std::make_unique<peers>(peer_context{
            loop, http, store, log, counters, settings.internal_address(),
            [this](std::uint64_t known) { return own_view(known); },
            [this](const store_view& view, time_ms sent_at) { apply_view(view, sent_at); },
            [this] { return operator_view->version(); }});
        relay = std::make_unique<start_relay>(http, payloads, counters,
                                              settings.resources.max_relayed_starts);
        api = std::make_unique<caller_api>(caller_context{
            loop, http, store, log, counters, [this] { return valid_configuration(); },
            settings.internal_address(), payloads, *peer_hosts, [this] { return term.get(); },
            [this] { return leader_address(elector->state()); }, [this] { elector->refresh(); },
            settings.resources.max_open_calls,
            [this](const scheduler::job_spec& spec) {
                return jobs_admitted.decide(newest_backlog(elector->state()), spec.account,
                                            estimate_memory(spec), monotonic_now());
            }});
        operator_view = std::make_unique<configuration_view>(configuration_view_context{
            loop, store, log, [this] { update_requests(); }, [this] { update_requests(); },
            [this](bool ok) { update_store_reachable(ok); }});
        elector = std::make_unique<leader_elector>(leader_elector_context{
            loop, store, log, settings.name, settings.internal_address(),
            [this] {
                return peer_hosts->hosts_before(settings.internal_address(), settings.cpu_share) <
                       max_candidates;
            },
            [this] { update_term(); }});
        members = std::make_unique<member_list>(member_list_context{
            loop, store, log, *peer_hosts, settings.internal_address(), settings.cpu_share});
        run_after(loop, tick_ms, [](impl& i) { i.tick(); });
        run_after(loop, traffic_log_interval_ms, [](impl& i) { i.log_traffic(); });
    }

    /** Returns the configuration, or null if another host may already have a newer one in force. */
    std::shared_ptr<const gateway::configuration> valid_configuration() const {
        return operator_view->in_force(settings.configuration_bound_ms);
    }

    /** Returns this host's view of the store, for peers that cannot read it. */
    std::optional<store_view> own_view(std::uint64_t known_version) const {
        auto view = operator_view->view_for_peer(known_version);
        if (view && elector->state().newest_record) {
            view->lease = elector->state().newest_record;
            view->lease_offset = elector->state().newest_offset;
        }
        return view;
    }

    void apply_view(const store_view& view, time_ms sent_at) {
        operator_view->apply_peer_view(view, sent_at);
        if (view.lease) {
            elector->apply_record(view.lease_offset, *view.lease);
        }
    }

    bool ready() const { return !stopping && valid_configuration() != nullptr; }

    /** Logs the traffic of this host while it leads. */
    void log_traffic() {
        if (term) {
            node::log_traffic(http.traffic(), log);
        }
        run_after(loop, traffic_log_interval_ms, [](impl& i) { i.log_traffic(); });
    }

    void handle_internal(const http_request& request, std::uint64_t token) {
        if (request.path == "/metrics") {
            counters.set("leader", is_leader(elector->state()) ? 1 : 0);
            counters.set("store_calls", static_cast<double>(store.calls_sent()));
            counters.set("open_calls", static_cast<double>(api->open_calls()));
            counters.set("caller_connections",
                         static_cast<double>(caller_server->open_connections()));
            ports.export_memory();
            export_traffic(http.traffic(), counters);
            export_worker_speeds(term ? term->state() : nullptr, counters);
            http_response response;
            response.content_type = metrics_content_type;
            response.body = counters.serialize();
            internal_server->respond(token, response);
            return;
        }
        const auto respond = [this, token](http_response response) {
            internal_server->respond(token, std::move(response));
        };
        if (!peer_hosts->handle(request, respond) && !relay->handle(request, respond)) {
            api->handle_forwarded(request, respond);
        }
    }

    void update_store_reachable(bool ok) {
        if (ok != store_reachable) {
            store_reachable = ok;
            log.write(ok ? "store_regained" : "store_lost", "address=" + settings.store_address);
        }
    }

    void update_requests() {
        if (const auto& configuration = operator_view->newest()) {
            caller_server->set_max_body_bytes(std::min<std::uint64_t>(
                settings.resources.max_body_bytes, configuration->max_body_bytes));
        }
        if (term) {
            term->set_requests(make_operator_requests(*operator_view));
        }
    }

    /** Starts or ends this host's term after its leadership has changed. */
    void update_term() {
        if (is_leader(elector->state()) && !term && !stopping) {
            term = std::make_unique<leader>(
                leader_context{loop, http, store, log, counters, *peer_hosts, settings.link_mbps,
                               settings.limits,
                               [this](time_ms at) { return may_act(elector->state(), at); }},
                elector->state().epoch, elector->state().earlier_orders_until_ms,
                make_operator_requests(*operator_view), [this] { resign(elector->state()); });
            term_delay.reset(boottime_now());
        } else if (!is_leader(elector->state()) && term) {
            const leadership_state& lease = elector->state();
            log.write(
                "leader_stopped",
                "last_write_ms_ago=" + std::to_string(boottime_now() - lease.write_sent_at_ms) +
                    " slowest_write_ms=" + std::to_string(lease.slowest_response_ms) +
                    " loop_delay_ms=" + std::to_string(monitor.recent_delay_ms()));
            term.reset();
        }
    }

    /** Logs how late this process is and whether its configuration is confirmed. */
    void observe_delays() {
        const loop_delay last = monitor.tick();
        counters.observe_ms("loop_delay_ms", static_cast<double>(last.delay_ms));
        if (last.delay_ms >= logged_loop_delay_ms) {
            log.write("loop_delayed", "delay_ms=" + std::to_string(last.delay_ms) +
                                          " cpu_ms=" + std::to_string(last.cpu_ms) +
                                          " leader=" + std::to_string(term ? 1 : 0));
        }
        if (term && term_delay.add(boottime_now(), last.delay_ms)) {
            step_aside_for_abler_host();
        }
        const bool expired = operator_view->newest() && !valid_configuration();
        if (expired != configuration_expired) {
            configuration_expired = expired;
            log.write(expired ? "configuration_expired" : "configuration_confirmed",
                      "version=" + std::to_string(operator_view->version()) + " age_ms=" +
                          std::to_string(boottime_now() - operator_view->confirmed_at_ms()));
        }
    }

    void step_aside_for_abler_host() {
        const time_ms now = boottime_now();
        const double largest = peer_hosts->largest_cpu_share();
        if (!may_step_aside(elector->state(), now, settings.cpu_share, largest)) {
            return;
        }
        log.write("leader_steps_aside",
                  "cpu_share=" + std::to_string(settings.cpu_share) +
                      " largest_cpu_share=" + std::to_string(largest) +
                      " loop_delay_ms=" + std::to_string(monitor.recent_delay_ms()));
        step_aside(elector->state(), now);
    }

    /** Reports the memory of the jobs with the next record of the lease. */
    void report_backlog() {
        if (!term || term->state() == nullptr) {
            elector->state().own_backlog.reset();
        } else if (monotonic_now() - backlog_measured_at_ms >= leader_renewal_interval_ms) {
            backlog_measured_at_ms = monotonic_now();
            const auto memory = scheduler::measure_memory(*term->state());
            counters.set("job_memory_bytes", static_cast<double>(memory.total));
            elector->state().own_backlog = make_backlog(memory, min_reported_backlog_bytes);
        }
    }

    void send_due_lease_write() {
        report_backlog();
        elector->send_due_write(
            acquisition_delay(settings.cpu_share, peer_hosts->largest_cpu_share()));
    }

    void tick() {
        observe_delays();
        send_due_lease_write();
        update_term();
        if (store.unavailable()) {
            peer_hosts->refresh_view();
        }
        ports.log_applied_limits(monotonic_now());
        log.flush();
        if (stopping) {
            continue_stop();
        }
        run_after(loop, tick_ms, [](impl& i) { i.tick(); });
    }

    void continue_stop() {
        const bool idle = caller_server->open_requests() == 0 && !term;
        switch (next_step(stop, boottime_now(), settings.stop_grace_ms, idle)) {
        case stop_step::serve: return;
        case stop_step::answer_calls: api->close(); return;
        case stop_step::exit:
            log.write("node_stopped",
                      "open_requests=" + std::to_string(caller_server->open_requests()));
            log.flush();
            loop.stop();
        }
    }
};

entry_node::entry_node(std::shared_ptr<impl> i) : impl_(std::move(i)) {}

entry_node::~entry_node() {
    impl_->term.reset();
}

result<std::unique_ptr<entry_node>> entry_node::start(event_loop& loop,
                                                      const node_settings& settings) {
    auto i = std::make_shared<impl>(loop, settings);
    i->log.write("node_started", "address=" + settings.caller_address + " failure_domain=" +
                                     settings.failure_domain + " store=" + settings.store_address);
    const auto listening = i->listen();
    if (!listening) {
        return listening.error();
    }
    i->start();
    return std::unique_ptr<entry_node>(new entry_node(std::move(i)));
}

void entry_node::reload(const node_settings& settings) {
    impl_->settings.limits = settings.limits;
    impl_->settings.configuration_bound_ms = settings.configuration_bound_ms;
    impl_->log.write("settings_reloaded", "");
}

void entry_node::shut_down() {
    if (impl_->stopping) {
        return;
    }
    impl_->stopping = true;
    impl_->stop.started_at_ms = boottime_now();
    impl_->log.write("node_stopping",
                     "open_requests=" + std::to_string(impl_->caller_server->open_requests()));
    impl_->caller_server->drain();
    request_release(impl_->elector->state());
}

} // namespace fulmarworks::node
