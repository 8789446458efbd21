#include "history.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace fulmarworks;

namespace {

constexpr int powered_on_hosts = 42;
constexpr time_ms leaving_limit_ms = 3000;

/** A cluster with a published configuration whose hosts are up. */
struct ready_cluster : test_cluster {
    explicit ready_cluster(cluster_options options = {}) : test_cluster(std::move(options)) {
        REQUIRE(publish());
        REQUIRE(wait_hosts_up(0, powered_on_hosts));
    }

    http_answer submit(int i, const json& body) const { return call(i, "POST", "/v1/jobs", body); }

    std::string owner_of(const std::string& host) const {
        const json listed = get(0, "/v1/hosts");
        for (const auto& h : listed.value("hosts", json::array())) {
            if (h.value("host", "") == host) {
                return h.value("owner", "");
            }
        }
        return "";
    }

    bool digests_agree() const {
        return wait_for([&] {
            const std::string first = get(0, "/v1/state").value("digest", "a");
            for (int i = 1; i < instance_count(); ++i) {
                if (get(i, "/v1/state").value("digest", "b") != first) {
                    return false;
                }
            }
            return true;
        });
    }
};

/** Returns options with a short worker lease, so that a silent worker is declared lost sooner. */
cluster_options short_lease() {
    cluster_options options;
    options.extra_settings = "worker_lease_ms: 4000\n";
    return options;
}

std::string id_of(const std::string& prefix, int n) {
    return prefix + std::to_string(n);
}

} // namespace

TEST_CASE("killing each instance in turn neither loses nor duplicates a job") {
    ready_cluster cluster;
    int n = 0;
    for (int victim = 0; victim < 3; ++victim) {
        const int other = (victim + 1) % 3;
        for (int k = 0; k < 4; ++k, ++n) {
            const json check =
                submission("liege", id_of("check-", n), "press-fit-check", 1, 1, 400);
            const json fit = submission("antwerp", id_of("fit-", n), "slurry-fit", 1, 2, 600);
            REQUIRE(cluster.submit(other, check).status == 202);
            REQUIRE(cluster.submit(other, fit).status == 202);
        }
        cluster.instance(victim).signal(SIGKILL);
        for (int k = n - 4; k < n; ++k) {
            CHECK(cluster.wait_final(other, id_of("liege/check-", k)).value("state", "") == "done");
            CHECK(cluster.wait_final(other, id_of("antwerp/fit-", k)).value("state", "") == "done");
        }
        cluster.instance(victim).wait(5000);
        cluster.start_instance(victim);
        REQUIRE(cluster.wait_ready(victim, 1));
    }
    const auto history = read_history(cluster);
    for (int k = 0; k < n; ++k) {
        CHECK(count_starts(history, id_of("liege/check-", k)) == 1);
        CHECK(count_starts(history, id_of("antwerp/fit-", k)) == 1);
    }
    CHECK(cluster.digests_agree());
}

TEST_CASE("a rack owner that is paused until its removal is fenced and rejoins") {
    ready_cluster cluster;
    const json check = submission("liege", "paused", "press-fit-check", 1, 1, 3000);
    REQUIRE(cluster.submit(0, check).status == 202);
    const std::string host = "gent-a-r2-h01";
    const std::string owner = cluster.owner_of(host);
    const int paused = owner.back() - '0';
    const int other = (paused + 1) % 3;
    cluster.instance(paused).signal(SIGSTOP);
    REQUIRE(test_cluster::wait_for(
        [&] { return !cluster.get(other, "/v1/state")["instances"].contains(owner); }));
    const json more = submission("liege", "meanwhile", "press-fit-check", 1, 1, 100);
    REQUIRE(cluster.submit(other, more).status == 202);
    CHECK(cluster.wait_final(other, "liege/meanwhile").value("state", "") == "done");
    cluster.instance(paused).signal(SIGCONT);
    REQUIRE(cluster.wait_ready(paused, 1));
    CHECK(cluster.wait_final(paused, "liege/paused").value("state", "") == "done");
    const auto history = read_history(cluster);
    CHECK(count_starts(history, "liege/paused") == 1);
    CHECK(count_starts(history, "liege/meanwhile") == 1);
    CHECK(cluster.digests_agree());
}

