#include "policy_simulator.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

using namespace fulmarworks;

namespace {

constexpr std::uint32_t workload_seed = 42;
constexpr time_ms urgent_start_limit_ms = 1900;
constexpr time_ms unloaded_overhead_ms = 40;

struct variant {
    std::string name;
    planner_options options;
};

struct deployment {
    std::string name;
    workload_description workload;
    std::vector<std::string> urgent_classes;
};

planner_options without(bool planner_options::*mechanism) {
    planner_options o;
    o.*mechanism = false;
    return o;
}

std::vector<variant> variants() {
    planner_options fcfs;
    fcfs.urgent_first = fcfs.fair_share = fcfs.reservations = fcfs.backfill = false;
    fcfs.preempt_for_urgent = fcfs.reclaim = fcfs.learned_run_times = false;
    fcfs.urgent_headroom = fcfs.consolidate = fcfs.protect_idle_guarantees = fcfs.defragment =
        false;
    fcfs.first_fit = true;
    planner_options fcfs_skip = fcfs;
    fcfs_skip.backfill = true;
    planner_options priority = fcfs_skip;
    priority.urgent_first = true;
    priority.first_fit = false;
    planner_options first_fit;
    first_fit.first_fit = true;
    return {{"fulmarworks", {}},
            {"fcfs-first-fit", fcfs},
            {"fcfs-first-fit-skipping", fcfs_skip},
            {"strict-priority-best-fit", priority},
            {"without-preemption", without(&planner_options::preempt_for_urgent)},
            {"without-reclaim", without(&planner_options::reclaim)},
            {"without-reservations", without(&planner_options::reservations)},
            {"without-learned-times", without(&planner_options::learned_run_times)},
            {"without-fair-share", without(&planner_options::fair_share)},
            {"without-backfill", without(&planner_options::backfill)},
            {"without-headroom", without(&planner_options::urgent_headroom)},
            {"without-consolidation", without(&planner_options::consolidate)},
            {"without-defragmentation", without(&planner_options::defragment)},
            {"without-sparing-guarantees", without(&planner_options::protect_idle_guarantees)},
            {"with-first-fit", first_fit}};
}

std::string read_config(const std::string& name) {
    std::ifstream file(std::string(EXAMPLES_DIR) + "/" + name + ".yaml");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

double percentile(std::vector<double> values, double p) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(p * static_cast<double>(values.size() - 1));
    return values[index];
}

bool is_urgent(const deployment& d, const std::string& job_class) {
    return std::find(d.urgent_classes.begin(), d.urgent_classes.end(), job_class) !=
           d.urgent_classes.end();
}

simulation_input make_input(const deployment& d, const workload_description& w,
                            const planner_options& options) {
    simulation_input input;
    input.config_document = read_config(d.name);
    input.options = options;
    input.jobs = generate_workload(w, workload_seed);
    input.end = w.duration_ms;
    const std::string rack = d.name == "vormpulp" ? "gent-b-r1" : "highveld-e-r1";
    const std::string failing_host = d.name == "vormpulp" ? "aalst-c-r1-h02" : "highveld-w-r1-h02";
    input.outages = {
        {w.duration_ms / 3, w.duration_ms / 3 + 10 * milliseconds_per_minute, rack},
        {w.duration_ms / 2, w.duration_ms / 2 + 5 * milliseconds_per_minute, rack + "-h01"}};
    input.failing_hosts = {failing_host};
    return input;
}

/** Returns completion times relative to those on an unloaded cluster. */
std::vector<double> completion_ratios_of(const simulation_result& r, const std::string& job_class) {
    std::vector<double> ratios;
    for (const auto& o : r.outcomes) {
        if (o.job_class == job_class && o.completion_ms >= 0) {
            ratios.push_back(static_cast<double>(o.completion_ms) /
                             static_cast<double>(o.run_ms + unloaded_overhead_ms));
        }
    }
    return ratios;
}

struct urgent_start_stats {
    double start_p50 = 0;
    double start_p99 = 0;
    int late = 0;
    int total = 0;
};

urgent_start_stats urgent_starts_of(const deployment& d, const simulation_result& r, time_ms end) {
    urgent_start_stats stats;
    std::vector<double> starts;
    for (const auto& o : r.outcomes) {
        if (!is_urgent(d, o.job_class) || o.submitted_at + urgent_start_limit_ms > end) {
            continue;
        }
        ++stats.total;
        const bool started = o.first_start_ms >= 0;
        starts.push_back(started ? static_cast<double>(o.first_start_ms)
                                 : static_cast<double>(end - o.submitted_at));
        stats.late += !started || o.first_start_ms > urgent_start_limit_ms ? 1 : 0;
    }
    stats.start_p50 = percentile(starts, 0.5);
    stats.start_p99 = percentile(starts, 0.99);
    return stats;
}

std::string describe_job_classes(const deployment& d, const simulation_result& r) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(2);
    for (const auto& kind : d.workload.kinds) {
        const auto ratios = completion_ratios_of(r, kind.job_class);
        text << "    " << std::left << std::setw(17) << kind.job_class << " done " << std::setw(7)
             << ratios.size() << " completion/unloaded p50 " << percentile(ratios, 0.5) << " p95 "
             << percentile(ratios, 0.95) << " p99 " << percentile(ratios, 0.99) << "\n";
    }
    return text.str();
}

