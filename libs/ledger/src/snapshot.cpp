#include "ledger/snapshot.h"

#include "base/digest.h"
#include "topology.h"

namespace fulmarworks {

namespace {

struct snapshot_host {
    std::string name;
    std::string rack;
    task_shape capacity;
    bool spare = false;
    host_status status = host_status::off;
    bool quarantined = false;
};

struct snapshot_rack {
    std::string name;
    std::string pool;
    std::string failure_domain;
};

FULMARWORKS_JSON(snapshot_host, name, rack, capacity, spare, status, quarantined)
FULMARWORKS_JSON(snapshot_rack, name, pool, failure_domain)

json encode_topology(const cluster& c) {
    std::vector<snapshot_rack> racks;
    for (const auto& r : c.racks()) {
        const pool& p = c.pools()[r.pool];
        racks.push_back({r.name, p.name, p.failure_domain});
    }
    std::vector<snapshot_host> hosts;
    for (const auto& h : c.hosts()) {
        hosts.push_back(
            {h.name, c.racks()[h.rack].name, h.capacity, h.spare, h.status, h.quarantined});
    }
    return json{{"racks", racks}, {"hosts", hosts}};
}

void decode_topology(const json& j, cluster& c) {
    for (const auto& r : j.at("racks").get<std::vector<snapshot_rack>>()) {
        const auto known = c.find_pool(r.pool);
        c.add_rack(known ? *known : c.add_pool(r.pool, r.failure_domain), r.name);
    }
    for (const auto& h : j.at("hosts").get<std::vector<snapshot_host>>()) {
        const host_index index =
            c.add_host(c.find_rack(h.rack).value(), h.name, h.capacity, h.spare);
        c.set_status(index, h.status);
        c.set_quarantined(index, h.quarantined);
    }
}

json encode_state(const ledger_state& s) {
    return json{{"next_offset", s.next_offset},
                {"now", s.now},
                {"config_version", s.config_version},
                {"config", s.config},
                {"instances", s.instances},
                {"writers", s.writers},
                {"publishes", s.publishes},
                {"jobs", s.jobs},
                {"cells", s.cells},
                {"rack_owners", s.rack_owners},
                {"host_records", s.host_records},
                {"estimates", s.estimates},
                {"retry_budgets", s.retry_budgets},
                {"counters", s.counters},
                {"topology", encode_topology(s.hosts)}};
}

void decode_state(const json& j, ledger_state& s) {
    j.at("next_offset").get_to(s.next_offset);
    j.at("now").get_to(s.now);
    j.at("config_version").get_to(s.config_version);
    j.at("config").get_to(s.config);
    j.at("instances").get_to(s.instances);
    j.at("writers").get_to(s.writers);
    j.at("publishes").get_to(s.publishes);
    j.at("jobs").get_to(s.jobs);
    j.at("cells").get_to(s.cells);
    j.at("rack_owners").get_to(s.rack_owners);
    j.at("host_records").get_to(s.host_records);
    j.at("estimates").get_to(s.estimates);
    j.at("retry_budgets").get_to(s.retry_budgets);
    j.at("counters").get_to(s.counters);
    decode_topology(j.at("topology"), s.hosts);
}

} // namespace

std::string encode_snapshot(const ledger_state& s) {
    return encode_state(s).dump(-1, ' ', true, json::error_handler_t::replace);
}

result<ledger_state> decode_snapshot(std::string_view text) {
    const auto parsed = parse_json(text);
    if (!parsed) {
        return parsed.error();
    }
    ledger_state s;
    try {
        decode_state(parsed.value(), s);
    } catch (const std::exception& e) {
        return error{error_kind::malformed_data, std::string("malformed snapshot: ") + e.what(),
                     "let another instance write a new one"};
    }
    rebuild_derived(s);
    return s;
}

std::string state_digest(const ledger_state& s) {
    return digest(encode_snapshot(s));
}

} // namespace fulmarworks
