#include "json_mutator.h"

#include <array>
#include <cstdint>
#include <limits>

namespace fulmarworks::fuzz {

namespace {

constexpr std::size_t max_repeats = 300;
constexpr std::size_t long_text_bytes = 5000;

json nested_array(int depth) {
    json j = 1;
    for (int i = 0; i < depth; ++i) {
        j = json::array({std::move(j)});
    }
    return j;
}

} // namespace

json json_mutator::edge_case_value() {
    using limits = std::numeric_limits<std::int64_t>;
    const std::array<json, 19> values{json(nullptr),
                                      json(true),
                                      json(0),
                                      json(-1),
                                      json(1),
                                      json(100000),
                                      json(4294967295U),
                                      json(limits::max()),
                                      json(limits::min()),
                                      json(std::numeric_limits<std::uint64_t>::max()),
                                      json(0.5),
                                      json(-0.5),
                                      json(1e300),
                                      json(-1e300),
                                      json(""),
                                      json(std::string(long_text_bytes, 'x')),
                                      json::array(),
                                      json::object(),
                                      nested_array(max_json_depth * 2)};
    return values[below(values.size())];
}

json& json_mutator::pick_value(json& document) {
    json* at = &document;
    while (at->is_structured() && !at->empty() && !chance(15)) {
        auto it = at->begin();
        std::advance(it, static_cast<std::ptrdiff_t>(below(at->size())));
        at = &*it;
    }
    return *at;
}

void json_mutator::mutate_once(json& document) {
    json& target = pick_value(document);
    if (target.is_array() && !target.empty() && chance(50)) {
        const std::size_t repeats = 1 + below(max_repeats);
        const json element = target[below(target.size())];
        for (std::size_t i = 0; i < repeats; ++i) {
            target.push_back(element);
        }
    } else if (target.is_object() && !target.empty() && chance(50)) {
        auto member = target.begin();
        std::advance(member, static_cast<std::ptrdiff_t>(below(target.size())));
        target.erase(member);
    } else if (chance(30)) {
        const json other = pick_value(document);
        target = other;
    } else {
        target = edge_case_value();
    }
}

json json_mutator::mutate(json document) {
    const std::size_t mutations = 1 + below(4);
    for (std::size_t i = 0; i < mutations; ++i) {
        mutate_once(document);
    }
    return document;
}

std::string json_mutator::corrupt(std::string text) {
    const std::size_t mutations = 1 + below(4);
    for (std::size_t i = 0; i < mutations && !text.empty(); ++i) {
        const std::size_t at = below(text.size());
        switch (below(4)) {
        case 0: text[at] = static_cast<char>(below(256)); break;
        case 1: text.resize(at); break;
        case 2: text.insert(at, text.substr(below(text.size()), below(40))); break;
        default: text.erase(at, 1 + below(10)); break;
        }
    }
    return text;
}

} // namespace fulmarworks::fuzz
