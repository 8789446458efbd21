#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace fulmarworks::node {

/**
 * Payloads of the jobs that this host knows, so that it can start their tasks for the leader. Drops
 * the oldest when full. Not thread safe.
 */
class payload_cache {
public:
    explicit payload_cache(std::size_t max_bytes);

    /** Adds the payload of a job; a job that is present keeps its payload. */
    void add(const std::string& job, const std::string& payload);

    /** Returns the payload of a job, or null. The pointer is valid until the next `add`. */
    [[nodiscard]] const std::string* find(const std::string& job) const;

private:
    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    std::unordered_map<std::string, std::string> payloads_;
    /** Jobs in the order in which they were added. */
    std::deque<std::string> order_;
};

} // namespace fulmarworks::node
