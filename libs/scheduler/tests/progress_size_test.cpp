#include "measured_fleet.h"
#include "scheduler/codec.h"

#include <catch2/catch.hpp>

namespace fulmarworks::scheduler {

TEST_CASE("the progress of the largest job fits into a record") {
    job j;
    j.spec = coordinator_fixture::make_job("a", most_tasks, {1, 1, 0});
    j.occurrences.push_back(make_occurrence(j.spec, 0));
    for (std::uint32_t i = 0; i < most_tasks; ++i) {
        task& t = j.occurrences[0].steps[0].tasks[i];
        t.phase = task_phase::running;
        t.run = 1 + i % 3;
        t.where = {"worker-" + std::to_string(i % 1000), 1'700'000'000'000};
        t.checkpoint = "00000bb87a21d94b";
    }
    const std::string stored = encode_progress(j);
    CHECK(stored.size() <= max_progress_bytes);
    job restored;
    restored.spec = j.spec;
    REQUIRE(decode_progress(stored, restored));
    const task& last = restored.occurrences[0].steps[0].tasks.back();
    CHECK(last.run == 1 + (most_tasks - 1) % 3);
    CHECK(last.where == j.occurrences[0].steps[0].tasks.back().where);
    CHECK(last.checkpoint.empty());
}

} // namespace fulmarworks::scheduler
