#include "ledger/snapshot.h"
#include "ledger_fixture.h"

#include <catch2/catch.hpp>
#include <random>

using namespace fulmarworks;

TEST_CASE("a repeated record has no second effect") {
    ledger_fixture f;
    record r;
    r.header = {"x", 1, "bulk", 1, test_epoch_ms};
    job_request request;
    request.client_account = "a1";
    request.request_id = "r";
    request.job_class = "fit";
    request.shape = {1, 1, 1};
    request.issued_at = test_epoch_ms;
    r.body = job_submitted{request};
    apply(f.state, f.state.next_offset, r);
    const auto again = apply(f.state, f.state.next_offset, r);
    CHECK(again.dropped == "repeated_record");
    r.header.sequence = 2;
    CHECK(apply(f.state, f.state.next_offset, r).dropped == "repeated_request");
    CHECK(f.state.queues["a1"].size() == 1);
}

TEST_CASE("a record of an earlier incarnation of a writer is dropped") {
    ledger_fixture f;
    record r;
    r.header = {"x", 2, "bulk", 1, test_epoch_ms};
    r.body = time_noted{};
    CHECK(apply(f.state, f.state.next_offset, r).dropped.empty());
    r.header = {"x", 1, "bulk", 9, test_epoch_ms};
    CHECK(apply(f.state, f.state.next_offset, r).dropped == "repeated_record");
}

TEST_CASE("a cancelled job ends as not run only if none of its tasks can have started") {
    ledger_fixture f;
    const auto queued = f.submit("a2", "render", 1, 1);
    f.append(cancel_requested{queued});
    CHECK(f.get(queued).phase == job_phase::not_run);

    const auto revoked = f.submit("a2", "render", 1, 1);
    f.place(revoked, f.free_host());
    f.append(cancel_requested{revoked});
    CHECK(f.get(revoked).phase == job_phase::stopping);
    f.end(revoked, 0, task_outcome::not_started);
    CHECK(f.get(revoked).phase == job_phase::not_run);

    const auto started = f.submit("a2", "render", 1, 1);
    f.place(started, f.free_host());
    f.append(cancel_requested{started});
    f.end(started, 0, task_outcome::stopped);
    CHECK(f.get(started).phase == job_phase::failed);

    const auto requeued = f.submit("a2", "render", 1, 1);
    f.place(requeued, f.free_host());
    f.end(requeued, 0, task_outcome::failed);
    CHECK(f.get(requeued).phase == job_phase::queued);
    f.append(cancel_requested{requeued});
    CHECK(f.get(requeued).phase == job_phase::failed);
}

TEST_CASE("a job that is not repeatable is never queued again after it may have run") {
    ledger_fixture f;
    const auto lost = f.submit("a2", "check", 1, 1);
    f.place(lost, f.free_host());
    const auto host = f.state.hosts.hosts()[f.free_host()].name;
    f.report(host, host_status::lost, 0);
    CHECK(f.get(lost).phase == job_phase::failed);
    CHECK(f.get(lost).reason == job_reason::worker_lost);
    f.report(host, host_status::up, 2);

    const auto refused = f.submit("a2", "check", 1, 1);
    f.place(refused, f.free_host());
    f.end(refused, 0, task_outcome::not_started);
    CHECK(f.get(refused).phase == job_phase::queued);
}

TEST_CASE("a worker's new incarnation ends the tasks of the old one") {
    ledger_fixture f;
    const auto id = f.submit("a2", "fit", 1, 2);
    f.place(id, f.free_host());
    const auto host = f.state.hosts.hosts()[f.free_host()].name;
    f.report(host, host_status::up, 2);
    CHECK(f.get(id).phase == job_phase::queued);
    CHECK(f.state.hosts.hosts()[f.free_host()].used == 0);
}

TEST_CASE("a failed member stops its gang, which is queued again once all members have ended") {
    ledger_fixture f;
    const auto id = f.submit("a2", "design", 3, 8);
    const host_index first = f.state.hosts.hosts()[0].planned != 0 ? 3 : 0;
    REQUIRE(f.place(id, first).dropped.empty());
    f.append(members_ready{id, 1, {0, 1, 2}});
    CHECK(may_start(f.get(id)));
    f.end(id, 1, task_outcome::failed);
    CHECK(f.get(id).phase == job_phase::stopping);
    f.end(id, 0, task_outcome::stopped);
    CHECK(f.get(id).phase == job_phase::stopping);
    f.end(id, 2, task_outcome::stopped);
    CHECK(f.get(id).phase == job_phase::queued);
    CHECK(f.get(id).attempt == 1);
}

