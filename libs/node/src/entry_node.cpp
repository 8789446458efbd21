#include "node/entry_node.h"

#include "callback_owner.h"
#include "caller_api.h"
#include "leader.h"
#include "lease_keeper.h"
#include "peers.h"
#include "platform/documents.h"
#include "platform/headers.h"
#include "topic_follower.h"

namespace fulmarworks::node {

namespace {

constexpr time_ms tick_ms = 25;
/** Wait of a read for the operator's documents; a third of the time to take a change over. */
constexpr time_ms operator_wait_ms = 650;
/** Interval in which hosts look for new ones. */
constexpr time_ms member_interval_ms = 3000;
/** Wait of a host without any processor of its own; the leader's work needs a strong one. */
constexpr time_ms weakest_wait_ms = 400;
/** Part of the configuration bound that is left for the way of a request. */
constexpr time_ms configuration_margin_ms = 150;
/** Time for which a stopping host still takes connections, until its balancer has noticed. */
constexpr time_ms lame_duck_ms = 2300;
/** Part of the grace period that is left for the exit itself. */
constexpr time_ms exit_margin_ms = 700;

constexpr const char* plain_text = "text/plain; version=0.0.4";

} // namespace

struct entry_node::impl : callback_owner<impl> {
    event_loop& loop;
    node_settings settings;
    decision_log log;
    metrics counters;
    http_client http;
    platform::store_client store;

    std::shared_ptr<const gateway::configuration> configuration;
    /** The configuration as the operator wrote it, for peers. */
    std::string configuration_text;
    /** Time (boottime) as of which a peer confirmed the configuration. */
    time_ms peer_confirmed_at = 0;
    std::unique_ptr<topic_follower> documents;
    std::unique_ptr<lease_keeper> lease;
    std::unique_ptr<topic_follower> members;
    std::unique_ptr<peers> others;
    std::unique_ptr<leader> term;
    std::unique_ptr<caller_api> callers;
    std::unique_ptr<http_server> caller_server;
    std::unique_ptr<http_server> readiness_server;
    std::unique_ptr<http_server> internal_server;

    bool store_reachable = true;
    bool stopping = false;
    time_ms stop_began_at = 0;

    impl(event_loop& l, const node_settings& s)
        : loop(l), settings(s), log(s.name), http(l), store(http, s.store_address) {}

    result<void> listen() {
        auto caller = http_server::Builder()
                          .address(settings.caller_address)
                          .header(platform::host_header)
                          .header(platform::api_key_header)
                          .header(platform::caller_timeout_header)
                          .max_body_bytes(1024 * 1024)
                          .read_timeout_ms(60 * milliseconds_per_second)
                          .on_request([this](const http_request& request, std::uint64_t token) {
                              callers->handle(request, [this, token](const http_response& r) {
                                  caller_server->respond(token, r);
                              });
                          })
                          .build(loop);
        if (!caller) {
            return caller.error();
        }
        caller_server = std::move(caller.value());
        auto readiness = http_server::Builder()
                             .address(settings.readiness_address)
                             .read_timeout_ms(60 * milliseconds_per_second)
                             .on_request([this](const http_request&, std::uint64_t token) {
                                 http_response response;
                                 response.status = ready() ? 200 : 503;
                                 readiness_server->respond(token, response);
                             })
                             .build(loop);
        if (!readiness) {
            return readiness.error();
        }
        readiness_server = std::move(readiness.value());
        auto internal = http_server::Builder()
                            .address(settings.internal_address())
                            .read_timeout_ms(60 * milliseconds_per_second)
                            .on_request([this](const http_request& request, std::uint64_t token) {
                                handle_internal(request, token);
                            })
                            .build(loop);
        if (!internal) {
            return internal.error();
        }
        internal_server = std::move(internal.value());
        return boost::outcome_v2::success();
    }

    void begin() {
        others = std::make_unique<peers>(
            peer_context{loop, http, store, log, counters, settings.internal_address(),
                         [this](std::uint64_t known) { return own_view(known); },
                         [this](const store_view& view, time_ms sent_at) { adopt(view, sent_at); },
                         [this] { return configuration ? configuration->version : 0; }});
        callers = std::make_unique<caller_api>(caller_context{
            loop, http, store, log, counters, [this] { return in_force(); }, *others,
            [this] { return term.get(); }, [this] { return leader_address(lease->state()); }});
        follow_documents();
        lease = std::make_unique<lease_keeper>(lease_keeper_context{loop, store, log, settings.name,
                                                                    settings.internal_address(),
                                                                    [this] { update_term(); }});
        follow_members();
        register_member();
        later(loop, tick_ms, [](impl& i) { i.tick(); });
    }

    /** Returns the configuration, unless a newer one may be in force elsewhere already. */
    std::shared_ptr<const gateway::configuration> in_force() const {
        const time_ms oldest =
            boottime_now() - settings.configuration_bound_ms + configuration_margin_ms;
        return confirmed_at() >= oldest ? configuration : nullptr;
    }

    time_ms confirmed_at() const {
        return std::max(documents->confirmed_at_ms(), peer_confirmed_at);
    }

    /** Returns what a peer that can't read the store may go by. */
    std::optional<store_view> own_view(std::uint64_t known_version) const {
        if (!configuration || documents->confirmed_at_ms() == 0) {
            return std::nullopt;
        }
        const time_ms now = boottime_now();
        store_view view;
        view.configuration_version = configuration->version;
        view.configuration_age_ms = now - documents->confirmed_at_ms();
        if (configuration->version > known_version) {
            view.configuration = configuration_text;
        }
        if (lease->state().newest) {
            view.lease = lease->state().newest;
            view.lease_offset = lease->state().newest_offset;
        }
        return view;
    }

