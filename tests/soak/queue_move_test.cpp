#include "entry_host.h"
#include "free_ports.h"
#include "soak_client.h"
#include "soak_worker.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <filesystem>
#include <unistd.h>

using namespace fulmarworks;
using namespace fulmarworks::soak;

namespace {

constexpr int host_count = 3;
constexpr int worker_count = 8;
constexpr double host_share = 0.25;
constexpr time_ms startup_ms = 3000;
constexpr int job_count = 24;
/** As on the users' platform, from the end of the traffic. */
constexpr time_ms completion_limit_ms = 14'000;

/** Entry hosts as processes, and workers of one service. At first all queues use another service,
 * which has no workers. */
class moving_queues {
public:
    moving_queues() {
        directory_ = std::filesystem::temp_directory_path().string() + "/fulmarworks-queues-" +
                     std::to_string(getpid());
        std::filesystem::create_directories(directory_);
        const int port = find_free_ports(1 + host_count * ports_per_host + worker_count);
        REQUIRE(store_.listen(loopback(port)));
        publish(1, "empty");
        const int first_worker_port = port + 1 + host_count * ports_per_host;
        for (int i = 0; i < worker_count; ++i) {
            workers_.push_back(std::make_unique<soak_worker>(
                worker_context{loop, store_, checker, gangs_}, "w" + std::to_string(i),
                loopback(first_worker_port + i), "r" + std::to_string(i % 2), 1));
            REQUIRE(workers_.back()->listen());
        }
        std::vector<std::string> addresses;
        for (int i = 0; i < host_count; ++i) {
            hosts.push_back(make_entry_host(loop, "entry-" + std::to_string(i), directory_,
                                            port + 1 + i * ports_per_host, loopback(port),
                                            host_share));
            start_process(hosts.back());
            addresses.push_back(hosts.back().caller_address);
        }
        client = std::make_unique<soak_client>(loop, checker, addresses, 1);
        constexpr time_ms advance_interval_ms = 10;
        loop.every(advance_interval_ms, [this] {
            for (auto& w : workers_) {
                w->advance();
            }
        });
        run_for(startup_ms);
    }
    ~moving_queues() {
        std::for_each(hosts.begin(), hosts.end(), end_process);
        std::filesystem::remove_all(directory_);
    }
    moving_queues(const moving_queues&) = delete;
    moving_queues& operator=(const moving_queues&) = delete;

    /** Publishes a version of the configuration in which all queues use one service. */
    void publish(int version, const std::string& service) {
        json document = json::parse(soak_configuration());
        document["version"] = version;
        for (json& route : document["routes"]) {
            route["service"] = service;
        }
        document["services"].push_back({{"name", "empty"}});
        store_.put("keyed.op", "config", document.dump());
    }

    void run_for(time_ms duration_ms) {
        loop.run_until([] { return false; }, duration_ms);
    }

    void submit_jobs() {
        for (int i = 0; i < job_count; ++i) {
            client->submit_random(false);
        }
        constexpr time_ms accepted_within_ms = 4000;
        REQUIRE(loop.run_until([this] { return client->unfinished_jobs() == job_count; },
                               accepted_within_ms));
    }

    [[nodiscard]] bool complete_jobs() {
        return loop.run_until([this] { return client->unfinished_jobs() == 0; },
                              completion_limit_ms);
    }

    event_loop loop;
    invariant_checker checker;
    std::deque<entry_host> hosts;
    std::unique_ptr<soak_client> client;

private:
    soak_store store_{loop};
    std::vector<std::unique_ptr<soak_worker>> workers_;
    std::string directory_;
    gang_member_counts gangs_;
};

} // namespace

// Guards against accepted jobs that never start (review/7): the service of a queue was fixed when a
// job was accepted, also for the leaders that came after the queue had moved.
TEST_CASE("accepted jobs run on the service to which their queues move, also with other leaders") {
    moving_queues q;
    q.submit_jobs();
    CHECK(q.checker.start_count() == 0);
    SECTION("the hosts stay") {
        q.publish(2, "pool");
    }
    SECTION("two of the hosts are lost a moment later") {
        constexpr time_ms known_to_leader_ms = 200;
        q.publish(2, "pool");
        q.run_for(known_to_leader_ms);
        end_process(q.hosts[0]);
        end_process(q.hosts[1]);
    }
    SECTION("all hosts start again a moment later") {
        q.publish(2, "pool");
        std::for_each(q.hosts.begin(), q.hosts.end(), end_process);
        std::for_each(q.hosts.begin(), q.hosts.end(), start_process);
    }
    SECTION("versions follow one another faster than they come into force") {
        constexpr time_ms interval_ms = 330;
        for (const int version : {2, 3, 4, 5}) {
            q.publish(version, version % 2 == 0 ? "pool" : "empty");
            q.client->submit_random(false);
            q.run_for(interval_ms);
        }
        q.publish(6, "pool");
    }
    CHECK(q.complete_jobs());
    CHECK(q.checker.violations() == std::vector<std::string>{});
}
