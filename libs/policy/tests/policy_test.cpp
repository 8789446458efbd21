#include "ledger_fixture.h"
#include "placement/find_placement.h"
#include "policy/planner.h"

#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck/catch.h>

using namespace fulmarworks;

namespace {

/** Plans one step and applies its records to the state. */
std::vector<record_body> plan(ledger_fixture& f, planner_state& planner,
                              const planner_options& options = {}) {
    auto records = plan_step(f.state, planner, test_epoch_ms + f.now_ms, options);
    for (const auto& body : records) {
        const std::string dropped = f.append(body).dropped;
        INFO(encode_record({{}, body}));
        REQUIRE(dropped == "");
    }
    return records;
}

/** Options without the features that deliberately leave accelerators free. */
planner_options work_conserving_options() {
    planner_options o;
    o.reservations = o.urgent_headroom = o.protect_idle_guarantees = o.defragment = false;
    return o;
}

/** Returns whether a block on any host fits the job, by exhaustive search. */
bool naive_fits(const ledger_state& s, const job& j) {
    for (host_index h = 0; h < s.hosts.hosts().size(); ++h) {
        for (int first = 0; first < 8; ++first) {
            const block b = {h, first, j.request.shape.accelerators};
            const bool free = s.hosts.is_schedulable(h) &&
                              s.hosts.can_allocate(b, j.request.shape) &&
                              s.hosts.has_cores_and_memory(h, j.request.shape, true) &&
                              (mask_of(b) & s.hosts.hosts()[h].planned) == 0;
            if (free) {
                return true;
            }
        }
    }
    return false;
}

int used_by(const ledger_state& s, const std::string& account) {
    const auto found = s.usage.find(account);
    return found == s.usage.end() ? 0 : found->second.accelerators;
}

} // namespace

TEST_CASE(
    "a planning step leaves no single-task job queued that an exhaustive search could place") {
    rc::prop("work conservation", [] {
        ledger_fixture f;
        planner_state planner;
        const auto sizes = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 9));
        for (std::size_t i = 0; i < sizes.size(); ++i) {
            f.submit(i % 2 == 0 ? "a1" : "a2", "render", 1, sizes[i]);
        }
        plan(f, planner, work_conserving_options());
        for (const auto& [id, j] : f.state.jobs) {
            RC_ASSERT(j.phase != job_phase::queued || !naive_fits(f.state, j));
        }
        RC_ASSERT(is_reclaim_plan_feasible(f.state.hosts, f.state.cells));
    });
}

TEST_CASE("planned records are never dropped when applied, and the reclaim plan stays feasible") {
    rc::prop("plans hold", [] {
        ledger_fixture f;
        planner_state planner;
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        std::mt19937 random(seed);
        const std::vector<std::string> classes = {"check", "design", "fit", "render"};
        for (int step = 0; step < 30; ++step) {
            f.now_ms += 1000;
            const std::string job_class = classes[random() % 4];
            const int tasks = job_class == "check" ? 1 : 1 + static_cast<int>(random() % 3);
            f.submit(random() % 2 == 0 ? "a1" : "a2", job_class, tasks, 1 << (random() % 4));
            plan(f, planner);
            std::vector<std::string> running;
            for (const auto& [id, j] : f.state.jobs) {
                if (j.phase == job_phase::placed || j.phase == job_phase::stopping) {
                    running.push_back(id);
                }
            }
            for (const auto& id : running) {
                const bool stopping = f.get(id).phase == job_phase::stopping;
                if (stopping || random() % 4 == 0) {
                    for (int m = 0; m < static_cast<int>(f.get(id).members.size()); ++m) {
                        f.end(id, m, stopping ? task_outcome::checkpointed : task_outcome::done);
                    }
                }
            }
            RC_ASSERT(is_reclaim_plan_feasible(f.state.hosts, f.state.cells));
        }
    });
}

TEST_CASE("accounts above their guarantee share by weight, within the size of one job") {
    ledger_fixture f;
    planner_state planner;
    for (int i = 0; i < 60; ++i) {
        f.submit("a1", "fit", 1, 1);
        f.submit("a2", "fit", 1, 1);
    }
    plan(f, planner, work_conserving_options());
    const int a1 = used_by(f.state, "a1");
    const int a2 = used_by(f.state, "a2");
    CHECK(a1 + a2 == 48);
    // a1 first gets its guarantee of 16 accelerators; above it the accounts share 2 to 1.
    CHECK(std::abs(a1 - 2 * a2) <= 2);
}

