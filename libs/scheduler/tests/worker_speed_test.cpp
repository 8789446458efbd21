#include "coordinator_fixture.h"
#include "simulated_cluster.h"
#include "worker_speed.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

constexpr int workers = 64;
constexpr int rack_size = 8;
constexpr int jobs = 120;
/** Shares of workers and run times of the code search cluster. */
constexpr int fast_every = 4;
constexpr double fast_speed = 1 / 0.51;
constexpr double tail_share = 0.03;
constexpr int tail_factor = 7;
constexpr double estimate_sigma = 0.9;
constexpr double remote_factor = 3;

int number_of(const std::string& worker) {
    return std::stoi(worker.substr(1));
}

bool is_special(int worker) {
    return worker % fast_every == worker / rack_size % fast_every;
}

/** Run times on a fleet in which a quarter of the workers has another speed. Jobs whose ids start
 * with g are gangs. */
class run_time_model {
public:
    explicit run_time_model(double special_speed) : special_speed_(special_speed) {}

    simulated_run_time operator()(const send_start& order) {
        std::mt19937 of_job(static_cast<unsigned>(std::stoi(order.task.job.substr(1))));
        const double base_ms = std::uniform_real_distribution<>(1500, 4000)(of_job);
        const int number = number_of(order.where.id);
        const double speed = is_special(number) ? special_speed_ : 1;
        const bool remote = remote_rack >= 0 && number / rack_size != remote_rack;
        const double usual_ms = base_ms / speed * std::lognormal_distribution<>(0, 0.05)(random_) *
                                (remote ? remote_factor : 1);
        const bool long_run = std::uniform_real_distribution<>(0, 1)(random_) < tail_share;
        // Members of a gang end together.
        const bool gang = order.task.job[0] == 'g';
        const double duration_ms = gang ? std::max(base_ms * (remote ? remote_factor : 1), usual_ms)
                                        : usual_ms * (long_run ? tail_factor : 1);
        return {static_cast<time_ms>(usual_ms), static_cast<time_ms>(duration_ms)};
    }

    /** Runs on other racks than this are remote; -1 if none are. */
    int remote_rack = -1;

private:
    double special_speed_;
    std::mt19937 random_{20261203};
};

job_spec make_job(int number, bool gang) {
    auto spec = coordinator_fixture::make_job((gang ? "g" : "t") + std::to_string(number),
                                              gang ? 4 : 6, {1000, 1000, 8});
    std::mt19937 random(static_cast<unsigned>(number));
    spec.steps[0].estimate_ms =
        static_cast<time_ms>(2500 * std::lognormal_distribution<>(0, estimate_sigma)(random));
    spec.steps[0].gang = gang;
    spec.steps[0].same_rack = gang;
    return spec;
}

struct learned {
    int fast = 0;
    int slow = 0;
    int wrong = 0;
    int with_evidence = 0;
};

learned count_classes(const simulated_cluster& cluster) {
    learned result;
    for (const auto& [id, e] : cluster.state().speeds.by_worker) {
        ++result.with_evidence;
        result.fast += e.speed == speed_class::fast ? 1 : 0;
        result.slow += e.speed == speed_class::slow ? 1 : 0;
        result.wrong += (e.speed == speed_class::fast) != is_special(number_of(id)) ? 1 : 0;
    }
    return result;
}

learned replay_fleet(double special_speed, const settings& limits = {}) {
    simulated_cluster cluster(workers, limits, {});
    cluster.set_run_times(run_time_model(special_speed));
    for (int i = 0; i < jobs; ++i) {
        cluster.submit(make_job(i, i % 2 == 0));
        cluster.run_for(300);
    }
    cluster.run_for(5000);
    return count_classes(cluster);
}

std::map<std::string, speed_class> learned_classes(const worker_speeds& speeds) {
    std::map<std::string, speed_class> classes;
    for (const auto& [id, e] : speeds.by_worker) {
        classes[id] = classify_speed(e, 0);
    }
    return classes;
}

} // namespace

TEST_CASE("fast workers are found despite long runs and bad estimates") {
    const learned r = replay_fleet(fast_speed);
    CAPTURE(r.fast, r.slow, r.wrong, r.with_evidence);
    CHECK(r.with_evidence >= workers * 9 / 10);
    CHECK(r.fast >= workers / fast_every * 3 / 4);
    CHECK(r.wrong <= 3);
    CHECK(r.slow == 0);
}

TEST_CASE("no worker of a fleet with even workers, or a factor of 1.3, gets a class") {
    for (const double special_speed : {1.0, 1.3}) {
        const learned r = replay_fleet(special_speed);
        CAPTURE(special_speed, r.with_evidence);
        CHECK(r.with_evidence >= workers / 2);
        CHECK(r.fast == 0);
        CHECK(r.slow == 0);
    }
}

TEST_CASE("nothing is learned when the setting is off") {
    settings limits;
    limits.learned_worker_speeds = false;
    CHECK(replay_fleet(fast_speed, limits).with_evidence == 0);
}

TEST_CASE("runs outside the rack of their data don't make a worker slow") {
    simulated_cluster cluster(2 * rack_size, {}, {});
    run_time_model model(1);
    model.remote_rack = 0;
    cluster.set_run_times(model);
    for (int i = 0; i < jobs; ++i) {
        auto spec = make_job(i, false);
        spec.steps[0].per_task.accelerators = 4;
        spec.steps[0].task_count = 24; // more than fit on the rack
        spec.steps[0].data_rack = "r0";
        spec.steps[0].estimate_ms = 300;
        cluster.submit(spec);
        cluster.run_for(3000);
    }
    const learned r = count_classes(cluster);
    CHECK(r.with_evidence > rack_size);
    CHECK(r.fast + r.slow == 0);
}

