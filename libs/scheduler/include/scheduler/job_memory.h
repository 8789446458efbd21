#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace fulmarworks::scheduler {

struct coordinator_state;
struct job_spec;

/** Memory that jobs take in a leader, in bytes. */
struct job_memory {
    std::size_t total = 0;
    std::map<std::string, std::size_t> by_account;
};

/** Returns about the largest memory that a leader needs for a job at any time, in bytes. Thread
 * safe. */
[[nodiscard]] std::size_t estimate_memory(const job_spec& spec);

/** Returns the memory of all jobs that a leader knows, those that have ended included. Thread
 * safe. */
[[nodiscard]] job_memory measure_memory(const coordinator_state& state);

} // namespace fulmarworks::scheduler
