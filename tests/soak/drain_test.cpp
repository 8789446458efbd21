#include "entry_host.h"
#include "free_ports.h"
#include "soak_client.h"
#include "soak_worker.h"

#include <catch2/catch.hpp>
#include <deque>
#include <filesystem>
#include <unistd.h>

using namespace fulmarworks;
using namespace fulmarworks::soak;

namespace {

constexpr int host_count = 3;
constexpr int worker_count = 24;
constexpr int leaving_workers = 8;
constexpr double small_host_share = 0.12;
constexpr time_ms startup_ms = 3000;
constexpr time_ms job_interval_ms = 60;
constexpr time_ms drain_ms = 2000;
/** For which the workers that have said that they leave still take what they are sent. */
constexpr time_ms linger_ms = 4000;
constexpr time_ms completion_limit_ms = 14'000;

/** Entry hosts with a small share of a core, as processes, and workers under load. */
class loaded_deployment {
public:
    loaded_deployment() {
        directory_ = std::filesystem::temp_directory_path().string() + "/fulmarworks-drain-" +
                     std::to_string(getpid());
        std::filesystem::create_directories(directory_);
        const int port = find_free_ports(1 + host_count * ports_per_host + worker_count);
        REQUIRE(store.listen(loopback(port)));
        store.put("keyed.op", "config", soak_configuration());
        const int first_worker_port = port + 1 + host_count * ports_per_host;
        for (int i = 0; i < worker_count; ++i) {
            workers.push_back(std::make_unique<soak_worker>(
                worker_context{loop, store, checker, gangs_}, "w" + std::to_string(i),
                loopback(first_worker_port + i), "r" + std::to_string(i % 4), 1));
            REQUIRE(workers.back()->listen());
        }
        std::vector<std::string> addresses;
        for (int i = 0; i < host_count; ++i) {
            hosts_.push_back(make_entry_host(loop, "entry-" + std::to_string(i), directory_,
                                             port + 1 + i * ports_per_host, loopback(port),
                                             small_host_share));
            hosts_.back().quota = &quota_;
            start_process(hosts_.back());
            addresses.push_back(hosts_.back().caller_address);
        }
        client = std::make_unique<soak_client>(loop, checker, addresses, 1);
        constexpr time_ms advance_interval_ms = 10;
        loop.every(advance_interval_ms, [this] {
            for (auto& w : workers) {
                w->advance();
            }
        });
        run_for(startup_ms);
        loop.every(job_interval_ms, [this] {
            if (load) {
                client->submit_random(false);
            }
        });
        constexpr time_ms warm_up_ms = 1000;
        run_for(warm_up_ms);
    }
    ~loaded_deployment() {
        std::for_each(hosts_.begin(), hosts_.end(), end_process);
        std::filesystem::remove_all(directory_);
    }
    loaded_deployment(const loaded_deployment&) = delete;
    loaded_deployment& operator=(const loaded_deployment&) = delete;

    void run_for(time_ms duration_ms) {
        loop.run_until([] { return false; }, duration_ms);
    }

    void drain_workers() {
        for (int i = 0; i < leaving_workers; ++i) {
            workers[static_cast<std::size_t>(i) * worker_count / leaving_workers]->drain(drain_ms,
                                                                                         linger_ms);
        }
    }

    /** Ends the load, and returns whether all jobs that were accepted end. */
    bool complete_jobs() {
        load = false;
        return loop.run_until([this] { return client->unfinished_jobs() == 0; },
                              completion_limit_ms);
    }

    event_loop loop;
    soak_store store{loop};
    invariant_checker checker;
    std::vector<std::unique_ptr<soak_worker>> workers;
    std::unique_ptr<soak_client> client;
    bool load = true;

private:
    std::string directory_;
    gang_member_counts gangs_;
    cpu_quota quota_;
    std::deque<entry_host> hosts_;
};

} // namespace

// The leader must not start tasks under an old view of the workers.
TEST_CASE("nothing starts on workers that began to drain while the registry couldn't be read") {
    loaded_deployment d;
    const std::size_t started_before = d.checker.start_count();
    CHECK(started_before > 0);
    d.store.refuse_topic("keyed.servers");
    d.drain_workers();
    d.run_for(drain_ms + linger_ms - 500);
    d.store.refuse_topic("");
    CHECK(d.complete_jobs());
    CHECK(d.checker.start_count() > started_before);
    CHECK(d.checker.violations() == std::vector<std::string>{});
}