TEST_CASE("a gang that was slower in an earlier run, spread over racks, is not evidence") {
    worker_speeds speeds;
    step_progress progress;
    progress.tasks.resize(3);
    // The third member's rate is still that of the first run, when the gang was in one rack.
    progress.rates = {{"w1", 2, true, false, std::log(0.01)},
                      {"w2", 2, true, false, std::log(0.01)},
                      {"w3", 1, true, false, std::log(0.03)}};
    CHECK(std::abs(compare_rate(speeds, progress, 0, true)->log_ratio) < 0.01);
    progress.rates[1].run = 1;
    CHECK_FALSE(compare_rate(speeds, progress, 0, true));
}

TEST_CASE("runs on a single worker, or the first of many, are not evidence") {
    worker_speeds speeds;
    step_progress progress;
    progress.tasks.resize(4);
    progress.rates = {
        {"w1", 1, true, false, std::log(0.02)}, {"w1", 1, true, false, std::log(0.01)}, {}, {}};
    CHECK_FALSE(compare_rate(speeds, progress, 0, false));
    progress.rates[1].worker = "w2";
    CHECK(compare_rate(speeds, progress, 0, false));
    progress.tasks[2].phase = task_phase::running;
    progress.tasks[2].run = 1;
    CHECK_FALSE(compare_rate(speeds, progress, 0, false));
}

TEST_CASE("runs beside a single worker of unknown speed are weak evidence") {
    // Otherwise, a worker that runs beside a fast one twice is taken for a slow one.
    worker_speeds speeds;
    step_progress progress;
    progress.tasks.resize(2);
    progress.rates = {{"w1", 1, true, false, std::log(0.01)},
                      {"w2", 1, true, false, std::log(0.02)}};
    for (int i = 0; i < 8; ++i) {
        const auto compared = compare_rate(speeds, progress, 0, false);
        add_evidence(speeds, "w1", "job" + std::to_string(i), *compared, 1000);
    }
    CHECK(learned_classes(speeds).at("w1") == speed_class::normal);
    add_evidence(speeds, "w2", "a", {0, 1}, 1000);
    add_evidence(speeds, "w2", "b", {0, 1}, 1000);
    add_evidence(speeds, "w2", "c", {0, 1}, 1000);
    CHECK(compare_rate(speeds, progress, 0, false)->weight == 1);
}

TEST_CASE("a run whose progress was first seen at 100 percent is not measured") {
    // It reached 100 percent at an unknown time, and may be one of the few long runs.
    coordinator_fixture f;
    f.add_worker("w1");
    f.add_worker("w2");
    f.send(job_submitted{f.make_job("a", 2, {1000, 1000, 8})});
    const auto orders = f.take_all<send_start>();
    REQUIRE(orders.size() == 2);
    for (const auto& order : orders) {
        f.accept_start(order);
    }
    const auto& usual = orders[0];
    const auto& longer = orders[1];
    f.advance(1000);
    f.answer_poll(usual.where.id, {}, {{1, usual.task, 1, end_reason::done, ""}});
    f.advance(1000);
    f.answer_poll(longer.where.id, {{longer.task, 1, "", 100}});
    f.advance(900);
    f.answer_poll(longer.where.id, {}, {{1, longer.task, 1, end_reason::done, ""}});
    REQUIRE(f.state.jobs.at("a")->ended());
    CHECK(f.state.speeds.by_worker.empty());
}

TEST_CASE("fast workers that run beside each other stay fast") {
    worker_speeds speeds;
    for (int i = 0; i < 4; ++i) {
        add_evidence(speeds, "w1", "job" + std::to_string(i), {0.67, 1}, 1000);
        add_evidence(speeds, "w2", "job" + std::to_string(i), {0.67, 1}, 1000);
    }
    step_progress progress;
    progress.tasks.resize(2);
    progress.rates = {{"w1", 1, true, false, std::log(0.02)},
                      {"w2", 1, true, false, std::log(0.02)}};
    CHECK(std::abs(compare_rate(speeds, progress, 0, true)->log_ratio - 0.67) < 0.01);
}

TEST_CASE("a class needs three runs of two jobs, and one long run doesn't decide it") {
    worker_speeds speeds;
    for (int i = 0; i < 4; ++i) {
        add_evidence(speeds, "one-job", "a", {0.67, 1}, 1000);
        add_evidence(speeds, "long-run", "job" + std::to_string(i), {i == 2 ? -1.9 : 0, 1}, 1000);
    }
    add_evidence(speeds, "two-runs", "a", {0.67, 1}, 1000);
    add_evidence(speeds, "two-runs", "b", {0.67, 1}, 1000);
    for (const auto& [id, speed] : learned_classes(speeds)) {
        CAPTURE(id);
        CHECK(speed == speed_class::normal);
    }
    add_evidence(speeds, "two-runs", "b", {0.67, 1}, 1000);
    CHECK(learned_classes(speeds).at("two-runs") == speed_class::fast);
}

TEST_CASE("a worker that comes back under its id with another speed loses its class soon") {
    coordinator_fixture f;
    f.add_worker("w1");
    for (int i = 0; i < 20; ++i) {
        add_evidence(f.state.speeds, "w1", "job" + std::to_string(i), {0.67, 1}, 1000);
    }
    const speed_evidence& e = f.state.speeds.by_worker.at("w1");
    const double weight = e.weight;
    f.answer_poll("w1", {}, {}, -1, 2);
    CHECK(e.weight == weight / 2);
    CHECK(classify_speed(e, 0) == speed_class::fast);
    for (int i = 0; i < 3; ++i) {
        add_evidence(f.state.speeds, "w1", "later" + std::to_string(i), {0, 1}, 1000);
    }
    CHECK(classify_speed(e, 0) == speed_class::normal);
}