void report_variant(const deployment& d, const variant& v, const simulation_result& r, time_ms end,
                    std::ostream& csv) {
    const urgent_start_stats urgent = urgent_starts_of(d, r, end);
    std::vector<double> reclaims(r.reclaim_ms.begin(), r.reclaim_ms.end());
    const auto count_of = [&](const char* name) {
        const auto found = r.counters.find(name);
        return found == r.counters.end() ? std::uint64_t{0} : found->second;
    };
    std::cout << std::fixed << std::setprecision(3) << d.name << " " << v.name << "\n"
              << "    urgent start p50 " << urgent.start_p50 << " ms, p99 " << urgent.start_p99
              << " ms, late " << urgent.late << " of " << urgent.total << "\n"
              << describe_job_classes(d, r) << "    fragmentation " << r.fragmentation << ", idle "
              << r.idle_share << ", host hours on " << r.host_hours_on
              << ", accelerator hours done " << r.done_accelerator_hours << ", lost "
              << r.lost_accelerator_hours << "\n    reclaims " << reclaims.size() << " p99 "
              << percentile(reclaims, 0.99) << " ms, plan infeasible " << r.plan_infeasible_ms
              << " ms, stopped for urgent work " << count_of("preempted.urgent_work") << ", moved "
              << count_of("preempted.consolidated") << ", unfinished " << r.unfinished << "\n";
    csv << d.name << "," << v.name << "," << urgent.start_p50 << "," << urgent.start_p99 << ","
        << urgent.late << "," << urgent.total << "," << r.fragmentation << "," << r.idle_share
        << "," << r.host_hours_on << "," << r.done_accelerator_hours << ","
        << r.lost_accelerator_hours << "," << percentile(reclaims, 0.99) << ","
        << r.plan_infeasible_ms;
    for (const auto& kind : d.workload.kinds) {
        const auto ratios = completion_ratios_of(r, kind.job_class);
        csv << "," << kind.job_class << "," << percentile(ratios, 0.5) << ","
            << percentile(ratios, 0.95) << "," << percentile(ratios, 0.99);
    }
    csv << "\n";
}

/** Reports the p95 of each account's completion ratio without and with a flood of jobs by one of
 * them. */
void report_flood(const deployment& d, std::ostream& csv) {
    const auto p95_by_account = [&](const workload_description& w) {
        policy_simulator simulator(make_input(d, w, {}));
        const auto r = simulator.run();
        std::map<std::string, std::vector<double>> ratios;
        for (const auto& o : r.outcomes) {
            if (o.completion_ms >= 0) {
                ratios[o.account].push_back(static_cast<double>(o.completion_ms) /
                                            static_cast<double>(o.run_ms + unloaded_overhead_ms));
            }
        }
        std::map<std::string, double> p95;
        for (const auto& [account, values] : ratios) {
            p95[account] = percentile(values, 0.95);
        }
        return p95;
    };
    workload_description baseline = d.workload;
    baseline.load = 0.6;
    workload_description flood = baseline;
    flood.flooding_account = baseline.accounts.back().account;
    flood.flood_factor = 10;
    const auto before = p95_by_account(baseline);
    const auto after = p95_by_account(flood);
    for (const auto& [account, p95] : before) {
        std::cout << d.name << " flood by " << flood.flooding_account << ": " << account << " p95 "
                  << p95 << " -> " << after.at(account) << "\n";
        csv << d.name << ",flood-" << account << "," << p95 << "," << after.at(account) << "\n";
    }
}

} // namespace

/** Usage: policy_bench CSV [MINUTES [LOAD [VARIANT]]] */
int main(int argc, char** argv) {
    std::ofstream csv(argc > 1 ? argv[1] : "policy.csv");
    const time_ms minutes = argc > 2 ? std::atol(argv[2]) : 120;
    const double load = argc > 3 ? std::atof(argv[3]) : 0.9;
    const std::string selected = argc > 4 ? argv[4] : "";
    csv << "deployment,variant,urgent_start_p50_ms,urgent_start_p99_ms,urgent_late,urgent_total,"
           "fragmentation,idle_share,host_hours_on,accelerator_hours_done,accelerator_hours_lost,"
           "reclaim_p99_ms,plan_infeasible_ms,classes\n";
    std::vector<deployment> deployments = {
        {"vormpulp", vormpulp_workload(), {"press-fit-check"}},
        {"kopjeskraal", kopjeskraal_workload(), {"preview", "quote"}}};
    for (auto& d : deployments) {
        d.workload.duration_ms = minutes * milliseconds_per_minute;
        d.workload.load = load;
        for (const auto& v : variants()) {
            if (!selected.empty() && selected != v.name) { // "flood" selects report_flood().
                continue;
            }
            policy_simulator simulator(make_input(d, d.workload, v.options));
            report_variant(d, v, simulator.run(), d.workload.duration_ms, csv);
        }
        if (selected.empty() || selected == "flood") {
            report_flood(d, csv);
        }
    }
    return 0;
}
