#pragma once

#include "base/error.h"
#include "platform/store_client.h"

#include <string>

namespace fulmarworks::node {

/** An entry host in the list of members. */
struct member_entry {
    std::string address;
    /** Share of a processor core; above 0 and at most `max_cpu_share`. */
    double cpu_share = 0;
};

/** More cores than any host has. Larger shares would put all real hosts last in every order. */
inline constexpr double max_cpu_share = 1024;

/** Decodes a record of the list of members. Errors: malformed_data. Thread safe. */
[[nodiscard]] result<member_entry> decode_member(const platform::logged_record& record);

} // namespace fulmarworks::node
