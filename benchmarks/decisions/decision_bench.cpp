#include "ledger/apply.h"
#include "ledger/snapshot.h"
#include "policy/planner.h"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <memory>

using namespace fulmarworks;

namespace {

constexpr time_ms epoch_ms = 1'700'000'000'000;
constexpr int hosts_per_rack = 8;

/** Ledger state of a fleet of the given size whose hosts are up and run tasks. */
class loaded_fleet {
public:
    loaded_fleet(int workers, int tasks_per_worker) {
        const std::size_t before = mallinfo2().uordblks;
        append(instance_joined{"bench", 1, "", "", ""});
        append(config_published{"first", 0, make_config_document(workers)});
        for (const auto& h : state.hosts.hosts()) {
            host_names_.push_back(h.name);
        }
        // Sets the statuses directly, so that a single report replans for all hosts. The setup
        // isn't measured.
        for (host_index h = 0; h < host_names_.size(); ++h) {
            state.hosts.set_status(h, host_status::up);
            state.host_records[h].incarnation = 1;
        }
        report(host_names_.front(), host_status::up);
        bytes_without_tasks = mallinfo2().uordblks - before;
        for (int i = 0; i < workers * tasks_per_worker; ++i) {
            place_task(i % workers, i / workers);
        }
        bytes_with_tasks = mallinfo2().uordblks - before;
    }

    apply_effects append(record_body body) {
        record r;
        r.header = {"bench", 1, "urgent", ++sequence_, epoch_ms + static_cast<time_ms>(sequence_)};
        r.body = std::move(body);
        return apply(state, state.next_offset, r);
    }

    std::string submit(const std::string& job_class, task_shape shape, int tasks) {
        job_request r;
        r.client_account = "a" + std::to_string(next_job_ % 230);
        r.request_id = "j" + std::to_string(next_job_++);
        r.job_class = job_class;
        r.shape = shape;
        r.tasks = tasks;
        r.declared_ms = milliseconds_per_hour;
        r.issued_at = epoch_ms;
        append(job_submitted{r});
        return job_id_of(r.client_account, r.request_id);
    }

    void report(const std::string& host, host_status status) {
        append(host_reported{host, status, 0, 1});
    }

    [[nodiscard]] const std::string& host_name(std::size_t i) const { return host_names_[i]; }

    ledger_state state;
    std::size_t bytes_without_tasks = 0;
    std::size_t bytes_with_tasks = 0;

private:
    static std::string make_config_document(int workers) {
        std::string text = "failure_domains: [";
        for (int d = 0; d < 14; ++d) {
            text += (d > 0 ? ", " : "") +
                    ("{name: d" + std::to_string(d) + ", region: r" + std::to_string(d % 4) + "}");
        }
        text += "]\nhost_pools:\n";
        const int racks = (workers + hosts_per_rack - 1) / hosts_per_rack;
        const int pools = std::min(14, racks);
        for (int p = 0; p < 14; ++p) {
            text += "  - name: p" + std::to_string(p) + "\n    failure_domain: d" +
                    std::to_string(p) + "\n    accelerators: 8\n    cores: 128\n" +
                    "    memory: 256GB\n    racks: [";
            bool first = true;
            for (int r = p; r < std::max(racks, 14); r += 14) {
                text += (first ? "" : ", ") +
                        ("{name: p" + std::to_string(p) + "k" + std::to_string(r) + ", hosts: 8}");
                first = false;
            }
            text += "]\n";
        }
        text += "client_accounts: [";
        for (int a = 0; a < 230; ++a) {
            text +=
                (a > 0 ? ", " : "") + ("{name: a" + std::to_string(a) + ", queue_limit: 100000}");
        }
        text += "]\nguarantees: [";
        for (int g = 0; g < std::min(230, racks / 2); ++g) {
            text += (g > 0 ? ", " : "") +
                    ("{name: g" + std::to_string(g) + ", client_account: a" + std::to_string(g) +
                     ", host_pool: p" + std::to_string(g % pools) +
                     ", hosts: 2, accelerators_per_host: 8}");
        }
        text += "]\nretry_policies: [{name: often}]\njob_classes:\n"
                "  - {name: urgent, urgency: urgent, deadline: 1.9s, retry_policy: often}\n"
                "  - {name: fit, preemption: stop, retry_policy: often, queue_limit: 100000}\n"
                "  - {name: pinned, retry_policy: often, queue_limit: 100000}\n";
        return text;
    }

