#include "fleet_standin.h"

namespace fulmarworks {

namespace {

/** Simulated startup time of a host. */
constexpr time_ms startup_ms = 300;

} // namespace

fleet_standin::fleet_standin(event_loop& loop) : loop_(loop) {}

result<bool> fleet_standin::listen(const configuration& config,
                                   const std::string& host_list_address, int first_port) {
    int port = first_port;
    for (const auto& pool : config.host_pools) {
        for (const auto& r : pool.racks) {
            for (int i = 0; i < r.hosts; ++i) {
                const std::string name = host_name(r.name, i);
                host_standin& m = hosts_[name];
                m.worker = std::make_unique<worker_standin>(loop_, name, history_);
                m.address = "127.0.0.1:" + std::to_string(port++);
                const auto listening = m.worker->listen(m.address);
                if (!listening) {
                    return listening.error();
                }
                if (i >= r.hosts - r.spare_hosts) {
                    m.state = "off";
                    m.worker->set_on(false);
                }
            }
        }
    }
    auto built = http_server::Builder()
                     .address(host_list_address)
                     .on_request([this](const auto& r, auto token) { handle(r, token); })
                     .build(loop_);
    if (!built) {
        return built.error();
    }
    server_ = std::move(built.value());
    return true;
}

void fleet_standin::handle(const http_request& r, std::uint64_t token) {
    const std::string prefix = "/v1/hosts/";
    const std::string suffix = "/power";
    if (r.path == "/v1/hosts") {
        send_host_list(token);
    } else if (r.path == "/control") {
        control(r, token);
    } else if (r.path == "/history") {
        server_->respond(token, {200, json(history_).dump()});
    } else if (r.path.rfind(prefix, 0) == 0 && r.path.size() > prefix.size() + suffix.size()) {
        const std::string host =
            r.path.substr(prefix.size(), r.path.size() - prefix.size() - suffix.size());
        const auto parsed = parse_json(r.body);
        set_power(host, parsed && parsed.value().value("on", true));
        server_->respond(token, {200, "{}"});
    } else {
        server_->respond(token, {404, "{}"});
    }
}

void fleet_standin::send_host_list(std::uint64_t token) {
    json hosts = json::array();
    for (const auto& [name, m] : hosts_) {
        hosts.push_back(host_entry{name, m.address, m.state});
    }
    server_->respond(token, {200, json{{"hosts", hosts}}.dump()});
}

void fleet_standin::set_power(const std::string& host, bool on) {
    const auto found = hosts_.find(host);
    if (found == hosts_.end() || (found->second.state != "off") == on) {
        return;
    }
    if (!on) {
        found->second.state = "off";
        found->second.worker->set_on(false);
        return;
    }
    loop_.after(startup_ms, [this, host] {
        hosts_[host].state = "live";
        hosts_[host].worker->set_on(true);
    });
}

void fleet_standin::control(const http_request& r, std::uint64_t token) {
    const auto parsed = parse_json(r.body);
    if (!parsed || !parsed.value().is_object()) {
        server_->respond(token, {400, "{}"});
        return;
    }
    const std::string prefix = parsed.value().value("host", "");
    const std::string fault = parsed.value().value("fault", "");
    for (auto& [name, m] : hosts_) {
        if (name.rfind(prefix, 0) == 0) {
            apply_fault(m, fault);
        }
    }
    server_->respond(token, {200, "{}"});
}

void fleet_standin::apply_fault(host_standin& m, const std::string& fault) {
    if (fault == "restart") {
        m.worker->restart();
    } else if (fault == "leave") {
        m.worker->set_leaving(true);
    } else if (fault == "list_leaving") {
        m.state = "leaving";
    } else if (fault == "fail_tasks") {
        m.worker->set_failing(true);
    } else if (fault == "silence") {
        m.worker->set_silent(true);
    } else if (fault == "repair") {
        m.worker->set_failing(false);
        m.worker->set_silent(false);
        m.worker->set_leaving(false);
        m.state = "live";
    }
}

} // namespace fulmarworks
