#include "ledger_fixture.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;

namespace {

/** Two placements after the third crash are allowed. */
constexpr int max_placements = 5;

/** Returns an unplanned host that is up. */
host_index usable_host(const ledger_fixture& f) {
    host_index h = 0;
    while (f.state.hosts.hosts()[h].planned != 0 ||
           f.state.hosts.hosts()[h].status != host_status::up) {
        ++h;
    }
    return h;
}

/** Places a queued job. Returns the host; empty if the job isn't queued or has to wait. */
std::string place_if_queued(ledger_fixture& f, const std::string& id) {
    if (f.get(id).phase != job_phase::queued || f.get(id).not_before > f.state.now) {
        return "";
    }
    const host_index h = usable_host(f);
    REQUIRE(f.place(id, h).dropped.empty());
    return f.state.hosts.hosts()[h].name;
}

} // namespace

TEST_CASE("a job that crashes each host that runs it is not placed on a sixth") {
    ledger_fixture f;
    const auto id = f.submit("a2", "fit", 1, 2);
    const bool silent_first = GENERATE(false, true);
    INFO("silent first " << silent_first);
    int placements = 0;
    std::uint64_t incarnation = 2;
    for (int i = 0; i < 100 && f.get(id).phase != job_phase::failed; ++i) {
        const auto host = place_if_queued(f, id);
        if (!host.empty()) {
            ++placements;
            if (silent_first) {
                f.report(host, host_status::suspect, 0);
                f.report(host, host_status::lost, 0);
            }
            f.now_ms += 3500;
            f.report(host, host_status::up, incarnation++);
        }
        f.now_ms += 1000;
    }
    CHECK(placements <= max_placements);
    CHECK(f.get(id).phase == job_phase::failed);
    CHECK(f.get(id).reason == job_reason::worker_lost);
}

TEST_CASE("hosts that were only silent are not held against the jobs that ran there") {
    ledger_fixture f;
    const auto id = f.submit("a2", "fit", 1, 2);
    for (int i = 0; i < 2 * max_placements; ++i) {
        const auto host = place_if_queued(f, id);
        REQUIRE_FALSE(host.empty());
        f.report(host, host_status::suspect, 0);
        f.report(host, host_status::lost, 0);
        f.now_ms += 1000;
        f.report(host, host_status::up, 1);
    }
    CHECK(f.get(id).phase == job_phase::queued);
}

TEST_CASE("while silent hosts may have crashed under a job, it waits before a sixth placement") {
    ledger_fixture f;
    const auto id = f.submit("a2", "fit", 1, 2);
    f.report(f.state.hosts.hosts()[usable_host(f)].name, host_status::up, 1);
    std::vector<std::string> silent;
    while (true) {
        const auto host = place_if_queued(f, id);
        if (host.empty()) {
            break;
        }
        f.report(host, host_status::suspect, 0);
        f.report(host, host_status::lost, 0);
        silent.push_back(host);
        REQUIRE(silent.size() <= max_placements);
        if (silent.size() % 2 == 0) { // one in two crashed and is back
            f.report(host, host_status::up, 2);
        }
    }
    CHECK(f.get(id).phase == job_phase::queued);
    CHECK(f.get(id).not_before > f.state.now);
}
