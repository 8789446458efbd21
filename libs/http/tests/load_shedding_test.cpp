#include "load_shedding.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>

using namespace fulmarworks;

namespace {

constexpr time_ms now_ms = 100'000;

connection_load load(connection_phase phase, std::size_t bytes, time_ms age_ms) {
    return {phase, bytes, now_ms - age_ms};
}

} // namespace

// Replays a crowd of a thousand connections that each hold a part of a request, below any limit of
// a single connection, beside callers whose requests are larger but have only just arrived.
TEST_CASE("connections that hold memory for long are given up before larger new ones") {
    std::vector<connection_load> loads;
    for (int i = 0; i < 1000; ++i) {
        loads.push_back(load(connection_phase::receiving, 60'000, 2000 + i));
    }
    const std::size_t first_ordinary = loads.size();
    for (int i = 0; i < 20; ++i) {
        loads.push_back(load(connection_phase::receiving, 260'000, 20));
        loads.push_back(load(connection_phase::idle, 4096, 5000));
        loads.push_back(load(connection_phase::processing, 1'000'000, 3000));
    }
    const auto chosen = choose_for_memory(loads, 30'000'000, now_ms);
    REQUIRE(chosen.size() == 500);
    for (const std::size_t i : chosen) {
        CHECK(i < first_ordinary);
        CHECK(i >= 500); // the oldest half
    }
}

TEST_CASE("requests that are being processed aren't given up for memory") {
    const std::vector<connection_load> loads = {
        load(connection_phase::processing, 1'000'000, 60'000),
        load(connection_phase::sending, 10'000, 10),
    };
    CHECK(choose_for_memory(loads, 500'000, now_ms) == std::vector<std::size_t>{1});
    CHECK(choose_for_memory(std::span(loads).first(1), 500'000, now_ms).empty());
    CHECK(choose_for_memory({}, 1, now_ms).empty());
}

TEST_CASE("no more connections are given up for memory than necessary") {
    const std::vector<connection_load> loads(10, load(connection_phase::sending, 1000, 50));
    CHECK(choose_for_memory(loads, 1, now_ms).size() == 1);
    CHECK(choose_for_memory(loads, 1000, now_ms).size() == 1);
    CHECK(choose_for_memory(loads, 1001, now_ms).size() == 2);
    CHECK(choose_for_memory(loads, 1'000'000, now_ms).size() == 10);
}

// Replays connections that are opened and held, so that none is left for ordinary callers.
TEST_CASE("a new connection replaces the one that has been idle for the longest") {
    std::vector<connection_load> loads = {
        load(connection_phase::processing, 4096, 50'000),
        load(connection_phase::receiving, 4096, 40'000),
        load(connection_phase::idle, 4096, 10),
        load(connection_phase::idle, 4096, 3000),
        load(connection_phase::sending, 4096, 2),
    };
    CHECK(choose_for_slot(loads) == 3U);
    loads.push_back(load(connection_phase::closing, 4096, 1));
    CHECK(choose_for_slot(loads) == 5U);
}

TEST_CASE("without idle connections, the slowest transfer is replaced, and never a request") {
    std::vector<connection_load> loads = {
        load(connection_phase::processing, 4096, 50'000),
        load(connection_phase::receiving, 4096, 700),
        load(connection_phase::sending, 4096, 900),
    };
    CHECK(choose_for_slot(loads) == 2U);
    loads.resize(1);
    CHECK_FALSE(choose_for_slot(loads));
    CHECK_FALSE(choose_for_slot({}));
}
