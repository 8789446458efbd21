#include "member_entry.h"

#include "http/http_server.h"

#include <charconv>

namespace fulmarworks::node {

result<member_entry> decode_member(const platform::logged_record& record) {
    member_entry entry{record.key, 0};
    const char* end = record.value.data() + record.value.size();
    const auto parsed = std::from_chars(record.value.data(), end, entry.cpu_share);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == end && entry.cpu_share > 0 &&
                       entry.cpu_share <= max_cpu_share;
    if (!valid || !parse_address(record.key)) {
        return error{error_kind::malformed_data, "an entry of the members names no entry host",
                     "delete the entry"};
    }
    return entry;
}

} // namespace fulmarworks::node
