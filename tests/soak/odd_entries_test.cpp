#include "entry_host.h"
#include "free_ports.h"
#include "odd_entries.h"
#include "soak_client.h"
#include "soak_worker.h"

#include <catch2/catch.hpp>
#include <deque>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace fulmarworks;
using namespace fulmarworks::soak;

namespace {

constexpr int host_count = 3;
constexpr int worker_count = 3;
constexpr int jobs_per_phase = 6;
constexpr std::size_t small_page_items = 3;
constexpr std::size_t longest_line_bytes = 4096;
constexpr time_ms advance_interval_ms = 10;
constexpr time_ms phase_limit_ms = 14'000;
constexpr time_ms phase_minimum_ms = 700;

/** Entry hosts as real processes, with sound workers and a registry that others write to, too. */
class odd_cluster {
public:
    odd_cluster() : store_(loop_) {
        std::filesystem::create_directories(directory_);
        const int port = find_free_ports(1 + host_count * ports_per_host + worker_count);
        REQUIRE(store_.listen(loopback(port)));
        store_.set_page_items(small_page_items);
        store_.put("keyed.op", "config", soak_configuration());
        const int first_worker_port = port + 1 + host_count * ports_per_host;
        odd_entries_ = make_odd_entries(loopback(first_worker_port));
        for (int i = 0; i < worker_count; ++i) {
            workers_.push_back(std::make_unique<soak_worker>(
                worker_context{loop_, store_, checker_, gangs_}, "w" + std::to_string(i),
                loopback(first_worker_port + i), "r" + std::to_string(i), 1));
            REQUIRE(workers_.back()->listen());
        }
        std::vector<std::string> addresses;
        for (int i = 0; i < host_count; ++i) {
            hosts_.push_back(make_entry_host(loop_, "entry-" + std::to_string(i), directory_,
                                             port + 1 + i * ports_per_host, loopback(port), 0.25));
            addresses.push_back(hosts_.back().caller_address);
        }
        client_ = std::make_unique<soak_client>(loop_, checker_, addresses, 1);
        loop_.every(advance_interval_ms, [this] {
            for (auto& w : workers_) {
                w->advance();
            }
        });
    }

    ~odd_cluster() {
        std::for_each(hosts_.begin(), hosts_.end(), end_process);
        std::filesystem::remove_all(directory_);
    }

    odd_cluster(const odd_cluster&) = delete;
    odd_cluster& operator=(const odd_cluster&) = delete;

    void put_odd_entries() {
        for (const auto& [key, value] : odd_entries_) {
            store_.put("keyed.servers", key, value);
        }
    }

    /** Overwrites the entries of the sound workers, until their next heartbeats. */
    void overwrite_sound_entries(const std::string& value) {
        for (int i = 0; i < worker_count; ++i) {
            store_.put("keyed.servers", "w" + std::to_string(i), value);
        }
    }

    void start_hosts() {
        for (auto& host : hosts_) {
            if (!host.process) {
                start_process(host);
            }
        }
    }

    void kill_host(std::size_t i) { end_process(hosts_[i]); }

    /** Runs some jobs to their ends, and checks that no process ends meanwhile. */
    void run_jobs(const std::string& phase) {
        INFO(phase);
        for (int i = 0; i < jobs_per_phase; ++i) {
            client_->submit_random(false);
        }
        loop_.run_until([] { return false; }, phase_minimum_ms);
        const auto accepted = [this] {
            return std::all_of(checker_.jobs.begin(), checker_.jobs.end(),
                               [](const auto& job) { return job.second.accepted; });
        };
        CHECK(loop_.run_until([&] { return accepted() && client_->unfinished_jobs() == 0; },
                              phase_limit_ms));
        for (auto& host : hosts_) {
            const auto code = host.process ? host.process->wait(0) : std::nullopt;
            INFO(host.name << " ended with " << code.value_or(0));
            REQUIRE_FALSE(code.has_value());
        }
    }

    void check_logs() {
        std::size_t named = 0;
        for (const auto& host : hosts_) {
            std::ifstream log(host.log_file);
            for (std::string line; std::getline(log, line);) {
                named += line.find("worker_entry_unreadable") != std::string::npos ? 1 : 0;
                CHECK(line.size() < longest_line_bytes);
                CHECK(line.rfind("ts=1 ", 0) != 0); // a line that an entry has forged
            }
        }
        CHECK(named > 0);
        checker_.check_final_state();
        CHECK(checker_.violations() == std::vector<std::string>{});
    }

private:
    std::string directory_ = std::filesystem::temp_directory_path().string() +
                             "/fulmarworks-odd-entries-" + std::to_string(getpid());
    event_loop loop_;
    soak_store store_;
    invariant_checker checker_;
    gang_member_counts gangs_;
    std::vector<registry_entry> odd_entries_;
    std::vector<std::unique_ptr<soak_worker>> workers_;
    std::deque<entry_host> hosts_;
    std::unique_ptr<soak_client> client_;
};

} // namespace

// Operators of similar systems saw the processes that read the list of workers end again and again,
// or stop following it, after another writer had left one odd entry there.
TEST_CASE("odd entries in the worker registry end no process and keep no sound worker from use") {
    odd_cluster c;
    c.put_odd_entries();
    c.start_hosts();
    c.run_jobs("odd entries on the first pages");
    c.put_odd_entries();
    c.run_jobs("odd entries in the tail");
    c.overwrite_sound_entries(entry_with("127.0.0.1:1", "born", "900000000000000"));
    c.run_jobs("sound workers' entries overwritten");
    c.kill_host(0);
    c.run_jobs("without the first host");
    for (std::size_t i = 1; i < host_count; ++i) {
        c.kill_host(i);
    }
    c.start_hosts();
    c.run_jobs("after a restart of all hosts");
    c.check_logs();
}
