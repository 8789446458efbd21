#include "random_run.h"

#include "history_checker.h"
#include "ledger/snapshot.h"
#include "virtual_fleet.h"

namespace fulmarworks {

const char* const small_configuration = R"(
failure_domains: [{name: d1, region: r}]
host_pools:
  - name: p1
    failure_domain: d1
    racks: [{name: k1, hosts: 3}, {name: k2, hosts: 3}]
    accelerators: 8
    cores: 64
    memory: 128GB
client_accounts: [{name: a1, weight: 2, queue_limit: 50}, {name: a2, queue_limit: 50}]
guarantees: [{name: g1, client_account: a1, host_pool: p1, hosts: 2, accelerators_per_host: 8}]
retry_policies:
  - {name: once, max_attempts: 1, backoff: 100ms}
  - {name: often, max_attempts: 3, backoff: 100ms, budget_per_minute: 600}
job_classes:
  - {name: check, urgency: urgent, deadline: 2s, queue_timeout: 60s, repeatable: false, retry_policy: once}
  - {name: preview, urgency: urgent, deadline: 2s, queue_timeout: 60s, retry_policy: often}
  - {name: design, urgency: background, preemption: checkpoint, checkpoint_time: 100ms, retry_policy: often}
  - {name: fit, preemption: stop, retry_policy: often}
  - {name: render, retry_policy: often}
)";

namespace {

constexpr int step_count = 25;
constexpr time_ms settle_limit_ms = 240000;

const std::vector<std::string> classes = {"check", "preview", "design", "fit", "render"};

/** Generates the random jobs of one run and injects its faults. */
class random_driver {
public:
    random_driver(std::uint32_t seed, std::vector<injected_fault> faults)
        : fleet_(seed, 3, small_configuration), random_(seed + 1), faults_(std::move(faults)) {}

    random_run_report run() {
        random_run_report report;
        if (!fleet_.set_up()) {
            report.violations.emplace_back("the simulated fleet did not become ready");
            return report;
        }
        for (int step = 0; step < step_count; ++step) {
            submit_random_jobs();
            if (step % 5 == 2 && next_fault_ < faults_.size()) {
                inject(faults_[next_fault_++]);
            }
            fleet_.run_for(pick(400));
        }
        clear_faults();
        finish_run(report);
        return report;
    }

private:
    int pick(int below) { return std::uniform_int_distribution<>(0, below - 1)(random_); }

    int pick_running_instance() {
        const int first = pick(fleet_.instance_count());
        for (int n = 0; n < fleet_.instance_count(); ++n) {
            const int i = (first + n) % fleet_.instance_count();
            if (fleet_.is_running(i)) {
                return i;
            }
        }
        return first;
    }

    std::string pick_host() {
        const auto hosts = fleet_.hosts();
        return hosts[pick(static_cast<int>(hosts.size()))];
    }

    void submit_random_jobs() {
        const int count = pick(4);
        for (int n = 0; n < count; ++n) {
            job_request r;
            r.client_account = pick(2) == 0 ? "a1" : "a2";
            r.request_id = "j" + std::to_string(next_job_++);
            r.job_class = classes[pick(static_cast<int>(classes.size()))];
            const bool urgent = r.job_class == "check" || r.job_class == "preview";
            r.tasks = urgent ? 1 : 1 + pick(3);
            r.shape = {1 << pick(urgent ? 2 : 4), 2, 4};
            const time_ms run_ms = urgent ? 50 + pick(200) : 100 + pick(4000);
            r.declared_ms = run_ms * (1 + pick(3));
            r.payload = R"({"run_ms":)" + std::to_string(run_ms) + "}";
            r.issued_at = 0;
            submitted_.push_back(job_id_of(r.client_account, r.request_id));
            fleet_.submit(pick_running_instance(), r);
            // Models a caller that received no response and retries at a random instance.
            if (pick(4) == 0) {
                fleet_.submit(pick_running_instance(), r);
            }
        }
        if (!submitted_.empty() && pick(6) == 0) {
            fleet_.cancel(pick_running_instance(),
                          submitted_[pick(static_cast<int>(submitted_.size()))]);
        }
    }

