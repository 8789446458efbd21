#include "test_cluster.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

using namespace fulmarworks;

namespace {

constexpr time_ms warm_up_ms = 2000;
constexpr time_ms measurement_ms = 6000;
constexpr int hosts_per_rack = 8;

/** One measurement. All quantities but one have their defaults. */
struct measurement_point {
    /** Name of the quantity that varies. */
    std::string series;
    int workers = 48;
    int instances = 3;
    int jobs_per_second = 0;
    int running_tasks = 0;
    int config_changes_per_second = 0;
    int accounts = 4;
    /** Value of the quantity that varies. */
    int value = 0;
};

/** Resource usage of one instance: totals since its start, or what a measurement added to them. */
struct resource_usage {
    double cpu_seconds = 0;
    double resident_mb = 0;
    double client_bytes = 0;
    /** Appends of all instances together. */
    double log_appends = 0;
};

std::string write_config(const measurement_point& p) {
    const std::string path = (std::filesystem::temp_directory_path() /
                              ("fulmarworks-capacity-" + std::to_string(getpid()) + ".yaml"))
                                 .string();
    std::ofstream file(path);
    file << "failure_domains: [{name: d1, region: r1}]\nhost_pools:\n  - name: p1\n"
            "    failure_domain: d1\n    accelerators: 8\n    cores: 128\n    memory: 256GB\n"
            "    racks: [";
    for (int r = 0; r < p.workers / hosts_per_rack; ++r) {
        file << (r > 0 ? ", " : "") << "{name: k" << r << ", hosts: " << hosts_per_rack << "}";
    }
    file << "]\nclient_accounts: [";
    for (int a = 0; a < p.accounts; ++a) {
        file << (a > 0 ? ", " : "") << "{name: a" << a << ", queue_limit: 100000}";
    }
    file << "]\nguarantees: [{name: g, client_account: a0, host_pool: p1, hosts: 2, "
            "accelerators_per_host: 8}]\n"
            "retry_policies: [{name: often}]\njob_classes:\n"
            "  - {name: fit, preemption: stop, retry_policy: often, queue_limit: 100000}\n";
    return path;
}

double read_metric(const test_cluster& cluster, int i, const std::string& name) {
    std::istringstream text(cluster.call(i, "GET", "/metrics").body);
    std::string line;
    while (std::getline(text, line)) {
        if (line.rfind(name + " ", 0) == 0) {
            return std::stod(line.substr(name.size()));
        }
    }
    return 0;
}

resource_usage read_usage(test_cluster& cluster, int i) {
    resource_usage u;
    std::ifstream stat("/proc/" + std::to_string(cluster.instance(i).id()) + "/stat");
    std::string field;
    double ticks = 0;
    constexpr int user_time_field = 14;
    constexpr int system_time_field = 15;
    for (int n = 1; stat >> field && n <= system_time_field; ++n) {
        ticks += n >= user_time_field ? std::stod(field) : 0;
    }
    u.cpu_seconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream statm("/proc/" + std::to_string(cluster.instance(i).id()) + "/statm");
    double pages = 0;
    statm >> pages >> pages;
    u.resident_mb = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
    u.client_bytes = read_metric(cluster, i, "fulmarworks_client_bytes");
    u.log_appends = static_cast<double>(cluster.log_appends());
    return u;
}

/** Submits jobs and configuration changes at the rates of `p` for `duration`. */
void generate_load(test_cluster& cluster, const measurement_point& p, time_ms duration,
                   int& next_id) {
    event_loop loop;
    http_client client(loop);
    const auto ignore = [](const http_answer&) {};
    if (p.jobs_per_second > 0) {
        loop.every(milliseconds_per_second / p.jobs_per_second, [&] {
            const json body = submission("a" + std::to_string(next_id % p.accounts),
                                         "j" + std::to_string(next_id), "fit", 1, 1, 300);
            ++next_id;
            client.send({"POST", cluster.address(0), "/v1/jobs", body.dump(), 5000}, ignore);
        });
    }
    if (p.config_changes_per_second > 0) {
        loop.every(milliseconds_per_second / p.config_changes_per_second, [&] {
            const json body = {
                {"publish_id", "c" + std::to_string(next_id)},
                {"based_on", cluster.get(0, "/v1/configuration").value("version", 0)},
                {"document", "edits: [{put: {client_account: {name: a1, weight: " +
                                 std::to_string(1 + next_id % 7) + ", queue_limit: 100000}}}]"}};
            ++next_id;
            client.send({"POST", cluster.address(0), "/v1/configuration", body.dump(), 5000},
                        ignore);
        });
    }
    loop.run_until([] { return false; }, duration);
}

void measure(const measurement_point& p, std::ostream& csv) {
    cluster_options options;
    options.config_file = write_config(p);
    options.instances = p.instances;
    options.worker_ports = p.workers;
    test_cluster cluster(options);
    if (!cluster.publish() || !cluster.wait_hosts_up(0, p.workers)) {
        std::cerr << p.series << " " << p.value << ": the cluster did not become ready\n";
        return;
    }
    for (int n = 0; n < p.running_tasks; ++n) {
        (void)cluster.call(n % p.instances, "POST", "/v1/jobs",
                           submission("a" + std::to_string(1 + n % 3), "long" + std::to_string(n),
                                      "fit", 1, 1, milliseconds_per_hour));
    }
    int next_id = 0;
    generate_load(cluster, p, warm_up_ms, next_id);
    std::vector<resource_usage> before;
    for (int i = 0; i < p.instances; ++i) {
        before.push_back(read_usage(cluster, i));
    }
    const time_ms started = monotonic_now();
    generate_load(cluster, p, measurement_ms, next_id);
    const double seconds = static_cast<double>(monotonic_now() - started) / milliseconds_per_second;
    resource_usage highest;
    for (int i = 0; i < p.instances; ++i) {
        const resource_usage after = read_usage(cluster, i);
        highest.cpu_seconds =
            std::max(highest.cpu_seconds, after.cpu_seconds - before[i].cpu_seconds);
        highest.resident_mb = std::max(highest.resident_mb, after.resident_mb);
        highest.client_bytes =
            std::max(highest.client_bytes, after.client_bytes - before[i].client_bytes);
        highest.log_appends =
            std::max(highest.log_appends, after.log_appends - before[i].log_appends);
    }
    std::ostringstream line;
    line << p.series << "," << p.value << "," << 100 * highest.cpu_seconds / seconds << ","
         << highest.resident_mb << "," << highest.client_bytes / seconds / 1024 << ","
         << highest.log_appends / seconds;
    std::cout << line.str() << "\n" << std::flush;
    csv << line.str() << "\n" << std::flush;
    std::filesystem::remove(options.config_file);
}

std::vector<measurement_point> make_series(const std::string& name,
                                           int measurement_point::*quantity,
                                           const std::vector<int>& values) {
    std::vector<measurement_point> points;
    for (const int value : values) {
        measurement_point p;
        p.series = name;
        p.value = value;
        p.*quantity = value;
        points.push_back(p);
    }
    return points;
}

} // namespace

/** Usage: capacity_bench CSV [SERIES]. Reports the maximum usage of any instance at each point. */
int main(int argc, char** argv) {
    std::ofstream csv(argc > 1 ? argv[1] : "capacity.csv");
    const std::string selected_series = argc > 2 ? argv[2] : "";
    const std::string header = "series,value,cpu_percent,resident_mb,kb_per_s,log_appends_per_s";
    std::cout << header << "\n";
    csv << header << "\n";
    for (const auto& points :
         {make_series("workers", &measurement_point::workers, {24, 48, 96, 192}),
          make_series("jobs_per_second", &measurement_point::jobs_per_second, {1, 5, 20, 40}),
          make_series("running_tasks", &measurement_point::running_tasks, {50, 100, 200, 300}),
          make_series("config_changes_per_second", &measurement_point::config_changes_per_second,
                      {1, 2, 5, 10}),
          make_series("instances", &measurement_point::instances, {2, 3, 5, 8}),
          make_series("accounts", &measurement_point::accounts, {4, 40, 120, 230})}) {
        for (const auto& p : points) {
            if (selected_series.empty() || selected_series == p.series) {
                measure(p, csv);
            }
        }
    }
    return 0;
}