TEST_CASE("urgent jobs are placed first") {
    ledger_fixture f;
    planner_state planner;
    for (int i = 0; i < 6; ++i) {
        f.submit("a2", "render", 1, 8);
    }
    f.now_ms = 5;
    const auto urgent = f.submit("a2", "check", 1, 1);
    const auto records = plan(f, planner, work_conserving_options());
    REQUIRE(!records.empty());
    CHECK(std::get<job_placed>(records.front()).job == urgent);
}

TEST_CASE("an account reclaims its guarantee from borrowers and is placed in it") {
    ledger_fixture f;
    planner_state planner;
    std::vector<std::string> borrowers;
    for (int i = 0; i < 6; ++i) {
        borrowers.push_back(f.submit("a2", "design", 1, 8));
    }
    plan(f, planner, work_conserving_options());
    const auto own = f.submit("a1", "render", 2, 8);
    f.now_ms += 100;
    plan(f, planner, work_conserving_options());
    CHECK(f.state.cells.front().claimed_by == own);
    int stopped = 0;
    for (const auto& id : borrowers) {
        if (f.get(id).phase == job_phase::stopping) {
            CHECK(f.get(id).checkpoint_first);
            f.end(id, 0, task_outcome::checkpointed);
            ++stopped;
        }
    }
    CHECK(stopped == 2);
    f.now_ms += 100;
    plan(f, planner, work_conserving_options());
    CHECK(f.get(own).phase == job_phase::placed);
    CHECK(f.get(own).cell == "g1/0");
}

TEST_CASE("a large job is not starved by a steady stream of small ones") {
    ledger_fixture f;
    planner_state planner;
    std::vector<std::string> small;
    for (int i = 0; i < 32; ++i) {
        small.push_back(f.submit("a2", "render", 1, 1));
    }
    plan(f, planner);
    const auto large = f.submit("a2", "render", 3, 8);
    for (int step = 0; step < 200 && f.get(large).phase == job_phase::queued; ++step) {
        f.now_ms += 100;
        small.push_back(f.submit("a2", "render", 1, 1));
        plan(f, planner);
        // The oldest running small job ends.
        for (auto id = small.begin(); id != small.end(); ++id) {
            if (f.get(*id).phase == job_phase::placed) {
                f.end(*id, 0, task_outcome::done);
                small.erase(id);
                break;
            }
        }
    }
    CHECK(f.get(large).phase == job_phase::placed);
}

TEST_CASE(
    "spare hosts are powered on for queued jobs and off when idle, never while they run tasks") {
    ledger_fixture f;
    planner_state planner;
    f.append(config_published{"spares", 1, R"(edits:
  - put:
      host_pool:
        name: p1
        failure_domain: d1
        racks: [{name: k1, hosts: 3}, {name: k2, hosts: 3}, {name: k3, hosts: 2, spare_hosts: 2}]
        accelerators: 8
        cores: 64
        memory: 128GB
)"});
    std::vector<std::string> jobs;
    for (int i = 0; i < 7; ++i) {
        jobs.push_back(f.submit("a2", "render", 1, 8));
    }
    f.now_ms = 10000;
    plan(f, planner);
    REQUIRE(f.state.hosts.hosts()[6].status == host_status::starting);
    f.report("k3-h01", host_status::up, 1);
    f.report("k3-h02", host_status::up, 1);
    f.now_ms += 1000;
    plan(f, planner);
    for (int step = 0; step < 400; ++step) {
        f.now_ms += 1000;
        plan(f, planner);
        for (const auto& h : f.state.hosts.hosts()) {
            REQUIRE((h.status != host_status::off || h.tasks == 0));
        }
    }
    for (const auto& id : jobs) {
        if (f.get(id).phase == job_phase::placed) {
            f.end(id, 0, task_outcome::done);
        }
    }
    for (int step = 0; step < 700; ++step) {
        f.now_ms += 1000;
        plan(f, planner);
        for (const auto& id : jobs) {
            if (f.get(id).phase == job_phase::placed) {
                f.end(id, 0, task_outcome::done);
            }
        }
    }
    CHECK(f.state.hosts.hosts()[6].status == host_status::off);
    CHECK(f.state.hosts.hosts()[7].status == host_status::off);
}