TEST_CASE("append responses lost after the write neither lose nor duplicate jobs") {
    ready_cluster cluster;
    cluster.control_log({{"mode", "lose_answers"}});
    for (int n = 0; n < 10; ++n) {
        const json check = submission("liege", id_of("c", n), "press-fit-check", 1, 1, 100, 8000);
        const auto answer = cluster.submit(n % 3, check);
        CHECK(answer.status == 200);
    }
    cluster.control_log({{"mode", "up"}});
    const auto history = read_history(cluster);
    for (int n = 0; n < 10; ++n) {
        CHECK(count_starts(history, id_of("liege/c", n)) == 1);
    }
    CHECK(cluster.digests_agree());
}

TEST_CASE("during a log outage running jobs continue and new jobs are rejected and not recorded") {
    ready_cluster cluster;
    const json running = submission("antwerp", "running", "slurry-fit", 1, 1, 5000);
    REQUIRE(cluster.submit(0, running).status == 202);
    REQUIRE(test_cluster::wait_for(
        [&] { return count_starts(read_history(cluster), "antwerp/running") == 1; }));
    cluster.control_log({{"mode", "down"}});
    REQUIRE(test_cluster::wait_for([&] {
        return cluster.call(0, "GET", "/metrics").body.find("fulmarworks_log_available 0") !=
               std::string::npos;
    }));
    const auto refused =
        cluster.submit(0, submission("liege", "late", "press-fit-check", 1, 1, 50));
    CHECK(refused.status == 503);
    CHECK(refused.retry_after_ms > 0);
    CHECK(refused.body.find("store_unavailable") != std::string::npos);
    cluster.control_log({{"mode", "up"}});
    CHECK(cluster.wait_final(0, "antwerp/running").value("state", "") == "done");
    CHECK(count_starts(read_history(cluster), "antwerp/running") == 1);
    CHECK(count_starts(read_history(cluster), "liege/late") == 0);
    CHECK(cluster.call(1, "GET", "/v1/jobs/liege/late").status == 404);
    CHECK(cluster.digests_agree());
}

TEST_CASE("a log connection that stops responding is replaced") {
    ready_cluster cluster;
    cluster.control_log_proxy(0, {{"fault", "silent"}, {"open_only", true}});
    const json body = submission("namur", "after", "slurry-fit", 1, 1, 100, 15000);
    const auto answer = cluster.submit(0, body);
    CHECK(answer.status == 200);
    CHECK(cluster.wait_final(0, "namur/after").value("state", "") == "done");
    CHECK(count_starts(read_history(cluster), "namur/after") == 1);
}

TEST_CASE(
    "when a silent worker is declared lost, its repeatable job is rerun and its other job fails") {
    ready_cluster cluster(short_lease());
    const json fit = submission("antwerp", "fit", "slurry-fit", 1, 1, 3000);
    const json check = submission("liege", "check", "press-fit-check", 1, 1, 3000);
    REQUIRE(cluster.submit(0, fit).status == 202);
    REQUIRE(cluster.submit(0, check).status == 202);
    REQUIRE(test_cluster::wait_for([&] {
        const auto history = read_history(cluster);
        return count_starts(history, "antwerp/fit") == 1 &&
               count_starts(history, "liege/check") == 1;
    }));
    for (const auto* job : {"antwerp/fit", "liege/check"}) {
        const json report = cluster.get(0, std::string("/v1/jobs/") + job);
        cluster.control_workers(report["hosts"][0].get<std::string>(), "silence");
    }
    CHECK(cluster.wait_final(0, "antwerp/fit").value("state", "") == "done");
    const json lost = cluster.wait_final(0, "liege/check");
    CHECK(lost.value("state", "") == "failed");
    CHECK(lost.value("reason", "") == "worker_lost");
    const auto history = read_history(cluster);
    CHECK(count_starts(history, "liege/check") == 1);
    CHECK(count_starts(history, "antwerp/fit") == 2);
}

TEST_CASE("tasks of a restarted worker are not reported as completed") {
    ready_cluster cluster;
    const json fit = submission("antwerp", "fit", "slurry-fit", 1, 1, 1500);
    const json check = submission("liege", "check", "press-fit-check", 1, 1, 1500);
    REQUIRE(cluster.submit(0, fit).status == 202);
    REQUIRE(cluster.submit(0, check).status == 202);
    REQUIRE(test_cluster::wait_for([&] {
        const auto history = read_history(cluster);
        return count_starts(history, "antwerp/fit") == 1 &&
               count_starts(history, "liege/check") == 1;
    }));
    cluster.control_workers("", "restart");
    CHECK(cluster.wait_final(0, "antwerp/fit").value("state", "") == "done");
    CHECK(cluster.wait_final(0, "liege/check").value("reason", "") == "worker_lost");
    CHECK(count_starts(read_history(cluster), "liege/check") == 1);
}

