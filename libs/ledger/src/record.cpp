#include "ledger/record.h"

namespace fulmarworks {

namespace {

/** Keys are short because every instance reads every record. */
json encode_header(const record_header& h) {
    return json{{"w", h.writer},
                {"i", h.incarnation},
                {"l", h.lane},
                {"s", h.sequence},
                {"t", h.written_at}};
}

record_header decode_header(const json& j) {
    record_header h;
    j.at("w").get_to(h.writer);
    j.at("i").get_to(h.incarnation);
    j.at("l").get_to(h.lane);
    j.at("s").get_to(h.sequence);
    j.at("t").get_to(h.written_at);
    return h;
}

template <class Body>
bool decode_if(const std::string& kind, const json& j, record_body& body) {
    if (kind != Body::kind) {
        return false;
    }
    body = j.get<Body>();
    return true;
}

template <class... Bodies>
bool decode_any(const std::string& kind, const json& j, std::variant<Bodies...>& body) {
    return (decode_if<Bodies>(kind, j, body) || ...);
}

} // namespace

std::string encode_record(const record& r) {
    json j = encode_header(r.header);
    std::visit(
        [&](const auto& body) {
            j["k"] = body.kind;
            j["b"] = body;
        },
        r.body);
    return j.dump(-1, ' ', true, json::error_handler_t::replace);
}

result<record> decode_record(std::string_view text) {
    const auto parsed = parse_json(text);
    if (!parsed) {
        return parsed.error();
    }
    try {
        const json& j = parsed.value();
        record decoded;
        decoded.header = decode_header(j);
        if (decode_any(j.at("k").get<std::string>(), j.at("b"), decoded.body)) {
            return decoded;
        }
        return error{error_kind::malformed_data, "record of unknown kind",
                     "upgrade this instance before the ones that write new records"};
    } catch (const json::exception& e) {
        return error{error_kind::malformed_data, std::string("malformed record: ") + e.what(),
                     "check who else writes to this stream"};
    }
}

} // namespace fulmarworks
