#include "payload_cache.h"

namespace fulmarworks::node {

payload_cache::payload_cache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

void payload_cache::add(const std::string& job, const std::string& payload) {
    if (payload.size() > max_bytes_ || !payloads_.try_emplace(job, payload).second) {
        return;
    }
    order_.push_back(job);
    bytes_ += payload.size();
    while (bytes_ > max_bytes_) {
        const auto oldest = payloads_.find(order_.front());
        bytes_ -= oldest->second.size();
        payloads_.erase(oldest);
        order_.pop_front();
    }
}

const std::string* payload_cache::find(const std::string& job) const {
    const auto found = payloads_.find(job);
    return found == payloads_.end() ? nullptr : &found->second;
}

} // namespace fulmarworks::node