    void adopt(const store_view& view, time_ms sent_at) {
        if (!view.configuration.empty()) {
            configuration_read(view.configuration, "peer");
        }
        if (configuration && configuration->version >= view.configuration_version) {
            peer_confirmed_at = std::max(peer_confirmed_at, sent_at - view.configuration_age_ms);
        }
        if (view.lease) {
            lease->adopt(view.lease_offset, *view.lease);
        }
    }

    void follow_members() {
        follower_options options;
        options.where = platform::topic::members;
        options.wait_ms = 0;
        options.pause_ms = member_interval_ms;
        options.on_record = [this](const auto& record) { member_read(record); };
        members = std::make_unique<topic_follower>(loop, store, std::move(options));
    }

    void member_read(const platform::logged_record& record) {
        others->add_member(record.key, std::strtod(record.value.c_str(), nullptr));
    }

    /** Returns how much longer this host waits for a vacant lease than the strongest one. */
    time_ms weakness_ms() const {
        const double strongest = others->largest_cpu_share();
        if (strongest <= settings.cpu_share) {
            return 0;
        }
        return static_cast<time_ms>((strongest - settings.cpu_share) / strongest *
                                    static_cast<double>(weakest_wait_ms));
    }

    /** Writes this host's address and strength down, so that others can find it. */
    void register_member() {
        platform::append_request request;
        request.log_topic = platform::topic::members;
        request.records = {{settings.internal_address(), std::to_string(settings.cpu_share)}};
        store.append(request, guarded([](impl& i, const platform::append_outcome& outcome) {
                         if (outcome.status != platform::store_status::ok) {
                             i.later(i.loop, member_interval_ms,
                                     [](impl& again) { again.register_member(); });
                         }
                     }));
    }

    bool ready() const { return !stopping && in_force() != nullptr; }

    void handle_internal(const http_request& request, std::uint64_t token) {
        if (request.path == "/metrics") {
            counters.set("leader", is_leader(lease->state()) ? 1 : 0);
            counters.set("store_calls", static_cast<double>(store.calls_sent()));
            http_response response;
            response.content_type = plain_text;
            response.body = counters.serialize();
            internal_server->respond(token, response);
            return;
        }
        const auto respond = [this, token](const http_response& response) {
            internal_server->respond(token, response);
        };
        if (!others->handle(request, respond)) {
            callers->handle_forwarded(request, respond);
        }
    }

    void follow_documents() {
        follower_options options;
        options.where = platform::topic::operator_documents;
        options.wait_ms = operator_wait_ms;
        options.on_record = [this](const auto& record) { document_read(record); };
        options.on_read = [this](bool ok) { store_read(ok); };
        documents = std::make_unique<topic_follower>(loop, store, std::move(options));
    }

    void store_read(bool ok) {
        if (ok != store_reachable) {
            store_reachable = ok;
            log.write(ok ? "store_regained" : "store_lost", "address=" + settings.store_address);
        }
    }

    void document_read(const platform::logged_record& record) {
        if (record.key != platform::configuration_key || record.value.empty()) {
            return;
        }
        configuration_read(record.value, "store");
    }

    void configuration_read(const std::string& text, const char* source) {
        auto decoded = platform::decode_configuration(text);
        if (!decoded) {
            log.write("configuration_unreadable", std::string("source=") + source + " error=\"" +
                                                      describe(decoded.error()) + "\"");
            return;
        }
        if (configuration && decoded.value().version <= configuration->version) {
            return;
        }
        log.write("configuration_in_force",
                  "version=" + std::to_string(decoded.value().version) + " source=" + source +
                      " routes=" + std::to_string(decoded.value().routes.size()) +
                      " keys=" + std::to_string(decoded.value().account_by_key.size()));
        configuration = std::make_shared<const gateway::configuration>(std::move(decoded.value()));
        configuration_text = text;
        if (term) {
            term->set_guarantees(configuration->guarantees);
        }
    }

    scheduler::settings limits() const {
        scheduler::settings s = settings.limits;
        s.predecessor_grace_ms = leader_grace_ms;
        return s;
    }

    /** Starts or ends this host's term as its leadership came or went. */
    void update_term() {
        if (is_leader(lease->state()) && !term && !stopping) {
            term = std::make_unique<leader>(
                leader_context{loop, http, store, log, counters, limits(),
                               [this] { return may_act(lease->state(), boottime_now()); }},
                lease->state().epoch,
                lease->state().predecessor_ended ? scheduler::predecessor::ended
                                                 : scheduler::predecessor::may_be_alive,
                configuration ? configuration->guarantees : scheduler::guarantees{},
                [this] { resign(lease->state()); });
        } else if (!is_leader(lease->state()) && term) {
            log.write("leader_stopped", "");
            term.reset();
        }
    }

    void tick() {
        lease->advance(weakness_ms());
        update_term();
        if (store.unavailable()) {
            others->refresh_view();
        }
        log.flush();
        if (stopping) {
            continue_stopping();
        }
        later(loop, tick_ms, [](impl& i) { i.tick(); });
    }

    void continue_stopping() {
        const time_ms stopped_for = boottime_now() - stop_began_at;
        const bool idle = caller_server->open_requests() == 0 && !term;
        if ((idle && stopped_for >= lame_duck_ms) ||
            stopped_for >= settings.stop_grace_ms - exit_margin_ms) {
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
    i->begin();
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
    impl_->stop_began_at = boottime_now();
    impl_->log.write("node_stopping",
                     "open_requests=" + std::to_string(impl_->caller_server->open_requests()));
    impl_->caller_server->drain();
    request_release(impl_->lease->state());
}

} // namespace fulmarworks::node
