#pragma once

#include <cstdint>
#include <string>

namespace fulmarworks::run_times {

/** Runs that are expected to take similar times. */
struct run_class {
    std::string queue;
    std::string account;
    /** Accelerators of one task. */
    std::uint32_t accelerators = 0;

    friend bool operator==(const run_class&, const run_class&) = default;
};

} // namespace fulmarworks::run_times