    void inject(injected_fault fault) {
        switch (fault) {
        case injected_fault::crash_instance: crash(); return;
        case injected_fault::pause_instance:
            fleet_.pause_instance(pick_running_instance(), true);
            return;
        case injected_fault::restart_worker: fleet_.restart_worker(pick_host()); return;
        case injected_fault::unreachable_worker:
            fleet_.set_worker_reachable(pick_host(), false);
            return;
        case injected_fault::failing_worker: fleet_.worker(pick_host()).set_failing(true); return;
        case injected_fault::log_down: fleet_.set_log_down(true); return;
        case injected_fault::lost_append_answers: fleet_.lose_append_answers(true); return;
        case injected_fault::message_loss: fleet_.set_faults({0.1, 0.1, 1, 200}); return;
        case injected_fault::trim_log: fleet_.trim_log(5); return;
        case injected_fault::shut_down_instance:
            fleet_.shut_down_instance(pick_running_instance());
            return;
        }
    }

    void crash() {
        const int i = pick_running_instance();
        fleet_.crash_instance(i);
        if (pick(2) == 0) {
            fleet_.run_for(pick(5000));
            fleet_.restart_instance(i);
        }
    }

    void clear_faults() {
        fleet_.set_log_down(false);
        fleet_.lose_append_answers(false);
        fleet_.set_faults({});
        for (const auto& host : fleet_.hosts()) {
            fleet_.set_worker_reachable(host, true);
            fleet_.worker(host).set_failing(false);
        }
        for (int i = 0; i < fleet_.instance_count(); ++i) {
            if (fleet_.is_running(i)) {
                fleet_.pause_instance(i, false);
            } else {
                fleet_.restart_instance(i);
            }
        }
    }

    bool is_settled() const {
        for (int i = 0; i < fleet_.instance_count(); ++i) {
            const instance_state& s = fleet_.state(i);
            if (!is_ready(s) || s.ledger.next_offset != fleet_.state(0).ledger.next_offset) {
                return false;
            }
            for (const auto& [id, j] : s.ledger.jobs) {
                if (!is_final(j.phase)) {
                    return false;
                }
            }
        }
        return true;
    }

    void finish_run(random_run_report& report) {
        fleet_.run_until([&] { return is_settled(); }, settle_limit_ms);
        const ledger_state folded = fleet_.fold_log();
        report.violations = check_history(folded, fleet_.history());
        report.digest = state_digest(folded);
        for (int i = 0; i < fleet_.instance_count(); ++i) {
            const ledger_state& own = fleet_.state(i).ledger;
            if (own.next_offset == folded.next_offset && state_digest(own) != report.digest) {
                report.violations.push_back("instance " + std::to_string(i) +
                                            " has a different state at the same offset");
            }
        }
        report.jobs = static_cast<int>(folded.jobs.size());
        for (const auto& [id, j] : folded.jobs) {
            report.done += j.phase == job_phase::done ? 1 : 0;
        }
        if (!is_reclaim_plan_feasible(folded.hosts, folded.cells)) {
            report.violations.emplace_back(
                "a guarantee has no feasible reclaim plan after the faults were cleared");
        }
    }

    virtual_fleet fleet_;
    std::mt19937 random_;
    std::vector<injected_fault> faults_;
    std::size_t next_fault_ = 0;
    int next_job_ = 0;
    std::vector<std::string> submitted_;
};

} // namespace

random_run_report run_randomly(std::uint32_t seed, const std::vector<injected_fault>& faults) {
    return random_driver(seed, faults).run();
}

std::vector<injected_fault> choose_faults(std::uint32_t seed, int count) {
    std::mt19937 random(seed);
    std::vector<injected_fault> faults;
    for (int i = 0; i < count; ++i) {
        faults.push_back(
            static_cast<injected_fault>(std::uniform_int_distribution<>(0, 9)(random)));
    }
    return faults;
}

} // namespace fulmarworks
