#pragma once

#include "config_check/document.h"

namespace fulmarworks::config_check {

/** A document without findings: an urgent and a batch route, and two accounts. */
inline document make_document() {
    document d;
    d.version = 7;
    for (const char* name : {"urgent", "batch"}) {
        route_entry r;
        r.decoded.name = name;
        r.decoded.host = "a.example";
        r.decoded.path_prefix = std::string("/") + name + "/";
        r.decoded.policy = {"pool", 0, 3, 1.5, 250};
        r.timeout_ms = 3000;
        d.routes.push_back(r);
    }
    d.routes[1].decoded.policy.priority = 2;
    d.pools = {{"pool"}};
    d.accounts = {{"x", {{"key-1", 0}, {"key-2", 1}}, 8}, {"y", {{"key-3", 0}}, {}}};
    return d;
}

} // namespace fulmarworks::config_check
