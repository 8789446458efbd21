#include "cpu_quota.h"

#include <chrono>
#include <csignal>
#include <fstream>
#include <string>

namespace fulmarworks {

namespace {

constexpr std::chrono::milliseconds period{100};
constexpr std::chrono::milliseconds check_interval{4};

/** Returns the processor time that the main thread of a process has used. */
std::int64_t used_ns(pid_t process) {
    std::ifstream file("/proc/" + std::to_string(process) + "/schedstat");
    std::int64_t used = 0;
    file >> used;
    return used;
}

} // namespace

cpu_quota::cpu_quota() : thread_([this](const std::stop_token& stop) { run(stop); }) {}

cpu_quota::~cpu_quota() {
    thread_.request_stop();
    thread_.join();
    for (const auto& [id, p] : processes_) {
        kill(id, SIGCONT);
    }
}

void cpu_quota::limit(pid_t process, double share) {
    const std::lock_guard lock(mutex_);
    processes_[process] = {share, used_ns(process), false, false};
}

void cpu_quota::remove(pid_t process) {
    const std::lock_guard lock(mutex_);
    processes_.erase(process);
}

void cpu_quota::set_paused(pid_t process, bool paused) {
    const std::lock_guard lock(mutex_);
    const auto found = processes_.find(process);
    if (found == processes_.end()) {
        return;
    }
    found->second.paused = paused;
    if (paused) {
        kill(process, SIGSTOP);
    } else if (!found->second.exhausted) {
        kill(process, SIGCONT);
    }
}

void cpu_quota::begin_period() {
    const std::lock_guard lock(mutex_);
    for (auto& [id, p] : processes_) {
        p.used_before_ns = used_ns(id);
        if (p.exhausted && !p.paused) {
            kill(id, SIGCONT);
        }
        p.exhausted = false;
    }
}

void cpu_quota::check() {
    const std::lock_guard lock(mutex_);
    constexpr double period_ns = std::chrono::nanoseconds(period).count();
    for (auto& [id, p] : processes_) {
        const auto used = static_cast<double>(used_ns(id) - p.used_before_ns);
        if (!p.exhausted && !p.paused && used > p.share * period_ns) {
            p.exhausted = true;
            kill(id, SIGSTOP);
        }
    }
}

void cpu_quota::run(const std::stop_token& stop) {
    auto period_end = std::chrono::steady_clock::now();
    while (!stop.stop_requested()) {
        const auto now = std::chrono::steady_clock::now();
        if (now >= period_end) {
            begin_period();
            period_end = now + period;
        } else {
            check();
        }
        std::this_thread::sleep_for(check_interval);
    }
}

} // namespace fulmarworks