TEST_CASE("a restart of one member's worker stops the whole gang, which then runs again") {
    ready_cluster cluster;
    const json gang = submission("ghent", "gang", "mould-design", 3, 8, 2500);
    REQUIRE(cluster.submit(0, gang).status == 202);
    REQUIRE(test_cluster::wait_for([&] {
        const auto history = read_history(cluster);
        return std::count_if(history.begin(), history.end(), [](const auto& e) {
                   return e.job == "ghent/gang" && e.what == "start";
               }) == 3;
    }));
    const json report = cluster.get(0, "/v1/jobs/ghent/gang");
    cluster.control_workers(report["hosts"][1].get<std::string>(), "restart");
    const json final_report = cluster.wait_final(0, "ghent/gang");
    CHECK(final_report.value("state", "") == "done");
    const auto history = read_history(cluster);
    std::map<int, int> starts;
    std::map<int, int> done;
    for (const auto& e : history) {
        if (e.job == "ghent/gang") {
            starts[e.attempt] += e.what == "start" ? 1 : 0;
            done[e.attempt] += e.what == "end" && e.outcome == "done" ? 1 : 0;
        }
    }
    const int last = final_report.value("attempts", 0);
    CHECK(last >= 2);
    CHECK(done[last] == 3);
    CHECK(done[1] == 0);
}

TEST_CASE("a leaving worker gets no new work after three seconds") {
    ready_cluster cluster;
    cluster.control_workers("gent-b", "list_leaving");
    cluster.control_workers("gent-a", "leave");
    const time_ms since = wall_now();
    REQUIRE(test_cluster::wait_for(
        [&] {
            int leaving = 0;
            const json listed = cluster.get(0, "/v1/hosts");
            for (const auto& h : listed.value("hosts", json::array())) {
                leaving += h.value("status", "") == "leaving" ? 1 : 0;
            }
            return leaving >= 28;
        },
        leaving_limit_ms));
    for (int n = 0; n < 30; ++n) {
        REQUIRE(cluster.submit(n % 3, submission("namur", id_of("n", n), "slurry-fit", 1, 1, 200))
                    .status == 202);
    }
    for (int n = 0; n < 30; ++n) {
        CHECK(cluster.wait_final(0, id_of("namur/n", n)).value("state", "") == "done");
    }
    for (const auto& e : read_history(cluster)) {
        const bool left = e.host.rfind("gent-", 0) == 0;
        CHECK_FALSE((left && e.what == "start" && e.at > since + leaving_limit_ms));
    }
}

TEST_CASE("a worker that fails every task is quarantined after a few failures") {
    ready_cluster cluster;
    cluster.control_workers("gent-a-r1-h05", "fail_tasks");
    for (int n = 0; n < 40; ++n) {
        REQUIRE(cluster.submit(n % 3, submission("namur", id_of("q", n), "slurry-fit", 1, 2, 300))
                    .status == 202);
    }
    for (int n = 0; n < 40; ++n) {
        CHECK(cluster.wait_final(0, id_of("namur/q", n)).value("state", "") == "done");
    }
    int failed = 0;
    for (const auto& e : read_history(cluster)) {
        failed += e.what == "end" && e.outcome == "failed" ? 1 : 0;
    }
    CHECK(failed <= 8);
}

TEST_CASE("a graceful shutdown completes open requests and hands over its racks") {
    ready_cluster cluster;
    const json body = submission("antwerp", "slow", "slurry-fit", 1, 1, 2500);
    REQUIRE(cluster.submit(0, body).status == 202);
    http_answer waited;
    bool answered = false;
    event_loop loop;
    http_client client(loop);
    client.send({"GET", cluster.address(0), "/v1/jobs/antwerp/slow?wait_ms=15000", "", 20000},
                [&](const http_answer& a) {
                    waited = a;
                    answered = true;
                });
    loop.run_until([&] { return answered; }, 300);
    cluster.instance(0).signal(SIGTERM);
    loop.run_until([&] { return answered; }, 20000);
    CHECK(waited.status == 200);
    CHECK(waited.body.find("\"done\"") != std::string::npos);
    CHECK(cluster.instance(0).wait(15000) == 0);
    CHECK_FALSE(cluster.get(1, "/v1/state")["instances"].contains("instance-0"));
    CHECK(count_starts(read_history(cluster), "antwerp/slow") == 1);
}

