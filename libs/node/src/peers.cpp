#include "peers.h"

#include "base/json.h"
#include "callback_owner.h"
#include "gateway/classify.h"
#include "timing.h"

#include <algorithm>
#include <functional>

namespace fulmarworks::node {

namespace {

constexpr std::string_view view_path = "/v1/peer/view";
constexpr std::string_view append_path = "/v1/peer/submission/";
constexpr time_ms view_timeout_ms = 400;
constexpr time_ms view_interval_ms = 250;
/** Time for which a peer that failed is chosen only if all peers have failed. */
constexpr time_ms failed_peer_backoff_ms = 3000;

/** Limits the age of a configuration, so that differences of times don't overflow. */
constexpr time_ms max_view_age_ms = 366 * 24 * milliseconds_per_hour;

json encode_view(store_view v) {
    json j = {{"version", v.configuration_version},
              {"configuration", std::move(v.configuration)},
              {"configuration_age_ms", v.configuration_age_ms}};
    if (v.lease) {
        j["lease"] = encode_lease(*v.lease);
        j["lease_offset"] = v.lease_offset;
    }
    return j;
}

std::optional<store_view> decode_view(const std::string& body) {
    const auto parsed = parse_json(body);
    if (!parsed || !parsed.value().is_object()) {
        return std::nullopt;
    }
    const json& j = parsed.value();
    try {
        store_view v;
        v.configuration_version = integer_from_json<std::uint64_t>(j.at("version"));
        v.configuration = j.at("configuration").get<std::string>();
        v.configuration_age_ms = integer_from_json<time_ms>(j.at("configuration_age_ms"));
        if (v.configuration_age_ms < 0 || v.configuration_age_ms > max_view_age_ms) {
            return std::nullopt; // a negative age would confirm the configuration ahead of time
        }
        if (j.contains("lease")) {
            const auto lease = decode_lease(j.at("lease").get<std::string>());
            if (!lease) {
                return std::nullopt;
            }
            v.lease = lease.value();
            v.lease_offset = integer_from_json<std::uint64_t>(j.at("lease_offset"));
        }
        return v;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

int status_of(platform::store_status outcome) {
    switch (outcome) {
    case platform::store_status::ok: return 200;
    case platform::store_status::no_answer: return 504;
    default: return 503;
    }
}

} // namespace

struct peers::impl : callback_owner<impl> {
    struct member {
        std::string address;
        double cpu_share = 0;
        time_ms failed_at = 0;
    };

    peer_context context;
    std::vector<member> members;
    double largest_cpu_share = 0;
    std::size_t next_member = 0;
    bool request_pending = false;
    time_ms requested_at = 0;

    explicit impl(peer_context c) : context(std::move(c)) {}

    [[nodiscard]] static bool recently_failed(const member& m, time_ms now_ms) {
        return m.failed_at != 0 && now_ms - m.failed_at <= failed_peer_backoff_ms;
    }

    /** Returns the next member, round robin, that has not failed recently. Returns the next of all
     * members if all have failed, and null if there are none. */
    member* choose_member() {
        const time_ms now = boottime_now();
        for (std::size_t i = 0; i < members.size(); ++i) {
            member& m = members[next_member++ % members.size()];
            if (!recently_failed(m, now)) {
                return &m;
            }
        }
        return members.empty() ? nullptr : &members[next_member++ % members.size()];
    }

    void mark_failed(const std::string& address) {
        for (auto& m : members) {
            if (m.address == address) {
                m.failed_at = boottime_now();
            }
        }
    }

    void request_view() {
        const time_ms now = boottime_now();
        if (request_pending || now - requested_at < view_interval_ms) {
            return;
        }
        const member* m = choose_member();
        if (m == nullptr) {
            return;
        }
        request_pending = true;
        requested_at = now;
        http_call call;
        call.address = m->address;
        call.target = std::string(view_path) + "?known=" + std::to_string(context.known_version());
        call.timeout_ms = view_timeout_ms;
        call.kind = "peer_view";
        context.http.send(call,
                          guarded([address = m->address, now](impl& i, const http_answer& answer) {
                              i.view_received(address, answer, now);
                          }));
    }

    void view_received(const std::string& address, const http_answer& answer, time_ms sent_at) {
        request_pending = false;
        if (answer.status != 200) {
            mark_failed(address);
            return;
        }
        if (const auto view = decode_view(answer.body)) {
            context.apply_view(*view, sent_at);
        }
    }

    void serve_view(const http_request& request,
                    const std::function<void(http_response)>& respond) const {
        const auto known = static_cast<std::uint64_t>(query_number(request.query, "known", 0));
        auto view = context.own_view(known);
        if (!view) {
            respond(empty_response(503));
            return;
        }
        http_response response;
        response.body = encode_view(std::move(*view)).dump();
        respond(std::move(response));
    }

    void serve_append(const std::string& id, const http_request& request,
                      const std::function<void(http_response)>& respond) const {
        if (!gateway::is_job_id(id)) {
            respond(empty_response(400));
            return;
        }
        if (context.store.unavailable()) {
            respond(empty_response(status_of(platform::store_status::refused)));
            return;
        }
        platform::append_request append;
        append.log_topic = platform::topic::submissions;
        append.partition = context.store.submission_partition(id);
        append.records = {{id, request.body}};
        append.timeout_ms = submission_timeout_ms;
        context.store.append(append, [respond](const platform::append_outcome& outcome) {
            respond(empty_response(status_of(outcome.status)));
        });
    }
};

peers::peers(peer_context context) : impl_(std::make_shared<impl>(std::move(context))) {}

peers::~peers() = default;

double peers::largest_cpu_share() const {
    return impl_->largest_cpu_share;
}

std::size_t peers::hosts_before(const std::string& address, double cpu_share) const {
    const auto& members = impl_->members;
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const auto& m) {
            return m.cpu_share > cpu_share || (m.cpu_share == cpu_share && m.address < address);
        }));
}