    void place_task(int worker, int slot) {
        const std::string id = submit("fit", {1, 8, 16}, 1);
        append(job_placed{id, 1, {{static_cast<host_index>(worker), slot, 1}}, "", "bench"});
    }

    std::vector<std::string> host_names_;
    std::uint64_t sequence_ = 0;
    int next_job_ = 0;
};

/** Returns a fleet of the given size. Caches the newest one, as its setup takes longer than a
 * measurement. */
loaded_fleet& fleet_of(int workers) {
    static std::unique_ptr<loaded_fleet> fleet;
    static int size = 0;
    if (size != workers) {
        fleet.reset();
        fleet = std::make_unique<loaded_fleet>(workers, 4);
        size = workers;
    }
    return *fleet;
}

void place_and_finish(benchmark::State& state) {
    loaded_fleet& fleet = fleet_of(static_cast<int>(state.range(0)));
    planner_state memory;
    for (auto _ : state) {
        const std::string id = fleet.submit("urgent", {1, 4, 8}, 1);
        for (auto& body : plan_step(fleet.state, memory, epoch_ms, {})) {
            fleet.append(std::move(body));
        }
        task_ended r;
        r.job = id;
        r.attempt = 1;
        fleet.append(r);
    }
}

void place_gang(benchmark::State& state) {
    loaded_fleet& fleet = fleet_of(static_cast<int>(state.range(0)));
    planner_state memory;
    for (auto _ : state) {
        const std::string id = fleet.submit("fit", {2, 4, 8}, 16);
        for (auto& body : plan_step(fleet.state, memory, epoch_ms, {})) {
            fleet.append(std::move(body));
        }
        fleet.append(cancel_requested{id});
        for (int i = 0; i < 16; ++i) {
            task_ended r;
            r.job = id;
            r.attempt = 1;
            r.member = i;
            r.outcome = task_outcome::stopped;
            fleet.append(r);
        }
    }
}

void lose_host(benchmark::State& state) {
    loaded_fleet& fleet = fleet_of(static_cast<int>(state.range(0)));
    std::size_t i = 0;
    for (auto _ : state) {
        const std::string& name = fleet.host_name(i++ % fleet.state.hosts.hosts().size());
        fleet.report(name, host_status::lost);
        fleet.report(name, host_status::up);
    }
}

void change_configuration(benchmark::State& state) {
    loaded_fleet& fleet = fleet_of(static_cast<int>(state.range(0)));
    int i = 0;
    for (auto _ : state) {
        const std::string edit = "edits: [{put: {client_account: {name: a1, queue_limit: 100000, "
                                 "weight: " +
                                 std::to_string(1 + i % 9) + "}}}]";
        fleet.append(config_published{"p" + std::to_string(i++), fleet.state.config_version, edit});
    }
}

void plan_without_work(benchmark::State& state) {
    loaded_fleet& fleet = fleet_of(static_cast<int>(state.range(0)));
    planner_state memory;
    for (auto _ : state) {
        benchmark::DoNotOptimize(plan_step(fleet.state, memory, epoch_ms, {}));
    }
}

void encode_whole_state(benchmark::State& state) {
    loaded_fleet& fleet = fleet_of(static_cast<int>(state.range(0)));
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = encode_snapshot(fleet.state).size();
    }
    const auto tasks = static_cast<double>(state.range(0)) * 4;
    state.counters["snapshot_bytes"] = static_cast<double>(bytes);
    state.counters["host_bytes"] =
        static_cast<double>(fleet.bytes_without_tasks) / static_cast<double>(state.range(0));
    state.counters["task_bytes"] =
        static_cast<double>(fleet.bytes_with_tasks - fleet.bytes_without_tasks) / tasks;
}

void fleet_sizes(benchmark::internal::Benchmark* b) {
    for (const int workers : {112, 500, 5000, 17000}) {
        b->Arg(workers);
    }
    b->Unit(benchmark::kMicrosecond)->MinTime(0.2);
}

} // namespace

BENCHMARK(place_and_finish)->Apply(fleet_sizes);
BENCHMARK(place_gang)->Apply(fleet_sizes);
BENCHMARK(lose_host)->Apply(fleet_sizes);
BENCHMARK(change_configuration)->Apply(fleet_sizes);
BENCHMARK(plan_without_work)->Apply(fleet_sizes);
BENCHMARK(encode_whole_state)->Apply(fleet_sizes);
BENCHMARK_MAIN();