TEST_CASE("many concurrent cancellations do not delay an urgent job") {
    ready_cluster cluster;
    constexpr int wave = 300;
    for (int n = 0; n < wave; ++n) {
        REQUIRE(
            cluster.submit(n % 3, submission("namur", id_of("w", n), "mould-design", 1, 8, 60000))
                .status < 300);
    }
    event_loop loop;
    http_client client(loop);
    int cancelled = 0;
    for (int n = 0; n < wave; ++n) {
        client.send({"POST", cluster.address(n % 3), "/v1/jobs/namur/" + id_of("w", n) + "/cancel",
                     "", 20000},
                    [&](const http_answer& a) { cancelled += a.status < 300 ? 1 : 0; });
    }
    http_answer urgent;
    const json check = submission("liege", "urgent", "press-fit-check", 1, 1, 50, 10000);
    client.send({"POST", cluster.address(0), "/v1/jobs", check.dump(), 20000},
                [&](const http_answer& a) { urgent = a; });
    REQUIRE(loop.run_until([&] { return cancelled == wave && urgent.status != 0; }, 30000));
    CHECK(urgent.status == 200);
    for (int n = 0; n < wave; ++n) {
        const auto state = cluster.wait_final(1, "namur/" + id_of("w", n)).value("state", "");
        CHECK((state == "not_run" || state == "failed"));
    }
    CHECK(cluster.digests_agree());
}

TEST_CASE("a rolling restart of all instances under load loses no job") {
    ready_cluster cluster;
    int n = 0;
    for (int i = 0; i < 3; ++i) {
        const int other = (i + 1) % 3;
        cluster.instance(i).signal(SIGTERM);
        for (int k = 0; k < 5; ++k, ++n) {
            REQUIRE(
                cluster
                    .submit(other, submission("liege", id_of("r", n), "press-fit-check", 1, 1, 200))
                    .status == 202);
        }
        REQUIRE(cluster.instance(i).wait(25000) == 0);
        cluster.start_instance(i);
        REQUIRE(cluster.wait_ready(i, 1));
    }
    for (int k = 0; k < n; ++k) {
        CHECK(cluster.wait_final(k % 3, id_of("liege/r", k)).value("state", "") == "done");
        CHECK(count_starts(read_history(cluster), id_of("liege/r", k)) == 1);
    }
}

TEST_CASE("an instance started after a log trim reaches the same state from the snapshot") {
    cluster_options options;
    options.extra_settings = "snapshot_interval_records: 40\n";
    options.log_options = {"--max-records", "120"};
    ready_cluster cluster(options);
    cluster.instance(2).signal(SIGKILL);
    cluster.instance(2).wait(5000);
    for (int n = 0; n < 120; ++n) {
        REQUIRE(cluster.submit(n % 2, submission("namur", id_of("t", n), "slurry-fit", 1, 1, 20))
                    .status == 202);
    }
    for (int n = 0; n < 120; ++n) {
        REQUIRE(cluster.wait_final(0, id_of("namur/t", n)).value("state", "") == "done");
    }
    cluster.start_instance(2);
    REQUIRE(cluster.wait_ready(2, 1));
    CHECK(cluster.get(2, "/v1/jobs/namur/t0").value("state", "") == "done");
    CHECK(cluster.digests_agree());
}

TEST_CASE("after the loss of a failure domain its jobs run elsewhere and guarantees are reported "
          "at risk") {
    ready_cluster cluster(short_lease());
    for (int n = 0; n < 20; ++n) {
        REQUIRE(cluster.submit(n % 3, submission("namur", id_of("d", n), "slurry-fit", 1, 4, 3000))
                    .status == 202);
    }
    cluster.control_workers("gent-a", "silence");
    REQUIRE(test_cluster::wait_for([&] {
        return cluster.call(0, "GET", "/metrics").body.find("fulmarworks_guarantee_at_risk 1") !=
               std::string::npos;
    }));
    for (int n = 0; n < 20; ++n) {
        CHECK(cluster.wait_final(0, id_of("namur/d", n), 60000).value("state", "") == "done");
    }
    cluster.control_workers("gent-a", "repair");
    CHECK(test_cluster::wait_for([&] {
        return cluster.call(0, "GET", "/metrics").body.find("fulmarworks_guarantee_at_risk 0") !=
               std::string::npos;
    }));
}
