#include "test_cluster.h"

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <yaml-cpp/yaml.h>

using namespace fulmarworks;

namespace {

/** A job of the demo and its expected outcome. */
struct demo_job {
    std::string account;
    std::string id;
    json body;
    std::string expected;
    bool cancel = false;

    [[nodiscard]] std::string path() const { return account + "/" + id; }
};

demo_job read_job(const YAML::Node& node) {
    demo_job j;
    j.account = node["account"].as<std::string>();
    j.id = node["id"].as<std::string>();
    j.expected = node["expect"].as<std::string>();
    j.cancel = node["cancel"].as<bool>(false);
    const json payload = {{"run_ms", node["run_ms"].as<int>(200)},
                          {"result_bytes", node["result_bytes"].as<int>(64)},
                          {"fail", node["fail"].as<bool>(false)}};
    j.body = {{"client_account", j.account},
              {"request_id", j.id},
              {"job_class", node["class"].as<std::string>()},
              {"tasks", node["tasks"].as<int>(1)},
              {"accelerators", node["accelerators"].as<int>(1)},
              {"cores", node["cores"].as<int>(4)},
              {"memory_gb", node["memory_gb"].as<int>(8)},
              {"declared_ms", node["declared_ms"].as<int>(1000)},
              {"payload", payload.dump()}};
    return j;
}

std::vector<demo_job> read_jobs(const std::string& file) {
    std::vector<demo_job> jobs;
    const YAML::Node root = YAML::LoadFile(file);
    for (const auto& node : root["jobs"]) {
        jobs.push_back(read_job(node));
    }
    return jobs;
}

/**
 * Submits a job, starting at instance `first` and retrying at the next one after an unavailable
 * response. Returns the reason of a rejection, an empty text on success, or "unreachable".
 */
std::string submit(const test_cluster& cluster, const demo_job& j, int first) {
    for (int n = 0; n < 3 * cluster.instance_count(); ++n) {
        const int i = (first + n) % cluster.instance_count();
        const auto answer = cluster.call(i, "POST", "/v1/jobs", j.body);
        const auto parsed = parse_json(answer.body);
        if (answer.status != 0 && answer.status != 503 && parsed) {
            return parsed.value().value("reason", "");
        }
    }
    return "unreachable";
}

/** Waits for a job to start, because a job cancelled before that has a different outcome. */
void wait_started(const test_cluster& cluster, const demo_job& j) {
    test_cluster::wait_for([&] {
        const json history = cluster.worker_history();
        return std::any_of(history.begin(), history.end(), [&](const json& entry) {
            return entry.value("job", "") == j.path() && entry.value("what", "") == "start";
        });
    });
}

std::string placement_of(const test_cluster& cluster, int instance, const demo_job& j) {
    const json explained = cluster.get(instance, "/v1/jobs/" + j.path() + "/explain");
    std::string placed;
    for (const auto& decision : explained.value("decisions", json::array())) {
        const std::string what = decision.value("what", "");
        if (what.find("placed by") != std::string::npos) {
            placed = what;
        }
    }
    return placed;
}

bool check_result(const test_cluster& cluster, int instance, const demo_job& j,
                  const json& report) {
    const auto answer = cluster.call(instance, "GET", "/v1/jobs/" + j.path() + "/result");
    return answer.status == 200 &&
           answer.body.size() == report.value("result_size", std::size_t{0});
}

bool print_outcome(const test_cluster& cluster, int instance, const demo_job& j,
                   const std::string& refusal) {
    std::string outcome = refusal;
    std::string times = "-";
    bool result_complete = true;
    const json report = cluster.wait_final(instance, j.path(), refusal == j.expected ? 100 : 60000);
    if (report.value("final_outcome", false)) {
        outcome = report.value("state", "");
        result_complete = outcome != "done" || check_result(cluster, instance, j, report);
        const auto submitted = report.value("submitted_at", time_ms{0});
        times = std::to_string(report.value("placed_at", time_ms{0}) - submitted) + "/" +
                std::to_string(report.value("ended_at", time_ms{0}) - submitted);
        if (report.value("placed_at", time_ms{0}) == 0) {
            times = "-";
        }
    }
    const bool as_expected = outcome == j.expected && result_complete;
    std::cout << std::left << std::setw(30) << j.path() << std::setw(17)
              << j.body["job_class"].get<std::string>() << std::setw(10) << outcome << std::setw(12)
              << times << (as_expected ? "ok    " : "WRONG ") << placement_of(cluster, instance, j)
              << "\n";
    return as_expected;
}

bool digests_agree(const test_cluster& cluster) {
    return test_cluster::wait_for([&] {
        const json first = cluster.get(0, "/v1/state");
        for (int i = 1; i < cluster.instance_count(); ++i) {
            const json other = cluster.get(i, "/v1/state");
            if (first.value("digest", "a") != other.value("digest", "b")) {
                return false;
            }
        }
        return true;
    });
}

} // namespace

int main(int argc, char** argv) {
    const std::string name = argc > 1 ? argv[1] : "vormpulp";
    const std::string directory = EXAMPLES_DIR;
    cluster_options options;
    options.config_file = directory + "/" + name + ".yaml";
    const auto jobs = read_jobs(directory + "/" + name + "-jobs.yaml");
    test_cluster cluster(options);
    constexpr int powered_on_hosts = 42;
    if (!cluster.publish() || !cluster.wait_hosts_up(0, powered_on_hosts)) {
        std::cerr << "the instances did not become ready\n";
        return 1;
    }
    std::vector<std::string> refusals;
    int instance = 0;
    for (const auto& j : jobs) {
        refusals.push_back(submit(cluster, j, instance++));
        if (j.cancel) {
            wait_started(cluster, j);
            (void)cluster.call(0, "POST", "/v1/jobs/" + j.path() + "/cancel");
        }
    }
    cluster.instance(2).signal(SIGKILL);
    std::cout << "instance-2 was killed while the jobs ran\n\n"
              << "job                           class            outcome   "
                 "ms to place/end        why it was placed there\n";
    bool all_as_expected = true;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        const bool ok = print_outcome(cluster, static_cast<int>(i % 2), jobs[i], refusals[i]);
        all_as_expected = all_as_expected && ok;
    }
    cluster.instance(2).wait(1000);
    cluster.start_instance(2);
    const bool agree = cluster.wait_ready(2, 1) && digests_agree(cluster);
    std::cout << "\ninstance-2 was started again; the three states " << (agree ? "agree" : "DIFFER")
              << "\n";
    return all_as_expected && agree ? 0 : 1;
}
