#include "crowded_host.h"

#include "free_ports.h"
#include "process_usage.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace fulmarworks::crowd {

namespace {

constexpr time_ms advance_interval_ms = 5;
/** Longest time for which a crowd runs; one that sends on isn't expected to end by itself. */
constexpr time_ms crowd_limit_ms = 15'000;
constexpr time_ms served_limit_ms = 60'000;
constexpr time_ms caller_timeout_ms = 3000;
constexpr std::size_t bytes_per_megabyte = 1024 * 1024;

} // namespace

std::string ordinary_head(const std::string& method, const std::string& path) {
    return method + " " + path +
           " HTTP/1.1\r\nHost: soak.example\r\nX-Api-Key: soak-key\r\n"
           "X-Fulmarworks-Deadline-Ms: 3000\r\n";
}

std::string job_id(std::uint64_t number) {
    std::string id = std::to_string(number);
    id.insert(0, 16 - id.size(), '0');
    return id;
}

crowded_host::crowded_host(const std::string& configuration) {
    directory_ = std::filesystem::temp_directory_path().string() + "/fulmarworks-crowd-" +
                 std::to_string(getpid());
    std::filesystem::create_directories(directory_);
    const int port = find_free_ports(1 + soak::ports_per_host);
    if (!store_.listen(soak::loopback(port))) {
        throw std::runtime_error("the store's port is in use");
    }
    store_.put("keyed.op", "config", configuration);
    first_port_ = port + 1;
    host_ = soak::make_entry_host(loop_, "entry", directory_, first_port_, soak::loopback(port), 1);
    std::ofstream(host_.settings_file, std::ios::app)
        << "memory_mb: " << memory_limit_mb << "\nmax_open_files: " << descriptor_limit << "\n";
    soak::start_process(host_);
    if (!is_ready()) {
        throw std::runtime_error("the entry host isn't ready");
    }
}

crowded_host::~crowded_host() {
    soak::end_process(host_);
    if (std::getenv("FULMARWORKS_KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(directory_);
    }
}

void crowded_host::observe() {
    peak_descriptors_ = std::max(peak_descriptors_, open_descriptors(host_.process->id()));
}

void crowded_host::run(hostile_crowd& crowd) {
    const time_ms end = monotonic_now() + crowd_limit_ms;
    while (monotonic_now() < end && is_alive()) {
        crowd.advance();
        observe();
        if (crowd.is_quiet()) {
            return;
        }
        run_for(advance_interval_ms);
    }
}

void crowded_host::run_for(time_ms duration_ms) {
    loop_.run_until([] { return false; }, duration_ms);
}

http_answer crowded_host::ask(const http_call& call) {
    http_client client(loop_);
    http_answer answer;
    bool done = false;
    client.send(call, [&](const http_answer& a) {
        answer = a;
        done = true;
    });
    loop_.run_until([&] { return done; }, 2 * call.timeout_ms);
    observe();
    return answer;
}

bool crowded_host::call_until_served(http_call call) {
    const time_ms end = monotonic_now() + served_limit_ms;
    call.timeout_ms = 2 * caller_timeout_ms;
    while (monotonic_now() < end && is_alive()) {
        const http_answer answer = ask(call);
        if (answer.status == 200) {
            return true;
        }
        constexpr time_ms pause_ms = 100;
        run_for(std::max(answer.retry_after_ms, pause_ms));
    }
    return false;
}

bool crowded_host::serves_a_submission() {
    http_call call;
    call.method = "POST";
    call.address = host_.caller_address;
    call.target = "/normal/" + job_id(next_job_++);
    call.body = R"({"spec":"","steps":[{"count":1,"cpu":1000,"gpu":1}]})";
    call.headers = {{"Host", "soak.example"},
                    {"X-Api-Key", "soak-key"},
                    {"X-Fulmarworks-Deadline-Ms", std::to_string(caller_timeout_ms)}};
    return call_until_served(std::move(call));
}

bool crowded_host::is_ready() {
    http_call call;
    call.address = readiness_address();
    call.target = "/readyz";
    return call_until_served(std::move(call));
}

bool crowded_host::is_alive() {
    return !host_.process->wait(0).has_value();
}

std::size_t crowded_host::peak_memory_mb() const {
    return peak_memory_bytes(host_.process->id()) / bytes_per_megabyte;
}

} // namespace fulmarworks::crowd
