#include "soak_run.h"

#include "child_process.h"
#include "fault_proxy.h"
#include "free_ports.h"
#include "soak_client.h"
#include "soak_worker.h"

#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace fulmarworks::soak {

namespace {

constexpr time_ms warm_up_ms = 1500;
constexpr time_ms faults_last_ms = 12000;
/** Time after the repair in which all accepted work must have ended, from the platform's rules. */
constexpr time_ms finish_ms = 14000;
constexpr time_ms job_interval_ms = 120;
constexpr time_ms advance_interval_ms = 10;
constexpr time_ms restart_pause_ms = 300;
constexpr time_ms stop_grace_ms = 6000;
constexpr int workers_in_rack = 6;
constexpr int ports_of_host = 4;

std::string loopback(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

/** One entry host: a real process and the proxy on its way to the store. */
struct entry_host {
    std::string name;
    std::string settings_file;
    std::string log_file;
    std::string caller_address;
    std::unique_ptr<fault_proxy> store_proxy;
    std::unique_ptr<child_process> process;
    /** Steady time at which a process that was asked to stop is killed; 0 unless it was. */
    time_ms kill_at = 0;
};

class run {
public:
    explicit run(const soak_options& options)
        : options_(options), random_(options.seed), store_(loop_) {}

    soak_report play() {
        set_up();
        loop_.every(advance_interval_ms, [this] { advance(); });
        loop_.run_until([] { return false; }, warm_up_ms);
        schedule_load();
        schedule_faults();
        loop_.run_until([] { return false; }, faults_last_ms);
        repair();
        client_->submit_random(false);
        loop_.run_until([this] { return client_->open_jobs() == 0; }, finish_ms);
        rules_.check_end();
        report_.broken = rules_.broken();
        report_.summary = summarise();
        return report_;
    }

private:
    int pick(int low, int high) {
        return low + static_cast<int>(random_() % static_cast<std::uint64_t>(high - low + 1));
    }

    void set_up() {
        directory_ = options_.keep_logs_in.empty()
                         ? std::filesystem::temp_directory_path().string() + "/fulmarworks-soak-" +
                               std::to_string(getpid()) + "-" + std::to_string(options_.seed)
                         : options_.keep_logs_in + "/seed-" + std::to_string(options_.seed);
        std::filesystem::create_directories(directory_);
        const int port =
            find_free_ports(1 + options_.entry_hosts * ports_of_host + options_.workers);
        require(store_.listen(loopback(port)));
        store_.put("keyed.op", "config", soak_configuration());
        for (int i = 0; i < options_.workers; ++i) {
            add_worker(i, port + 1 + options_.entry_hosts * ports_of_host + i);
        }
        std::vector<std::string> addresses;
        for (int i = 0; i < options_.entry_hosts; ++i) {
            add_host(i, port + 1 + i * ports_of_host, loopback(port));
            addresses.push_back(hosts_.back().caller_address);
        }
        client_ = std::make_unique<soak_client>(loop_, rules_, addresses, options_.seed + 1);
    }

    void require(const result<bool>& outcome) {
        if (!outcome) {
            throw std::runtime_error(describe(outcome.error()));
        }
    }

    void add_worker(int i, int port) {
        constexpr double slowest_clock = 0.98;
        const double rate = i % 3 == 0 ? slowest_clock : 1;
        workers_.push_back(std::make_unique<soak_worker>(
            worker_context{loop_, store_, rules_, gangs_}, "w" + std::to_string(i), loopback(port),
            "r" + std::to_string(i / workers_in_rack), rate));
        require(workers_.back()->listen());
    }

    void add_host(int i, int port, const std::string& store_address) {
        entry_host host;
        host.name = "entry-" + std::to_string(i);
        host.settings_file = directory_ + "/" + host.name + ".yaml";
        host.log_file = directory_ + "/" + host.name + ".log";
        host.caller_address = loopback(port);
        auto proxy = fault_proxy::listen(loop_, loopback(port + 3), store_address);
        if (!proxy) {
            throw std::runtime_error(describe(proxy.error()));
        }
        host.store_proxy = std::move(proxy.value());
        std::ofstream(host.settings_file)
            << "name: " << host.name
            << "\nfailure_domain: z1\nip: 127.0.0.1\ncaller_address: " << host.caller_address
            << "\nreadiness_address: " << loopback(port + 1) << "\ninternal_port: " << port + 2
            << "\nstore_address: " << loopback(port + 3)
            << "\ncpu_share: 0.25\nstop_grace_s: 6\nconfiguration_bound_ms: 2000\n"
            << "max_lease_ms: 6000\nstop_timeout_ms: 200\n"
            << "reclaim_ms: 2700\nremote_factor: 3\nstatus_retention_s: 120\n";
        hosts_.push_back(std::move(host));
        start(hosts_.back());
    }

    static void start(entry_host& host) {
        host.kill_at = 0;
        host.process = std::make_unique<child_process>(
            std::vector<std::string>{FULMARWORKS_BINARY, "entry", "--settings", host.settings_file},
            host.log_file);
    }

    void advance() {
        for (auto& w : workers_) {
            w->advance();
        }
        for (auto& host : hosts_) {
            if (host.kill_at != 0 && host.process) {
                supervise_stop(host);
            }
        }
    }

    void supervise_stop(entry_host& host) {
        if (host.process->wait(0)) {
            restart_later(host);
        } else if (monotonic_now() >= host.kill_at) {
            host.process->signal(SIGKILL);
        }
    }

    void restart_later(entry_host& host) {
        host.process.reset();
        host.kill_at = 0;
        loop_.after(restart_pause_ms, [&host] { start(host); });
    }

    void schedule_load() {
        for (time_ms at = 0; at < faults_last_ms; at += job_interval_ms) {
            const bool cancel = pick(0, 19) == 0;
            loop_.after(at, [this, cancel] { client_->submit_random(cancel); });
        }
    }

    void inject(time_ms at, const std::string& name, std::function<void()> begin, time_ms lasts,
                std::function<void()> end) {
        report_.faults.push_back("at " + std::to_string(at) + " ms: " + name + " for " +
                                 std::to_string(lasts) + " ms");
        loop_.after(at, std::move(begin));
        if (end) {
            loop_.after(at + lasts, std::move(end));
        }
    }

    void schedule_faults() {
        const int count = pick(4, 10);
        for (int i = 0; i < count; ++i) {
            const time_ms at = pick(200, static_cast<int>(faults_last_ms) - 4500);
            const time_ms lasts = pick(300, 4000);
            switch (pick(0, 3)) {
            case 0: schedule_store_fault(at, lasts); break;
            case 1: schedule_worker_fault(at, lasts); break;
            case 2: schedule_proxy_fault(at, lasts); break;
            default: schedule_host_fault(at, lasts); break;
            }
        }
    }

    void schedule_store_fault(time_ms at, time_ms lasts) {
        static constexpr std::pair<store_mode, const char*> modes[] = {
            {store_mode::busy, "store busy"},
            {store_mode::silent, "store silent"},
            {store_mode::slow, "store slow"},
            {store_mode::lose_answers, "answers lost"},
            {store_mode::late, "appends late"}};
        const int choice = pick(0, static_cast<int>(std::size(modes)));
        if (choice == static_cast<int>(std::size(modes))) {
            inject(
                at, "history forgotten", [this] { store_.forget_history(); }, 0, nullptr);
            return;
        }
        const store_mode mode = modes[choice].first;
        const time_ms delay = pick(50, mode == store_mode::late ? 3000 : 250);
        inject(
            at, modes[choice].second, [this, mode, delay] { store_.set_mode(mode, delay); }, lasts,
            [this] { store_.set_mode(store_mode::up, 0); });
    }

    void schedule_worker_fault(time_ms at, time_ms lasts) {
        soak_worker* w = workers_[random_() % workers_.size()].get();
        static constexpr std::pair<worker_fault, const char*> kinds[] = {
            {worker_fault::unreachable, "worker unreachable"},
            {worker_fault::hang, "worker hangs"},
            {worker_fault::slow, "worker slow"},
            {worker_fault::fail_tasks, "worker fails its tasks"},
            {worker_fault::late_orders, "orders carried out late"}};
        const int choice = pick(0, static_cast<int>(std::size(kinds)) + 1);
        if (choice < static_cast<int>(std::size(kinds))) {
            const worker_fault fault = kinds[choice].first;
            inject(
                at, kinds[choice].second, [w, fault] { w->set_fault(fault); }, lasts,
                [w] { w->set_fault(worker_fault::none); });
        } else if (choice == static_cast<int>(std::size(kinds))) {
            inject(
                at, "worker restarts", [w] { w->restart(); }, 0, nullptr);
        } else {
            constexpr time_ms notice_ms = 2000;
            inject(
                at, "worker drains and leaves", [w] { w->drain(notice_ms); }, notice_ms + lasts,
                [w] { w->come_back(); });
        }
    }

    void schedule_proxy_fault(time_ms at, time_ms lasts) {
        entry_host& host = hosts_[random_() % hosts_.size()];
        static constexpr std::pair<proxy_fault, const char*> kinds[] = {
            {proxy_fault::cut, "cut from the store"},
            {proxy_fault::silent, "connections to the store silent"},
            {proxy_fault::lose_answers, "no answers from the store"},
            {proxy_fault::delay, "slow way to the store"}};
        const auto& [fault, name] = kinds[random_() % std::size(kinds)];
        const bool open_only = pick(0, 3) == 0;
        const time_ms delay = pick(20, 300);
        inject(
            at, host.name + " " + name + (open_only ? " (open ones only)" : ""),
            [&host, fault = fault, delay, open_only] {
                host.store_proxy->set_fault(fault, delay, open_only);
            },
            lasts, [&host] { host.store_proxy->set_fault(proxy_fault::none, 0, false); });
    }

    void schedule_host_fault(time_ms at, time_ms lasts) {
        entry_host& host = hosts_[random_() % hosts_.size()];
        switch (pick(0, 4)) {
        case 0:
            inject(
                at, host.name + " killed", [this, &host] { kill(host); }, 0, nullptr);
            break;
        case 1:
            inject(
                at, host.name + " asked to stop", [&host] { ask_to_stop(host); }, 0, nullptr);
            break;
        case 2:
            inject(
                at, host.name + " paused", [&host] { signal(host, SIGSTOP); }, lasts,
                [&host] { signal(host, SIGCONT); });
            break;
        case 3:
            inject(
                at, "all hosts killed",
                [this] {
                    for (auto& each : hosts_) {
                        kill(each);
                    }
                },
                0, nullptr);
            break;
        default:
            inject(
                at, host.name + " told to read its settings", [&host] { signal(host, SIGHUP); }, 0,
                nullptr);
        }
    }

    static void signal(const entry_host& host, int number) {
        if (host.process) {
            host.process->signal(number);
        }
    }

    void kill(entry_host& host) {
        if (host.process) {
            restart_later(host);
        }
    }

    static void ask_to_stop(entry_host& host) {
        if (host.process && host.kill_at == 0) {
            host.kill_at = monotonic_now() + stop_grace_ms;
            host.process->signal(SIGTERM);
        }
    }

    void repair() {
        store_.set_mode(store_mode::up, 0);
        for (auto& w : workers_) {
            w->set_fault(worker_fault::none);
            w->come_back();
        }
        for (auto& host : hosts_) {
            host.store_proxy->set_fault(proxy_fault::none, 0, false);
            signal(host, SIGCONT);
        }
    }

    std::string summarise() {
        int accepted = 0;
        for (const auto& [id, view] : rules_.jobs) {
            accepted += view.accepted ? 1 : 0;
        }
        std::string text = "seed " + std::to_string(options_.seed) + ": " +
                           std::to_string(rules_.jobs.size()) + " jobs, " +
                           std::to_string(accepted) + " accepted, " +
                           std::to_string(rules_.starts()) + " starts; answers";
        for (const auto& [status, count] : client_->answers()) {
            text += " " + std::to_string(status) + ":" + std::to_string(count);
        }
        if (options_.keep_logs_in.empty()) {
            hosts_.clear();
            std::filesystem::remove_all(directory_);
        }
        return text;
    }

    soak_options options_;
    std::mt19937_64 random_;
    std::string directory_;
    event_loop loop_;
    soak_store store_;
    rule_book rules_;
    gang_presence gangs_;
    std::vector<std::unique_ptr<soak_worker>> workers_;
    std::deque<entry_host> hosts_;
    std::unique_ptr<soak_client> client_;
    soak_report report_;
};

} // namespace

soak_report play_seed(const soak_options& options) {
    return run(options).play();
}

} // namespace fulmarworks::soak
