#include "loop_monitor.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

using namespace fulmarworks;
using namespace fulmarworks::node;

namespace {

constexpr time_ms interval_ms = 10;
constexpr time_ms pause_ms = 150;

void work_for(time_ms duration_ms) {
    for (const time_ms end = monotonic_now() + duration_ms; monotonic_now() < end;) {
    }
}

} // namespace

TEST_CASE("a process that isn't run has a delay without processor time") {
    loop_monitor monitor(interval_ms);
    CHECK(monitor.tick().delay_ms == 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(pause_ms));
    const loop_delay last = monitor.tick();
    CHECK(last.delay_ms >= pause_ms - interval_ms - 1);
    CHECK(last.cpu_ms < pause_ms / 2);
    CHECK(monitor.recent_delay_ms() == last.delay_ms);
}

TEST_CASE("a busy process has a delay with processor time") {
    loop_monitor monitor(interval_ms);
    (void)monitor.tick();
    work_for(pause_ms);
    const loop_delay last = monitor.tick();
    CHECK(last.delay_ms >= pause_ms - interval_ms - 1);
    CHECK(last.cpu_ms > 0);
}

TEST_CASE("the longest recent delay is kept over shorter ones") {
    loop_monitor monitor(interval_ms);
    (void)monitor.tick();
    std::this_thread::sleep_for(std::chrono::milliseconds(pause_ms));
    const time_ms longest_ms = monitor.tick().delay_ms;
    std::this_thread::sleep_for(std::chrono::milliseconds(interval_ms));
    (void)monitor.tick();
    CHECK(monitor.recent_delay_ms() == longest_ms);
}