TEST_CASE("only preemptible jobs borrow a guarantee cell, and its account reclaims it") {
    ledger_fixture f;
    const guarantee_cell cell = f.state.cells.front();
    const host_index planned = cell.blocks.front().host;
    const auto pinned = f.submit("a2", "render", 1, 2);
    CHECK(f.place(pinned, planned).dropped == "blocks_taken");
    const auto borrower = f.submit("a2", "fit", 1, 2);
    CHECK(f.place(borrower, planned).dropped.empty());
    const auto own = f.submit("a1", "render", 2, 8);
    CHECK(f.place(own, planned, cell.name).dropped == "blocks_taken");
    f.append(jobs_preempted{{{borrower, 1, false}}, own, cell.name});
    CHECK(f.get(borrower).phase == job_phase::stopping);
    const auto other_borrower = f.submit("a2", "fit", 1, 2);
    CHECK(f.append(job_placed{other_borrower, 1, {{planned, 4, 2}}, "", ""}).dropped ==
          "blocks_taken");
    f.end(borrower, 0, task_outcome::stopped);
    std::vector<block> blocks = cell.blocks;
    CHECK(f.append(job_placed{own, 1, blocks, cell.name, ""}).dropped.empty());
    CHECK(f.state.cells.front().claimed_by.empty());
    CHECK(is_reclaim_plan_feasible(f.state.hosts, f.state.cells));
}

TEST_CASE("the first of several conflicting placements in the log wins") {
    ledger_fixture f;
    const auto id = f.submit("a2", "fit", 1, 2);
    CHECK(f.append(job_placed{id, 1, {{0, 0, 2}}, "", ""}).dropped.empty());
    CHECK(f.append(job_placed{id, 1, {{1, 0, 2}}, "", ""}).dropped == "stale_attempt");
    const auto other = f.submit("a2", "fit", 1, 2);
    CHECK(f.append(job_placed{other, 1, {{0, 1, 2}}, "", ""}).dropped == "blocks_taken");
}

TEST_CASE("failures of several jobs quarantine a host; one job that fails on all hosts does not") {
    ledger_fixture f;
    const host_index bad = f.free_host();
    for (int i = 0; i < 3; ++i) {
        const auto id = f.submit("a2", "fit", 1, 1);
        f.place(id, bad);
        f.end(id, 0, task_outcome::failed);
    }
    CHECK(f.state.hosts.hosts()[bad].quarantined);
    f.now_ms += 31000;
    f.append(time_noted{});
    CHECK_FALSE(f.state.hosts.hosts()[bad].quarantined);
    CHECK(f.state.hosts.hosts()[bad].on_probation);
    const auto probe = f.submit("a2", "fit", 1, 1);
    f.place(probe, bad);
    f.end(probe, 0, task_outcome::done);
    CHECK_FALSE(f.state.hosts.hosts()[bad].on_probation);

    const auto broken = f.submit("a2", "fit", 1, 1);
    for (host_index h = 0; f.get(broken).phase == job_phase::queued && h < 6; ++h) {
        f.place(broken, h);
        f.end(broken, 0, task_outcome::failed);
    }
    CHECK(f.get(broken).reason == job_reason::failed_everywhere);
    CHECK(f.get(broken).attempt == 3);
    for (const auto& h : f.state.hosts.hosts()) {
        CHECK_FALSE(h.quarantined);
    }
}

TEST_CASE("an instance is removed only after an unanswered suspicion") {
    ledger_fixture f;
    f.append(instance_joined{"x", 5, "", "", ""});
    f.append(instance_suspected{"x", 5});
    const auto suspected = f.state.instances.at("x").suspected_offset;
    f.append(instance_alive{"x", 5});
    CHECK(f.append(instance_left{"x", 5, suspected}).dropped == "suspicion_answered");
    f.append(instance_suspected{"x", 5});
    const auto epochs_before = f.state.rack_owners;
    CHECK(f.append(instance_left{"x", 5, f.state.instances.at("x").suspected_offset})
              .dropped.empty());
    for (std::size_t r = 0; r < epochs_before.size(); ++r) {
        CHECK(f.state.rack_owners[r].instance == "w");
        const bool moved = epochs_before[r].instance != "w";
        CHECK(f.state.rack_owners[r].epoch == epochs_before[r].epoch + (moved ? 1 : 0));
    }
}

TEST_CASE("an outdated request and a request beyond the queue limit are refused") {
    ledger_fixture f;
    f.now_ms = 13 * milliseconds_per_hour;
    job_request r;
    r.client_account = "a1";
    r.request_id = "old";
    r.job_class = "check";
    r.shape = {1, 1, 1};
    r.issued_at = test_epoch_ms;
    f.append(job_submitted{r});
    CHECK(f.get("a1/old").reason == job_reason::stale_request);
    std::string last;
    for (int i = 0; i < 5001; ++i) {
        last = f.submit("a2", "render", 1, 1);
    }
    CHECK(f.get(last).reason == job_reason::queue_full);
}

