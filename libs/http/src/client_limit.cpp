#include "http/client_limit.h"

namespace fulmarworks {

std::string_view name_of(client_limit limit) {
    switch (limit) {
    case client_limit::head_size: return "head_size";
    case client_limit::body_size: return "body_size";
    case client_limit::syntax: return "syntax";
    case client_limit::method: return "method";
    case client_limit::connections: return "connections";
    case client_limit::open_requests: return "open_requests";
    case client_limit::memory: return "memory";
    case client_limit::request_duration: return "request_duration";
    case client_limit::answer_duration: return "answer_duration";
    case client_limit::descriptors: return "descriptors";
    }
    return "invalid";
}

} // namespace fulmarworks