void peers::add_member(const std::string& address, double cpu_share) {
    impl_->largest_cpu_share = std::max(impl_->largest_cpu_share, cpu_share);
    const bool known = std::any_of(impl_->members.begin(), impl_->members.end(),
                                   [&](const auto& m) { return m.address == address; });
    if (!known && address != impl_->context.own_address && parse_address(address)) {
        impl_->members.push_back({address, cpu_share, 0});
    }
}

void peers::refresh_view() {
    impl_->request_view();
}

void peers::append_submission(const std::string& id, const std::string& record,
                              std::function<void(platform::store_status)> done) {
    const auto* m = impl_->choose_member();
    if (m == nullptr) {
        done(platform::store_status::refused);
        return;
    }
    http_call call;
    call.method = "POST";
    call.address = m->address;
    call.target = std::string(append_path) + id;
    call.body = record;
    call.timeout_ms = submission_timeout_ms;
    call.kind = "peer_submission";
    impl_->context.counters.count("peer_appends_total", "kind", "submission");
    impl_->context.http.send(call, [weak_self = std::weak_ptr<impl>(impl_), address = m->address,
                                    done = std::move(done)](const http_answer& answer) {
        const auto self = weak_self.lock();
        if (self && answer.status != 200) {
            self->mark_failed(address);
        }
        switch (answer.status) {
        case 200: done(platform::store_status::ok); return;
        case 503: done(platform::store_status::refused); return;
        default: done(platform::store_status::no_answer); return;
        }
    });
}

bool peers::usable(const std::string& address) const {
    const time_ms now = boottime_now();
    return std::any_of(impl_->members.begin(), impl_->members.end(), [&](const auto& m) {
        return m.address == address && !impl::recently_failed(m, now);
    });
}

std::string peers::choose_for(std::string_view key) const {
    const time_ms now = boottime_now();
    const auto& members = impl_->members;
    const std::size_t first = std::hash<std::string_view>{}(key);
    for (std::size_t i = 0; i < members.size(); ++i) {
        const auto& m = members[(first + i) % members.size()];
        if (!impl::recently_failed(m, now)) {
            return m.address;
        }
    }
    return "";
}

void peers::mark_failed(const std::string& address) {
    impl_->mark_failed(address);
}

bool peers::handle(const http_request& request, const std::function<void(http_response)>& respond) {
    if (request.path == view_path) {
        impl_->serve_view(request, respond);
        return true;
    }
    if (const auto id = path_argument(request, append_path)) {
        impl_->serve_append(*id, request, respond);
        return true;
    }
    return false;
}

} // namespace fulmarworks::node
