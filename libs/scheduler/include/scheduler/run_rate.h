#pragma once

#include <cstdint>
#include <string>

namespace fulmarworks::scheduler {

/** Rate of progress of a task's latest measured run. */
struct run_rate {
    std::string worker;
    /** Number of the run; 0 before the first measurement. */
    std::uint32_t run = 0;
    /** Whether the run is on the rack of the step's data. Others are slower by `remote_factor`. */
    bool at_data = false;
    /** Whether the run was compared with others already. */
    bool compared = false;
    /** Natural logarithm of the rate in percent per millisecond. */
    double log_rate = 0;
};

} // namespace fulmarworks::scheduler
