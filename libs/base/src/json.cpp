#include "base/json.h"

namespace fulmarworks {

namespace {

error malformed(std::string message) {
    return {error_kind::malformed_data, std::move(message), "send well-formed JSON"};
}

} // namespace

result<json> parse_json(std::string_view text) {
    bool too_deep = false;
    const auto limit_depth = [&](int depth, json::parse_event_t, json&) {
        too_deep = too_deep || depth > max_json_depth;
        return !too_deep;
    };
    json parsed = json::parse(text.begin(), text.end(), limit_depth, false);
    if (too_deep) {
        return malformed("JSON is nested too deeply");
    }
    if (parsed.is_discarded()) {
        return malformed("text is not JSON");
    }
    return parsed;
}

} // namespace fulmarworks
