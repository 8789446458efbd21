#include "random_run.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace fulmarworks;

namespace {

std::string joined(const std::vector<std::string>& lines) {
    std::string text;
    for (const auto& line : lines) {
        text += line + "\n";
    }
    return text;
}

} // namespace

TEST_CASE("random jobs without faults cause no violation") {
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        const auto report = run_randomly(seed, {});
        INFO("seed " << seed);
        REQUIRE(joined(report.violations) == "");
        REQUIRE(report.jobs > 0);
    }
}

TEST_CASE("random jobs under random faults cause no violation") {
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        const auto faults = choose_faults(seed, 1 + static_cast<int>(seed % 4));
        const auto report = run_randomly(seed, faults);
        INFO("seed " << seed);
        REQUIRE(joined(report.violations) == "");
    }
}

TEST_CASE("the same seed reproduces the same run") {
    const auto faults = choose_faults(9, 3);
    CHECK(run_randomly(9, faults).digest == run_randomly(9, faults).digest);
}
