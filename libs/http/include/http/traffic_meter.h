#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fulmarworks {

/** What an HTTP client sent and received in the calls of one kind. */
struct traffic_counts {
    std::uint64_t calls = 0;
    std::uint64_t connections_opened = 0;
    /** Headers and bodies, in bytes. */
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

/** Counts the traffic of an HTTP client by kind of call. Not thread safe. */
class traffic_meter {
public:
    /** Returns the counts of a kind, to be added to. The reference stays valid. Precondition: kinds
     * come from a small fixed set. */
    [[nodiscard]] traffic_counts& of(std::string_view kind);

    /** Returns the counts of all kinds used so far. */
    [[nodiscard]] const std::map<std::string, traffic_counts, std::less<>>& all() const;

    /** Returns the bytes sent and received in all calls. */
    [[nodiscard]] std::uint64_t total_bytes() const;

private:
    std::map<std::string, traffic_counts, std::less<>> counts_;
};

} // namespace fulmarworks