namespace {

/** Returns a random record about existing or unknown jobs and hosts. */
record_body random_body(std::mt19937& random, const ledger_state& s) {
    const auto pick = [&](int below) { return static_cast<int>(random() % below); };
    std::string id = "a1/none";
    if (!s.jobs.empty() && pick(8) != 0) {
        auto j = s.jobs.begin();
        std::advance(j, pick(static_cast<int>(s.jobs.size())));
        id = j->first;
    }
    const job* known = find_job(s, id);
    const int attempt = (known == nullptr ? 0 : known->attempt) + pick(8) / 6;
    const auto any_block = [&] {
        return block{static_cast<host_index>(pick(7)), pick(10) - 1, pick(9)};
    };
    switch (pick(11)) {
    case 0:
    case 1: {
        job_request r;
        r.client_account = pick(2) == 0 ? "a1" : "a2";
        r.request_id = "r" + std::to_string(pick(1000));
        r.job_class = std::vector<std::string>{"check", "design", "fit", "render"}[pick(4)];
        r.tasks = 1 + pick(3);
        r.shape = {pick(9), pick(8), pick(8)};
        r.issued_at = s.now;
        return job_submitted{r};
    }
    case 2: return cancel_requested{id};
    case 3:
    case 4: {
        job_placed r = {id, attempt + 1, {}, pick(3) == 0 ? "g1/0" : "", ""};
        const int tasks = known == nullptr ? 1 : known->request.tasks;
        for (int i = 0; i < tasks; ++i) {
            block b = any_block();
            b.count =
                known == nullptr || pick(10) == 0 ? b.count : known->request.shape.accelerators;
            r.blocks.push_back(b);
        }
        return r;
    }
    case 5: return jobs_preempted{{{id, attempt, pick(2) == 0}}, id, pick(2) == 0 ? "g1/0" : ""};
    case 6: return members_ready{id, attempt, {pick(4) - 1, pick(4)}};
    case 7:
    case 8: {
        task_ended r;
        r.job = id;
        r.attempt = attempt;
        r.member = pick(4) - 1;
        r.outcome = static_cast<task_outcome>(pick(7));
        return r;
    }
    case 9: {
        const std::string host =
            "k" + std::to_string(1 + pick(2)) + "-h0" + std::to_string(1 + pick(4));
        return host_reported{host, static_cast<host_status>(pick(6)),
                             static_cast<std::uint64_t>(pick(4)), 1};
    }
    default: return jobs_moved{{{id, attempt, true}}};
    }
}

} // namespace

TEST_CASE("random records keep the invariants, and a restored snapshot evolves like the original") {
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        ledger_fixture f;
        for (int step = 0; step < 400; ++step) {
            f.now_ms += random() % 500;
            f.append(random_body(random, f.state));
            for (const auto& cell : f.state.cells) {
                for (const auto& b : cell.blocks) {
                    REQUIRE((f.state.hosts.hosts()[b.host].pinned & mask_of(b)) == 0);
                }
            }
            for (const auto& h : f.state.hosts.hosts()) {
                REQUIRE(h.used_total.cores >= 0);
                REQUIRE(h.used_total.cores <= h.capacity.cores);
                REQUIRE((h.pinned & ~h.used) == 0);
            }
        }
        auto restored = decode_snapshot(encode_snapshot(f.state));
        REQUIRE(restored);
        REQUIRE(state_digest(restored.value()) == state_digest(f.state));
        for (int step = 0; step < 200; ++step) {
            record r;
            r.header = {"other", 1, "bulk", static_cast<std::uint64_t>(step + 1),
                        test_epoch_ms + f.now_ms + step};
            r.body = random_body(random, f.state);
            apply(f.state, f.state.next_offset, r);
            apply(restored.value(), restored.value().next_offset, r);
        }
        REQUIRE(state_digest(restored.value()) == state_digest(f.state));
    }
}

TEST_CASE("mutated records and malformed snapshots don't crash the decoders") {
    std::mt19937 random(3);
    ledger_fixture f;
    const auto id = f.submit("a2", "fit", 2, 2);
    record r;
    r.header = {"w", 1, "bulk", 1, test_epoch_ms};
    r.body = job_placed{id, 1, {{0, 0, 2}, {1, 0, 2}}, "", "why"};
    const std::string good = encode_record(r);
    REQUIRE(decode_record(good));
    int errors = 0;
    for (int i = 0; i < 5000; ++i) {
        std::string mutated = good;
        for (int k = 0; k < 3; ++k) {
            mutated[random() % mutated.size()] = static_cast<char>(random() % 256);
        }
        const auto decoded = decode_record(mutated);
        if (decoded) {
            apply(f.state, f.state.next_offset, decoded.value());
        } else {
            ++errors;
        }
    }
    CHECK(errors > 0);
    CHECK_FALSE(decode_snapshot("{}"));
    CHECK_FALSE(decode_snapshot("[1,2"));
}
