#pragma once

#include "crowd.h"
#include "entry_host.h"
#include "http/http_client.h"
#include "soak_store.h"

#include <string>

namespace fulmarworks::crowd {

/** Limits that the settings of the tested processes state. The tests' bounds are these limits. */
inline constexpr std::size_t memory_limit_mb = 32;
inline constexpr std::size_t descriptor_limit = 256;

/**
 * One entry host as a process, with a store that runs on the test's event loop, and one ordinary
 * caller. Not thread safe.
 */
class crowded_host {
public:
    /** Starts the process and waits until it is ready. `configuration` is the operator's. */
    explicit crowded_host(const std::string& configuration);
    ~crowded_host();
    crowded_host(const crowded_host&) = delete;
    crowded_host& operator=(const crowded_host&) = delete;

    [[nodiscard]] std::string caller_address() const { return host_.caller_address; }
    [[nodiscard]] std::string readiness_address() const { return soak::loopback(first_port_ + 1); }
    [[nodiscard]] std::string internal_address() const { return soak::loopback(first_port_ + 2); }

    soak::soak_store& store() { return store_; }

    /** Runs the crowd until it is quiet, at most for a fixed time, and watches the process. */
    void run(hostile_crowd& crowd);

    void run_for(time_ms duration_ms);

    /** Returns whether an ordinary caller's submission is accepted, after retries if need be. */
    [[nodiscard]] bool serves_a_submission();

    /** Returns whether the readiness probe gets status 200, after retries if need be. */
    [[nodiscard]] bool is_ready();

    [[nodiscard]] bool is_alive();

    /** Sends one request and returns its answer. */
    [[nodiscard]] http_answer ask(const http_call& call);

    /** Largest resident memory of the process so far, in megabytes. */
    [[nodiscard]] std::size_t peak_memory_mb() const;

    /** Largest number of descriptors seen so far. */
    [[nodiscard]] std::size_t peak_descriptors() const { return peak_descriptors_; }

private:
    /** Calls until the answer has status 200, with a new connection for each attempt. */
    [[nodiscard]] bool call_until_served(http_call call);
    void observe();

    std::string directory_;
    event_loop loop_;
    soak::soak_store store_{loop_};
    soak::entry_host host_;
    int first_port_ = 0;
    std::uint64_t next_job_ = 0;
    std::size_t peak_descriptors_ = 0;
};

/** Returns the head of a request for `method` and `path` of an ordinary caller, without the empty
 * line that ends it. */
[[nodiscard]] std::string ordinary_head(const std::string& method, const std::string& path);

/** Returns a distinct valid id of a job. */
[[nodiscard]] std::string job_id(std::uint64_t number);

} // namespace fulmarworks::crowd
