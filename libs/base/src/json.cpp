#include "base/json.h"

#include "base/utf8.h"

namespace fulmarworks {

namespace {

error malformed(std::string message) {
    return {error_kind::malformed_data, std::move(message), "send well-formed JSON"};
}

/**
 * Builds a value from the events of a parser, and ends the parse at a value that is nested too
 * deeply: the parser of binary formats calls itself for each level. Its base has no virtual
 * functions; the parser calls those that are declared here.
 */
class limited_builder : public nlohmann::detail::json_sax_dom_parser<json> {
public:
    explicit limited_builder(json& target) : json_sax_dom_parser(target, false) {}

    bool start_object(std::size_t size) {
        return enter() && json_sax_dom_parser::start_object(size);
    }
    bool start_array(std::size_t size) { return enter() && json_sax_dom_parser::start_array(size); }
    bool end_object() {
        --depth_;
        return json_sax_dom_parser::end_object();
    }
    bool end_array() {
        --depth_;
        return json_sax_dom_parser::end_array();
    }
    bool key(string_t& name) { return is_utf8(name) && json_sax_dom_parser::key(name); }
    bool string(string_t& text) { return is_utf8(text) && json_sax_dom_parser::string(text); }

private:
    bool enter() { return ++depth_ <= max_json_depth; }

    int depth_ = 0;
};

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

result<json> parse_msgpack(std::string_view bytes) {
    json parsed;
    limited_builder builder(parsed);
    if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::msgpack)) {
        return error{error_kind::malformed_data,
                     "a stored record is malformed or nested too deeply",
                     "check which release wrote it"};
    }
    return parsed;
}

} // namespace fulmarworks
