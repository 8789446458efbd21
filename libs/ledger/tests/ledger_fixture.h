#pragma once

#include "ledger/apply.h"

#include <string>

namespace fulmarworks {

inline constexpr time_ms test_epoch_ms = 1'700'000'000'000;

/** Ledger state with two racks of three hosts each, all up, and one guarantee. */
class ledger_fixture {
public:
    ledger_fixture() {
        append(instance_joined{"w", 1, "", "", ""});
        append(config_published{"first", 0, R"(
failure_domains: [{name: d1, region: r}]
host_pools:
  - name: p1
    failure_domain: d1
    racks: [{name: k1, hosts: 3}, {name: k2, hosts: 3}]
    accelerators: 8
    cores: 64
    memory: 128GB
client_accounts: [{name: a1, weight: 2, queue_limit: 5000}, {name: a2, queue_limit: 5000}]
guarantees: [{name: g1, client_account: a1, host_pool: p1, hosts: 2, accelerators_per_host: 8}]
retry_policies: [{name: once, max_attempts: 1}, {name: often, max_attempts: 3, backoff: 100ms}]
job_classes:
  - {name: check, urgency: urgent, deadline: 2s, repeatable: false, retry_policy: once}
  - {name: design, urgency: background, preemption: checkpoint, retry_policy: often}
  - {name: fit, preemption: stop, retry_policy: often}
  - {name: render, retry_policy: often, queue_limit: 5000}
)"});
        for (const auto& h : state.hosts.hosts()) {
            report(h.name, host_status::up, 1);
        }
    }

    apply_effects append(record_body body) {
        record r;
        r.header = {"w", 1, "urgent", ++sequence_, test_epoch_ms + now_ms};
        r.body = std::move(body);
        return apply(state, state.next_offset, r);
    }

    apply_effects report(const std::string& host, host_status status, std::uint64_t incarnation) {
        const auto index = state.hosts.find_host(host).value();
        const auto epoch = state.rack_owners[state.hosts.hosts()[index].rack].epoch;
        return append(host_reported{host, status, incarnation, epoch});
    }

    std::string submit(const std::string& account, const std::string& job_class, int tasks,
                       int accelerators) {
        job_request r;
        r.client_account = account;
        r.request_id = "j" + std::to_string(next_++);
        r.job_class = job_class;
        r.shape = {accelerators, 1, 1};
        r.tasks = tasks;
        r.declared_ms = 1000;
        r.issued_at = test_epoch_ms + now_ms;
        append(job_submitted{r});
        return job_id_of(account, r.request_id);
    }

    /** Places the tasks of a job on consecutive hosts that start at `first`. */
    apply_effects place(const std::string& id, host_index first, const std::string& cell = "") {
        const job& j = get(id);
        std::vector<block> blocks;
        for (int i = 0; i < j.request.tasks; ++i) {
            blocks.push_back({first + static_cast<host_index>(i), 0, j.request.shape.accelerators});
        }
        return append(job_placed{id, j.attempt + 1, blocks, cell, "test"});
    }

    apply_effects end(const std::string& id, int member, task_outcome outcome) {
        task_ended r;
        r.job = id;
        r.attempt = get(id).attempt;
        r.member = member;
        r.outcome = outcome;
        return append(r);
    }

    [[nodiscard]] const job& get(const std::string& id) const { return *find_job(state, id); }

    /** Returns the first host without planned accelerators. */
    [[nodiscard]] host_index free_host() const {
        host_index h = 0;
        while (state.hosts.hosts()[h].planned != 0) {
            ++h;
        }
        return h;
    }

    ledger_state state;
    time_ms now_ms = 0;

private:
    std::uint64_t sequence_ = 0;
    int next_ = 0;
};

} // namespace fulmarworks
